// Measures the cost of single decisions, and its growth with the number of
// targets, requests in flight and members. Uses the library's objects without
// I/O.
#include "limpetdrum/Limpetdrum.h"
#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/daemon/ServiceDirectory.h"
#include "limpetdrum/request/Allowances.h"
#include "limpetdrum/request/Identification.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <easylogging++.h>
#include <malloc.h>
#include <new>

INITIALIZE_EASYLOGGINGPP

namespace {
std::uint64_t AllocationCount = 0; ///< of the whole process so far
} // namespace

// These count allocations for the benchmarks that report them.
void *operator new(std::size_t Size) {
  ++AllocationCount;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace {

using namespace limpetdrum;

const TimePoint StartTime{std::chrono::hours(1)};

AttemptId attempt(std::uint64_t Number) { return {Incarnation(1), Number}; }

Arrival arrival(std::uint64_t Number, TimePoint Now) {
  Arrival A;
  A.Id = attempt(Number);
  A.Rank = ClassRank(static_cast<std::uint8_t>(Number % 3));
  A.Cohort = static_cast<float>(Number % 97) / 97;
  A.Organisation = Organisation("organisation-" + std::to_string(Number % 20));
  A.Deadline = Now + std::chrono::seconds(2);
  return A;
}

/// One admission and one completion, with the given number of requests in
/// flight.
void admit(benchmark::State &State) {
  auto InFlight = static_cast<std::uint64_t>(State.range(0));
  Admission Gate(Slots(static_cast<std::uint16_t>(InFlight)));
  TimePoint Now = StartTime;
  Gate.announce(Slots(static_cast<std::uint16_t>(InFlight)), Milliseconds(0),
                Now);
  std::uint64_t Number = 0;
  while (Number < InFlight)
    benchmark::DoNotOptimize(Gate.submit(arrival(++Number, Now), Now));
  for (auto _ : State) {
    Now += Microseconds(100);
    ++Number;
    benchmark::DoNotOptimize(
        Gate.complete(attempt(Number - InFlight), Completion::Served, Now));
    benchmark::DoNotOptimize(Gate.submit(arrival(Number, Now), Now));
  }
}
BENCHMARK(admit)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/// Refusal of one arrival at a full queue.
void refuse(benchmark::State &State) {
  auto InFlight = static_cast<std::uint64_t>(State.range(0));
  Admission Gate(Slots(static_cast<std::uint16_t>(InFlight)));
  std::uint64_t Number = 0;
  while (Number < 3 * InFlight)
    benchmark::DoNotOptimize(
        Gate.submit(arrival(++Number, StartTime), StartTime));
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Gate.submit(arrival(++Number, StartTime), StartTime));
}
BENCHMARK(refuse)->Arg(10)->Arg(100)->Arg(1000);

void route(benchmark::State &State) {
  std::vector<RouteCandidate> Candidates;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Candidates.push_back({NodeId("node-" + std::to_string(I)),
                          FailureDomain("d" + std::to_string(I % 16)),
                          Region("r")});
  Router R(FailureDomain("d1"), Region("r"), 1);
  for (auto _ : State) {
    auto Node = R.pick(Candidates, {}, StartTime);
    R.end(*Node, CallResult::Served, Milliseconds(5), StartTime);
  }
}
BENCHMARK(route)->Arg(3)->Arg(12);

void remember(benchmark::State &State) {
  AttemptLedger Ledger(std::chrono::seconds(10));
  auto StoredReply = std::make_shared<const Reply>();
  TimePoint Now = StartTime;
  std::uint64_t Number = 0;
  // Spaces the arrivals so that the ledger retains the given number of attempts
  // within its 10 s.
  auto Gap = Microseconds(10'000'000 / State.range(0));
  for (auto _ : State) {
    Now += Gap;
    ++Number;
    benchmark::DoNotOptimize(Ledger.onArrival(attempt(Number), Now));
    Ledger.dispatch(attempt(Number));
    Ledger.finish(attempt(Number), StoredReply, Now);
  }
}
BENCHMARK(remember)->Arg(100)->Arg(10000)->Arg(100000);

void keyNodes(benchmark::State &State) {
  std::vector<KeyCandidate> Candidates;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Candidates.push_back({NodeId("node-" + std::to_string(I)),
                          FailureDomain("d" + std::to_string(I % 16))});
  std::uint64_t Number = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        findKeyNodes(IdempotencyKey(std::to_string(++Number)), Candidates));
}
BENCHMARK(keyNodes)->Arg(3)->Arg(20);

