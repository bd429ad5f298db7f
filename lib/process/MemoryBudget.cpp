#include "limpetdrum/process/MemoryBudget.h"

#include <utility>

namespace limpetdrum {

MemoryBudget::Share::Share(std::shared_ptr<Account> Source,
                           std::size_t Bytes) noexcept
    : Source(std::move(Source)), Bytes(Bytes) {
  this->Source->Used += Bytes;
}

MemoryBudget::Share::Share(Share &&Other) noexcept
    : Source(std::move(Other.Source)), Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryBudget::Share &MemoryBudget::Share::operator=(Share &&Other) noexcept {
  std::swap(this->Source, Other.Source);
  std::swap(this->Bytes, Other.Bytes);
  return *this;
}

MemoryBudget::Share::~Share() {
  if (this->Source)
    this->Source->Used -= this->Bytes;
}

void MemoryBudget::Share::grow(Share Added) noexcept {
  if (!this->Source)
    this->Source = Added.Source;
  this->Bytes += std::exchange(Added.Bytes, 0);
}

MemoryBudget::MemoryBudget(std::size_t Limit)
    : State(std::make_shared<Account>(Account{Limit})) {}

std::optional<MemoryBudget::Share> MemoryBudget::take(std::size_t Bytes) {
  const auto &Account = *this->State;
  if (Account.Used >= Account.Limit || Bytes > Account.Limit - Account.Used)
    return std::nullopt;
  return Share(this->State, Bytes);
}

} // namespace limpetdrum
