#include "limpetdrum/request/AttemptLedger.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace limpetdrum;

namespace {

/// Parts of the design that a walk can leave out, to see it fail.
struct Design {
  bool HasLedger = true;        ///< the executing node remembers attempts
  bool BindsIncarnation = true; ///< no attempt goes to a later process
  bool KeepsForgotten = true;   ///< late copies of swept attempts are known
};

enum class Kind : std::uint8_t { Attempt, Cancel, RepliedNotRun, Replied };

/// One attempt between a caller and an executing node that restarts, with
/// messages that are lost or come in any order, and all that can happen next.
struct World {
  // The caller.
  bool Sent = false;
  unsigned Bound = 0; ///< incarnation that the attempt was first sent to
  bool ToldNotRun = false;
  bool Ended = false; ///< the caller waits no more
  // The executing node.
  unsigned Incarnation = 1;
  AttemptLedger Ledger{std::chrono::seconds(30)};
  bool IsQueued = false;
  bool IsRunning = false;
  bool Revoked = false; ///< promised by a tombstone not to run
  // On the way; a link keeps no message for another process.
  std::multiset<Kind> OnTheWay;
  int Seconds = 0;
  // What must not be.
  unsigned Runs = 0;
  bool Broken = false;

  [[nodiscard]] TimePoint now() const {
    return TimePoint() + std::chrono::seconds(this->Seconds);
  }
};

const AttemptId Id{Incarnation(7), 1};

class Walk {
public:
  Walk(Design Chosen, unsigned Depth) : Chosen(Chosen), Depth(Depth) {}

  void from(const World &At, unsigned Step) {
    ++this->States;
    if (At.Broken) {
      this->FoundBroken = true;
      return;
    }
    if (Step == this->Depth)
      return;
    this->callerActs(At, Step);
    this->messagesMove(At, Step);
    this->nodeActs(At, Step);
  }

  std::size_t States = 0;
  bool FoundBroken = false;

private:
  template <typename Change>
  void go(const World &At, unsigned Step, Change Action) {
    World Next = At;
    Action(Next);
    Next.Broken = Next.Broken || Next.Runs > 1 ||
                  (Next.Runs > 0 && (Next.ToldNotRun || Next.Revoked));
    this->from(Next, Step + 1);
  }

  void callerActs(const World &At, unsigned Step) {
    if (At.Ended)
      return;
    // The first time, or again over a new link whose hello tells the process.
    this->go(At, Step, [&](World &W) {
      if (W.Sent && this->Chosen.BindsIncarnation && W.Bound != W.Incarnation) {
        W.Ended = true; // lost: it may have run
        return;
      }
      if (!W.Sent)
        W.Bound = W.Incarnation;
      W.Sent = true;
      W.OnTheWay.insert(Kind::Attempt);
    });
    if (At.Sent)
      this->go(At, Step, [](World &W) {
        W.Ended = true;
        W.OnTheWay.insert(Kind::Cancel);
      });
  }

  void messagesMove(const World &At, unsigned Step) {
    std::set<Kind> Kinds(At.OnTheWay.begin(), At.OnTheWay.end());
    for (auto Which : Kinds) {
      auto Take = [Which](World &W) {
        W.OnTheWay.erase(W.OnTheWay.find(Which));
      };
      this->go(At, Step, Take); // lost
      this->go(At, Step, [&](World &W) {
        Take(W);
        this->deliver(W, Which);
      });
    }
  }

  void deliver(World &W, Kind Which) {
    switch (Which) {
    case Kind::Attempt:
      this->arrive(W);
      return;
    case Kind::Cancel:
      if (W.IsQueued) {
        W.IsQueued = false;
        W.Ledger.finish(Id, reply(Outcome::NotRun), W.now());
      } else if (!W.IsRunning && this->Chosen.HasLedger) {
        W.Revoked = W.Ledger.revoke(Id, W.now()) && W.Runs == 0;
      }
      return;
    case Kind::RepliedNotRun:
      W.ToldNotRun = W.ToldNotRun || !W.Ended;
      W.Ended = true;
      return;
    case Kind::Replied:
      W.Ended = true;
      return;
    }
  }

  void arrive(World &W) {
    if (!this->Chosen.HasLedger || !this->Chosen.KeepsForgotten)
      this->forget(W);
    auto Seen = W.Ledger.onArrival(Id, W.now());
    switch (Seen.Verdict) {
    case AttemptLedger::Verdict::Fresh:
      W.IsQueued = true;
      return;
    case AttemptLedger::Verdict::Pending:
      return;
    case AttemptLedger::Verdict::Replay:
      W.OnTheWay.insert(Seen.Reply->Outcome == Outcome::NotRun
                            ? Kind::RepliedNotRun
                            : Kind::Replied);
      return;
    case AttemptLedger::Verdict::Stale:
      W.OnTheWay.insert(Kind::Replied);
      return;
    }
  }

  /// A ledger without the parts that the design leaves out.
  void forget(World &W) const {
    constexpr int Retention = 30;
    if (!this->Chosen.HasLedger || W.Seconds >= Retention)
      W.Ledger = AttemptLedger(std::chrono::seconds(Retention));
  }

  void nodeActs(const World &At, unsigned Step) {
    if (At.IsQueued) {
      this->go(At, Step, [](World &W) {
        W.IsQueued = false;
        W.IsRunning = true;
        ++W.Runs;
        W.Ledger.dispatch(Id);
      });
      this->go(At, Step, [](World &W) {
        W.IsQueued = false;
        W.Ledger.finish(Id, reply(Outcome::NotRun), W.now());
        W.OnTheWay.insert(Kind::RepliedNotRun);
      });
    }
    if (At.IsRunning)
      this->go(At, Step, [](World &W) {
        W.IsRunning = false;
        W.Ledger.finish(Id, reply(Outcome::Answered), W.now());
        W.OnTheWay.insert(Kind::Replied);
      });
    if (At.Incarnation == 1)
      this->go(At, Step, [](World &W) {
        ++W.Incarnation;
        W.Ledger = AttemptLedger(std::chrono::seconds(30));
        W.IsQueued = W.IsRunning = W.Revoked = false;
        W.OnTheWay.clear();
      });
    if (At.Seconds == 0)
      this->go(At, Step, [](World &W) {
        W.Seconds = 40; // longer than an ended attempt is remembered
        W.Ledger.sweep(W.now());
      });
  }

  static std::shared_ptr<const Reply> reply(Outcome What) {
    Reply Value;
    Value.Outcome = What;
    return std::make_shared<const Reply>(Value);
  }

  Design Chosen;
  unsigned Depth;
};

constexpr unsigned Depth = 10;

bool breaks(const Design &Chosen) {
  Walk All(Chosen, Depth);
  All.from({}, 0);
  return All.FoundBroken;
}

} // namespace

TEST_CASE("No order of events runs an attempt twice or after a promise",
          "[ledger]") {
  Walk All({}, Depth);
  All.from({}, 0);
  INFO(All.States << " states");
  CHECK_FALSE(All.FoundBroken);
  // The walk is as wide as it was when the design was proved by it.
  CHECK(All.States > 900'000);
}

TEST_CASE("The walk over attempts notices what is left out", "[ledger]") {
  Design Without;
  SECTION("the ledger") { Without.HasLedger = false; }
  SECTION("the binding to an incarnation") { Without.BindsIncarnation = false; }
  SECTION("the memory of what was forgotten") {
    Without.KeepsForgotten = false;
  }
  CHECK(breaks(Without));
}
