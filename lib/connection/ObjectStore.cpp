#include "limpetdrum/connection/ObjectStore.h"

#include <array>

namespace limpetdrum {

namespace {

constexpr std::array<const char *, 5> OutcomeNames = {
    "done", "conflict", "history-gone", "refused", "lost"};

} // namespace

const char *toString(StoreOutcome Value) noexcept {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

} // namespace limpetdrum
