#include "Witness.h"

#include <algorithm>

namespace limpetdrum::soak {

namespace {

/// The platform's rules allow the final answer this long after the deadline.
constexpr Milliseconds AnswerSlack{500};
/// Rules on shares of requests apply only from these numbers of requests.
constexpr unsigned MinRequestsForShares = 8;
constexpr unsigned MinAbandonedRuns = 4;
/// Lost connections and late arrivals that the platform's rules tolerate.
constexpr unsigned ToleratedCount = 3;
/// Targets that a request may crash before its sends are counted.
constexpr std::size_t FreeCrashes = 3;
/// Extra time that a policy version may take to come into force after a
/// disturbance, such as a store that fails.
constexpr Milliseconds StoreRecovery{5000};

/// Time after a span of endless answers in which its service may still be
/// disturbed.
constexpr Milliseconds EndlessAftermath{3000};
/// Time in which any other fault may still have an effect.
constexpr Milliseconds FaultAftermath{20'000};

bool meansNotRun(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

std::string millis(Microseconds Span) {
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(Span).count()) +
         " ms";
}

} // namespace

bool Witness::isUndisturbed(std::size_t Node, TimePoint Start, TimePoint End,
                            bool CountPlanned, Milliseconds Recovery) const {
  return std::none_of(
      this->Disturbances.begin(), this->Disturbances.end(),
      [&](const Disturbance &D) {
        bool AffectsNode = !D.Node || *D.Node == Node;
        bool Counts = D.Cause != Disturbance::Kind::Target &&
                      (CountPlanned || D.Cause != Disturbance::Kind::Planned);
        return AffectsNode && Counts && D.Start <= End &&
               D.End + this->Bounds.ContactWindow + Recovery >= Start;
      });
}

bool Witness::wasInterrupted(std::size_t Node, TimePoint Start,
                             TimePoint End) const {
  return std::any_of(this->Disturbances.begin(), this->Disturbances.end(),
                     [&](const Disturbance &D) {
                       bool IsOfNode =
                           D.Cause == Disturbance::Kind::Unplanned ||
                           D.Cause == Disturbance::Kind::Planned;
                       return (!D.Node || *D.Node == Node) && IsOfNode &&
                              D.Start <= End && D.End >= Start;
                     });
}

std::vector<Witness::Finding> Witness::check(TimePoint Now) const {
  Findings Broken;
  this->checkRuns(Broken);
  this->checkAnswers(Broken, Now);
  this->checkDrains(Broken);
  this->checkRates(Broken);
  this->checkLeavingNotices(Broken);
  this->checkLostConnections(Broken);
  this->checkPolicyDelay(Broken);
  this->checkPolicyRegressions(Broken);
  this->checkRepeats(Broken);
  this->checkAbandonedRequests(Broken);
  this->checkCrashes(Broken);
  this->checkOrganisations(Broken);
  this->checkKeys(Broken);
  this->checkMemory(Broken);
  this->checkBesideEndless(Broken, Now);
  return Broken;
}

void Witness::checkMemory(Findings &Broken) const {
  for (const auto &[Node, Bytes] : this->PeakMemory)
    if (Bytes > this->Bounds.MemoryBytes)
      Broken.push_back({"a node stays within its memory",
                        "node " + std::to_string(Node) + " used " +
                            std::to_string(Bytes / 1'000'000) + " MB"});
}

std::vector<const RequestRecord *>
Witness::soundBesideEndless(TimePoint Now) const {
  std::vector<const RequestRecord *> Sound;
  for (const auto &[Id, Request] : this->Requests) {
    if (Request.IsCall || Request.Abandoned || Request.CrashesTargets ||
        Request.Status == 401 || Request.Deadline + AnswerSlack > Now ||
        this->CallingRoutes.count(Request.Route) != 0)
      continue;
    const auto &Services = this->AllowedServices.at(Request.Route);
    bool IsBeside = false;
    bool IsDisturbed = !this->isUndisturbed(Request.Entry, Request.Sent,
                                            Request.Deadline + AnswerSlack);
    for (const auto &Span : this->EndlessAnswers) {
      IsBeside |= Span.Start <= Request.Sent && Request.Sent <= Span.End;
      IsDisturbed |= Services.count(Span.Service) != 0 &&
                     Span.Start <= Request.Deadline &&
                     Request.Sent <= Span.End + EndlessAftermath;
    }
    for (const auto &Start : this->OtherFaults)
      IsDisturbed |= Start <= Request.Deadline + AnswerSlack &&
                     Request.Sent <= Start + FaultAftermath;
    if (IsBeside && !IsDisturbed)
      Sound.push_back(&Request);
  }
  return Sound;
}

void Witness::checkBesideEndless(Findings &Broken, TimePoint Now) const {
  unsigned Unserved = 0;
  std::string Example;
  auto Sound = this->soundBesideEndless(Now);
  for (const auto *Request : Sound) {
    if (Request->Status == 200)
      continue;
    ++Unserved;
    Example = Request->Id + ", answered " + std::to_string(Request->Status);
  }
  if (Unserved > ToleratedCount)
    Broken.push_back({"answers without end cost no requests to others",
                      std::to_string(Unserved) + " of " +
                          std::to_string(Sound.size()) +
                          " were not served, one is " + Example});
}

void Witness::checkRuns(Findings &Broken) const {
  std::map<std::string, unsigned> RunCounts;
  for (const auto &Run : this->Runs) {
    if (!Run.Executed)
      continue;
    auto Found = this->Requests.find(Run.Id);
    if (Found == this->Requests.end() || !Run.Intact ||
        Found->second.Route != Run.Route) {
      Broken.push_back({"nothing runs that was not asked for",
                        Run.Id + " at " + Run.Target});
      continue;
    }
    const auto &Request = Found->second;
    if (Run.CallerService != this->ServiceOfNode[Request.Entry])
      Broken.push_back({"the caller's service is told truly",
                        Run.Id + " carried '" + Run.CallerService + "'"});
    if (this->AllowedServices.at(Run.Route).count(Run.Service) == 0)
      Broken.push_back({"only services of the route run a request",
                        Run.Id + " of " + Run.Route + " at " + Run.Service});
    if (!Request.Idempotent && ++RunCounts[Run.Id] == 2)
      Broken.push_back(
          {"at most once", Run.Id + " ran again at " + Run.Target});
    if (!Request.Idempotent && meansNotRun(Request.Status))
      Broken.push_back(
          {"not run means not run", Run.Id + " was answered " +
                                        std::to_string(Request.Status) +
                                        " but ran at " + Run.Target});
  }
}

void Witness::checkAnswers(Findings &Broken, TimePoint Now) const {
  unsigned Overdue = 0;
  unsigned Late = 0;
  std::string Example;
  for (const auto &[Id, Request] : this->Requests) {
    if (!Request.AnswerMatches)
      Broken.push_back({"an answer is whole and the request's own", Id});
    if (Request.IsCall || Request.Abandoned ||
        Request.Deadline + AnswerSlack > Now ||
        !this->isUndisturbed(Request.Entry, Request.Sent,
                             Request.Deadline + AnswerSlack))
      continue;
    if (Request.Ended && *Request.Ended <= Request.Deadline)
      continue;
    ++Overdue;
    if (Request.Ended && *Request.Ended <= Request.Deadline + AnswerSlack)
      continue;
    ++Late;
    Example = Id;
  }
  if (Overdue >= MinRequestsForShares && Late * 2 > Overdue)
    Broken.push_back({"a final answer at the timeout",
                      std::to_string(Late) + " of " + std::to_string(Overdue) +
                          " late, one is " + Example});
}

void Witness::checkDrains(Findings &Broken) const {
  for (const auto &Run : this->Runs) {
    auto Acknowledged = this->LeaveAcks.find(Run.Target);
    if (Acknowledged == this->LeaveAcks.end() || !Run.Executed ||
        Run.Started <= Acknowledged->second + this->Bounds.DrainTimeout)
      continue;
    auto Found = this->Requests.find(Run.Id);
    if (Found == this->Requests.end() ||
        !this->isUndisturbed(Found->second.Entry, Found->second.Sent,
                             Run.Started) ||
        !this->isUndisturbed(Run.Node, Found->second.Sent, Run.Started))
      continue;
    Broken.push_back({"no new work for a target that leaves",
                      Run.Id + " at " + Run.Target + ", " +
                          millis(Run.Started - Acknowledged->second) +
                          " after the ack"});
  }
}

void Witness::checkRates(Findings &Broken) const {
  // Half as much again as the rate allows, and five requests, in any 4 s.
  constexpr Milliseconds Window{4000};
  constexpr double Tolerance = 1.5;
  constexpr double ToleratedRequests = 5;
  constexpr Milliseconds NoticeDelay{500};
  for (const auto &Notice : this->Notices) {
    if (!Notice.RequestRate)
      continue;
    std::vector<TimePoint> Arrivals;
    for (const auto &Run : this->Runs) {
      auto Found = this->Requests.find(Run.Id);
      if (Run.Target != Notice.Target || Found == this->Requests.end() ||
          Run.Started < Notice.Started + this->Bounds.ContactWindow ||
          (Notice.Ended && Run.Started > *Notice.Ended))
        continue;
      auto Told = Notice.Told.find(Found->second.Entry);
      if (Told != Notice.Told.end() &&
          Run.Started >= Told->second + NoticeDelay &&
          !this->wasInterrupted(Told->first, Told->second, Run.Started))
        Arrivals.push_back(Run.Started);
    }
    std::sort(Arrivals.begin(), Arrivals.end());
    auto Allowed = *Notice.RequestRate * Tolerance *
                       std::chrono::duration<double>(Window).count() +
                   ToleratedRequests;
    for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
      auto Count =
          std::upper_bound(First, Arrivals.end(), *First + Window) - First;
      if (static_cast<double>(Count) <= Allowed)
        continue;
      Broken.push_back({"a target gets no more than the rate that it names",
                        Notice.Target + " got " + std::to_string(Count) +
                            " requests in 4 s, allowed " +
                            std::to_string(Allowed)});
      break;
    }
  }
}

void Witness::checkLeavingNotices(Findings &Broken) const {
  for (const auto &Notice : this->Notices) {
    if (Notice.RequestRate)
      continue;
    for (const auto &Run : this->Runs) {
      auto Found = this->Requests.find(Run.Id);
      if (Run.Target != Notice.Target || !Run.Executed ||
          Found == this->Requests.end())
        continue;
      auto Told = Notice.Told.find(Found->second.Entry);
      if (Told == Notice.Told.end() ||
          Found->second.Sent <= Told->second + this->Bounds.DrainTimeout ||
          this->wasInterrupted(Told->first, Told->second, Run.Started))
        continue;
      Broken.push_back({"no new work for a target that says it leaves",
                        Run.Id + " at " + Run.Target + ", sent " +
                            millis(Found->second.Sent - Told->second) +
                            " after the notice"});
    }
  }
}

void Witness::checkLostConnections(Findings &Broken) const {
  std::set<std::string> RunIds;
  for (const auto &Run : this->Runs)
    if (Run.Executed)
      RunIds.insert(Run.Id);
  unsigned LostConnections = 0;
  for (const auto &[Id, Request] : this->Requests) {
    if (!Request.ConnectionLost || RunIds.count(Id) == 0)
      continue;
    bool Disturbed = !this->isUndisturbed(Request.Entry, Request.Sent,
                                          *Request.Ended, false);
    for (const auto &Run : this->Runs)
      if (Run.Id == Id &&
          !this->isUndisturbed(Run.Node, Request.Sent, *Request.Ended))
        Disturbed = true;
    if (Disturbed)
      continue;
    for (const auto &D : this->Disturbances)
      if (D.Cause == Disturbance::Kind::Planned && D.Node == Request.Entry &&
          D.Start <= *Request.Ended &&
          *Request.Ended <=
              D.Start + this->Bounds.GracePeriod + std::chrono::seconds(1))
        Broken.push_back({"a graceful stop cuts nothing", Id});
    ++LostConnections;
  }
  if (LostConnections > ToleratedCount)
    Broken.push_back({"no request is passed on and then cut",
                      std::to_string(LostConnections) + " were"});
}

void Witness::checkPolicyDelay(Findings &Broken) const {
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (!Run.Executed || Run.Route != this->ReassignedRoute ||
        Found == this->Requests.end())
      continue;
    const auto &Request = Found->second;
    // A version may be in force until ConfigApply after its successor was
    // acknowledged.
    bool Allowed = false;
    TimePoint SupersededAt{};
    for (std::size_t I = 0; I < this->PolicyVersions.size(); ++I) {
      bool IsLast = I + 1 == this->PolicyVersions.size();
      bool Expired = !IsLast && this->PolicyVersions[I + 1].second +
                                        this->Bounds.ConfigApply <
                                    Request.Sent;
      if (!Expired && this->PolicyVersions[I].first == Run.Service)
        Allowed = true;
      if (!IsLast && this->PolicyVersions[I].first == Run.Service)
        SupersededAt = this->PolicyVersions[I + 1].second;
    }
    if (Allowed || !this->isUndisturbed(Request.Entry, SupersededAt,
                                        Run.Started, true, StoreRecovery))
      continue;
    Broken.push_back({"a version is in force in time",
                      Run.Id + " at " + Run.Service + ", " +
                          millis(Request.Sent - SupersededAt) +
                          " after the next ack"});
  }
}

