#include "limpetdrum/request/RetryBudget.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr double TokensPerCall = 0.1;
constexpr double MaxTokens = 50;

} // namespace

void RetryRatio::onCall() noexcept {
  this->Tokens = std::min(MaxTokens, this->Tokens + TokensPerCall);
}

bool RetryRatio::take(double Reserve) noexcept {
  if (this->Tokens < 1 + Reserve)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace limpetdrum
