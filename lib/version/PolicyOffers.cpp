#include "limpetdrum/version/PolicyOffers.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Time for a new policy to arrive through the receiver's watch of the store.
constexpr Milliseconds WatchGrace{300};
/// Range over which the nodes' offers are distributed. Together with the watch
/// grace and one period of load reports (500 ms), a policy reaches all nodes
/// within the required 2 s.
constexpr Milliseconds MaxOfferDelay{700};
/// Mean number of nodes that offer their policy immediately to a node without
/// one. Such a node has just started and cannot serve before it has a policy.
constexpr std::size_t SendersAtStart = 3;
/// Offers are repeated after this time, in case they were lost with their
/// connection.
constexpr Milliseconds RepeatAfter{1000};

} // namespace

PolicyOffers::PolicyOffers(NodeId Self) : Self(std::move(Self)) {}

Milliseconds PolicyOffers::delay(const NodeId &Receiver,
                                 Revision ReceiverPolicy,
                                 std::size_t OtherNodes) const {
  auto Hash = stableHash(this->Self.value() + ' ' + Receiver.value(), 0);
  auto OfferDelay = Milliseconds(static_cast<std::int64_t>(
      Hash % static_cast<std::uint64_t>(MaxOfferDelay.count())));
  if (ReceiverPolicy != Revision())
    return WatchGrace + OfferDelay;
  bool IsImmediate =
      (Hash >> 32U) % std::max<std::size_t>(1, OtherNodes) < SendersAtStart;
  return IsImmediate ? Milliseconds(0) : OfferDelay;
}

bool PolicyOffers::isDue(const NodeId &Receiver, Revision ReceiverPolicy,
                         Revision LocalPolicy, TimePoint LocalSince,
                         std::size_t OtherNodes, TimePoint Now) {
  if (!(ReceiverPolicy < LocalPolicy)) {
    this->Lagging.erase(Receiver);
    return false;
  }
  auto [Found, IsNew] = this->Lagging.try_emplace(Receiver);
  auto &Offer = Found->second;
  if (IsNew || Offer.Policy != LocalPolicy) {
    bool IsFresh = Now - LocalSince < RepeatAfter;
    Offer = {LocalPolicy, IsFresh ? LocalSince : Now, std::nullopt};
  }
  if (Offer.SentAt && Now - *Offer.SentAt < RepeatAfter)
    return false;
  if (Now - Offer.Since < this->delay(Receiver, ReceiverPolicy, OtherNodes))
    return false;
  Offer.SentAt = Now;
  return true;
}

} // namespace limpetdrum
