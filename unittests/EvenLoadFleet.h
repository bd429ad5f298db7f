#ifndef LIMPETDRUM_UNITTESTS_EVENLOADFLEET_H
#define LIMPETDRUM_UNITTESTS_EVENLOADFLEET_H

#include "FakeClock.h"
#include "limpetdrum/request/Placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace limpetdrum::test {

/// \brief How a node chooses among candidates; one object for each node.
struct Chooser {
  virtual ~Chooser() = default;
  virtual std::optional<NodeId>
  pick(const std::vector<PlacementCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now) = 0;
  virtual void end(const NodeId &Node, CallResult Result, TimePoint Now) = 0;
  virtual void onReport(const NodeId &Node, TimePoint Now) = 0;
};

using MakeChooser = std::function<std::unique_ptr<Chooser>(
    const FailureDomain &Domain, std::uint64_t Seed)>;

/// \brief What is played.
struct Scenario {
  double Load = 0.75; ///< mean demand, as a share of what all targets serve
  double Clump = 1;   ///< demand of 1 s in each 4 s, as a multiple of the mean
  double Lost = 0.1;  ///< share of the load messages that are lost
  double CutOff = 0;  ///< share of the nodes that get no load messages
  double Slowed = 0;  ///< share of the time in which an instance is slowed
  double Short = 0; ///< share of requests that run for a twentieth of the mean
  bool SharedTick = false; ///< all nodes choose every 50 ms, at the same time
  bool Cold = false;  ///< a target joins empty at 6 s, and runs slow for 3 s
  bool Hangs = false; ///< two targets run nothing from 6 s to 10 s
  bool Ends = false;  ///< a target ends at 10 s
  std::size_t SlotsEach = 20; ///< of a target
};

/// \brief What callers got.
struct CallerView {
  std::size_t Requests = 0;
  std::size_t InTime = 0; ///< served within AimTime
  std::size_t Lost = 0;   ///< refused at every try
  /// Refused at the first try while a linked target had free slots.
  std::size_t NeedlesslyRefused = 0;
  /// Queued for longer than MaxIdleWait while a linked target had free slots.
  std::size_t NeedlesslyQueued = 0;
  std::size_t BetweenDomains = 0; ///< tries in another failure domain
  std::size_t Tries = 0;
  double BusiestShare = 0; ///< mean over time of the busiest target's load, as
                           ///< a multiple of its fair part
  double MeanMs = 0;       ///< time to the answer
  [[nodiscard]] double share(std::size_t Part) const {
    return static_cast<double>(Part) / static_cast<double>(this->Requests);
  }
};

/// \brief Nodes that choose for their own requests from old news, and targets
///   of three speeds. Steps of one millisecond; no network, and no threads.
class EvenLoadFleet {
public:
  /// Latency target of callers, whose requests run for 100 ms on average at a
  /// target of usual speed: three times that, as for counter staff who wait.
  static constexpr Milliseconds AimTime{300};
  /// The slowest targets need 167 ms for an average request, and up to 240 for
  /// most; a request that waits longer than this misses its aim there.
  static constexpr Milliseconds MaxIdleWait{60};

  EvenLoadFleet(const Scenario &Play, const MakeChooser &Make,
                std::uint64_t Seed);
  [[nodiscard]] CallerView run(Milliseconds Span);

private:
  static constexpr std::size_t Nodes = 100;
  static constexpr std::size_t TargetCount = 30;
  static constexpr std::size_t DomainCount = 3;
  static constexpr std::size_t LinksEach = 8; ///< own domain, and others
  static constexpr std::size_t MaxTries = 3;
  static constexpr Milliseconds Timeout{700};
  static constexpr double WorkMs = 100;
  static constexpr double ReplyMs = 1;

  struct Request {
    std::size_t Node = 0;
    TimePoint Begin;     ///< at the caller
    TimePoint Queued;    ///< at the target
    double WorkLeft = 0; ///< milliseconds at a target of usual speed
    std::vector<NodeId> Excluded;
  };
  struct Target {
    NodeId Name;
    FailureDomain Domain;
    double Speed = 1;
    double Pace = 1; ///< time of work, as a multiple of the usual time
    TimePoint PaceUntil;
    TimePoint WarmAt{};
    bool IsUp = true;
    std::vector<Request> Running;
    std::deque<Request> Queue;
    double TypicalMs = 0; ///< smoothed time of a run
    TimePoint HangsUntil{};
    double LoadSum = 0; ///< in this second
  };
  struct News {
    TimePoint At;
    TimePoint TakenAt;
    std::size_t Node;
    std::size_t Target;
    PlacementCandidate State;
  };
  struct Decider {
    std::unique_ptr<Chooser> Choice;
    std::vector<std::size_t> Links;
    std::vector<PlacementCandidate> Known;
    std::map<NodeId, TimePoint> TakenAt; ///< when the known state was so
    bool IsCutOff = false;
    FailureDomain Domain;
  };