/// Memory per remembered key, in bytes, with an answer of 200 bytes.
void keyMemory(benchmark::State &State) {
  constexpr std::uint64_t Count = 50000;
  double Bytes = 0;
  for (auto _ : State) {
    KeyLedger Keys(std::chrono::minutes(10), 64U << 20U);
    Reply Answer;
    Answer.Outcome = Outcome::Answered;
    Answer.Body = std::string(200, 'x');
    auto Before = mallinfo2().uordblks;
    for (std::uint64_t I = 0; I < Count; ++I) {
      IdempotencyKey Key("1234567890123456789/ordering/place key-" +
                         std::to_string(I));
      benchmark::DoNotOptimize(Keys.onArrival(
          Key, {NodeId("node-1"), Incarnation(1)}, 5, StartTime));
      Keys.settle(Key, Answer);
    }
    Bytes = static_cast<double>(mallinfo2().uordblks - Before);
  }
  State.counters["bytes/key"] = Bytes / static_cast<double>(Count);
}
BENCHMARK(keyMemory)->Iterations(3)->Unit(benchmark::kMillisecond);

/// Memory per remembered attempt, in bytes, with an answer of 200 bytes.
void attemptMemory(benchmark::State &State) {
  constexpr std::uint64_t Count = 50000;
  double Bytes = 0;
  for (auto _ : State) {
    AttemptLedger Ledger(std::chrono::seconds(10));
    auto Before = mallinfo2().uordblks;
    for (std::uint64_t I = 1; I <= Count; ++I) {
      benchmark::DoNotOptimize(Ledger.onArrival(attempt(I), StartTime));
      Reply Answer;
      Answer.Body = std::string(200, 'x');
      Ledger.finish(attempt(I), std::make_shared<const Reply>(Answer),
                    StartTime);
    }
    Bytes = static_cast<double>(mallinfo2().uordblks - Before);
  }
  State.counters["bytes/attempt"] = Bytes / static_cast<double>(Count);
}
BENCHMARK(attemptMemory)->Iterations(3)->Unit(benchmark::kMillisecond);

void budget(benchmark::State &State) {
  for (auto _ : State) {
    RetryBudget Parent(6);
    RetryBudget Child(Parent.grant(1));
    benchmark::DoNotOptimize(Child.take());
    Parent.refund(Child.remaining());
    benchmark::DoNotOptimize(Parent);
  }
}
BENCHMARK(budget);

TrafficPolicy policyWithKeys(std::int64_t KeyCount) {
  constexpr std::int64_t KeysPerOrganisation = 2;
  std::vector<OrganisationPolicy> Owners;
  for (std::int64_t I = 0; I < KeyCount; ++I) {
    if (I % KeysPerOrganisation == 0) {
      Owners.emplace_back();
      Owners.back().Name = Organisation("customer-" + std::to_string(I));
    }
    Owners.back().Keys.push_back("0123456789abcdef-" + std::to_string(I));
  }
  TrafficRoute Route;
  Route.Services = {{ServiceName("service-1"), 1}};
  return {Revision(1), {Route}, {}, {}, "", Organisations(std::move(Owners))};
}

