#include "limpetdrum/version/PolicyOffers.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Time for a new policy to arrive by the receiver's own watch.
constexpr Milliseconds WatchGrace{300};
/// Over which nodes spread their offers. With the grace and a period of load
/// (500 ms) a policy is everywhere within the 2 s in which it has to be.
constexpr Milliseconds Spread{700};
/// A node that starts serves nothing before it has a policy: about so many of
/// the others send theirs at once.
constexpr std::size_t SendersAtStart = 3;
/// An offer that was lost with its connection is made again.
constexpr Milliseconds RepeatAfter{1000};

} // namespace

PolicyOffers::PolicyOffers(NodeId Self) : Self(std::move(Self)) {}

Milliseconds PolicyOffers::delay(const NodeId &To, Revision Theirs,
                                 std::size_t Others) const {
  auto Draw = stableHash(this->Self.value() + ' ' + To.value(), 0);
  auto Share = Milliseconds(static_cast<std::int64_t>(
      Draw % static_cast<std::uint64_t>(Spread.count())));
  if (Theirs != Revision())
    return WatchGrace + Share;
  bool IsFirst =
      (Draw >> 32U) % std::max<std::size_t>(1, Others) < SendersAtStart;
  return IsFirst ? Milliseconds(0) : Share;
}

bool PolicyOffers::isDue(const NodeId &To, Revision Theirs, Revision Mine,
                         TimePoint MineSince, std::size_t Others,
                         TimePoint Now) {
  if (!(Theirs < Mine)) {
    this->Lagging.erase(To);
    return false;
  }
  auto [Found, IsNew] = this->Lagging.try_emplace(To);
  auto &Of = Found->second;
  if (IsNew || Of.Mine != Mine) {
    bool IsFresh = Now - MineSince < RepeatAfter;
    Of = {Mine, IsFresh ? MineSince : Now, std::nullopt};
  }
  if (Of.SentAt && Now - *Of.SentAt < RepeatAfter)
    return false;
  if (Now - Of.Since < this->delay(To, Theirs, Others))
    return false;
  Of.SentAt = Now;
  return true;
}

} // namespace limpetdrum
