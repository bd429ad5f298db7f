#include "limpetdrum/version/PolicyRequests.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Revision Old{3};
constexpr Revision New{4};
const NodeId First("first");
const NodeId Second("second");

} // namespace

TEST_CASE("PolicyRequests asks one of many nodes that have a newer policy") {
  FakeClock Clock;
  PolicyRequests Requests;
  int Asked = 0;
  for (int I = 0; I < 75; ++I)
    Asked += Requests.isDue(NodeId(std::to_string(I)), New, Old, Clock.now())
                 ? 1
                 : 0;
  CHECK(Asked == 1);
  CHECK_FALSE(Requests.isDue(First, New, New, Clock.now()));
  CHECK_FALSE(Requests.isDue(First, Old, New, Clock.now()));
}

TEST_CASE("PolicyRequests asks another node if the first does not answer") {
  FakeClock Clock;
  PolicyRequests Requests;
  CHECK(Requests.isDue(First, New, Old, Clock.now()));
  Clock.advance(Milliseconds(100));
  CHECK_FALSE(Requests.isDue(Second, New, Old, Clock.now()));
  Clock.advance(Milliseconds(400));
  CHECK(Requests.isDue(Second, New, Old, Clock.now()));
}

TEST_CASE("PolicyRequests asks at once for a policy newer than the requested") {
  FakeClock Clock;
  PolicyRequests Requests;
  CHECK(Requests.isDue(First, New, Old, Clock.now()));
  CHECK(Requests.isDue(First, Revision(5), Old, Clock.now()));
  // The answer brought a version in between.
  CHECK_FALSE(Requests.isDue(Second, New, Old, Clock.now()));
}

TEST_CASE(
    "PolicyRequests is not starved by a silent node while versions change "
    "quickly") {
  FakeClock Clock;
  PolicyRequests Requests;
  constexpr Milliseconds ChangePeriod(150);
  constexpr Milliseconds MaxDelay(600);
  auto Started = Clock.now();
  bool AskedOther = false;
  for (std::uint64_t Version = 4;
       !AskedOther && Clock.now() - Started < MaxDelay; ++Version) {
    // The silent node always announces first.
    (void)Requests.isDue(First, Revision(Version), Old, Clock.now());
    Clock.advance(Milliseconds(10));
    AskedOther = Requests.isDue(Second, Revision(Version), Old, Clock.now());
    Clock.advance(ChangePeriod - Milliseconds(10));
  }
  CHECK(AskedOther);
}

TEST_CASE("PolicyRequests asks each of several silent nodes once before it "
          "repeats a request") {
  FakeClock Clock;
  PolicyRequests Requests;
  const NodeId Answering("answering");
  int AskedSilent = 0;
  int AskedAnswering = 0;
  for (int Round = 0; Round < 6; ++Round) {
    AskedSilent += Requests.isDue(First, New, Old, Clock.now()) ? 1 : 0;
    AskedSilent += Requests.isDue(Second, New, Old, Clock.now()) ? 1 : 0;
    AskedAnswering += Requests.isDue(Answering, New, Old, Clock.now()) ? 1 : 0;
    Clock.advance(Milliseconds(100));
  }
  CHECK(AskedSilent == 2);
  CHECK(AskedAnswering == 1);
  // Once none has answered, the request is repeated.
  Clock.advance(Milliseconds(400));
  CHECK(Requests.isDue(First, New, Old, Clock.now()));
}
