#include "limpetdrum/request/KeyLedger.h"
#include "FakeClock.h"
#include "limpetdrum/request/KeyHome.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Verdict = KeyLedger::Verdict;

constexpr std::size_t AmpleBytes = 1U << 20U;
const IdempotencyKey Key("k");
const NodeIncarnation FirstHolder{NodeId("a"), Incarnation(1)};
const NodeIncarnation SecondHolder{NodeId("b"), Incarnation(1)};

Reply answered(const std::string &Body = "") {
  Reply R;
  R.Outcome = Outcome::Answered;
  R.Status = 200;
  R.Body = Body;
  return R;
}

KeyLedger newLedger(std::size_t Bytes = AmpleBytes) {
  return KeyLedger(std::chrono::minutes(10), Bytes);
}

KeyRecord record(const NodeIncarnation &Holder, std::optional<Reply> Settled,
                 const FakeClock &Clock) {
  KeyRecord R;
  R.Holder = Holder;
  R.Settled = Settled.has_value();
  R.Reply = Settled.value_or(Reply());
  R.Expiry = Clock.now() + std::chrono::minutes(5);
  R.Runs = 1;
  return R;
}

std::vector<KeyCandidate> candidates(unsigned Count) {
  std::vector<KeyCandidate> All;
  for (unsigned I = 0; I < Count; ++I)
    All.push_back({NodeId("n" + std::to_string(I)),
                   FailureDomain(std::string(1, "abc"[I % 3]))});
  return All;
}

} // namespace

TEST_CASE("KeyLedger replays the answer of a settled key", "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  CHECK(Ledger.onArrival(Key, FirstHolder, 2, Clock.now()).Verdict ==
        Verdict::Begin);
  CHECK(Ledger.onArrival(Key, SecondHolder, 2, Clock.now()).Holder ==
        FirstHolder);
  Ledger.settle(Key, answered("pallet"));
  auto Result = Ledger.onArrival(Key, SecondHolder, 2, Clock.now());
  CHECK(Result.Verdict == Verdict::Replay);
  CHECK(Result.Reply.Body == "pallet");
}

TEST_CASE("KeyLedger allows another run only after a not-run and up to the "
          "maximum",
          "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  auto Refused = notRun(Reason::Overload, Milliseconds(1));
  static_cast<void>(Ledger.onArrival(Key, FirstHolder, 2, Clock.now()));
  Ledger.settle(Key, Refused);
  auto SecondRun = Ledger.onArrival(Key, SecondHolder, 2, Clock.now());
  CHECK(SecondRun.Verdict == Verdict::Begin);
  CHECK(SecondRun.Holder == SecondHolder);
  Ledger.settle(Key, Refused);
  CHECK(Ledger.onArrival(Key, SecondHolder, 2, Clock.now()).Verdict ==
        Verdict::RetriesExhausted);
}

TEST_CASE("KeyLedger keeps the record of a key whose reply body does not fit",
          "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger(3);
  static_cast<void>(Ledger.onArrival(Key, FirstHolder, 2, Clock.now()));
  Ledger.settle(Key, answered("pallet"));
  auto Result = Ledger.onArrival(Key, FirstHolder, 2, Clock.now());
  CHECK(Result.Verdict == Verdict::Replay);
  CHECK(Result.Reply.Status == 410);
}

TEST_CASE("KeyLedger adopts the record with the stronger evidence of a run",
          "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  auto Refused = notRun(Reason::NodeGone, Milliseconds(1));
  SECTION("a not-run at another node does not replace a run in progress") {
    static_cast<void>(Ledger.onArrival(Key, FirstHolder, 5, Clock.now()));
    Ledger.adopt(Key, record(SecondHolder, Refused, Clock));
    CHECK(Ledger.onArrival(Key, FirstHolder, 5, Clock.now()).Verdict ==
          Verdict::InProgress);
  }
  SECTION("a run in progress at another node replaces a not-run") {
    static_cast<void>(Ledger.onArrival(Key, FirstHolder, 5, Clock.now()));
    Ledger.settle(Key, Refused);
    Ledger.adopt(Key, record(SecondHolder, std::nullopt, Clock));
    auto Result = Ledger.onArrival(Key, FirstHolder, 5, Clock.now());
    CHECK(Result.Verdict == Verdict::InProgress);
    CHECK(Result.Holder == SecondHolder);
  }
  SECTION("an answer replaces a run in progress") {
    static_cast<void>(Ledger.onArrival(Key, FirstHolder, 5, Clock.now()));
    Ledger.adopt(Key, record(SecondHolder, answered("x"), Clock));
    CHECK(Ledger.onArrival(Key, FirstHolder, 5, Clock.now()).Verdict ==
          Verdict::Replay);
  }
}

TEST_CASE("findKeyNodes selects a witness in another failure domain",
          "[keys]") {
  auto All = candidates(9);
  for (int I = 0; I < 200; ++I) {
    auto Nodes = findKeyNodes(IdempotencyKey("k" + std::to_string(I)), All);
    REQUIRE(Nodes);
    REQUIRE(Nodes->Witness);
    auto DomainOf = [&](const NodeId &Node) {
      for (const auto &C : All)
        if (C.Node == Node)
          return C.FailureDomain;
      return FailureDomain();
    };
    CHECK(DomainOf(Nodes->Home) != DomainOf(*Nodes->Witness));
  }
}

TEST_CASE("findKeyNodes retains the home or the witness when a node is removed",
          "[keys]") {
  auto All = candidates(9);
  for (int I = 0; I < 200; ++I) {
    IdempotencyKey K("k" + std::to_string(I));
    auto Before = *findKeyNodes(K, All);
    for (std::size_t Removed = 0; Removed < All.size(); ++Removed) {
      auto Remaining = All;
      Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Removed));
      auto After = *findKeyNodes(K, Remaining);
      std::set<NodeId> Original = {Before.Home, *Before.Witness};
      CHECK(Original.count(After.Home) + Original.count(*After.Witness) >= 1);
    }
  }
}