void Witness::checkPolicyRegressions(Findings &Broken) const {
  struct Effect {
    TimePoint At;
    TimePoint Sent;
    std::size_t Version;
    std::string Id;
  };
  std::map<std::pair<std::size_t, std::size_t>, std::vector<Effect>>
      EffectsByProcess;
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (!Run.Executed || Run.Route != this->ReassignedRoute ||
        Found == this->Requests.end())
      continue;
    const auto &Request = Found->second;
    std::optional<std::size_t> Version;
    for (std::size_t I = 0; I < this->PolicyVersions.size(); ++I)
      if (this->PolicyVersions[I].first == Run.Service &&
          this->PolicyVersions[I].second <= Run.Started)
        Version = I;
    auto Started = this->Starts.find(Request.Entry);
    if (!Version || Started == this->Starts.end())
      continue;
    std::size_t Incarnation = 0;
    for (const auto &Start : Started->second)
      if (Start <= Request.Sent)
        ++Incarnation;
    EffectsByProcess[{Request.Entry, Incarnation}].push_back(
        {Run.Started, Request.Sent, *Version, Run.Id});
  }
  for (auto &[Process, Effects] : EffectsByProcess) {
    std::sort(Effects.begin(), Effects.end(),
              [](const Effect &A, const Effect &B) { return A.At < B.At; });
    for (const auto &Later : Effects)
      for (const auto &Earlier : Effects) {
        if (Earlier.At >= Later.At)
          break;
        if (Later.Version < Earlier.Version &&
            Later.Sent > Earlier.At + this->Bounds.RollbackSlack * 8) {
          Broken.push_back(
              {"never an older version", Later.Id + " after " + Earlier.Id});
          break;
        }
      }
  }
}

