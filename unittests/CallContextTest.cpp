#include "limpetdrum/request/CallContext.h"
#include "FakeClock.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/Position.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr ClassRank OrderRank{0};
constexpr ClassRank LookupRank{2};
constexpr Milliseconds WorkTime{20};
constexpr Milliseconds WaitLimit{150};
constexpr std::uint16_t SlotCount = 20;

/// A request whose run makes calls of a deep service, one after the other.
struct Chain {
  bool IsOrder = false;
  int CallsLeft = 0;
  ClassRank Rank;
  float Cohort = 0;
};

struct Outcomes {
  int Begun = 0;
  int Completed = 0;
  [[nodiscard]] double share() const {
    return static_cast<double>(this->Completed) / this->Begun;
  }
};

/// A deep service of 1000 calls a second that is asked for half as many again:
/// 60 orders of 5 calls each and 120 lookups of 10 a second.
class DeepService {
public:
  DeepService(std::uint64_t Seed, bool Inherits)
      : Random(Seed), Inherits(Inherits), Queue(Slots(SlotCount), {}, Seed) {}

  void play(std::chrono::seconds Length) {
    auto End = this->Clock.now() + Length;
    while (this->Clock.now() < End) {
      this->Clock.advance(Milliseconds(1));
      if (this->isDrawn(0.06))
        this->begin(true);
      if (this->isDrawn(0.12))
        this->begin(false);
      while (!this->Ends.empty() &&
             this->Ends.begin()->first <= this->Clock.now()) {
        auto Id = this->Ends.begin()->second;
        this->Ends.erase(this->Ends.begin());
        this->perform(
            this->Queue.complete(Id, Completion::Served, this->Clock.now()));
        this->onAnswer(Id, true);
      }
      this->perform(this->Queue.tick(MaxRanks, this->Clock.now()));
    }
  }

  Outcomes Orders;
  Outcomes Lookups;

private:
  bool isDrawn(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
  }

  void begin(bool IsOrder) {
    Chain New;
    New.IsOrder = IsOrder;
    New.CallsLeft = IsOrder ? 5 : 10;
    New.Rank = IsOrder ? OrderRank : LookupRank;
    New.Cohort = std::uniform_real_distribution<float>(0, 1)(this->Random);
    ++(IsOrder ? this->Orders : this->Lookups).Begun;
    this->call(New);
  }

  void call(const Chain &Of) {
    Arrival Asked;
    Asked.Id = {Incarnation(1), ++this->LastCall};
    Asked.Rank = this->Inherits ? Of.Rank : ClassRank(0);
    Asked.Cohort =
        this->Inherits
            ? Of.Cohort
            : std::uniform_real_distribution<float>(0, 1)(this->Random);
    Asked.Deadline = this->Clock.now() + WaitLimit + WorkTime;
    this->Chains[Asked.Id] = Of;
    this->perform(this->Queue.submit(Asked, this->Clock.now()));
  }

  void perform(const AdmissionDecisions &Decisions) {
    for (const auto &Id : Decisions.Dispatch)
      this->Ends.emplace(this->Clock.now() + WorkTime, Id);
    for (const auto &Refused : Decisions.Refuse)
      this->onAnswer(Refused.Id, false);
  }

  void onAnswer(AttemptId Id, bool Served) {
    auto Of = this->Chains.at(Id);
    this->Chains.erase(Id);
    if (!Served)
      return; // the whole request fails
    if (--Of.CallsLeft > 0)
      this->call(Of);
    else
      ++(Of.IsOrder ? this->Orders : this->Lookups).Completed;
  }

  FakeClock Clock;
  std::mt19937_64 Random;
  bool Inherits;
  Admission Queue;
  std::map<AttemptId, Chain> Chains;
  std::multimap<TimePoint, AttemptId> Ends;
  std::uint64_t LastCall = 0;
};

} // namespace

TEST_CASE("Whole requests complete where calls inherit rank and cohort",
          "[property]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    DeepService Inheriting(Seed, true);
    Inheriting.play(std::chrono::seconds(30));
    DeepService Plain(Seed, false);
    Plain.play(std::chrono::seconds(30));
    INFO("seed " << Seed << ": orders " << Inheriting.Orders.share()
                 << " instead of " << Plain.Orders.share() << ", lookups "
                 << Inheriting.Lookups.share() << " instead of "
                 << Plain.Lookups.share());
    CHECK(Inheriting.Orders.share() >= 0.99);
    // 700 calls a second are left for 1200; what fails has cost some of them.
    CHECK(Inheriting.Lookups.share() >= 0.4);
    CHECK(Plain.Orders.share() < 0.9);
    CHECK(Plain.Lookups.share() < Inheriting.Lookups.share());
  }
}
