#include "limpetdrum/request/RetryBudget.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

using namespace limpetdrum;

namespace {

/// A request whose every hop calls several others, over a network that loses
/// replies; with hard retries wherever the budget lets it.
class Chain {
public:
  Chain(std::uint64_t Seed, bool Bounded) : Random(Seed), Bounded(Bounded) {}

  /// \returns what is left of the grant, or nothing if the reply was lost.
  std::optional<std::uint16_t> serve(unsigned Depth, std::uint16_t Granted) {
    RetryBudget Mine(this->Bounded ? Granted : PerHop);
    if (Depth > 0)
      for (int Child = 0; Child < 2; ++Child)
        this->callChild(Depth - 1, Mine);
    if (this->Random() % 3 == 0)
      return std::nullopt;
    return Mine.remaining();
  }

  unsigned Retries = 0;

private:
  static constexpr std::uint16_t PerHop = 3;

  void callChild(unsigned Depth, RetryBudget &Mine) {
    for (;;) {
      auto Grant = Mine.grant(Depth);
      auto Left = this->serve(Depth, Grant);
      if (Left) {
        Mine.refund(*Left);
        return;
      }
      if (!Mine.take())
        return;
      ++this->Retries;
    }
  }

  std::mt19937_64 Random;
  bool Bounded;
};

} // namespace

TEST_CASE("RetryBudget splits what it grants and takes back the rest",
          "[budget]") {
  RetryBudget Mine(5);
  CHECK(Mine.grant(1) == 3);
  CHECK(Mine.remaining() == 2);
  Mine.refund(2);
  CHECK(Mine.remaining() == 4);
  CHECK(RetryBudget(0).grant(1) == 0);
}

TEST_CASE("RetryBudget grants by the levels of calls below", "[budget]") {
  CHECK(RetryBudget(6).grant(0) == 0);
  CHECK(RetryBudget(6).grant(2) == 4);
  CHECK(RetryBudget(1).grant(5) == 1);
}

TEST_CASE("RetryBudget of one retry serves the deepest call of a chain",
          "[budget]") {
  RetryBudget Entry(1);
  RetryBudget Middle(Entry.grant(2));
  RetryBudget Deep(Middle.grant(1));
  // The leaf makes no calls: its loss costs no grant.
  CHECK(Deep.grant(0) == 0);
  CHECK(Deep.take());
}

TEST_CASE("RetryBudget bounds the retries of a whole chain",
          "[budget][property]") {
  constexpr std::uint16_t Bound = 6;
  for (std::uint64_t Seed = 1; Seed <= 500; ++Seed) {
    Chain C(Seed, true);
    static_cast<void>(C.serve(8, Bound));
    INFO("seed " << Seed);
    REQUIRE(C.Retries <= Bound);
  }
}

TEST_CASE("Retries per hop multiply without a budget", "[budget]") {
  Chain C(1, false);
  static_cast<void>(C.serve(8, 6));
  CHECK(C.Retries > 100);
}

TEST_CASE("RetryRatio bounds retries to a share of the calls", "[budget]") {
  RetryRatio Ratio;
  unsigned Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Ratio.onCall();
    Retries += Ratio.take() ? 1 : 0;
  }
  CHECK(Retries <= 10 + 100);
  CHECK(Retries >= 90);
}
