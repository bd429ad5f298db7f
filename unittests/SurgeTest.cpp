#include "FakeClock.h"
#include "limpetdrum/request/Admission.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Simulation of a deep service like the planning of Fjordkulde: three targets
/// with few slots, behind entries that receive their levels with a delay.
class DeepService {
public:
  struct Demand {
    double Orders = 45;  ///< per second
    double Checks = 120; ///< per second
  };
  struct Counts {
    double Served = 0;
    double Refused = 0;
    double OrdersOffered = 0;
    double OrdersLost = 0; ///< at the entries or at the targets
  };

  explicit DeepService(std::uint64_t Seed) : Random(Seed) {
    constexpr std::uint64_t Count = 3;
    for (std::uint64_t I = 0; I < Count; ++I)
      this->Targets.emplace_back(Slots(SlotsEach), AdmissionOptions(),
                                 Seed * Count + I);
  }

  Counts run(Milliseconds Span, const Demand &Offered,
             Milliseconds ServiceTime) {
    this->Counted = Counts();
    this->ServiceTime = ServiceTime;
    for (Milliseconds T{0}; T < Span; T += Milliseconds(1)) {
      this->Clock.advance(Milliseconds(1));
      this->finishDue();
      this->retryDue();
      this->offer(Offered.Orders, ClassRank(0));
      this->offer(Offered.Checks, ClassRank(1));
      if (T.count() % 10 == 0)
        this->tick();
    }
    return this->Counted;
  }

  [[nodiscard]] float entryLevel() const {
    return this->Levels.begin()->second;
  }

private:
  static constexpr std::uint16_t SlotsEach = 5;
  static constexpr Milliseconds LevelDelay{60};
  static constexpr Milliseconds RetryPause{50};
  static constexpr std::size_t Ranks = 3;

  void offer(double Rate, ClassRank Rank) {
    std::poisson_distribution<int> Count(Rate / 1000);
    std::uniform_real_distribution<float> Cohort(0, 1);
    for (int I = Count(this->Random); I > 0; --I) {
      Arrival Request;
      Request.Id = {Incarnation(1), ++this->LastId};
      Request.Rank = Rank;
      Request.Cohort = Cohort(this->Random);
      Request.Deadline = this->Clock.now() + std::chrono::seconds(2);
      bool IsOrder = Rank == ClassRank(0);
      this->Counted.OrdersOffered += IsOrder ? 1 : 0;
      if (position(Rank, Request.Cohort) < this->entryLevel())
        this->arrive(Request);
      else
        this->Counted.OrdersLost += IsOrder ? 1 : 0;
    }
  }

  /// Retries a refused call once, after a pause.
  void onRefused(Arrival Request) {
    bool First = this->Retried.insert(Request.Cohort).second;
    if (First) {
      Request.Id = {Incarnation(1), ++this->LastId};
      this->Retries.emplace(this->Clock.now() + RetryPause, Request);
    } else {
      this->Counted.OrdersLost += Request.Rank == ClassRank(0) ? 1 : 0;
    }
  }

  void retryDue() {
    while (!this->Retries.empty() &&
           this->Retries.begin()->first <= this->Clock.now()) {
      auto Request = this->Retries.begin()->second;
      this->Retries.erase(this->Retries.begin());
      this->arrive(Request);
    }
  }

  void arrive(const Arrival &Request) {
    this->Sent[Request.Id] = Request;
    auto Load = [this](std::size_t I) {
      return this->Targets[I].running() + this->Targets[I].queued();
    };
    auto Target = this->Random() % this->Targets.size();
    auto Other = this->Random() % this->Targets.size();
    if (Load(Other) < Load(Target))
      Target = Other;
    this->apply(Target,
                this->Targets[Target].submit(Request, this->Clock.now()));
  }

