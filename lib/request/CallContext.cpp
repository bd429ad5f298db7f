#include "limpetdrum/request/CallContext.h"

#include <algorithm>

namespace limpetdrum {

ClassRank rootRank(ClassRank Priority) noexcept {
  constexpr std::uint8_t Most = MaxRanks / 2 - 1;
  return ClassRank(
      static_cast<std::uint8_t>(std::min(Priority.value(), Most) * 2 + 1));
}

ClassRank callRank(ClassRank Parent) noexcept {
  return ClassRank(static_cast<std::uint8_t>(Parent.value() / 2 * 2));
}

} // namespace limpetdrum
