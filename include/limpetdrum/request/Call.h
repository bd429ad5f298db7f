#ifndef LIMPETDRUM_REQUEST_CALL_H
#define LIMPETDRUM_REQUEST_CALL_H

#include "limpetdrum/request/KeyLedger.h"
#include "limpetdrum/request/Reply.h"
#include "limpetdrum/request/RetryBudget.h"
#include "limpetdrum/version/Release.h"

#include <optional>
#include <variant>
#include <vector>

namespace limpetdrum {

/// \brief One request from the caller's side: attempts until a final reply.
///
/// An attempt is bound to one life of one node. It is sent again to the same
/// life, which attaches to it, and another attempt is made elsewhere only if
/// the first is proven not to have run, or if the route is idempotent.
/// Takes events, gives the next step; no I/O.
class Call {
public:
  struct SelectNode {}; ///< choose a node, then onNodeSelected()
  struct Send {         ///< send the attempt, then onReply() or onLost()
    NodeIncarnation To;
    AttemptId Id;
    std::uint16_t Retries;
  };
  struct Wait {};  ///< an event will come
  struct Pause {}; ///< wait a little, then onPauseOver()
  struct Finish {  ///< the final reply
    limpetdrum::Reply Reply;
  };
  using Step = std::variant<SelectNode, Send, Wait, Pause, Finish>;

  /// \param Runs whether an attempt with an unknown outcome may be repeated.
  /// \param Movable whether other nodes may be tried at all.
  /// \param Ratio the node's bound on retries; outlives the call.
  Call(RunSemantics Runs, bool Movable, std::uint16_t Retries,
       RetryRatio &Ratio);

  /// \brief Another call for the same key may have run already: this one
  ///   never proves "not run".
  void assumeMayHaveRun() noexcept { this->MayHaveRun = true; }
  /// \brief The call belongs to a request whose work so far would be lost: an
  ///   overloaded service is tried again after a pause.
  void retryOnOverload() noexcept { this->Patient = true; }
  /// \brief How deep the calls of the callee go: the share of its grant.
  void setCallDepth(unsigned Levels) noexcept { this->LevelsBelow = Levels; }
  [[nodiscard]] Step start() const;
  /// \param To the chosen life, or nothing if there is none.
  /// \param Id a new id for this attempt.
  [[nodiscard]] Step onNodeSelected(const std::optional<NodeIncarnation> &To,
                                    AttemptId Id);
  [[nodiscard]] Step onReply(const Reply &Value);
  /// \brief The connection was lost.
  /// \param HandedOver false if it had never been accepted by the peer.
  /// \param SameLifeReachable whether that life of the node may still answer.
  [[nodiscard]] Step onLost(bool HandedOver, bool SameLifeReachable);
  /// \brief The node answers on no connection, old or fresh.
  [[nodiscard]] Step onSuspected();
  [[nodiscard]] Step onPauseOver();
  [[nodiscard]] Step onDeadline() const;

  [[nodiscard]] const std::vector<NodeId> &triedNodes() const noexcept {
    return this->Tried;
  }
  [[nodiscard]] const std::optional<Send> &attempt() const noexcept {
    return this->Current;
  }
  [[nodiscard]] unsigned retries() const noexcept { return this->Made; }

private:
  [[nodiscard]] std::uint16_t grant() noexcept;
  [[nodiscard]] Step retry(Reply Otherwise);
  [[nodiscard]] Step finish(Reply Value) const;

  RunSemantics Runs;
  bool Movable;
  bool Patient = false;
  RetryBudget Budget;
  unsigned LevelsBelow = 0;
  RetryRatio *Ratio;
  std::optional<Send> Current;
  std::vector<NodeId> Tried;
  bool HandedOver = false; ///< of the current attempt, on any connection
  bool MayHaveRun = false; ///< an earlier attempt
  unsigned Made = 0;
};

} // namespace limpetdrum

#endif
