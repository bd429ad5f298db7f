#include "limpetdrum/connection/BodyParts.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Short enough that a part delays other messages by few milliseconds.
constexpr std::size_t PartBytes = 32U * 1024U;

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

void BodyReceiver::begin(std::uint64_t Call, std::size_t Bytes,
                         std::vector<unsigned char> Message, Memory Held,
                         TimePoint Now) {
  auto &Started = this->Incoming[Call];
  Started = {Bytes, std::move(Message), std::move(Held), Now, {}};
  Started.Text.reserve(Bytes);
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
  Known.Text.append(Bytes);
  if (Known.Text.size() < Known.Bytes)
    return std::nullopt;
  auto *Receipt =
      std::get_if<std::unique_ptr<AnswerMemory::Receipt>>(&Known.Held);
  auto Held = Receipt != nullptr
                  ? (*Receipt)->complete()
                  : std::get<MemoryBudget::Share>(std::move(Known.Held));
  Complete Result{std::move(Known.Message),
                  {std::move(Known.Text), std::move(Held)},
                  Now - Known.BeganAt};
  this->Incoming.erase(Found);
  return Result;
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