  void apply(std::size_t Target, const AdmissionDecisions &Decisions) {
    this->Counted.Refused += static_cast<double>(Decisions.Refuse.size());
    for (const auto &Refusal : Decisions.Refuse)
      this->onRefused(this->Sent.at(Refusal.Id));
    for (const auto &Id : Decisions.Dispatch)
      this->Due.emplace(this->Clock.now() + this->ServiceTime,
                        std::make_pair(Target, Id));
  }

  void finishDue() {
    while (!this->Due.empty() &&
           this->Due.begin()->first <= this->Clock.now()) {
      auto [Target, Id] = this->Due.begin()->second;
      this->Due.erase(this->Due.begin());
      this->Counted.Served += 1;
      this->apply(Target, this->Targets[Target].complete(Id, Completion::Served,
                                                         this->Clock.now()));
    }
  }

  void tick() {
    float Sum = 0;
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      this->apply(I, this->Targets[I].tick(Ranks, this->Clock.now()));
      Sum += this->Targets[I].threshold();
    }
    this->Levels[this->Clock.now() + LevelDelay] =
        Sum / static_cast<float>(this->Targets.size());
    while (std::next(this->Levels.begin()) != this->Levels.end() &&
           std::next(this->Levels.begin())->first <= this->Clock.now())
      this->Levels.erase(this->Levels.begin());
  }

  FakeClock Clock;
  std::mt19937_64 Random;
  Milliseconds ServiceTime{50};
  std::vector<Admission> Targets;
  std::multimap<TimePoint, std::pair<std::size_t, AttemptId>> Due;
  std::map<TimePoint, float> Levels{{TimePoint(), float(MaxRanks)}};
  std::unordered_map<AttemptId, Arrival> Sent;
  std::multimap<TimePoint, Arrival> Retries;
  std::set<float> Retried; ///< cohorts of the requests that were retried
  std::uint64_t LastId = 0;
  Counts Counted;
};

constexpr Milliseconds UsualServiceTime{50};
constexpr Milliseconds SlowServiceTime{150};
constexpr double SlowCapacity = 100;

DeepService::Demand demand(double Factor) {
  return {45 * Factor, 120 * Factor};
}

} // namespace

TEST_CASE("Admission keeps a slow service busy during a surge",
          "[level][property]") {
  for (double Load : {1.0, 1.4}) {
    double Served = 0;
    constexpr unsigned Seeds = 10;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      DeepService S(Seed);
      static_cast<void>(
          S.run(Milliseconds(5000), demand(Load), UsualServiceTime));
      static_cast<void>(
          S.run(Milliseconds(1000), demand(5 * Load), SlowServiceTime));
      Served +=
          S.run(Milliseconds(7000), demand(5 * Load), SlowServiceTime).Served /
          7;
    }
    INFO("load " << Load << ", served " << Served / Seeds << " per second");
    CHECK(Served / Seeds >= 0.9 * SlowCapacity);
  }
}

TEST_CASE("Admission admits all requests within 2 seconds after a surge",
          "[level][property]") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    DeepService S(Seed);
    static_cast<void>(S.run(Milliseconds(3000), demand(1.4), UsualServiceTime));
    static_cast<void>(S.run(Milliseconds(5000), demand(7), SlowServiceTime));
    static_cast<void>(S.run(Milliseconds(2000), demand(1.4), UsualServiceTime));
    INFO("seed " << Seed);
    CHECK(S.entryLevel() >= 2);
  }
}

TEST_CASE(
    "Admission refuses no orders while a slow service has capacity for them",
    "[level][property]") {
  double Offered = 0;
  double Lost = 0;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    DeepService S(Seed);
    static_cast<void>(S.run(Milliseconds(3000), demand(1), UsualServiceTime));
    static_cast<void>(S.run(Milliseconds(1000), demand(2), SlowServiceTime));
    auto Counted = S.run(Milliseconds(7000), demand(2), SlowServiceTime);
    Offered += Counted.OrdersOffered;
    Lost += Counted.OrdersLost;
  }
  INFO("lost " << Lost << " of " << Offered);
  CHECK(Lost <= 0.01 * Offered);
}
