#include "limpetdrum/request/FairShares.h"

#include <catch2/catch.hpp>
#include <limits>
#include <random>

using namespace limpetdrum;

namespace {

using Demands = std::vector<FairShares::Demand>;

Organisation name(std::size_t Number) {
  return Organisation("o" + std::to_string(Number));
}

/// Returns the share of an organisation's requests, and of all requests.
struct Division {
  FairShares Shares;
  double Share;
  double Level;

  Division(const Demands &Known, double Share,
           const FairShares::Demand &Others = {Organisation(), 0, 0})
      : Shares(Known, Others), Share(Share), Level(this->Shares.level(Share)) {}

  [[nodiscard]] double of(const Organisation &Name) const {
    return this->Shares.share(Name, this->Share, this->Level);
  }
};

} // namespace

TEST_CASE("FairShares cuts the organisation at ten times its share only") {
  Demands Known;
  for (std::size_t I = 0; I < 70; ++I)
    Known.push_back({name(I), I == 0 ? 100.0 : 10.0, 1});
  // 790 are asked for; with equal cuts each would lose a twentieth.
  Division Result(Known, 0.95);
  for (std::size_t I = 1; I < 70; ++I)
    CHECK(Result.of(name(I)) == 1);
  CHECK(Result.of(name(0)) == Approx(0.605).margin(0.001));
  // Here the large one would be served less than a quarter as often as all.
  Division Shorter(Known, 0.9);
  CHECK(Shorter.of(name(0)) == Approx(0.27).margin(0.001));
  CHECK(Shorter.of(name(1)) == Approx(0.991).margin(0.001));
}

TEST_CASE("FairShares divides by weight") {
  Division Result({{name(0), 100, 3}, {name(1), 100, 1}}, 0.4);
  CHECK(Result.of(name(0)) == Approx(0.6).margin(0.001));
  CHECK(Result.of(name(1)) == Approx(0.2).margin(0.001));
}

TEST_CASE("FairShares serves a small organisation like a large one within its "
          "share") {
  Division Result({{name(0), 100, 100}, {name(1), 1, 1}, {name(2), 400, 100}},
                  0.5);
  CHECK(Result.of(name(0)) == 1);
  CHECK(Result.of(name(1)) == 1);
  CHECK(Result.of(name(2)) < 0.4);
}

TEST_CASE("FairShares admits all if there is room, and all alike if nothing is "
          "known") {
  Division Room({{name(0), 100, 1}, {name(1), 1, 1}}, 1);
  CHECK(Room.of(name(0)) == 1);
  CHECK(Room.of(name(9)) == 1);
  CHECK(Division({}, 0.4).of(name(0)) == 0.4);
  CHECK(Division({}, 1).of(name(0)) == 1);
}

TEST_CASE("FairShares treats organisations without news as one") {
  // No news is good news while the others are within their share.
  Division Small({{name(0), 100, 1}}, 0.5, {Organisation(), 50, 60});
  CHECK(Small.of(name(7)) == 1);
  CHECK(Small.of(name(0)) == Approx(0.25).margin(0.001));
  Division Large({{name(0), 10, 10}}, 0.5, {Organisation(), 90, 10});
  CHECK(Large.of(name(0)) == 1);
  CHECK(Large.of(name(7)) == Approx(40.0 / 90).margin(0.001));
}

TEST_CASE("FairShares takes false demands for none") {
  auto False = GENERATE(0.0, -5.0, std::numeric_limits<double>::infinity(),
                        std::numeric_limits<double>::quiet_NaN());
  Division Asked({{name(0), False, 1}, {name(1), 10, 1}}, 0.5);
  CHECK(Asked.of(name(0)) == 1);
  CHECK(Asked.of(name(1)) == Approx(0.5).margin(0.001));
  Division Weighed({{name(0), 10, False}, {name(1), 10, 1}}, 0.5);
  CHECK(Weighed.of(name(1)) == Approx(0.5).margin(0.001));
}

// The promises of any division: what is admitted is what can be, no share is
// below the least one, and whoever asks for less by weight gets as large a
// share.
TEST_CASE("FairShares keeps its promises for any demand", "[property]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::exponential_distribution<double> Size(0.1);
    Demands Known;
    auto Count = 1 + Random() % 80;
    for (std::size_t I = 0; I < Count; ++I)
      Known.push_back({name(I), Size(Random), Size(Random) + 0.01});
    Known[Random() % Count].Asked *= 50;
    auto Share = static_cast<double>(1 + Random() % 99) / 100;
    Division Result(Known, Share);
    double Asked = 0;
    double Admitted = 0;
    for (const auto &Each : Known) {
      Asked += Each.Asked;
      Admitted += Each.Asked * Result.of(Each.Organisation);
    }
    INFO("seed " << Seed << ": " << Admitted << " of " << Asked << " at "
                 << Share);
    CHECK(Admitted == Approx(Share * Asked).epsilon(0.001));
    for (const auto &A : Known) {
      CHECK(Result.of(A.Organisation) >= 0.25 * Share);
      for (const auto &B : Known)
        if (A.Asked / A.Weight < B.Asked / B.Weight &&
            Result.of(A.Organisation) < Result.of(B.Organisation))
          FAIL_CHECK("the smaller one is cut more");
    }
  }
}

TEST_CASE("Fair shares are weighted by allowance, and capped by it") {
  std::vector<OrganisationPolicy> Entries(3);
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    Entries[I].Name = Organisation("o" + std::to_string(I));
    Entries[I].RatePerSecond = 100;
  }
  Organisations InForce(Entries);
  // The first asks for eight times its rate, the second for half of its own;
  // the third is not in the news and makes the rest of 200 requests.
  auto Shares = fairShares(InForce,
                           {{Organisation("o0"), 800},
                            {Organisation("o1"), 50},
                            {Organisation("gone"), 500}},
                           200);
  // There is room for 150: what goes is taken from the first alone.
  auto Level = Shares.level(0.75);
  CHECK(Shares.share(Organisation("o0"), 0.75, Level) == Approx(0.5));
  CHECK(Shares.share(Organisation("o1"), 0.75, Level) == Approx(1));
  CHECK(Shares.share(Organisation("o2"), 0.75, Level) == Approx(1));
  CHECK(fairShares(InForce, {}, 200).empty());
  CHECK(fairShares(InForce, {{Organisation("gone"), 500}}, 200).empty());
}