  void timeOut(Target &T);
  [[nodiscard]] double uniform() { return this->Unit(this->Random); }
  [[nodiscard]] PlacementCandidate stateOf(const Target &T) const;
  void offer(double PerMs);
  void place(Request Value);
  void advanceTarget(std::size_t Index);
  void deliver();
  void broadcast();
  void learn(Decider &Receiver, const PlacementCandidate &State,
             TimePoint TakenAt);
  [[nodiscard]] bool isRoomElsewhere(const Decider &D) const;
  void finish(std::size_t Index, const Request &Done);
  void applyEvents(Milliseconds Passed);
  void sampleEvenness();

  Scenario Play;
  FakeClock Clock;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  std::vector<Target> Targets;
  std::vector<Decider> Deciders;
  std::vector<News> Underway;
  std::vector<Request> Waiting; ///< for the shared tick
  CallerView View;
  double TimeSumMs = 0;
  std::size_t Served = 0;
  std::size_t Samples = 0;
};

inline EvenLoadFleet::EvenLoadFleet(const Scenario &Play,
                                    const MakeChooser &Make, std::uint64_t Seed)
    : Play(Play), Random(Seed) {
  auto DomainName = [](std::size_t I) {
    return FailureDomain(std::string(1, static_cast<char>('a' + I)));
  };
  const double Speeds[] = {0.6, 1.0, 1.6};
  for (std::size_t I = 0; I < TargetCount; ++I) {
    Target T;
    T.Name = NodeId("t" + std::to_string(I));
    T.Domain = DomainName(I % DomainCount);
    T.Speed = Speeds[I / DomainCount % std::size(Speeds)];
    T.IsUp = !Play.Cold || I != 0;
    this->Targets.push_back(std::move(T));
  }
  for (std::size_t I = 0; I < Nodes; ++I) {
    Decider D;
    D.Domain = DomainName(I % DomainCount);
    D.Choice = Make(D.Domain, Seed * Nodes + I);
    D.IsCutOff =
        static_cast<double>(I) < Play.CutOff * static_cast<double>(Nodes);
    std::vector<std::size_t> Order(TargetCount);
    for (std::size_t T = 0; T < TargetCount; ++T)
      Order[T] = T;
    std::shuffle(Order.begin(), Order.end(), this->Random);
    std::size_t Own = 0;
    std::size_t Other = 0;
    for (auto T : Order) {
      auto &Count = this->Targets[T].Domain == D.Domain ? Own : Other;
      if (Count++ < LinksEach)
        D.Links.push_back(T);
    }
    for (auto T : D.Links)
      if (this->Targets[T].IsUp)
        this->learn(D, this->stateOf(this->Targets[T]), this->Clock.now());
    this->Deciders.push_back(std::move(D));
  }
}

inline PlacementCandidate EvenLoadFleet::stateOf(const Target &T) const {
  PlacementCandidate State;
  State.Node = T.Name;
  State.FailureDomain = T.Domain;
  State.Outstanding =
      static_cast<std::uint32_t>(T.Running.size() + T.Queue.size());
  State.Limit = static_cast<std::uint32_t>(this->Play.SlotsEach);
  State.ServiceTime = Microseconds(static_cast<int>(T.TypicalMs * 1000));
  State.Pace = static_cast<std::uint16_t>(T.Pace * 100);
  return State;
}

inline void EvenLoadFleet::learn(Decider &Receiver,
                                 const PlacementCandidate &State,
                                 TimePoint TakenAt) {
  auto Found =
      std::find_if(Receiver.Known.begin(), Receiver.Known.end(),
                   [&](const auto &Known) { return Known.Node == State.Node; });
  if (Found == Receiver.Known.end())
    Receiver.Known.push_back(State);
  else
    *Found = State;
  Receiver.TakenAt[State.Node] = TakenAt;
  Receiver.Choice->onReport(State.Node, this->Clock.now());
}

inline bool EvenLoadFleet::isRoomElsewhere(const Decider &D) const {
  return std::any_of(D.Links.begin(), D.Links.end(), [&](auto I) {
    const auto &T = this->Targets[I];
    return T.IsUp && T.Running.size() < this->Play.SlotsEach;
  });
}

