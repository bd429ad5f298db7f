#include "limpetdrum/process/AnswerMemory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace limpetdrum {

namespace {

/// Part of the memory that is kept for answers to requests that already run.
constexpr std::size_t ReserveDivisor = 4;
/// Answers up to this length are given up last, whether they have announced it
/// or not.
constexpr std::size_t ShortAnswerBytes = 64U * 1024U;

} // namespace

struct AnswerMemory::State {
  MemoryBudget Budget;
  std::vector<Receipt *> Receiving;
  std::size_t ReceivingBytes = 0; ///< held by these
  std::uint64_t GivenUpCount = 0;

  explicit State(std::size_t Limit) : Budget(Limit) {}

  /// Ends a receipt, if it has not ended.
  void remove(Receipt &Receiver) noexcept {
    auto Found =
        std::find(this->Receiving.begin(), this->Receiving.end(), &Receiver);
    if (Found == this->Receiving.end())
      return;
    this->Receiving.erase(Found);
    this->ReceivingBytes -= Receiver.bytes();
  }

  /// Returns the order in which answers are given up: the greatest first.
  [[nodiscard]] static std::pair<bool, std::size_t>
  orderOf(const Receipt &Receiver, std::size_t Added) {
    auto Bytes = Receiver.bytes() + Added;
    return {!Receiver.IsAnnounced && Bytes > ShortAnswerBytes, Bytes};
  }

  [[nodiscard]] bool take(Receipt &Receiver, std::size_t Bytes) {
    while (true) {
      if (auto Share = this->Budget.take(Bytes)) {
        Receiver.Held.grow(std::move(*Share));
        this->ReceivingBytes += Bytes;
        return true;
      }
      // Receiver is one of them.
      auto &GivenUp =
          **std::max_element(this->Receiving.begin(), this->Receiving.end(),
                             [](const auto *A, const auto *B) {
                               return orderOf(*A, 0) < orderOf(*B, 0);
                             });
      if (orderOf(GivenUp, 0) <= orderOf(Receiver, Bytes)) {
        Receiver.giveUp();
        return false;
      }
      // Moved out first, because it may destroy the receipt.
      auto OnGivenUp = std::move(GivenUp.OnGivenUp);
      GivenUp.giveUp();
      OnGivenUp();
    }
  }
};

AnswerMemory::Receipt::Receipt(AnswerMemory &Owner,
                               std::function<void()> OnGivenUp)
    : Owner(Owner.Impl), OnGivenUp(std::move(OnGivenUp)) {
  this->Owner->Receiving.push_back(this);
}

AnswerMemory::Receipt::~Receipt() { this->Owner->remove(*this); }

bool AnswerMemory::Receipt::take(std::size_t Bytes) {
  return !this->GivenUp && this->Owner->take(*this, Bytes);
}

MemoryBudget::Share AnswerMemory::Receipt::complete() {
  this->Owner->remove(*this);
  return std::exchange(this->Held, {});
}

void AnswerMemory::Receipt::giveUp() {
  this->GivenUp = true;
  ++this->Owner->GivenUpCount;
  (void)this->complete();
}

AnswerMemory::AnswerMemory(std::size_t Limit)
    : Impl(std::make_shared<State>(Limit)) {}

std::size_t AnswerMemory::used() const noexcept {
  return this->Impl->Budget.used();
}

std::size_t AnswerMemory::limit() const noexcept {
  return this->Impl->Budget.limit();
}

std::uint64_t AnswerMemory::givenUp() const noexcept {
  return this->Impl->GivenUpCount;
}

bool AnswerMemory::isScarce() const noexcept {
  auto Complete = this->used() - this->Impl->ReceivingBytes;
  return Complete > this->limit() - this->limit() / ReserveDivisor;
}

} // namespace limpetdrum