void Witness::checkRepeats(Findings &Broken) const {
  struct Event {
    TimePoint At;
    bool Repeat;
  };
  std::map<std::string, std::vector<Event>> ByService;
  std::set<std::string> Arrived;
  std::map<std::string, std::string> ServiceOf;
  for (const auto &Run : this->Runs) {
    auto IsFirst = Arrived.insert(Run.Id).second;
    if (IsFirst)
      ServiceOf[Run.Id] = Run.Service;
    else
      ByService[Run.Service].push_back({Run.Started, true});
  }
  for (const auto &[Id, Request] : this->Requests) {
    auto Found = ServiceOf.find(Id);
    if (Found != ServiceOf.end())
      ByService[Found->second].push_back({Request.Sent, false});
  }
  for (const auto &[Service, Events] : ByService)
    for (const auto &End : Events) {
      double Repeats = 0;
      double Originals = 0;
      for (const auto &E : Events) {
        bool Within =
            E.At <= End.At && E.At > End.At - this->Bounds.RepeatWindow;
        Repeats += Within && E.Repeat ? 1 : 0;
        Originals += Within && !E.Repeat ? 1 : 0;
      }
      if (Repeats <=
          Originals * this->Bounds.RepeatRatio + this->Bounds.RepeatSlack)
        continue;
      Broken.push_back(
          {"bounded repeats", Service + ": " + std::to_string(Repeats) +
                                  " beside " + std::to_string(Originals)});
      break;
    }
}

