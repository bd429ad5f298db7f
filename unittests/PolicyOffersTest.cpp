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

/// Nodes with the newest policy that receive load reports of a lagging node.
struct Fleet {
  FakeClock Clock;
  std::vector<PolicyOffers> Nodes;
  TimePoint PolicySince = Clock.now();

  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Nodes.emplace_back(NodeId("n" + std::to_string(I)));
  }

  /// Reports the policy of \p Node to all nodes.
  /// \returns the number of nodes that send theirs.
  int report(const char *Node, Revision Policy) {
    int Offers = 0;
    for (auto &Sender : this->Nodes)
      Offers += Sender.isDue(NodeId(Node), Policy, New, this->PolicySince,
                             this->Nodes.size(), this->Clock.now())
                    ? 1
                    : 0;
    return Offers;
  }
};

} // namespace

TEST_CASE("PolicyOffers waits for the receiver's own watch before it sends") {
  Fleet Senders(75);
  Senders.Clock.advance(Milliseconds(250));
  CHECK(Senders.report("late", Old) == 0);
  Senders.Clock.advance(LoadPeriod);
  auto Offers = Senders.report("late", Old);
  CHECK(Offers > 0);
  CHECK(Offers < 75);
}

TEST_CASE("PolicyOffers sends within 1.5 s if only one node has the policy") {
  for (int I = 0; I < 50; ++I) {
    Fleet Senders(1);
    auto Name = "late" + std::to_string(I);
    int Offers = 0;
    for (int Load = 0; Load < 3; ++Load) {
      Senders.Clock.advance(LoadPeriod);
      Offers += Senders.report(Name.c_str(), Old);
    }
    INFO(Name);
    CHECK(Offers >= 1);
  }
}

TEST_CASE("PolicyOffers limits the copies sent to a starting node") {
  Fleet Senders(75);
  Senders.Clock.advance(std::chrono::seconds(20));
  int Offers = 0;
  for (int I = 0; I < 40; ++I)
    Offers += Senders.report(("new" + std::to_string(I)).c_str(), Revision());
  // The mean is three copies for each starting node.
  CHECK(Offers > 40);
  CHECK(Offers < 40 * 6);
}

TEST_CASE("PolicyOffers repeats an offer until the node has caught up") {
  Fleet Senders(1);
  Senders.Clock.advance(std::chrono::seconds(20));
  CHECK(Senders.report("new", Revision()) == 1);
  Senders.Clock.advance(LoadPeriod);
  CHECK(Senders.report("new", Revision()) == 0);
  Senders.Clock.advance(LoadPeriod);
  CHECK(Senders.report("new", Revision()) == 1);
  CHECK(Senders.report("new", New) == 0);
}