inline void EvenLoadFleet::offer(double PerMs) {
  std::poisson_distribution<int> Count(PerMs);
  constexpr double ShortFactor = 0.05;
  auto LongFactor =
      (1 - this->Play.Short * ShortFactor) / (1 - this->Play.Short);
  std::lognormal_distribution<double> Work(std::log(WorkMs) - 0.125, 0.5);
  for (int I = Count(this->Random); I > 0; --I) {
    Request New;
    New.Node = static_cast<std::size_t>(this->uniform() * Nodes);
    New.Begin = this->Clock.now();
    bool IsShort = this->uniform() < this->Play.Short;
    New.WorkLeft = Work(this->Random) * (IsShort ? ShortFactor : LongFactor);
    ++this->View.Requests;
    this->Waiting.push_back(std::move(New));
  }
  auto Now = this->Clock.now().time_since_epoch() / Milliseconds(1);
  if (this->Play.SharedTick && Now % 50 != 0)
    return;
  for (auto &Value : std::exchange(this->Waiting, {}))
    this->place(std::move(Value));
}

inline void EvenLoadFleet::place(Request Value) {
  auto &D = this->Deciders[Value.Node];
  auto Now = this->Clock.now();
  while (Value.Excluded.size() < MaxTries) {
    auto Node = D.Choice->pick(D.Known, Value.Excluded, Now);
    if (!Node)
      break;
    auto &T =
        *std::find_if(this->Targets.begin(), this->Targets.end(),
                      [&](const auto &Each) { return Each.Name == *Node; });
    ++this->View.Tries;
    this->View.BetweenDomains += T.Domain == D.Domain ? 0 : 1;
    if (T.IsUp && T.Queue.size() < this->Play.SlotsEach) {
      Value.Queued = Now;
      T.Queue.push_back(std::move(Value));
      return;
    }
    if (Value.Excluded.empty() && T.IsUp && this->isRoomElsewhere(D))
      ++this->View.NeedlesslyRefused;
    if (T.IsUp)
      this->learn(D, this->stateOf(T), this->Clock.now());
    D.Choice->end(*Node, T.IsUp ? CallResult::Refused : CallResult::Failed,
                  Now);
    Value.Excluded.push_back(*Node);
  }
  ++this->View.Lost;
}

inline void EvenLoadFleet::finish(std::size_t Index, const Request &Done) {
  auto &D = this->Deciders[Done.Node];
  auto &T = this->Targets[Index];
  this->learn(D, this->stateOf(T), this->Clock.now());
  D.Choice->end(T.Name, CallResult::Served, this->Clock.now());
  auto Passed = this->Clock.now() - Done.Begin;
  this->View.InTime += Passed <= AimTime ? 1 : 0;
  this->TimeSumMs += std::chrono::duration<double, std::milli>(Passed).count();
  ++this->Served;
}

inline void EvenLoadFleet::advanceTarget(std::size_t Index) {
  auto &T = this->Targets[Index];
  auto Now = this->Clock.now();
  if (Now >= T.PaceUntil) {
    T.Pace = this->uniform() < this->Play.Slowed ? 2.5 : 1;
    T.PaceUntil =
        Now + Milliseconds(100 + static_cast<int>(this->uniform() * 400));
  }
  if (Now < T.HangsUntil) {
    this->timeOut(T);
    return;
  }
  double Step = T.Speed / T.Pace / (Now < T.WarmAt ? 2 : 1);
  std::vector<Request> Done;
  for (std::size_t I = 0; I < T.Running.size();) {
    T.Running[I].WorkLeft -= Step;
    if (T.Running[I].WorkLeft > 0) {
      ++I;
      continue;
    }
    Done.push_back(std::move(T.Running[I]));
    std::swap(T.Running[I], T.Running.back());
    T.Running.pop_back();
  }
  while (T.Running.size() < this->Play.SlotsEach && !T.Queue.empty()) {
    auto Next = std::move(T.Queue.front());
    T.Queue.pop_front();
    if (Now - Next.Queued > MaxIdleWait &&
        this->isRoomElsewhere(this->Deciders[Next.Node]))
      ++this->View.NeedlesslyQueued;
    Next.Queued = Now; // from now on, the start of the run
    T.Running.push_back(std::move(Next));
  }
  for (const auto &Each : Done) {
    auto Ms =
        std::chrono::duration<double, std::milli>(Now - Each.Queued).count();
    T.TypicalMs += (T.TypicalMs == 0 ? 1 : 0.1) * (Ms - T.TypicalMs);
    this->finish(Index, Each);
  }
  T.LoadSum += static_cast<double>(T.Running.size() + T.Queue.size());
}

inline void EvenLoadFleet::timeOut(Target &T) {
  auto Now = this->Clock.now();
  auto Cull = [&](auto &Requests) {
    auto Kept = std::stable_partition(
        Requests.begin(), Requests.end(),
        [&](const auto &Each) { return Now - Each.Begin < Timeout; });
    for (auto Each = Kept; Each != Requests.end(); ++Each) {
      auto &D = this->Deciders[Each->Node];
      D.Choice->end(T.Name, CallResult::Failed, Now);
      ++this->View.Lost;
    }
    Requests.erase(Kept, Requests.end());
  };
  Cull(T.Running);
  Cull(T.Queue);
}

