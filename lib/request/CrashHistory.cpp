#include "limpetdrum/request/CrashHistory.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Time for which a proven request is refused. Afterwards it is a suspect, so
/// that a request that still crashes targets costs one of them in this time.
constexpr std::chrono::minutes RefusalPeriod{10};
/// Time after a suspect was answered in which reports about it are ignored:
/// they were made before.
constexpr std::chrono::seconds SoundPeriod{5};
constexpr std::size_t MaxEntries = 4096;
/// Entries that are weighed for removal at once, which spreads the cost of the
/// search over the reports that follow.
constexpr std::size_t EvictionBatch = MaxEntries / 8;
/// Targets remembered of one request.
constexpr std::size_t MaxTargets = CertainCrashes;
/// Crashes that follow each other within this time show nothing new once the
/// history is full. Nodes pass on what is new to them, so a report that was
/// dropped and comes back late must not replace others and be passed on again.
/// A report seems younger by its time on the way, which is far shorter.
constexpr std::chrono::seconds RenewalPeriod{1};
/// Requests that a node is told of over each new link, some 50 kB. A restarted
/// node makes all its links at once, and all its peers tell it.
constexpr std::ptrdiff_t MaxTold = 1024;

} // namespace

CrashHistory::Strength CrashHistory::strengthOf(const Entry &Value) {
  return {Value.Alone, Value.Targets.size(), Value.LastAt};
}

CrashHistory::Verdict CrashHistory::verdictOf(const Entry &Found,
                                              TimePoint Now) const {
  if (Found.IsSound || Now - Found.LastAt >= CrashRetention)
    return Verdict::None;
  if (Found.Alone && Now - Found.LastAt < RefusalPeriod)
    return Verdict::Crashing;
  return Found.Alone || Found.Targets.size() >= SuspectCrashes
             ? Verdict::Suspect
             : Verdict::None;
}

CrashHistory::Verdict CrashHistory::verdict(RequestFingerprint Request,
                                            TimePoint Now) const {
  auto Found = this->Entries.find(Request);
  return Found == this->Entries.end() ? Verdict::None
                                      : this->verdictOf(Found->second, Now);
}

unsigned CrashHistory::crashes(RequestFingerprint Request,
                               TimePoint Now) const {
  auto Found = this->Entries.find(Request);
  if (Found == this->Entries.end() ||
      Now - Found->second.LastAt >= CrashRetention)
    return 0;
  return static_cast<unsigned>(Found->second.Targets.size());
}

Milliseconds CrashHistory::retryAfter(RequestFingerprint Request,
                                      TimePoint Now) const {
  auto Found = this->Entries.find(Request);
  if (Found == this->Entries.end())
    return Milliseconds(0);
  auto Left = Found->second.LastAt + RefusalPeriod - Now;
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(Left));
}

bool CrashHistory::add(const CrashReport &Report, TimePoint Now) {
  if (Report.Age >= CrashRetention)
    return false;
  auto At = Now - Report.Age;
  auto Found = this->Entries.find(Report.Request);
  if (Found == this->Entries.end()) {
    if (!this->makeRoom({Report.Alone, 1, At}))
      return false;
    Found = this->Entries.try_emplace(Report.Request).first;
  }
  auto &Known = Found->second;
  if (Known.IsSound) {
    if (At - Known.LastAt < SoundPeriod)
      return false;
    Known = Entry();
  }
  auto IsKnownTarget = std::find(Known.Targets.begin(), Known.Targets.end(),
                                 Report.Target) != Known.Targets.end();
  bool IsProof = Report.Alone && !Known.Alone;
  bool IsRepetition =
      Known.Targets.size() >= MaxTargets && At - Known.LastAt < RenewalPeriod;
  if ((IsKnownTarget || IsRepetition) && !IsProof)
    return false;
  // Evidence of an earlier period does not count any more.
  if (Now - Known.LastAt >= CrashRetention)
    Known = Entry();
  bool IsFirst = Known.Targets.empty();
  if (!IsKnownTarget) {
    if (Known.Targets.size() >= MaxTargets)
      Known.Targets.erase(Known.Targets.begin());
    Known.Targets.push_back(Report.Target);
  }
  // The steady clock starts with the instance, so a crash may be older than its
  // origin, which LastAt has at first.
  Known.LastAt = IsFirst ? At : std::max(Known.LastAt, At);
  Known.Alone = Known.Alone || Report.Alone;
  return true;
}

