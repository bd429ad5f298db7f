// A rolling restart of two machines. Requests that reach the first of them
// after it has decided to end are run by its upstream and then cut.
#include "../standins/Harness.h"

using namespace review;

namespace {

constexpr double TrafficSeconds = 8;
/// Time from one machine's SIGTERM to the next one's, as in a rolling restart.
constexpr double Gap = 1.0;
constexpr double RequestsPerSecond = 5;
constexpr int WorkMillis = 110;
constexpr int BudgetMillis = 5000;
constexpr double GracePeriod = 6;

} // namespace

int main(int Count, char **Args) {
  begin(Count, Args);
  Store Objects("127.0.0.1");
  Objects.write(
      "config", "main",
      manifest(7,
               {{"r-drop", route("/drop/", "unsafe", "levering", 5000)},
                {"r-list", route("/list/", "safe", "katalog", 5000)}},
               {"levering", "katalog"}));
  Machine A("sidecar-trd-a-1", "trd-a", "levering", Objects.address());
  Machine B("sidecar-trd-b-1", "trd-b", "katalog", Objects.address());
  Upstream OfA(A, "i-a1", 90);
  Upstream OfB(B, "i-b1", 90);
  for (auto *Each : {&A, &B})
    Each->start(true);
  OfA.startReports();
  OfB.startReports();
  if (!waitUntilReady({&A, &B}, 15))
    return CannotRun;
  sleepFor(2);

  std::mutex Lock;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Clients;
  auto Start = now();
  double TermOfB = -1;
  std::thread Platform([&]() {
    if (!hasTrouble())
      return;
    sleepFor(1.5);
    std::thread First([&]() {
      A.stop();
      A.start(false);
    });
    sleepFor(Gap);
    TermOfB = now();
    B.stop();
    B.start(false);
    First.join();
  });
  RequestOptions Options;
  Options.Method = "PUT";
  Options.Path = "/drop/w" + std::to_string(WorkMillis) + "/b6000";
  Options.Body = std::string(300, 'd');
  Options.BudgetMillis = BudgetMillis;
  Options.MayKeep = false;
  for (int I = 0; I < TrafficSeconds * RequestsPerSecond; ++I) {
    sleepFor(Start + I / RequestsPerSecond - now());
    Clients.emplace_back([&]() {
      auto Id = newId();
      Outcome Value;
      Value.Id = Id;
      Value.Sent = now();
      if (auto Peer = connectTo(B.Outbound, now() + 1))
        Value = ask(*Peer, Options, Id);
      Record::line(describe(Value));
      std::lock_guard<std::mutex> Guard(Lock);
      Outcomes.push_back(Value);
    });
  }
  for (auto &Each : Clients)
    Each.join();
  Platform.join();

  // LOST: around the SIGTERM of the machine that took a request from its
  // client, the request is broken off at its upstream and the machine answers
  // in the upstream's place, or not at all.
  std::map<std::string, Run> ById;
  for (const auto &Each : OfA.runs())
    ById[Each.Id] = Each;
  int Served = 0;
  int Lost = 0;
  for (const auto &Each : Outcomes) {
    Served += Each.Status == 200 && Each.IsComplete ? 1 : 0;
    auto Found = ById.find(Each.Id);
    bool IsAround = TermOfB >= 0 && Each.Ended >= TermOfB &&
                    Each.Sent <= TermOfB + GracePeriod + 1;
    if (!IsAround || Found == ById.end() || Found->second.IsAnswered)
      continue;
    bool IsOwnAnswer = Each.Status != 0 && !Each.HasReceipt;
    bool IsOverBudget = Each.Ended - Each.Sent >= BudgetMillis / 1000.0;
    if ((IsOwnAnswer || Each.IsClosedByNode) && !IsOverBudget) {
      ++Lost;
      Record::line("LOST: " + describe(Each) + "; its upstream was at work");
    }
  }
  Record::line(std::to_string(Outcomes.size()) + " requests, " +
               std::to_string(Served) + " served, " + std::to_string(Lost) +
               " broken off after SIGTERM");
  Objects.stop();
  if (Served < 20)
    return CannotRun;
  return Lost > 0 ? Broken : Held;
}
