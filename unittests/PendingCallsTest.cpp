#include "limpetdrum/daemon/fleet/PendingCalls.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Kind = enum MeshResult::Kind;

NodeStatus status(std::uint64_t IncarnationValue,
                  TargetState State = TargetState::Ready) {
  NodeStatus Status;
  Status.Incarnation = Incarnation(IncarnationValue);
  Status.Target.Id = "t1";
  Status.Target.Started = 17;
  Status.Target.State = State;
  return Status;
}

struct CallsFixture {
  FakeClock Clock;
  PendingCalls Calls;
  std::map<std::uint64_t, std::vector<Kind>> Results;

  void add(std::uint64_t Number, const std::string &TargetId = "t1") {
    MeshAttempt Attempt;
    Attempt.Call = Number;
    Attempt.TargetId = TargetId;
    Attempt.TimeLeft = Milliseconds(1000);
    this->Calls.add(
        Attempt,
        [this, Number](const MeshResult &Result) {
          this->Results[Number].push_back(Result.Kind);
        },
        this->Clock.now());
  }
  bool send(std::uint64_t Number) {
    if (!this->Calls.encode(Number, {}, this->Clock.now()))
      return false;
    this->Calls.onSent(Number);
    return true;
  }
  /// Handles a new link and sends over it.
  std::vector<std::uint64_t> link(const NodeStatus &Status) {
    auto Numbers = this->Calls.onLinked(Status);
    for (auto Number : Numbers)
      static_cast<void>(this->send(Number));
    return Numbers;
  }
};

} // namespace

TEST_CASE("PendingCalls sends calls again to the same process only") {
  CallsFixture F;
  F.add(1);
  CHECK(F.link(status(5)) == std::vector<std::uint64_t>{1});
  F.add(2);
  // A new link to the same process.
  CHECK(F.link(status(5)) == std::vector<std::uint64_t>{1, 2});
  F.add(3);
  // A later process: what the earlier one may have run is lost.
  CHECK(F.link(status(6)) == std::vector<std::uint64_t>{3});
  CHECK(F.Results[1] == std::vector<Kind>{Kind::Lost});
  CHECK(F.Results[2] == std::vector<Kind>{Kind::Lost});
  CHECK(F.Results[3].empty());
}

TEST_CASE("PendingCalls ends a call as never sent only if it was not sent") {
  CallsFixture F;
  F.add(1);
  static_cast<void>(F.link(status(5)));
  F.add(2);
  F.Clock.advance(Milliseconds(200));
  F.Calls.endUnsent(F.Clock.now());
  CHECK(F.Results.empty());
  F.Clock.advance(Milliseconds(200));
  F.Calls.endUnsent(F.Clock.now());
  CHECK(F.Results[1].empty());
  CHECK(F.Results[2] == std::vector<Kind>{Kind::NeverSent});
  F.add(3);
  F.Calls.endAll();
  CHECK(F.Results[1] == std::vector<Kind>{Kind::Lost});
  CHECK(F.Results[3] == std::vector<Kind>{Kind::NeverSent});
  CHECK(F.Calls.empty());
}

TEST_CASE("PendingCalls sends a call for any target to a ready one only") {
  auto State = GENERATE(TargetState::Ready, TargetState::Starting,
                        TargetState::Draining, TargetState::Left);
  CallsFixture F;
  F.add(1, "");
  F.add(2, "t1");
  auto Sent = F.link(status(5, State));
  bool IsReady = State == TargetState::Ready;
  CHECK(Sent.size() == (IsReady ? 2 : 1));
  CHECK(F.Results[1].empty() == IsReady);
  // A call for a known target is refused by its node if need be.
  CHECK(F.Results[2].empty());
}

TEST_CASE("PendingCalls reports a suspicion once per link") {
  CallsFixture F;
  F.add(1);
  static_cast<void>(F.link(status(5)));
  F.Calls.reportSuspected();
  F.Calls.reportSuspected();
  CHECK(F.Results[1] == std::vector<Kind>{Kind::Suspected});
  static_cast<void>(F.link(status(5)));
  F.Calls.reportSuspected();
  CHECK(F.Results[1].size() == 2);
}

TEST_CASE("PendingCalls ignores replies to calls that have ended") {
  CallsFixture F;
  F.add(1);
  static_cast<void>(F.link(status(5)));
  F.Calls.onReply(9, {});
  F.Calls.onReply(1, {});
  F.Calls.onReply(1, {});
  CHECK(F.Results[1] == std::vector<Kind>{Kind::Replied});
  F.add(2);
  CHECK_FALSE(F.Calls.cancel(2)); // not sent: the node need not be told
  F.add(3);
  REQUIRE(F.send(3));
  CHECK(F.Calls.cancel(3));
  F.Calls.onReply(3, {});
  CHECK(F.Results.count(3) == 0);
}

TEST_CASE("PendingCalls sends nothing after the deadline") {
  CallsFixture F;
  F.add(1);
  F.Clock.advance(Milliseconds(1001));
  CHECK_FALSE(F.send(1));
}