void Witness::checkAbandonedRequests(Findings &Broken) const {
  unsigned LateArrivals = 0;
  unsigned Expected = 0;
  unsigned StillRunning = 0;
  std::string Example;
  std::string LateExample;
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (Found == this->Requests.end() || !Found->second.Abandoned)
      continue;
    const auto &Request = Found->second;
    auto Limit = *Request.Abandoned + AnswerSlack;
    if (!this->isUndisturbed(Request.Entry, Request.Sent, Limit) ||
        !this->isUndisturbed(Run.Node, Request.Sent, Limit))
      continue;
    if (Run.Started > Limit) {
      ++LateArrivals;
      LateExample = Run.Id + " from " + std::to_string(Request.Entry) + " at " +
                    Run.Target + ", " +
                    millis(Run.Started - *Request.Abandoned) +
                    " after its client left";
    }
    if (!Request.Idempotent || !Run.Executed ||
        Run.Started > *Request.Abandoned)
      continue;
    if ((Run.Ended && *Run.Ended <= *Request.Abandoned) ||
        Run.ExpectedEnd <= Limit)
      continue;
    ++Expected;
    if (Run.Ended && *Run.Ended <= Limit)
      continue;
    ++StillRunning;
    Example = Run.Id + " from " + std::to_string(Request.Entry) + " at " +
              Run.Target + ", abandoned after " +
              millis(*Request.Abandoned - Request.Sent) + ", started " +
              millis(*Request.Abandoned - Run.Started) + " earlier";
  }
  if (LateArrivals > ToleratedCount)
    Broken.push_back({"nothing is passed on for a client that has left",
                      std::to_string(LateArrivals) + " arrived late, one is " +
                          LateExample});
  if (Expected >= MinAbandonedRuns && StillRunning * 4 > Expected)
    Broken.push_back({"work for a client that has left ends",
                      std::to_string(StillRunning) + " of " +
                          std::to_string(Expected) + " went on, one is " +
                          Example});
}

