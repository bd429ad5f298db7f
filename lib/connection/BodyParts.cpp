#include "limpetdrum/connection/BodyParts.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Short enough that a part delays other messages by few milliseconds.
constexpr std::size_t PartBytes = 32U * 1024U;
/// Memory that an expected body takes beside its bytes and its message.
constexpr std::size_t EntryBytes = 512;
/// Memory for a body is taken in steps of this size.
constexpr std::size_t TakenBytes = 64U * 1024U;
/// Room for a body is made for this many times the bytes that have arrived, as
/// pages that are not written take no memory. So few bytes are copied, and a
/// length that is announced costs nothing by itself.
constexpr std::size_t RoomFactor = 16;

} // namespace

void BodySender::add(std::uint64_t Call, Body Content) {
  this->cancel(Call);
  if (!Content.empty())
    this->Queue.push_back({Call, std::move(Content)});
}

void BodySender::cancel(std::uint64_t Call) {
  this->Queue.erase(
      std::remove_if(this->Queue.begin(), this->Queue.end(),
                     [Call](const auto &Each) { return Each.Call == Call; }),
      this->Queue.end());
}

std::size_t BodySender::unsentBytes() const noexcept {
  std::size_t Bytes = 0;
  for (const auto &Each : this->Queue)
    Bytes += Each.Content.size() - Each.Sent;
  return Bytes;
}

BodySender::Part BodySender::next() {
  auto Current = std::move(this->Queue.front());
  this->Queue.pop_front();
  auto Bytes =
      std::string_view(Current.Content.text()).substr(Current.Sent, PartBytes);
  Current.Sent += Bytes.size();
  this->Last = Current.Content;
  auto Call = Current.Call;
  if (Current.Sent < Current.Content.size())
    this->Queue.push_back(std::move(Current));
  return {Call, Bytes};
}

bool BodyReceiver::Partial::take(std::size_t Added) {
  if (auto *Receipt =
          std::get_if<std::unique_ptr<AnswerMemory::Receipt>>(&this->Source))
    return (*Receipt)->take(Added);
  auto *Budget = std::get_if<MemoryBudget *>(&this->Source);
  if (Budget == nullptr)
    return true;
  auto Share = (*Budget)->take(Added);
  if (!Share)
    return false;
  this->Held.grow(std::move(*Share));
  return true;
}

bool BodyReceiver::Partial::grow(std::size_t Added) {
  auto Needed = this->Text.size() + Added;
  if (Needed > this->Taken) {
    auto Step = std::min(std::max(Needed - this->Taken, TakenBytes),
                         this->Bytes - this->Taken);
    if (!this->take(Step))
      return false;
    this->Taken += Step;
  }
  if (Needed > this->Text.capacity())
    this->Text.reserve(std::min(this->Bytes, RoomFactor * Needed));
  return true;
}

bool BodyReceiver::begin(std::uint64_t Call, std::size_t Bytes,
                         std::vector<unsigned char> Message, Memory Held,
                         TimePoint Now, TimePoint Deadline) {
  Partial Started;
  Started.Bytes = Bytes;
  Started.Source = std::move(Held);
  if (auto *Taken = std::get_if<MemoryBudget::Share>(&Started.Source))
    Started.Held = std::move(*Taken);
  Started.BeganAt = Now;
  Started.Deadline = Deadline;
  if (!Started.take(Message.size() + EntryBytes))
    return false;
  Started.Message = std::move(Message);
  this->Incoming[Call] = std::move(Started);
  return true;
}

std::optional<BodyReceiver::Complete>
BodyReceiver::append(std::uint64_t Call, std::string_view Bytes,
                     TimePoint Now) {
  auto Found = this->Incoming.find(Call);
  if (Found == this->Incoming.end())
    return std::nullopt;
  auto &Known = Found->second;
  if (Bytes.size() > Known.Bytes - Known.Text.size())
    throw ValueError("the body of call " + std::to_string(Call) +
                         " is longer than the " + std::to_string(Known.Bytes) +
                         " bytes announced",
                     "run the same release on all nodes");
  bool HasMemory = Known.grow(Bytes.size());
  if (HasMemory) {
    Known.Text.append(Bytes);
    if (Known.Text.size() < Known.Bytes)
      return std::nullopt;
  } else {
    std::string().swap(Known.Text); // frees its bytes, unlike an assignment
  }
  auto *Receipt =
      std::get_if<std::unique_ptr<AnswerMemory::Receipt>>(&Known.Source);
  auto Held =
      Receipt != nullptr ? (*Receipt)->complete() : std::move(Known.Held);
  Complete Result{std::move(Known.Message),
                  {std::move(Known.Text), std::move(Held)},
                  Now - Known.BeganAt,
                  !HasMemory};
  this->Incoming.erase(Found);
  return Result;
}

void BodyReceiver::dropOverdue(TimePoint Now) {
  for (auto Entry = this->Incoming.begin(); Entry != this->Incoming.end();)
    Entry = Now > Entry->second.Deadline ? this->Incoming.erase(Entry)
                                         : std::next(Entry);
}

std::vector<unsigned char> BodyReceiver::giveUp(std::uint64_t Call) {
  auto Found = this->Incoming.find(Call);
  if (Found == this->Incoming.end())
    return {};
  auto Message = std::move(Found->second.Message);
  this->Incoming.erase(Found);
  return Message;
}

} // namespace limpetdrum
