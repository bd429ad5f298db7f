#include "limpetdrum/request/RetryBudget.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

using namespace limpetdrum;

namespace {

/// A chain of calls in which every hop calls two others over a network that
/// loses replies, and retries each lost call as long as the budget allows.
class Chain {
public:
  Chain(std::uint64_t Seed, bool Bounded) : Random(Seed), Bounded(Bounded) {}

  /// \returns the unspent part of the grant, or nothing if the reply was lost.
  std::optional<std::uint16_t> serve(unsigned Depth, std::uint16_t Granted) {
    RetryBudget Budget(this->Bounded ? Granted : PerHop);
    if (Depth > 0)
      for (int Child = 0; Child < 2; ++Child)
        this->callChild(Depth - 1, Budget);
    if (this->Random() % 3 == 0)
      return std::nullopt;
    return Budget.remaining();
  }

  unsigned Retries = 0;

private:
  static constexpr std::uint16_t PerHop = 3;

  void callChild(unsigned Depth, RetryBudget &Budget) {
    for (;;) {
      auto Grant = Budget.grant(Depth);
      auto Unspent = this->serve(Depth, Grant);
      if (Unspent) {
        Budget.refund(*Unspent);
        return;
      }
      if (!Budget.take())
        return;
      ++this->Retries;
    }
  }

  std::mt19937_64 Random;
  bool Bounded;
};

} // namespace

TEST_CASE("RetryBudget splits its retries and accepts refunds", "[budget]") {
  RetryBudget Budget(5);
  CHECK(Budget.grant(1) == 3);
  CHECK(Budget.remaining() == 2);
  Budget.refund(2);
  CHECK(Budget.remaining() == 4);
  CHECK(RetryBudget(0).grant(1) == 0);
}

TEST_CASE("RetryBudget grants retries by the levels of calls below",
          "[budget]") {
  CHECK(RetryBudget(6).grant(0) == 0);
  CHECK(RetryBudget(6).grant(2) == 4);
  CHECK(RetryBudget(1).grant(5) == 1);
}

TEST_CASE("RetryBudget passes its only retry to the deepest call of a chain",
          "[budget]") {
  RetryBudget Entry(1);
  RetryBudget Middle(Entry.grant(2));
  RetryBudget Deep(Middle.grant(1));
  // The leaf makes no calls, so it gets no grant that its loss would cost.
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

TEST_CASE("RetryBudget per hop does not bound the retries of a chain",
          "[budget]") {
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