void Witness::checkCrashes(Findings &Broken) const {
  std::map<std::string, std::vector<TimePoint>> CrashesOf;
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (Run.CrashedAt && Found != this->Requests.end())
      CrashesOf[Found->second.Content].push_back(*Run.CrashedAt);
  }
  std::map<std::string, unsigned> LateSends;
  for (auto &[Content, Crashes] : CrashesOf)
    std::sort(Crashes.begin(), Crashes.end());
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (Found == this->Requests.end())
      continue;
    auto Crashes = CrashesOf.find(Found->second.Content);
    if (Crashes == CrashesOf.end() || Crashes->second.size() < FreeCrashes)
      continue;
    auto Limit = Crashes->second[FreeCrashes - 1] + this->Bounds.ContactWindow;
    if (Run.Started > Limit &&
        this->isUndisturbed(Found->second.Entry, Run.Started, Run.Started) &&
        this->isUndisturbed(Run.Node, Run.Started, Run.Started))
      ++LateSends[Found->second.Content];
  }
  for (const auto &[Content, Count] : LateSends)
    if (Count > ToleratedCount)
      Broken.push_back({"a request that crashes targets is kept from them",
                        Content + " was sent " + std::to_string(Count) +
                            " times more after its third crash; " +
                            std::to_string(CrashesOf[Content].size()) +
                            " targets ended"});
  for (const auto &[Id, Request] : this->Requests)
    if (Request.RefusedAsCrashing && !Request.CrashesTargets)
      Broken.push_back({"a sound request is not taken for a crashing one",
                        Id + " for " + Request.Content});
}

