#include "limpetdrum/connection/FrameReceiver.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr std::size_t MinPartialBytes = 4096;

/// Frees the bytes of a string, which an assignment may keep.
void release(std::string &Text) noexcept { std::string().swap(Text); }

} // namespace

FrameReceiver::FrameReceiver(std::function<void()> OnGivenUp)
    : OnGivenUp(std::move(OnGivenUp)) {}

void FrameReceiver::setLimits(std::size_t MaxBytes,
                              AnswerMemory *Memory) noexcept {
  this->MaxBytes = MaxBytes;
  this->Memory = Memory;
}

FrameReceiver::Result FrameReceiver::read(std::string_view &Input) {
  if (this->IsGivenUp)
    return Result::NoMemory;
  if (!this->readLength(Input))
    return Result::NeedMore;
  if (this->Size > this->MaxBytes)
    return Result::TooLong;
  auto Missing = this->Size - this->Partial.size();
  auto Piece = Input.substr(0, Missing);
  if (this->Partial.empty() && Piece.size() == Missing) {
    this->Message = Piece;
  } else {
    if (!this->grow(Piece.size()))
      return Result::NoMemory;
    this->Partial.append(Piece);
    if (this->Partial.size() == this->Size)
      this->Message = this->Partial;
  }
  Input.remove_prefix(Piece.size());
  if (Piece.size() < Missing)
    return Result::NeedMore;
  this->LengthRead = 0;
  return Result::Complete;
}

bool FrameReceiver::readLength(std::string_view &Input) {
  while (this->LengthRead < LengthBytes && !Input.empty()) {
    this->Length.at(this->LengthRead++) =
        static_cast<unsigned char>(Input.front());
    Input.remove_prefix(1);
  }
  if (this->LengthRead < LengthBytes)
    return false;
  this->Size = 0;
  for (unsigned I = 0; I < LengthBytes; ++I)
    this->Size |= std::size_t{this->Length.at(I)} << (8 * I);
  return true;
}

bool FrameReceiver::grow(std::size_t Added) {
  auto Needed = this->Partial.size() + Added;
  if (Needed <= this->Partial.capacity())
    return true;
  auto Capacity =
      std::max({Needed, 2 * this->Partial.capacity(), MinPartialBytes});
  Capacity = std::max(Needed, std::min(Capacity, this->Size));
  if (this->Memory != nullptr) {
    if (!this->Receipt)
      this->Receipt =
          std::make_unique<AnswerMemory::Receipt>(*this->Memory, [this]() {
            this->IsGivenUp = true;
            release(this->Partial);
            this->OnGivenUp();
          });
    if (!this->Receipt->take(Capacity - this->Receipt->bytes())) {
      this->IsGivenUp = true;
      release(this->Partial);
      return false;
    }
  }
  this->Partial.reserve(Capacity);
  return true;
}

void FrameReceiver::drop() noexcept {
  this->Message = {};
  release(this->Partial);
  this->Receipt.reset();
}

} // namespace limpetdrum
