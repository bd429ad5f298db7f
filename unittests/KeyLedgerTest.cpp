#include "limpetdrum/request/KeyLedger.h"
#include "FakeClock.h"
#include "limpetdrum/request/KeyHome.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Verdict = KeyLedger::Verdict;

constexpr std::size_t Plenty = 1U << 20U;
const IdempotencyKey Key("k");
const NodeIncarnation Here{NodeId("a"), Incarnation(1)};
const NodeIncarnation There{NodeId("b"), Incarnation(1)};

Reply answered(const std::string &Body = "") {
  Reply R;
  R.Outcome = Outcome::Answered;
  R.Status = 200;
  R.Body = Body;
  return R;
}

KeyLedger newLedger(std::size_t Bytes = Plenty) {
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

TEST_CASE("KeyLedger replays the answer of a key", "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  CHECK(Ledger.onArrival(Key, Here, 2, Clock.now()).Verdict == Verdict::Begin);
  CHECK(Ledger.onArrival(Key, There, 2, Clock.now()).Holder == Here);
  Ledger.settle(Key, answered("pallet"));
  auto Seen = Ledger.onArrival(Key, There, 2, Clock.now());
  CHECK(Seen.Verdict == Verdict::Replay);
  CHECK(Seen.Reply.Body == "pallet");
}

TEST_CASE("KeyLedger lets a key begin again only after a not-run, and not "
          "for ever",
          "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  auto Refused = notRun(Reason::Overload, Milliseconds(1));
  static_cast<void>(Ledger.onArrival(Key, Here, 2, Clock.now()));
  Ledger.settle(Key, Refused);
  auto Again = Ledger.onArrival(Key, There, 2, Clock.now());
  CHECK(Again.Verdict == Verdict::Begin);
  CHECK(Again.Holder == There);
  Ledger.settle(Key, Refused);
  CHECK(Ledger.onArrival(Key, There, 2, Clock.now()).Verdict ==
        Verdict::RetriesExhausted);
}

TEST_CASE("KeyLedger keeps the record when there is no room for the answer",
          "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger(3);
  static_cast<void>(Ledger.onArrival(Key, Here, 2, Clock.now()));
  Ledger.settle(Key, answered("pallet"));
  auto Seen = Ledger.onArrival(Key, Here, 2, Clock.now());
  CHECK(Seen.Verdict == Verdict::Replay);
  CHECK(Seen.Reply.Status == 410);
}

TEST_CASE("KeyLedger adopts what says more of whether a key ran", "[keys]") {
  FakeClock Clock;
  auto Ledger = newLedger();
  auto Refused = notRun(Reason::NodeGone, Milliseconds(1));
  SECTION("not-run at another node leaves an open run alone") {
    static_cast<void>(Ledger.onArrival(Key, Here, 5, Clock.now()));
    Ledger.adopt(Key, record(There, Refused, Clock));
    CHECK(Ledger.onArrival(Key, Here, 5, Clock.now()).Verdict ==
          Verdict::InProgress);
  }
  SECTION("an open run elsewhere replaces a not-run") {
    static_cast<void>(Ledger.onArrival(Key, Here, 5, Clock.now()));
    Ledger.settle(Key, Refused);
    Ledger.adopt(Key, record(There, std::nullopt, Clock));
    auto Seen = Ledger.onArrival(Key, Here, 5, Clock.now());
    CHECK(Seen.Verdict == Verdict::InProgress);
    CHECK(Seen.Holder == There);
  }
  SECTION("an answer replaces an open run") {
    static_cast<void>(Ledger.onArrival(Key, Here, 5, Clock.now()));
    Ledger.adopt(Key, record(There, answered("x"), Clock));
    CHECK(Ledger.onArrival(Key, Here, 5, Clock.now()).Verdict ==
          Verdict::Replay);
  }
}

TEST_CASE("findKeyNodes takes a witness in another failure domain", "[keys]") {
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

TEST_CASE("findKeyNodes keeps one of the two when any one node goes",
          "[keys]") {
  auto All = candidates(9);
  for (int I = 0; I < 200; ++I) {
    IdempotencyKey K("k" + std::to_string(I));
    auto Before = *findKeyNodes(K, All);
    for (std::size_t Gone = 0; Gone < All.size(); ++Gone) {
      auto Left = All;
      Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Gone));
      auto After = *findKeyNodes(K, Left);
      std::set<NodeId> Known = {Before.Home, *Before.Witness};
      CHECK(Known.count(After.Home) + Known.count(*After.Witness) >= 1);
    }
  }
}
