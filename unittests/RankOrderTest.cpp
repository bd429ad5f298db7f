#include "limpetdrum/version/RankOrder.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

OrganisationPolicy owner(const std::string &Name,
                         std::optional<unsigned> Rank = std::nullopt) {
  OrganisationPolicy Policy;
  Policy.Name = Organisation(Name);
  Policy.Keys = {Name + "-key"};
  if (Rank)
    Policy.Rank = ClassRank(static_cast<std::uint8_t>(*Rank));
  return Policy;
}

std::vector<ClassRank> ranks(unsigned Count) {
  std::vector<ClassRank> Result;
  for (unsigned I = 0; I < Count; ++I)
    Result.emplace_back(static_cast<std::uint8_t>(I));
  return Result;
}

} // namespace

TEST_CASE("RankOrder leaves ranks alone if no organisation has one") {
  auto Plain = owner("a");
  RankOrder Order(Organisations({Plain, owner("b")}),
                  {ClassRank(2), ClassRank(7)});
  CHECK(Order.combine(&Plain, ClassRank(7)) == ClassRank(7));
  CHECK(Order.combine(nullptr, ClassRank(2)) == ClassRank(2));
  CHECK(RankOrder().combine(nullptr, ClassRank(9)) == ClassRank(9));
}

TEST_CASE("RankOrder puts the organisation's rank before the route's") {
  auto First = owner("a", 1);
  auto Second = owner("b", 4);
  auto Unranked = owner("c");
  RankOrder Order(Organisations({First, Second, Unranked}),
                  {ClassRank(0), ClassRank(3)});
  CHECK(Order.combine(&Unranked, ClassRank(0)) == ClassRank(0));
  CHECK(Order.combine(nullptr, ClassRank(3)) == ClassRank(1));
  CHECK(Order.combine(&First, ClassRank(0)) == ClassRank(2));
  CHECK(Order.combine(&First, ClassRank(3)) == ClassRank(3));
  CHECK(Order.combine(&Second, ClassRank(0)) == ClassRank(4));
  CHECK(Order.combine(&Second, ClassRank(3)) == ClassRank(5));
}

TEST_CASE("RankOrder keeps the order of routes within each organisation") {
  auto RouteCount = GENERATE(1U, 3U, 5U, 9U, 16U);
  std::vector<OrganisationPolicy> Owners;
  for (unsigned I = 0; I < MaxRanks; ++I)
    Owners.push_back(owner("o" + std::to_string(I), I));
  auto RouteRanks = ranks(RouteCount);
  RankOrder Order(Organisations(Owners), RouteRanks);
  ClassRank LastOfPrevious;
  for (const auto &Owner : Owners) {
    for (std::size_t I = 0; I < RouteRanks.size(); ++I) {
      auto Rank = Order.combine(&Owner, RouteRanks[I]);
      CHECK(Rank.value() < MaxRanks);
      if (I > 0)
        CHECK(Rank > Order.combine(&Owner, RouteRanks[I - 1]));
    }
    auto Last = Order.combine(&Owner, RouteRanks.back());
    CHECK(Last >= LastOfPrevious);
    LastOfPrevious = Last;
  }
}

TEST_CASE("RankOrder sheds ranks that it does not know first") {
  auto Ranked = owner("a", 200);
  RankOrder Order(Organisations({Ranked}), ranks(2));
  CHECK(Order.combine(&Ranked, ClassRank(255)).value() < MaxRanks);
  CHECK(RankOrder(Organisations({Ranked}), {})
            .combine(&Ranked, ClassRank(0))
            .value() < MaxRanks);
}