bool CrashHistory::markSound(RequestFingerprint Request, TimePoint Now) {
  auto Found = this->Entries.find(Request);
  if (Found == this->Entries.end() || Found->second.IsSound)
    return false;
  Found->second = Entry();
  Found->second.IsSound = true;
  Found->second.LastAt = Now;
  this->WeakestWhenFull.reset();
  return true;
}

bool CrashHistory::makeRoom(const Strength &Incoming) {
  if (this->Entries.size() < MaxEntries) {
    this->WeakestWhenFull.reset();
    return true;
  }
  auto [IsProof, Targets, At] = Incoming;
  Strength Settled{IsProof, Targets, At - RenewalPeriod};
  if (this->WeakestWhenFull && Settled <= *this->WeakestWhenFull)
    return false;
  std::vector<std::pair<Strength, RequestFingerprint>> ByStrength;
  ByStrength.reserve(this->Entries.size());
  for (const auto &[Request, Known] : this->Entries)
    ByStrength.emplace_back(strengthOf(Known), Request);
  auto IsWeaker = [](const auto &A, const auto &B) {
    return A.first < B.first;
  };
  auto End = ByStrength.begin() + EvictionBatch;
  std::nth_element(ByStrength.begin(), End, ByStrength.end(), IsWeaker);
  auto Weakest = std::min_element(ByStrength.begin(), End, IsWeaker)->first;
  this->WeakestWhenFull = Weakest;
  for (auto It = ByStrength.begin(); It != End; ++It)
    if (It->first < Settled)
      this->Entries.erase(It->second);
  return this->Entries.size() < MaxEntries;
}

CrashNews CrashHistory::merge(const CrashNews &News, TimePoint Now) {
  CrashNews Fresh;
  for (const auto &Report : News.Reports)
    if (this->add(Report, Now))
      Fresh.Reports.push_back(Report);
  for (auto Request : News.Sound)
    if (this->markSound(Request, Now))
      Fresh.Sound.push_back(Request);
  return Fresh;
}

CrashNews CrashHistory::known(TimePoint Now) const {
  std::vector<std::pair<Strength, RequestFingerprint>> Held;
  for (const auto &[Request, Known] : this->Entries)
    if (this->verdictOf(Known, Now) != Verdict::None)
      Held.emplace_back(strengthOf(Known), Request);
  if (Held.size() > MaxTold) {
    std::nth_element(
        Held.begin(), Held.begin() + MaxTold, Held.end(),
        [](const auto &A, const auto &B) { return A.first > B.first; });
    Held.resize(MaxTold);
  }
  CrashNews Result;
  for (const auto &[KnownStrength, Request] : Held) {
    const auto &Known = this->Entries.at(Request);
    auto Age = std::chrono::duration_cast<Milliseconds>(Now - Known.LastAt);
    auto Told = std::min<std::size_t>(Known.Targets.size(), SuspectCrashes);
    for (auto Target = Known.Targets.end() - static_cast<std::ptrdiff_t>(Told);
         Target != Known.Targets.end(); ++Target)
      Result.Reports.push_back({Request, *Target, Known.Alone, Age});
  }
  return Result;
}

void CrashHistory::sweep(TimePoint Now) {
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    auto Age = Now - It->second.LastAt;
    bool HasExpired =
        Age >= CrashRetention || (It->second.IsSound && Age >= SoundPeriod);
    It = HasExpired ? this->Entries.erase(It) : std::next(It);
  }
}

} // namespace limpetdrum
