#include "limpetdrum/request/Admission.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr std::uint8_t Order = 0;
constexpr std::uint8_t Browse = 1;

Arrival request(std::uint64_t Number, std::uint8_t Rank, const FakeClock &Clock,
                Milliseconds Deadline = Milliseconds(2000)) {
  Arrival A;
  A.Id = attempt(Number);
  A.Rank = ClassRank(Rank);
  A.Cohort = static_cast<float>(Number % 100) / 100;
  A.Deadline = Clock.now() + Deadline;
  A.Cancellable = Rank == Browse;
  return A;
}

/// Queue capacity at a target with few slots.
constexpr std::uint64_t QueuePlaces = 10;

/// Simulated target behind an Admission. Counts violations of the rule that no
/// order is refused while a browse runs or is queued at the target.
class Bench {
public:
  explicit Bench(std::uint16_t Count, AdmissionOptions Options = {})
      : Gate(Slots(Count), Options) {}

  void arrive(const Arrival &A) {
    this->Ranks[A.Id] = A.Rank.value();
    this->apply(this->Gate.submit(A, this->Clock.now()), A.Id);
  }
  void complete(AttemptId Id, Completion Result = Completion::Served) {
    this->Present.erase(Id);
    this->apply(this->Gate.complete(Id, Result, this->Clock.now()), {});
  }
  void tick() { this->apply(this->Gate.tick(2, this->Clock.now()), {}); }

  FakeClock Clock;
  Admission Gate;
  std::map<AttemptId, std::uint8_t> Ranks;
  std::map<AttemptId, std::uint8_t> Present; ///< queued or running
  std::vector<AttemptId> Running;
  std::size_t RefusedOrders = 0;
  std::size_t RefusedBrowses = 0;
  std::size_t Violations = 0;

private:
  void apply(const AdmissionDecisions &D, std::optional<AttemptId> Newest) {
    if (Newest)
      this->Present[*Newest] = this->Ranks[*Newest];
    for (const auto &R : D.Refuse)
      this->Present.erase(R.Id);
    for (const auto &Id : D.Cancel)
      this->Present.erase(Id);
    for (const auto &Id : D.Dispatch)
      this->Running.push_back(Id);
    for (const auto &R : D.Refuse)
      this->countRefusal(R);
    for (const auto &Id : D.Cancel) {
      this->Running.erase(
          std::find(this->Running.begin(), this->Running.end(), Id));
      this->complete(Id, Completion::Abandoned);
    }
  }

  void countRefusal(const AdmissionDecisions::Refusal &R) {
    if (this->Ranks[R.Id] == Browse) {
      ++this->RefusedBrowses;
      return;
    }
    ++this->RefusedOrders;
    for (const auto &Entry : this->Present)
      this->Violations += Entry.second == Browse ? 1 : 0;
  }
};

/// Submits random arrivals at three times the capacity, mostly browses.
void surge(Bench &B, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  for (std::uint64_t I = 1; I <= 4000; ++I) {
    std::uint8_t Rank = Random() % 3 == 0 ? Order : Browse;
    B.arrive(request(I, Rank, B.Clock));
    if (Random() % 3 == 0 && !B.Running.empty()) {
      auto At = Random() % B.Running.size();
      auto Id = B.Running[At];
      B.Running.erase(B.Running.begin() + static_cast<std::ptrdiff_t>(At));
      B.complete(Id);
    }
    B.Clock.advance(Milliseconds(1));
    if (I % 10 == 0)
      B.tick();
  }
}

} // namespace

TEST_CASE("Admission dispatches as many requests as slots are announced",
          "[admission]") {
  Bench B(3);
  for (std::uint64_t I = 1; I <= 5; ++I)
    B.arrive(request(I, Order, B.Clock));
  CHECK(B.Running.size() == 3);
  CHECK(B.Gate.queued() == 2);
}

TEST_CASE("Admission serves queued requests by class, then by cohort",
          "[admission]") {
  Bench B(1);
  B.arrive(request(1, Order, B.Clock));
  B.arrive(request(50, Browse, B.Clock));
  B.arrive(request(40, Order, B.Clock));
  B.arrive(request(30, Order, B.Clock));
  B.complete(attempt(1));
  B.complete(attempt(30));
  CHECK(B.Running ==
        std::vector<AttemptId>{attempt(1), attempt(30), attempt(40)});
}

TEST_CASE("Admission displaces the lowest queued browse for an order",
          "[admission]") {
  Bench B(1);
  B.arrive(request(1, Order, B.Clock));
  for (std::uint64_t I = 10; I < 10 + QueuePlaces; ++I)
    B.arrive(request(I, Browse, B.Clock));
  auto D = B.Gate.submit(request(30, Order, B.Clock), B.Clock.now());
  REQUIRE(D.Refuse.size() == 1);
  CHECK(D.Refuse[0].Id == attempt(10 + QueuePlaces - 1));
  CHECK(D.Refuse[0].Reason == Reason::Displaced);
}

