#include "limpetdrum/version/PolicyOffers.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Milliseconds LoadPeriod{500};
constexpr Revision Old{3};
constexpr Revision New{4};

/// Nodes that hear of one that lags, each half a second.
struct Fleet {
  FakeClock Clock;
  std::vector<PolicyOffers> Nodes;
  TimePoint Changed = Clock.now();

  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Nodes.emplace_back(NodeId("n" + std::to_string(I)));
  }

  /// \returns how many nodes send their policy.
  int hear(const char *From, Revision Theirs) {
    int Sent = 0;
    for (auto &Node : this->Nodes)
      Sent += Node.isDue(NodeId(From), Theirs, New, this->Changed,
                         this->Nodes.size(), this->Clock.now())
                  ? 1
                  : 0;
    return Sent;
  }
};

} // namespace

TEST_CASE("PolicyOffers leave a policy to the receiver's own watch at first") {
  Fleet Of(75);
  Of.Clock.advance(Milliseconds(250));
  CHECK(Of.hear("late", Old) == 0);
  Of.Clock.advance(LoadPeriod);
  auto Sent = Of.hear("late", Old);
  CHECK(Sent > 0);
  CHECK(Sent < 75);
}

TEST_CASE("PolicyOffers reach a node even if only one other has the policy") {
  for (int I = 0; I < 50; ++I) {
    Fleet Of(1);
    auto Name = "late" + std::to_string(I);
    int Sent = 0;
    for (int Load = 0; Load < 3; ++Load) {
      Of.Clock.advance(LoadPeriod);
      Sent += Of.hear(Name.c_str(), Old);
    }
    INFO(Name);
    CHECK(Sent >= 1);
  }
}

TEST_CASE("PolicyOffers send a node that starts a few copies, not all") {
  Fleet Of(75);
  Of.Clock.advance(std::chrono::seconds(20));
  int Sent = 0;
  for (int I = 0; I < 40; ++I)
    Sent += Of.hear(("new" + std::to_string(I)).c_str(), Revision());
  // Three each in the mean.
  CHECK(Sent > 40);
  CHECK(Sent < 40 * 6);
}

TEST_CASE("PolicyOffers are made again, and not after the node has caught up") {
  Fleet Of(1);
  Of.Clock.advance(std::chrono::seconds(20));
  CHECK(Of.hear("new", Revision()) == 1);
  Of.Clock.advance(LoadPeriod);
  CHECK(Of.hear("new", Revision()) == 0);
  Of.Clock.advance(LoadPeriod);
  CHECK(Of.hear("new", Revision()) == 1);
  CHECK(Of.hear("new", New) == 0);
}
