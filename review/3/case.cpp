// A client sends a body that the manifest allows. The node copies it until its
// memory goes over the machine's limit, and the platform kills it, as it does
// with any process over the limit; requests that it holds are lost.
#include "../standins/Harness.h"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t MemoryLimit = 260U * 1024U * 1024U;
/// The manifest's max-body-bytes is 67108864.
constexpr std::size_t LargeBodyBytes = 60U * 1000U * 1000U;
/// The longest body of the site's own classes.
constexpr std::size_t UsualBodyBytes = 24000;
constexpr int KeptConnections = 8;
constexpr int BudgetMillis = 5000;

/// Kills a process that exceeds the memory of its machine.
class MemoryGuard {
public:
  explicit MemoryGuard(Machine &Host) : Host(Host) {
    this->Watcher = std::thread([this]() {
      while (!this->Stopped) {
        auto Peak = this->Host.peakMemory();
        this->Highest = std::max<std::size_t>(this->Highest, Peak);
        if (Peak > MemoryLimit && !this->HasKilled) {
          this->HasKilled = true;
          Record::line("platform: " + this->Host.Name + " uses " +
                       std::to_string(Peak / 1048576) +
                       " MB, over its limit of 260 MB: it is killed");
          this->Host.signal(SIGKILL);
        }
        sleepFor(0.01);
      }
    });
  }
  ~MemoryGuard() {
    this->Stopped = true;
    this->Watcher.join();
  }
  std::atomic<bool> HasKilled{false};
  std::atomic<std::size_t> Highest{0};

private:
  Machine &Host;
  std::atomic<bool> Stopped{false};
  std::thread Watcher;
};

} // namespace

int main(int Count, char **Args) {
  begin(Count, Args);
  Store Objects("127.0.0.1");
  Objects.write(
      "config", "main",
      manifest(7,
               {{"r-list", route("/list/", "safe", "katalog", 5000)},
                {"r-order", route("/order/", "unsafe", "katalog", 5000)}},
               {"bestilling", "katalog"}));
  Machine A("sidecar-trd-a-1", "trd-a", "bestilling", Objects.address());
  Machine B("sidecar-trd-b-1", "trd-b", "katalog", Objects.address());
  Machine C("sidecar-trd-c-1", "trd-c", "katalog", Objects.address());
  Upstream OfA(A, "i-a1", 90);
  Upstream OfB(B, "i-b1", 90);
  Upstream OfC(C, "i-c1", 90);
  for (auto *Each : {&A, &B, &C})
    Each->start(true);
  for (auto *Each : {&OfA, &OfB, &OfC})
    Each->startReports();
  if (!waitUntilReady({&A, &B, &C}, 15))
    return CannotRun;
  sleepFor(2);
  MemoryGuard GuardA(A);
  MemoryGuard GuardB(B);
  MemoryGuard GuardC(C);

  std::mutex Lock;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
  for (int I = 0; I < KeptConnections; ++I)
    Threads.emplace_back([&]() {
      auto Peer = connectTo(A.Outbound, now() + 1);
      RequestOptions Options;
      Options.Path = "/list/w20/b400";
      Options.BudgetMillis = BudgetMillis;
      auto First = Peer ? ask(*Peer, Options, newId()) : Outcome();
      Record::line(describe(First));
      if (!First.IsComplete)
        return;
      // The connection is kept for the next request, an order.
      Options.Method = "POST";
      Options.Path = "/order/w1500/b5000";
      Options.Body = std::string(4000, 'o');
      auto Second = ask(*Peer, Options, newId());
      Record::line(describe(Second));
      std::lock_guard<std::mutex> Guard(Lock);
      Outcomes.push_back(Second);
    });
  sleepFor(0.3);
  auto Peer = connectTo(A.Outbound, now() + 1);
  RequestOptions Options;
  Options.Method = "POST";
  Options.Path = "/order/w20/b400";
  Options.BudgetMillis = BudgetMillis;
  Options.Body =
      std::string(hasTrouble() ? LargeBodyBytes : UsualBodyBytes, 'x');
  if (!Peer)
    return CannotRun;
  Record::line("client: sends a body of " +
               std::to_string(Options.Body.size()) + " bytes");
  auto Large = ask(*Peer, Options, newId());
  Record::line(describe(Large));
  for (auto &Each : Threads)
    Each.join();

  // LOST: a request from a kept connection was passed on to a sound upstream,
  // and the connection is closed without an answer, more than three times.
  int Passed = 0;
  int Lost = 0;
  std::map<std::string, Run> ById;
  for (auto *Each : {&OfB, &OfC})
    for (const auto &Value : Each->runs())
      ById[Value.Id] = Value;
  for (const auto &Each : Outcomes) {
    bool IsPassed = ById.count(Each.Id) != 0;
    Passed += IsPassed ? 1 : 0;
    if (!IsPassed || !Each.IsClosedByNode || Each.IsComplete)
      continue;
    ++Lost;
    Record::line("LOST: " + describe(Each) +
                 "; it had been passed on to a sound upstream");
  }
  Record::line(
      "peak memory in MB: " + std::to_string(GuardA.Highest / 1000000) + ", " +
      std::to_string(GuardB.Highest / 1000000) + ", " +
      std::to_string(GuardC.Highest / 1000000));
  Record::line(std::to_string(Passed) +
               " requests of kept connections passed on, " +
               std::to_string(Lost) + " closed without an answer");
  Objects.stop();
  if (Passed < KeptConnections)
    return CannotRun;
  return Lost > 3 ? Broken : Held;
}
