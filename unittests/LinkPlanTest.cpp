#include "limpetdrum/request/LinkPlan.h"
#include "FakeClock.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const ServiceName Shop("shop");
const ServiceName Depot("depot");

Member member(std::size_t Index, std::size_t Domains) {
  Member M;
  M.Node = NodeId("n" + std::to_string(Index));
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain("d" + std::to_string(Index % Domains));
  // A quarter of the nodes belongs to the smaller service.
  M.Service = Index / Domains % 4 == 0 ? Depot : Shop;
  M.Target = TargetState::Ready;
  return M;
}

std::vector<Member> fleet(std::size_t Count, std::size_t Domains) {
  std::vector<Member> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(member(I, Domains));
  return Result;
}

std::set<NodeId> select(const std::vector<Member> &Fleet, std::size_t Self,
                        const LinkPlan &Plan) {
  Membership Members(Fleet[Self], {}, 1);
  auto Others = Fleet;
  Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Self));
  static_cast<void>(Members.learn(Others, TimePoint()));
  return Plan.select(Members);
}

std::set<NodeId> select(const std::vector<Member> &Fleet, std::size_t Self) {
  return select(Fleet, Self,
                LinkPlan(Fleet[Self].Node, Fleet[Self].FailureDomain));
}

const Member &find(const std::vector<Member> &Fleet, const NodeId &Node) {
  return *std::find_if(Fleet.begin(), Fleet.end(),
                       [&](const Member &M) { return M.Node == Node; });
}

std::vector<NodeId> ofService(const std::vector<Member> &Fleet,
                              const std::set<NodeId> &Nodes,
                              const ServiceName &Service) {
  std::vector<NodeId> Result;
  for (const auto &Node : Nodes)
    if (find(Fleet, Node).Service == Service)
      Result.push_back(Node);
  return Result;
}

} // namespace

TEST_CASE("LinkPlan links to all nodes of a small fleet") {
  auto Fleet = fleet(13, 3);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    CHECK(select(Fleet, I).size() == Fleet.size() - 1);
}

TEST_CASE("LinkPlan keeps the number of links constant as the fleet grows") {
  std::vector<std::size_t> Counts;
  for (std::size_t Size : {200, 400, 2000}) {
    auto Selected = select(fleet(Size, 5), 7);
    Counts.push_back(Selected.size());
  }
  CHECK(Counts == std::vector<std::size_t>{32, 32, 32});
}

TEST_CASE("LinkPlan spreads the links of all nodes evenly over the targets") {
  // Numbers of targets of each service: of the users' largest deployment, and
  // of one with many small services.
  auto Sizes = GENERATE(std::vector<std::size_t>{75, 47, 25, 49},
                        std::vector<std::size_t>(20, 20));
  std::vector<Member> Fleet;
  for (std::size_t Service = 0; Service < Sizes.size(); ++Service)
    for (std::size_t I = 0; I < Sizes[Service]; ++I) {
      Fleet.push_back(member(Fleet.size(), 5));
      Fleet.back().Service = ServiceName("s" + std::to_string(Service));
    }
  std::map<NodeId, int> Callers;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    for (const auto &Node : select(Fleet, I))
      ++Callers[Node];
  std::map<ServiceName, std::vector<int>> Counts;
  for (const auto &M : Fleet)
    Counts[M.Service].push_back(Callers[M.Node]);
  for (const auto &[Service, OfTargets] : Counts) {
    auto Mean = std::accumulate(OfTargets.begin(), OfTargets.end(), 0.0) /
                static_cast<double>(OfTargets.size());
    INFO(Service.value() << " mean " << Mean);
    CHECK(*std::max_element(OfTargets.begin(), OfTargets.end()) <= 1.5 * Mean);
    CHECK(*std::min_element(OfTargets.begin(), OfTargets.end()) >= Mean / 1.5);
  }
}

TEST_CASE("LinkPlan has room elsewhere when a failure domain is lost") {
  auto Fleet = fleet(200, 5);
  for (std::size_t I = 0; I < 20; ++I) {
    auto Selected = select(Fleet, I);
    std::set<FailureDomain> Domains;
    std::size_t Local = 0;
    for (const auto &Node : ofService(Fleet, Selected, Shop)) {
      Domains.insert(find(Fleet, Node).FailureDomain);
      Local +=
          find(Fleet, Node).FailureDomain == Fleet[I].FailureDomain ? 1U : 0U;
    }
    CHECK(Domains.size() == 5);
    CHECK(Local == 8);
  }
}

TEST_CASE("LinkPlan replaces only the links to a node that leaves") {
  auto Fleet = fleet(200, 5);
  for (std::size_t I = 20; I < 40; ++I) {
    auto Before = select(Fleet, I);
    auto Leaving = *Before.begin();
    auto Changed = Fleet;
    for (auto &M : Changed)
      if (M.Node == Leaving)
        M.Target = TargetState::Draining;
    auto After = select(Changed, I);
    std::vector<NodeId> Removed;
    std::set_difference(Before.begin(), Before.end(), After.begin(),
                        After.end(), std::back_inserter(Removed));
    CHECK(Removed == std::vector<NodeId>{Leaving});
    CHECK(After.size() == Before.size());
  }
}

TEST_CASE("LinkPlan widens while its targets are full, and narrows when calm") {
  FakeClock Clock;
  auto Fleet = fleet(400, 5);
  LinkPlan Plan(Fleet[0].Node, Fleet[0].FailureDomain);
  auto Links = [&]() {
    return ofService(Fleet, select(Fleet, 0, Plan), Shop).size();
  };
  auto Observe = [&](double Utilization, std::chrono::seconds Span) {
    auto End = Clock.now() + Span;
    for (; Clock.now() < End; Clock.advance(Milliseconds(100)))
      Plan.observe(Shop, Utilization, Clock.now());
  };
  auto Usual = Links();
  Observe(0.8, std::chrono::seconds(5));
  CHECK(Links() == Usual);
  Observe(0.95, std::chrono::seconds(1));
  CHECK(Links() > Usual);
  // Even a lasting overload does not link all nodes to each other.
  Observe(1.5, std::chrono::seconds(60));
  CHECK(Links() == 2 * Usual);
  CHECK(ofService(Fleet, select(Fleet, 0, Plan), Depot).size() == 16);
  Observe(0.3, std::chrono::seconds(9));
  CHECK(Links() == 2 * Usual);
  Observe(0.3, std::chrono::seconds(30));
  CHECK(Links() == Usual);
}
