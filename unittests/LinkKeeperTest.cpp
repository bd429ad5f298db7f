#include "limpetdrum/daemon/fleet/LinkKeeper.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace limpetdrum;

namespace {

const ServiceName Shop("shop");

Member member(std::uint16_t Index, const std::string &Domain) {
  Member M;
  M.Node = NodeId("n" + std::to_string(Index));
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain(Domain);
  M.Service = Shop;
  // Nobody listens there: the links never come up.
  M.Rpc = {0x7f000001, static_cast<std::uint16_t>(1 + Index)};
  M.Target = TargetState::Ready;
  return M;
}

/// A node of a fleet of 100 in two failure domains, with links to a part of it.
struct KeeperFixture {
  EventLoop Loop;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  Membership Members;
  Mesh Links;
  LinkKeeper Keeper;

  explicit KeeperFixture(std::uint16_t Self)
      : Members(member(Self, "a"), {}, 1),
        Links(this->Loop,
              {this->Members.self().Node, this->Members.self().Rpc,
               this->Members.self().FailureDomain},
              Incarnation(1), this->Log, this->Counters),
        Keeper(this->Members, this->Links, this->Loop) {
    std::vector<Member> Others;
    for (std::uint16_t I = 0; I < 100; ++I)
      if (I != Self)
        Others.push_back(member(I, I % 2 == 0 ? "a" : "b"));
    static_cast<void>(this->Members.learn(Others, this->Loop.now()));
    this->Keeper.update();
  }
};

} // namespace

TEST_CASE("LinkKeeper finds unlinked nodes until all have been tried") {
  KeeperFixture F(0);
  REQUIRE(F.Links.peers().size() < 30);
  std::vector<NodeId> Tried;
  while (auto Found = F.Keeper.findUnlinked(Shop, Tried)) {
    CHECK(F.Links.peers().count(Found->Node) == 0);
    // Those of the own failure domain come first.
    bool IsFirst = Tried.empty();
    if (IsFirst)
      CHECK(Found->FailureDomain == FailureDomain("a"));
    Tried.push_back(Found->Node);
  }
  CHECK(Tried.size() + F.Links.peers().size() == 99);
  CHECK_FALSE(F.Keeper.findUnlinked(ServiceName("other"), {}));
}

// Otherwise one target would get the requests of all nodes whose linked targets
// fail.
TEST_CASE("LinkKeeper of different nodes selects different unlinked nodes") {
  std::map<NodeId, int> Selected;
  for (std::uint16_t Self = 0; Self < 40; Self += 2)
    ++Selected[KeeperFixture(Self).Keeper.findUnlinked(Shop, {})->Node];
  CHECK(Selected.size() > 10);
}

TEST_CASE("LinkKeeper knows the duty holders of each failure domain") {
  int Holders = 0;
  for (std::uint16_t Self = 0; Self < 100; Self += 2) {
    KeeperFixture F(Self);
    Holders += F.Keeper.holdsDuties() ? 1 : 0;
    CHECK(F.Keeper.dutyHolders(FailureDomain("b")).size() == 2);
    CHECK(F.Keeper.otherDomains() ==
          std::vector<FailureDomain>{FailureDomain("b")});
    // All nodes of a failure domain are linked to its holders.
    for (const auto &Node : F.Keeper.dutyHolders(FailureDomain("a")))
      CHECK(
          (Node == F.Members.self().Node || F.Links.peers().count(Node) != 0));
  }
  CHECK(Holders == 2);
}
