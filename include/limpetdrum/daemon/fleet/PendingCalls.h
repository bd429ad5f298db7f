#ifndef LIMPETDRUM_DAEMON_FLEET_PENDINGCALLS_H
#define LIMPETDRUM_DAEMON_FLEET_PENDINGCALLS_H

#include "limpetdrum/daemon/fleet/MeshCodec.h"

#include <functional>
#include <map>

namespace limpetdrum {

/// \brief Result of a call to another node.
struct MeshResult {
  enum class Kind : std::uint8_t {
    Replied,
    NeverSent, ///< the node was unreachable; the call did not run
    Lost,      ///< the node's process has ended; the call may have run
    Suspected, ///< the node is suspected to be dead; the call is still pending
  };
  MeshResult::Kind Kind = Kind::Lost;
  limpetdrum::Reply Reply;
};

/// \brief Calls to one node that have no final result yet.
///
/// A call is bound to the incarnation that it was first sent to, and is sent to
/// it again over each new link. Performs no I/O.
class PendingCalls {
public:
  using Done = std::function<void(const MeshResult &)>;

  [[nodiscard]] bool empty() const noexcept { return this->Calls.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->Calls.size(); }
  /// \brief Returns the time of the oldest call; there must be one.
  [[nodiscard]] TimePoint oldest() const {
    return this->Calls.begin()->second.StartedAt;
  }

  /// \brief Adds a call that is sent over the next link.
  /// \param Attempt with the number of the call, higher than those before.
  void add(MeshAttempt Attempt, Done OnResult, TimePoint Now);
  /// \brief Encodes a call.
  /// \param Acknowledged calls whose replies the node may discard.
  /// \returns nothing if the deadline of the call has passed.
  [[nodiscard]] std::optional<std::string>
  encode(std::uint64_t Number, const std::vector<std::uint64_t> &Acknowledged,
         TimePoint Now, BodyPlace Place = BodyPlace::InMessage);
  /// \brief Marks a call as sent: from now on the node may execute it.
  void onSent(std::uint64_t Number);
  /// \brief Returns the body of a call; empty if the call has ended.
  [[nodiscard]] Body body(std::uint64_t Number) const;
  /// \brief Returns true if the call has no final result yet.
  [[nodiscard]] bool contains(std::uint64_t Number) const {
    return this->Calls.count(Number) != 0;
  }
  /// \brief Removes a call without a result.
  /// \returns true if it has been sent, so that the node has to be told.
  [[nodiscard]] bool cancel(std::uint64_t Number);
  /// \brief Ends a call with its reply; a reply to another call is ignored.
  void onReply(std::uint64_t Number, const Reply &Value);
  /// \brief Prepares the calls for a new link.
  ///
  /// Ends the calls that the process at its other end must not run: those sent
  /// to an earlier one, and those for any target if its target is not ready.
  /// Fills in the target of the others.
  /// \returns the calls to send.
  [[nodiscard]] std::vector<std::uint64_t> onLinked(const NodeStatus &Status);
  /// \brief Returns true if the process differs from the one that calls were
  ///   sent to last.
  [[nodiscard]] bool isOtherProcess(Incarnation Current) const noexcept {
    return this->BoundIncarnation && *this->BoundIncarnation != Current;
  }
  /// \brief Reports the calls as suspected, each at most once per link.
  void reportSuspected();
  /// \brief Ends a call that cannot be sent, if it has not ended.
  void endUnsendable(std::uint64_t Number);
  /// \brief Ends all calls: sent ones as lost, others as never sent.
  void endAll();
  /// \brief Ends calls that have waited too long for a link, as never sent.
  void endUnsent(TimePoint Now);

private:
  struct Call {
    MeshAttempt Attempt; ///< kept to be sent again over another link
    TimePoint Deadline;
    TimePoint StartedAt;
    Done OnResult;
    bool Sent = false;
    bool ReportedSuspected = false;
  };

  /// Ends the calls for which \p Result returns the kind of their result.
  template <typename Function> void endIf(const Function &Result);

  std::map<std::uint64_t, Call> Calls; ///< by number
  std::optional<Incarnation> BoundIncarnation;
};

} // namespace limpetdrum

#endif