TEST_CASE("Admission cancels a running browse before it refuses an order",
          "[admission]") {
  Bench B(1);
  B.arrive(request(1, Browse, B.Clock));
  for (std::uint64_t I = 10; I <= 10 + QueuePlaces; ++I)
    B.arrive(request(I, Order, B.Clock));
  CHECK(B.RefusedOrders == 0);
  CHECK(B.Running == std::vector<AttemptId>{attempt(10)});
}

TEST_CASE(
    "Admission refuses a request that cannot meet its deadline on arrival",
    "[admission]") {
  Bench B(1);
  B.arrive(request(1, Order, B.Clock));
  B.Clock.advance(Milliseconds(100));
  B.complete(attempt(1));
  B.arrive(request(2, Order, B.Clock));
  auto D = B.Gate.submit(request(3, Order, B.Clock, Milliseconds(150)),
                         B.Clock.now());
  REQUIRE(D.Refuse.size() == 1);
  CHECK(D.Refuse[0].Reason == Reason::DeadlineTooNear);
}

TEST_CASE("Admission refuses no order while a browse runs or is queued",
          "[admission][property]") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Bench B(20);
    surge(B, Seed);
    INFO("seed " << Seed);
    REQUIRE(B.Violations == 0);
    REQUIRE(B.RefusedBrowses > 0);
  }
}

TEST_CASE("Admission without order by class refuses orders while browses run",
          "[admission][property]") {
  Bench B(20, AdmissionOptions{false});
  surge(B, 1);
  CHECK(B.Violations > 0);
}

TEST_CASE("Admission prevents one organisation from displacing another",
          "[admission]") {
  Bench B(4);
  std::uint64_t Number = 0;
  auto Arrive = [&](const char *Name) {
    auto A = request(++Number, Browse, B.Clock);
    A.Organisation = Organisation(Name);
    B.arrive(A);
  };
  Arrive("small");
  for (std::uint64_t I = 0; I < 3 + QueuePlaces; ++I)
    Arrive("large");
  CHECK(B.RefusedBrowses == 0);
  // The queue is full of requests of the large organisation, which exceeds its
  // fair share; its latest request is displaced.
  Arrive("small");
  CHECK(B.Present.count(attempt(Number)) == 1);
  CHECK(B.RefusedBrowses == 1);
}

TEST_CASE("Admission gives the requests that a named rate allows to the higher "
          "rank") {
  Bench B(50);
  B.Gate.setRequestRate(5, B.Clock.now());
  std::uint64_t Number = 0;
  std::size_t Orders = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    B.Clock.advance(Milliseconds(20));
    if (Step % 12 == 0) { // 4.2 orders a second
      ++Orders;
      B.arrive(request(++Number, Order, B.Clock));
    }
    B.arrive(request(++Number, Browse, B.Clock));
    B.tick();
    for (const auto &Id : std::exchange(B.Running, {}))
      B.complete(Id);
  }
  CHECK(B.RefusedOrders == 0);
  CHECK(B.RefusedBrowses > 900);
  CHECK(Orders > 80);
}

// Guards against requests that wait at a slowed target while others could still
// serve them.
TEST_CASE("Admission refuses at once what a slowed target cannot serve in "
          "time",
          "[admission]") {
  Bench B(11);
  std::uint64_t Number = 0;
  auto Latency = Milliseconds(100);
  std::multimap<TimePoint, AttemptId> Due;
  auto Begin = [&]() {
    for (const auto &Id : std::exchange(B.Running, {}))
      Due.emplace(B.Clock.now() + Latency, Id);
  };
  auto Play = [&](int Steps, std::uint16_t Percent) {
    for (int Step = 0; Step < Steps; ++Step) {
      B.Clock.advance(Milliseconds(10));
      B.Gate.setPace(Percent, B.Clock.now());
      for (; !Due.empty() && Due.begin()->first <= B.Clock.now();
           Due.erase(Due.begin())) {
        B.complete(Due.begin()->second);
        Begin();
      }
      B.arrive(request(++Number, Order, B.Clock, Milliseconds(250)));
      Begin();
      B.tick();
    }
  };
  Play(100, 100); // uses ten of the slots
  auto Limit = B.Gate.limit();
  CHECK(B.RefusedOrders == 0);
  REQUIRE(B.Gate.running() >= Limit - 1);
  Latency = Milliseconds(250);
  Play(20, 250);
  // No request has ended at the new pace yet.
  CHECK(B.RefusedOrders >= 5);
  CHECK(B.Gate.queued() < 5);
  CHECK(B.Gate.limit() == Limit);
  // At the usual pace again, it queues again.
  Latency = Milliseconds(100);
  Play(40, 100);
  auto Refused = B.RefusedOrders;
  Play(50, 100);
  CHECK(B.RefusedOrders == Refused);
}

TEST_CASE("Admission refuses a request once its latest start has passed",
          "[admission]") {
  Bench B(1);
  B.arrive(request(1, Order, B.Clock));
  auto Waiting = request(2, Order, B.Clock);
  Waiting.LatestStart = B.Clock.now() + Milliseconds(100);
  B.arrive(Waiting);
  B.Clock.advance(Milliseconds(90));
  B.tick();
  CHECK(B.RefusedOrders == 0);
  B.Clock.advance(Milliseconds(10));
  B.tick();
  CHECK(B.RefusedOrders == 1);
}
