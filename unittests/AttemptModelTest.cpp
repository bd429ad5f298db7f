#include "limpetdrum/request/AttemptLedger.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace limpetdrum;

namespace {

/// Safeguards of the protocol. A search with one of them disabled must find a
/// violation, which shows that the model can fail.
struct Safeguards {
  bool HasLedger = true;        ///< the executing node records attempts
  bool BindsIncarnation = true; ///< no attempt is sent to a later process
  /// Late copies of swept attempts are recognized.
  bool KeepsExpiredSequences = true;
};

enum class MessageKind : std::uint8_t {
  Attempt,
  Cancel,
  RepliedNotRun,
  Replied
};

/// State of one attempt between a caller and an executing node that may
/// restart. Messages may be lost or delivered in any order.
struct ModelState {
  // The caller.
  bool Sent = false;
  unsigned BoundIncarnation = 0; ///< destination of the first send
  bool ReportedNotRun = false;
  bool Ended = false; ///< the caller no longer waits for a reply
  // The executing node.
  unsigned Incarnation = 1;
  AttemptLedger Ledger{std::chrono::seconds(30)};
  bool IsQueued = false;
  bool IsRunning = false;
  bool Revoked = false; ///< a tombstone proves that it will not run
  // Messages in flight; a connection drops them when the process restarts.
  std::multiset<MessageKind> InFlight;
  int Seconds = 0;
  // Violations of the guarantee.
  unsigned Runs = 0;
  bool IsViolated = false;

  [[nodiscard]] TimePoint now() const {
    return TimePoint() + std::chrono::seconds(this->Seconds);
  }
};

const AttemptId Id{Incarnation(7), 1};

/// Explores every order of events up to a given depth.
class Explorer {
public:
  Explorer(Safeguards Enabled, unsigned Depth)
      : Enabled(Enabled), Depth(Depth) {}

  void explore(const ModelState &Current, unsigned Step) {
    ++this->States;
    if (Current.IsViolated) {
      this->FoundViolation = true;
      return;
    }
    if (Step == this->Depth)
      return;
    this->exploreCaller(Current, Step);
    this->exploreMessages(Current, Step);
    this->exploreNode(Current, Step);
  }

  std::size_t States = 0;
  bool FoundViolation = false;

private:
  template <typename Change>
  void apply(const ModelState &Current, unsigned Step, Change Action) {
    ModelState Next = Current;
    Action(Next);
    Next.IsViolated = Next.IsViolated || Next.Runs > 1 ||
                      (Next.Runs > 0 && (Next.ReportedNotRun || Next.Revoked));
    this->explore(Next, Step + 1);
  }

  void exploreCaller(const ModelState &Current, unsigned Step) {
    if (Current.Ended)
      return;
    // The first send, or a resend over a new connection whose hello carries the
    // incarnation of the process.
    this->apply(Current, Step, [&](ModelState &State) {
      if (State.Sent && this->Enabled.BindsIncarnation &&
          State.BoundIncarnation != State.Incarnation) {
        State.Ended = true; // outcome unknown: it may have run
        return;
      }
      if (!State.Sent)
        State.BoundIncarnation = State.Incarnation;
      State.Sent = true;
      State.InFlight.insert(MessageKind::Attempt);
    });
    if (Current.Sent)
      this->apply(Current, Step, [](ModelState &State) {
        State.Ended = true;
        State.InFlight.insert(MessageKind::Cancel);
      });
  }

  void exploreMessages(const ModelState &Current, unsigned Step) {
    std::set<MessageKind> Messages(Current.InFlight.begin(),
                                   Current.InFlight.end());
    for (auto Message : Messages) {
      auto RemoveMessage = [Message](ModelState &State) {
        State.InFlight.erase(State.InFlight.find(Message));
      };
      this->apply(Current, Step, RemoveMessage); // the message is lost
      this->apply(Current, Step, [&](ModelState &State) {
        RemoveMessage(State);
        this->deliver(State, Message);
      });
    }
  }