std::string Witness::organisationOf(const RequestRecord &Request) const {
  if (Request.IsCall) {
    auto Parent = this->Requests.find(Request.Parent);
    return Parent == this->Requests.end()
               ? ""
               : this->organisationOf(Parent->second);
  }
  auto Key = this->Keys.find(Request.Key);
  return Key == this->Keys.end() ? "" : Key->second.Organisation;
}

bool Witness::mayBeNobodys(const RequestRecord &Request) const {
  if (Request.IsCall) {
    // The node may have forgotten the run only if the run was in vain.
    auto Parent = this->Requests.find(Request.Parent);
    return Parent != this->Requests.end() && Parent->second.Status != 200;
  }
  // On an open route a key may be unknown.
  auto Key = this->Keys.find(Request.Key);
  return Request.IsOpen && Key != this->Keys.end() &&
         (Key->second.Removed || Key->second.Added);
}

void Witness::checkOrganisations(Findings &Broken) const {
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (!Run.Executed || Found == this->Requests.end())
      continue;
    if (Run.HasKey)
      Broken.push_back({"no target gets a key", Run.Id + " at " + Run.Target});
    auto Expected = this->organisationOf(Found->second);
    if (Run.Organisation != Expected &&
        !(Run.Organisation.empty() && this->mayBeNobodys(Found->second)))
      Broken.push_back({"the organisation is told truly",
                        Run.Id + " carried '" + Run.Organisation +
                            "' instead of '" + Expected + "'"});
  }
}

void Witness::checkKeys(Findings &Broken) const {
  if (this->Keys.empty())
    return; // the policy has no organisations
  for (const auto &Run : this->Runs) {
    auto Found = this->Requests.find(Run.Id);
    if (!Run.Executed || Found == this->Requests.end() ||
        Found->second.IsCall || Found->second.IsOpen)
      continue;
    const auto &Request = Found->second;
    auto Key = this->Keys.find(Request.Key);
    if (Key == this->Keys.end()) {
      Broken.push_back({"an unknown key runs nothing", Run.Id});
      continue;
    }
    const auto &Removed = Key->second.Removed;
    if (Removed && Request.Sent > *Removed + this->Bounds.ConfigApply &&
        this->isUndisturbed(Request.Entry, *Removed, Request.Sent, true,
                            StoreRecovery))
      Broken.push_back(
          {"a removed key stops in time",
           Run.Id + ", " + millis(Request.Sent - *Removed) + " after the ack"});
  }
  for (const auto &[Id, Request] : this->Requests) {
    if (Request.Status != 401)
      continue;
    auto Key = this->Keys.find(Request.Key);
    bool IsKnown = Key != this->Keys.end() && !Key->second.Removed;
    bool IsInForce =
        IsKnown &&
        (!Key->second.Added ||
         (Request.Sent > *Key->second.Added + this->Bounds.ConfigApply &&
          this->isUndisturbed(Request.Entry, *Key->second.Added, Request.Sent,
                              true, StoreRecovery)));
    if (Request.IsCall || Request.IsOpen || IsInForce)
      Broken.push_back({"what the policy allows gets no 401", Id});
  }
}

} // namespace limpetdrum::soak
