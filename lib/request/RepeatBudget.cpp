#include "limpetdrum/request/RepeatBudget.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace limpetdrum {

namespace {

/// Share of the fleet's ratio by kind of route. A request that passes three
/// inner routes above a leaf adds up to 3 x 0.1 + 0.5 of the ratio there. The
/// rest allows for accumulated tokens and for views of the call graph that are
/// out of date.
constexpr std::array<double, 2> ShareOfRatio = {0.1, 0.5};
/// Share of the slack for each kind of route. The slack is split equally
/// between the two kinds, and each half may be spent twice in a window: once
/// from accumulated tokens, and once from tokens refilled within the window.
constexpr double ShareOfSlack = 0.25;
/// Unused repeats accumulate for at most the requests received in this time. It
/// is short compared with the window, so that they add little to the repeats
/// counted in it.
constexpr double AccumulationSeconds = 2;

double shareOfRatio(RepeatBudget::RouteKind Kind) {
  return ShareOfRatio.at(static_cast<std::size_t>(Kind));
}

} // namespace

double RepeatBudget::capacity(const Bucket &Entry, RouteKind Kind) const {
  return this->Slack * ShareOfSlack +
         Entry.RecentRequests * this->Ratio * shareOfRatio(Kind);
}

RepeatBudget::Bucket &RepeatBudget::refill(const ServiceName &Service,
                                           RouteKind Kind, TimePoint Now) {
  auto [Iter, IsNew] = this->Buckets.try_emplace({Service, Kind});
  auto &Found = Iter->second;
  auto SlackTokens = this->Slack * ShareOfSlack;
  if (IsNew) {
    Found.Tokens = SlackTokens;
    Found.RequiredTokens = this->drawRequiredTokens();
  } else {
    auto Elapsed = std::chrono::duration<double>(Now - Found.RefilledAt);
    Found.RecentRequests *= std::exp(-Elapsed.count() / AccumulationSeconds);
    Found.Tokens +=
        SlackTokens * (Elapsed / std::chrono::duration<double>(this->Window));
    Found.Tokens = std::min(Found.Tokens, this->capacity(Found, Kind));
  }
  Found.RefilledAt = Now;
  return Found;
}

double RepeatBudget::drawRequiredTokens() {
  return 1 - std::uniform_real_distribution<double>(0, 1)(this->Random);
}

void RepeatBudget::onRequest(const ServiceName &Service, RouteKind Kind,
                             TimePoint Now) {
  auto &Found = this->refill(Service, Kind, Now);
  Found.RecentRequests += 1;
  Found.Tokens = std::min(Found.Tokens + this->Ratio * shareOfRatio(Kind),
                          this->capacity(Found, Kind));
}

bool RepeatBudget::take(const ServiceName &Service, RouteKind Kind,
                        double Position, TimePoint Now) {
  auto &Found = this->refill(Service, Kind, Now);
  auto Reserved = Position * std::max(0.0, this->capacity(Found, Kind) - 1);
  if (Found.Tokens < Found.RequiredTokens + Reserved)
    return false;
  Found.Tokens -= 1;
  Found.RequiredTokens = this->drawRequiredTokens();
  return true;
}

void RepeatBudget::refund(const ServiceName &Service, RouteKind Kind,
                          TimePoint Now) {
  auto &Found = this->refill(Service, Kind, Now);
  Found.Tokens = std::min(Found.Tokens + 1, this->capacity(Found, Kind));
}

} // namespace limpetdrum