/// Identification of a request by its key among the given number of keys; at 0
/// the policy has no organisations.
void identifyByKey(benchmark::State &State) {
  auto Policy = policyWithKeys(State.range(0));
  std::vector<std::string> Keys = {"unknown"};
  for (const auto &Owner : Policy.organisations().entries())
    Keys.insert(Keys.end(), Owner.Keys.begin(), Owner.Keys.end());
  std::size_t Next = 0;
  auto Before = AllocationCount;
  for (auto _ : State) {
    Credentials Shown;
    Shown.Key = &Keys[++Next % Keys.size()];
    benchmark::DoNotOptimize(identify(Policy, Policy.routes().front(), Shown));
  }
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(AllocationCount - Before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(identifyByKey)->Arg(0)->Arg(70)->Arg(20000);

/// A request taken out of the allowance of one of the given number of
/// organisations; at 0 of one that has no allowance.
void takeAllowance(benchmark::State &State) {
  std::vector<OrganisationPolicy> Owners(
      static_cast<std::size_t>(std::max<std::int64_t>(1, State.range(0))));
  for (std::size_t I = 0; I < Owners.size(); ++I) {
    Owners[I].Name = Organisation("customer-" + std::to_string(I));
    Owners[I].RatePerSecond = State.range(0) == 0 ? 0 : 1e6;
    Owners[I].Burst = Owners[I].RatePerSecond;
  }
  Allowances Parts(1);
  Parts.setFleetSize(1);
  TimePoint Now = StartTime;
  for (const auto &Owner : Owners)
    benchmark::DoNotOptimize(Parts.take(Owner, Now));
  std::size_t Next = 0;
  auto Before = AllocationCount;
  for (auto _ : State) {
    Now += Microseconds(100);
    benchmark::DoNotOptimize(Parts.take(Owners[++Next % Owners.size()], Now));
  }
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(AllocationCount - Before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(takeAllowance)->Arg(0)->Arg(70)->Arg(20000);

Member member(std::int64_t Number) {
  Member M;
  M.Node = NodeId("node-" + std::to_string(Number));
  M.Incarnation = Incarnation(1);
  M.Service = ServiceName("service-" + std::to_string(Number % 100));
  M.FailureDomain = FailureDomain("d" + std::to_string(Number % 16));
  M.Region = Region("r" + std::to_string(Number % 7));
  M.Target = TargetState::Ready;
  M.Gossip = {0x0a000000U + static_cast<std::uint32_t>(Number), 7403};
  return M;
}

Membership fleet(std::int64_t Size) {
  Membership M(member(0), {}, 1);
  std::vector<Member> Peers;
  for (std::int64_t I = 1; I < Size; ++I)
    Peers.push_back(member(I));
  benchmark::DoNotOptimize(M.merge(Peers, StartTime));
  return M;
}

/// One tick of a node without pending updates, including the encoding of its
/// datagrams.
void quietTick(benchmark::State &State) {
  auto M = fleet(State.range(0));
  TimePoint Now = StartTime;
  for (auto _ : State) {
    Now += Milliseconds(50);
    for (const auto &Outgoing : M.tick(Now).Send)
      benchmark::DoNotOptimize(codec::encode(Outgoing.Message));
  }
}
BENCHMARK(quietTick)->Arg(25)->Arg(200)->Arg(2000);

/// Propagation of one update: its receipt, and all rounds in which the node
/// sends it on.
void news(benchmark::State &State) {
  auto M = fleet(State.range(0));
  TimePoint Now = StartTime;
  std::uint32_t Version = 0;
  for (auto _ : State) {
    GossipMessage Message;
    Message.Sender = NodeId("node-1");
    auto Update = member(2);
    Update.Version = ++Version;
    Message.Updates.push_back(Update);
    benchmark::DoNotOptimize(M.receive(Message, Now));
    for (int Round = 0; Round < 6; ++Round) {
      Now += Milliseconds(100);
      for (const auto &Outgoing : M.tick(Now).Send)
        benchmark::DoNotOptimize(codec::encode(Outgoing.Message));
    }
  }
}
BENCHMARK(news)->Arg(25)->Arg(200)->Arg(2000);

/// Lookup of the route candidates of a request, and of the two nodes of its
/// key.
void lookUpService(benchmark::State &State) {
  auto M = fleet(State.range(0));
  ServiceDirectory Directory(M);
  ServiceName Service("service-1");
  IdempotencyKey Key("orders/place 1");
  for (auto _ : State) {
    benchmark::DoNotOptimize(Directory.routeCandidates(Service));
    benchmark::DoNotOptimize(
        findKeyNodes(Key, Directory.keyCandidates(Service)));
  }
}
BENCHMARK(lookUpService)->Arg(200)->Arg(2000);

Release release(std::int64_t Services) {
  Release R;
  R.Revision = Revision(1);
  R.Classes["order"] = {"order", 1};
  for (std::int64_t I = 0; I < Services; ++I) {
    Service S;
    S.Name = ServiceName("service-" + std::to_string(I));
    for (const auto *Name : {"read", "write", "list"}) {
      Route Entry;
      Entry.Path = "/" + S.Name.value() + "/" + Name;
      Entry.Class = "order";
      if (I > 0)
        Entry.Calls = {"/service-" + std::to_string(I - 1) + "/read"};
      S.Routes.push_back(Entry);
    }
    R.Services[S.Name.value()] = S;
  }
  return R;
}

/// Compilation of a release from its text, whose size in bytes is reported.
void takeRelease(benchmark::State &State) {
  auto Text = toYaml(release(State.range(0)));
  for (auto _ : State)
    benchmark::DoNotOptimize(CompiledRelease(Text));
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(takeRelease)
    ->Arg(4)
    ->Arg(29)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
