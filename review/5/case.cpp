// An upstream takes its leave, and serves on for some seconds. All processes of
// the system are killed and started again, and a status report of before
// arrives late. The upstream is in use again.
#include "../standins/Harness.h"

#include <csignal>

using namespace review;

namespace {

constexpr double DrainTimeout = 2;
constexpr double ContactWindow = 3;
constexpr double DownSeconds = 0.5;
/// Time from the ack of the leave until the late report arrives.
constexpr double ReportDelay = 2;
/// Time from the ack until the upstream exits.
constexpr double ServesOn = 8;
constexpr double RequestsPerSecond = 10;
constexpr int WorkMillis = 300;

} // namespace

int main(int Count, char **Args) {
  begin(Count, Args);
  Store Objects("127.0.0.1");
  Objects.write(
      "config", "main",
      manifest(7, {{"r-drop", route("/drop/", "unsafe", "levering", 5000)}},
               {"bestilling", "levering"}));
  Machine A("sidecar-trd-a-1", "trd-a", "bestilling", Objects.address());
  Machine B("sidecar-trd-b-1", "trd-b", "levering", Objects.address());
  Machine C("sidecar-trd-c-1", "trd-c", "levering", Objects.address());
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

  // The last report of the upstream is on its way when it takes its leave. It
  // never reports that it drains.
  OfB.ReportsStopped = true;
  sleepFor(0.3);
  auto LateSequence = OfB.sequence() + 1;
  OfB.Leaving = true;
  if (!OfB.withdraw())
    return CannotRun;
  auto Ack = now();
  Record::line("upstream i-b1: its DELETE is acknowledged");
  std::vector<std::thread> Others;
  if (hasTrouble()) {
    sleepFor(0.2);
    Record::line("platform: all processes are killed");
    for (auto *Each : {&A, &B, &C})
      Each->signal(SIGKILL);
    sleepFor(DownSeconds);
    for (auto *Each : {&A, &B, &C}) {
      while (!Each->hasEnded())
        sleepFor(0.005);
      Each->start(false);
    }
  }
  auto BackAt = now();
  Others.emplace_back([&]() {
    sleepFor(Ack + ReportDelay - now());
    bool IsAcked = OfB.report("ready", LateSequence);
    Record::line(std::string("upstream i-b1: a status report of before its "
                             "leave (ready) arrives late, ") +
                 (IsAcked ? "acknowledged" : "not acknowledged"));
  });
  Others.emplace_back([&]() {
    sleepFor(Ack + ServesOn - now());
    Record::line("upstream i-b1: exits");
    OfB.stop();
  });

  std::mutex Lock;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Clients;
  for (int I = 0; now() < Ack + ServesOn + 1; ++I) {
    sleepFor(BackAt + 0.5 + I / RequestsPerSecond - now());
    Clients.emplace_back([&]() {
      RequestOptions Options;
      Options.Method = "PUT";
      Options.Path = "/drop/w" + std::to_string(WorkMillis) + "/b400";
      Options.Body = std::string(300, 'd');
      Options.MayKeep = false;
      Outcome Value;
      Value.Id = newId();
      Value.Sent = now();
      if (auto Peer = connectTo(A.Outbound, now() + 1))
        Value = ask(*Peer, Options, Value.Id);
      Record::line(describe(Value));
      std::lock_guard<std::mutex> Guard(Lock);
      Outcomes.push_back(Value);
    });
  }
  for (auto &Each : Clients)
    Each.join();
  for (auto &Each : Others)
    Each.join();

  // DRAIN: a request reaches an upstream later than `drain-timeout` after the
  // ack that it is gone, taken from the client and sent on by machines in
  // touch: for `contact-window` since their start.
  int Late = 0;
  int Cut = 0;
  int Served = 0;
  for (const auto &Each : Outcomes)
    Served += Each.Status == 200 && Each.IsComplete ? 1 : 0;
  for (const auto &Each : OfB.runs()) {
    bool IsLate = Each.Arrived > Ack + DrainTimeout &&
                  Each.Arrived > BackAt + ContactWindow + 0.2;
    if (!IsLate)
      continue;
    ++Late;
    Cut += Each.IsAnswered ? 0 : 1;
    Record::line("DRAIN: " + Each.Id + " reaches i-b1 " +
                 std::to_string(Each.Arrived - Ack) +
                 " s after the ack of its leave" +
                 (Each.IsAnswered ? "" : ", and is cut as i-b1 exits"));
  }
  Record::line(std::to_string(Outcomes.size()) + " requests, " +
               std::to_string(Served) + " served, " + std::to_string(Late) +
               " sent to the upstream that had left, " + std::to_string(Cut) +
               " of them lost with it");
  Objects.stop();
  if (Served < 20)
    return CannotRun;
  return Late > 0 ? Broken : Held;
}