  void deliver(ModelState &State, MessageKind Message) {
    switch (Message) {
    case MessageKind::Attempt:
      this->deliverAttempt(State);
      return;
    case MessageKind::Cancel:
      if (State.IsQueued) {
        State.IsQueued = false;
        State.Ledger.finish(Id, reply(Outcome::NotRun), State.now());
      } else if (!State.IsRunning && this->Enabled.HasLedger) {
        State.Revoked = State.Ledger.revoke(Id, State.now()) && State.Runs == 0;
      }
      return;
    case MessageKind::RepliedNotRun:
      State.ReportedNotRun = State.ReportedNotRun || !State.Ended;
      State.Ended = true;
      return;
    case MessageKind::Replied:
      State.Ended = true;
      return;
    }
  }

  void deliverAttempt(ModelState &State) {
    if (!this->Enabled.HasLedger || !this->Enabled.KeepsExpiredSequences)
      this->clearUnkeptState(State);
    auto Arrival = State.Ledger.onArrival(Id, State.now());
    switch (Arrival.Verdict) {
    case AttemptLedger::Verdict::Fresh:
      State.IsQueued = true;
      return;
    case AttemptLedger::Verdict::Pending:
      return;
    case AttemptLedger::Verdict::Replay:
      State.InFlight.insert(Arrival.Reply->Outcome == Outcome::NotRun
                                ? MessageKind::RepliedNotRun
                                : MessageKind::Replied);
      return;
    case AttemptLedger::Verdict::Stale:
      State.InFlight.insert(MessageKind::Replied);
      return;
    }
  }

  /// Clears the ledger state that a disabled safeguard would have kept.
  void clearUnkeptState(ModelState &State) const {
    constexpr int Retention = 30;
    if (!this->Enabled.HasLedger || State.Seconds >= Retention)
      State.Ledger = AttemptLedger(std::chrono::seconds(Retention));
  }

  void exploreNode(const ModelState &Current, unsigned Step) {
    if (Current.IsQueued) {
      this->apply(Current, Step, [](ModelState &State) {
        State.IsQueued = false;
        State.IsRunning = true;
        ++State.Runs;
        State.Ledger.dispatch(Id);
      });
      this->apply(Current, Step, [](ModelState &State) {
        State.IsQueued = false;
        State.Ledger.finish(Id, reply(Outcome::NotRun), State.now());
        State.InFlight.insert(MessageKind::RepliedNotRun);
      });
    }
    if (Current.IsRunning)
      this->apply(Current, Step, [](ModelState &State) {
        State.IsRunning = false;
        State.Ledger.finish(Id, reply(Outcome::Answered), State.now());
        State.InFlight.insert(MessageKind::Replied);
      });
    if (Current.Incarnation == 1)
      this->apply(Current, Step, [](ModelState &State) {
        ++State.Incarnation;
        State.Ledger = AttemptLedger(std::chrono::seconds(30));
        State.IsQueued = State.IsRunning = State.Revoked = false;
        State.InFlight.clear();
      });
    if (Current.Seconds == 0)
      this->apply(Current, Step, [](ModelState &State) {
        State.Seconds = 40; // longer than the retention of an ended attempt
        State.Ledger.sweep(State.now());
      });
  }

  static std::shared_ptr<const Reply> reply(Outcome Result) {
    Reply Value;
    Value.Outcome = Result;
    return std::make_shared<const Reply>(Value);
  }

  Safeguards Enabled;
  unsigned Depth;
};

constexpr unsigned Depth = 10;

bool hasViolation(const Safeguards &Enabled) {
  Explorer Search(Enabled, Depth);
  Search.explore({}, 0);
  return Search.FoundViolation;
}

} // namespace

TEST_CASE("AttemptLedger runs an attempt at most once in every order of events",
          "[ledger]") {
  // Guards against an attempt that runs twice, or that runs after it was
  // reported as not run: a late or resent copy may arrive after the
  // reply was lost, the node restarted or the entry expired.
  Explorer Search({}, Depth);
  Search.explore({}, 0);
  INFO(Search.States << " states");
  CHECK_FALSE(Search.FoundViolation);
  // The search must not become smaller than the one that verified the protocol.
  CHECK(Search.States > 900'000);
}

TEST_CASE("AttemptLedger model search detects a disabled safeguard",
          "[ledger]") {
  Safeguards Enabled;
  SECTION("without the ledger") { Enabled.HasLedger = false; }
  SECTION("without the binding to an incarnation") {
    Enabled.BindsIncarnation = false;
  }
  SECTION("without the expired sequence numbers") {
    Enabled.KeepsExpiredSequences = false;
  }
  CHECK(hasViolation(Enabled));
}
