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

/// \brief Caller's side of one request: attempts until a final reply.
///
/// An attempt is bound to one incarnation of one node. After a lost connection
/// it is sent again to the same incarnation, which attaches it to the earlier
/// copy. Another attempt is made at a different node only if the first is
/// proven not to have run, or if the route is idempotent.
///
/// The class does no I/O: each event handler returns the next step for the
/// owner to perform.
class Call {
public:
  struct SelectNode {}; ///< select a node, then call onNodeSelected()
  struct Send {         ///< send the attempt, then call onReply() or onLost()
    NodeIncarnation To;
    AttemptId Id;
    std::uint16_t Retries;
  };
  struct Wait {};  ///< wait for the next event
  struct Pause {}; ///< wait for a short time, then call onPauseOver()
  struct Finish {  ///< pass on the final reply
    limpetdrum::Reply Reply;
  };
  using Step = std::variant<SelectNode, Send, Wait, Pause, Finish>;

  /// \param Semantics decides if an attempt with an unknown outcome may be
  ///   repeated.
  /// \param MayTryOtherNodes false if the call is bound to one node.
  /// \param Retries budget of the call and of the calls below it.
  /// \param Ratio the node's bound on retries; must outlive the call.
  Call(RunSemantics Semantics, bool MayTryOtherNodes, std::uint16_t Retries,
       RetryRatio &Ratio);

  /// \brief Reports "not run" as unknown from now on, because an earlier call
  ///   for the same key may have run.
  void assumeMayHaveRun() noexcept { this->MayHaveRun = true; }
  /// \brief Retries after a pause if a target's queue refused the request.
  ///
  /// Meant for calls made on behalf of a request whose work so far would
  /// otherwise be lost.
  /// \param Rank class of the request. All but the most important class leave
  ///   some of the node's retries to it.
  void retryOnOverload(ClassRank Rank) noexcept {
    this->RetriesOverload = true;
    this->Rank = Rank;
  }
  /// \brief Sets the depth of the callee's own calls, which determines the
  ///   share of the budget that is granted to it.
  void setCallDepth(unsigned Levels) noexcept { this->CallDepth = Levels; }
  [[nodiscard]] Step start() const;
  /// \param Destination the selected incarnation, or nothing if there is none.
  /// \param Id a new id for this attempt.
  [[nodiscard]] Step
  onNodeSelected(const std::optional<NodeIncarnation> &Destination,
                 AttemptId Id);
  [[nodiscard]] Step onReply(const Reply &Value);
  /// \brief Handles the loss of the connection.
  /// \param WasHandedOver false if the peer never accepted the attempt on this
  ///   connection.
  /// \param SameIncarnationReachable true if that incarnation of the node may
  ///   still answer.
  [[nodiscard]] Step onLost(bool WasHandedOver, bool SameIncarnationReachable);
  /// \brief Handles the suspicion that the node has failed: it answers on
  ///   neither the existing connection nor a new one. Without a retry the call
  ///   waits on, because the node may be slow.
  [[nodiscard]] Step onSuspected();
  [[nodiscard]] Step onPauseOver();
  [[nodiscard]] Step onDeadline() const;

  [[nodiscard]] const std::vector<NodeId> &triedNodes() const noexcept {
    return this->TriedNodes;
  }
  [[nodiscard]] const std::optional<Send> &attempt() const noexcept {
    return this->Current;
  }
  [[nodiscard]] unsigned retries() const noexcept { return this->RetriesMade; }

private:
  [[nodiscard]] std::uint16_t grant() noexcept;
  /// \brief Spends one retry.
  /// \param Reserve number of the node's retries left to other calls.
  /// \returns false if none is allowed.
  [[nodiscard]] bool takeRetry(double Reserve = 0) noexcept;
  /// \param FinalReply reply to finish with if no retry is allowed.
  [[nodiscard]] Step retry(Reply FinalReply, double Reserve = 0);
  [[nodiscard]] Step finish(Reply Value) const;

  RunSemantics Semantics;
  bool MayTryOtherNodes;
  bool RetriesOverload = false;
  ClassRank Rank; ///< set if it retries on overload
  RetryBudget Budget;
  unsigned CallDepth = 0;
  RetryRatio *Ratio;
  std::optional<Send> Current;
  std::vector<NodeId> TriedNodes;
  bool HandedOver = false; ///< the current attempt, on any connection
  bool MayHaveRun = false; ///< an earlier attempt
  unsigned RetriesMade = 0;
};

} // namespace limpetdrum

#endif
