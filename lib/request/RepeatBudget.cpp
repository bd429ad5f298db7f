#include "limpetdrum/request/RepeatBudget.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace limpetdrum {

namespace {

/// Of the fleet's ratio, by kind of route. Requests that pass three inner
/// routes above a leaf add up to 3 x 0.1 + 0.5 of it there; the rest is for
/// what was saved up, and for views of the call graph that are out of date.
constexpr std::array<double, 2> ShareOfRatio = {0.1, 0.5};
/// The slack is shared alike, and may be used twice in a window: what was saved
/// up, and what comes back within it.
constexpr double ShareOfSlack = 0.25;
/// Unused repeats are kept for as many requests as came in this time. Short
/// against the window, so that savings add little to what is counted there.
constexpr double SavingSeconds = 2;

double shareOfRatio(RepeatBudget::RouteKind Of) {
  return ShareOfRatio.at(static_cast<std::size_t>(Of));
}

} // namespace

double RepeatBudget::most(const Bucket &Of, RouteKind Kind) const {
  return this->Slack * ShareOfSlack +
         Of.Recent * this->Ratio * shareOfRatio(Kind);
}

RepeatBudget::Bucket &RepeatBudget::refilled(const ServiceName &Service,
                                             RouteKind Of, TimePoint Now) {
  auto [Entry, IsNew] = this->Buckets.try_emplace({Service, Of});
  auto &Found = Entry->second;
  auto Full = this->Slack * ShareOfSlack;
  if (IsNew) {
    Found.Tokens = Full;
    Found.Needed = this->draw();
  } else {
    auto Passed = std::chrono::duration<double>(Now - Found.RefilledAt);
    Found.Recent *= std::exp(-Passed.count() / SavingSeconds);
    Found.Tokens +=
        Full * (Passed / std::chrono::duration<double>(this->Window));
    Found.Tokens = std::min(Found.Tokens, this->most(Found, Of));
  }
  Found.RefilledAt = Now;
  return Found;
}

double RepeatBudget::draw() {
  return 1 - std::uniform_real_distribution<double>(0, 1)(this->Random);
}

void RepeatBudget::onRequest(const ServiceName &Service, RouteKind Of,
                             TimePoint Now) {
  auto &Found = this->refilled(Service, Of, Now);
  Found.Recent += 1;
  Found.Tokens = std::min(Found.Tokens + this->Ratio * shareOfRatio(Of),
                          this->most(Found, Of));
}

bool RepeatBudget::take(const ServiceName &Service, RouteKind Of, double Place,
                        TimePoint Now) {
  auto &Found = this->refilled(Service, Of, Now);
  auto Kept = Place * std::max(0.0, this->most(Found, Of) - 1);
  if (Found.Tokens < Found.Needed + Kept)
    return false;
  Found.Tokens -= 1;
  Found.Needed = this->draw();
  return true;
}

void RepeatBudget::refund(const ServiceName &Service, RouteKind Of,
                          TimePoint Now) {
  auto &Found = this->refilled(Service, Of, Now);
  Found.Tokens = std::min(Found.Tokens + 1, this->most(Found, Of));
}

} // namespace limpetdrum
