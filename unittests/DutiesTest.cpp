#include "limpetdrum/process/Duties.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

Member member(const std::string &Name, const std::string &Domain) {
  Member M;
  M.Node = NodeId(Name);
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain(Domain);
  M.Target = TargetState::Ready;
  return M;
}

/// The members of a fleet as one of them knows them.
struct View {
  Membership Members;

  View(const std::vector<Member> &Fleet, std::size_t Self)
      : Members(Fleet[Self], {}, 1) {
    auto Others = Fleet;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Self));
    static_cast<void>(this->Members.learn(Others, TimePoint()));
  }
};

std::vector<Member> fleet(int NodesPerDomain) {
  std::vector<Member> Result;
  for (const char *Domain : {"a", "b", "c"})
    for (int I = 0; I < NodesPerDomain; ++I)
      Result.push_back(member(Domain + std::to_string(I), Domain));
  return Result;
}

} // namespace

TEST_CASE("holdsDuties selects two nodes of each failure domain at any size") {
  for (int NodesPerDomain : {1, 2, 5, 40}) {
    auto Fleet = fleet(NodesPerDomain);
    std::map<FailureDomain, int> Holders;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Holders[Fleet[I].FailureDomain] +=
          holdsDuties(View(Fleet, I).Members) ? 1 : 0;
    INFO(NodesPerDomain << " nodes in each domain");
    for (const auto &[Domain, Count] : Holders)
      CHECK(Count == std::min(NodesPerDomain, 2));
  }
}

TEST_CASE("dutyOrder passes over nodes that are gone, suspected or leaving") {
  auto Fleet = fleet(6);
  FailureDomain Domain("b");
  auto Before = dutyOrder(View(Fleet, 0).Members, Domain, 6);
  REQUIRE(Before.size() == 6);
  auto Modify = GENERATE(
      as<void (*)(Member &)>{}, [](Member &M) { M.Health = Health::Dead; },
      [](Member &M) { M.Health = Health::Suspect; },
      [](Member &M) { M.Target = TargetState::Draining; },
      [](Member &M) { M.Target = TargetState::Left; });
  for (auto &M : Fleet)
    if (M.Node == Before[0])
      Modify(M);
  // The others keep their order, so that one node takes over.
  CHECK(dutyOrder(View(Fleet, 0).Members, Domain, 5) ==
        std::vector<NodeId>(Before.begin() + 1, Before.end()));
}
