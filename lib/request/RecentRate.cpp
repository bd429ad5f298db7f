#include "limpetdrum/request/RecentRate.h"

#include <algorithm>

namespace limpetdrum {

void RecentRate::add(double Count, TimePoint Now) noexcept {
  auto Number = slotNumber(Now);
  auto Skipped = std::min<std::int64_t>(Number - this->Newest, SlotCount);
  for (std::int64_t I = 0; I < Skipped; ++I)
    this->Slots[static_cast<std::size_t>(Number - I) % SlotCount] = 0;
  this->Newest = std::max(this->Newest, Number);
  this->Slots[static_cast<std::size_t>(this->Newest) % SlotCount] +=
      static_cast<float>(Count);
}

double RecentRate::value(TimePoint Now) const noexcept {
  constexpr auto Length = static_cast<std::int64_t>(SlotCount);
  auto Number = slotNumber(Now);
  double Sum = 0;
  for (auto I = std::max(Number - Length + 1, this->Newest - Length + 1);
       I <= this->Newest; ++I)
    Sum += this->Slots[static_cast<std::size_t>(I) % SlotCount];
  // The newest slot is not over yet.
  auto Elapsed = std::chrono::duration<double>(
      Now.time_since_epoch() - (Number - Length + 1) * SlotLength);
  return std::max(0.0, Sum) / Elapsed.count();
}

} // namespace limpetdrum