inline void EvenLoadFleet::broadcast() {
  for (std::size_t N = 0; N < Nodes; ++N) {
    auto &D = this->Deciders[N];
    if (D.IsCutOff)
      continue;
    for (auto I : D.Links) {
      const auto &T = this->Targets[I];
      if (!T.IsUp || this->uniform() < this->Play.Lost)
        continue;
      // One message in ten takes up to two seconds.
      auto DelayMs = this->uniform() < 0.1 ? 100 + 1900 * this->uniform() : 100;
      this->Underway.push_back(
          {this->Clock.now() + Milliseconds(static_cast<int>(DelayMs)),
           this->Clock.now(), N, I, this->stateOf(T)});
    }
  }
}

inline void EvenLoadFleet::deliver() {
  auto Now = this->Clock.now();
  auto Rest = std::partition(this->Underway.begin(), this->Underway.end(),
                             [&](const auto &Each) { return Each.At > Now; });
  for (auto Each = Rest; Each != this->Underway.end(); ++Each)
    // What a later reply has told is not replaced by an older message.
    if (auto &D = this->Deciders[Each->Node];
        this->Targets[Each->Target].IsUp &&
        Each->TakenAt > D.TakenAt[Each->State.Node])
      this->learn(D, Each->State, Each->TakenAt);
  this->Underway.erase(Rest, this->Underway.end());
}

inline void EvenLoadFleet::applyEvents(Milliseconds Passed) {
  if (this->Play.Cold && Passed == std::chrono::seconds(6)) {
    this->Targets[0].IsUp = true;
    this->Targets[0].WarmAt = this->Clock.now() + std::chrono::seconds(3);
    for (auto &D : this->Deciders)
      if (std::count(D.Links.begin(), D.Links.end(), 0U) > 0)
        this->learn(D, this->stateOf(this->Targets[0]), this->Clock.now());
  }
  if (this->Play.Hangs && Passed == std::chrono::seconds(6))
    for (std::size_t I : {2U, 5U})
      this->Targets[I].HangsUntil = this->Clock.now() + std::chrono::seconds(4);
  if (!this->Play.Ends || Passed != std::chrono::seconds(10))
    return;
  auto &T = this->Targets[1];
  T.IsUp = false;
  auto Cut = std::exchange(T.Running, {});
  for (auto &Each : std::exchange(T.Queue, {}))
    Cut.push_back(std::move(Each));
  for (const auto &Each : Cut) {
    this->Deciders[Each.Node].Choice->end(T.Name, CallResult::Failed,
                                          this->Clock.now());
    ++this->View.Lost;
  }
  for (auto &D : this->Deciders)
    D.Known.erase(
        std::remove_if(D.Known.begin(), D.Known.end(),
                       [&](const auto &Known) { return Known.Node == T.Name; }),
        D.Known.end());
}

inline void EvenLoadFleet::sampleEvenness() {
  double Busiest = 0;
  double Sum = 0;
  std::size_t Up = 0;
  for (auto &T : this->Targets) {
    Busiest = std::max(Busiest, T.LoadSum);
    Sum += T.LoadSum;
    Up += T.IsUp ? 1 : 0;
    T.LoadSum = 0;
  }
  this->View.BusiestShare += Busiest * static_cast<double>(Up) / Sum;
  ++this->Samples;
}

inline CallerView EvenLoadFleet::run(Milliseconds Span) {
  double PerMs = 0;
  for (const auto &T : this->Targets)
    PerMs += this->Play.Load * static_cast<double>(this->Play.SlotsEach) *
             T.Speed / WorkMs;
  auto Calm = (4 - this->Play.Clump) / 3;
  for (Milliseconds T{0}; T < Span; T += Milliseconds(1)) {
    this->Clock.advance(Milliseconds(1));
    this->applyEvents(T);
    this->deliver();
    if (T.count() % 500 == 0)
      this->broadcast();
    this->offer(PerMs * (T.count() / 1000 % 4 == 2 ? this->Play.Clump : Calm));
    for (std::size_t I = 0; I < TargetCount; ++I)
      if (this->Targets[I].IsUp)
        this->advanceTarget(I);
    if (T.count() % 250 == 249)
      this->sampleEvenness();
  }
  this->View.BusiestShare /= static_cast<double>(this->Samples);
  this->View.MeanMs = this->TimeSumMs / static_cast<double>(this->Served);
  return this->View;
}

} // namespace limpetdrum::test

#endif
