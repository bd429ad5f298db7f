// Measures the latency that two nodes add to a call, compared with the same
// call made directly in the same run, and the processor time of the nodes per
// call.
#include "Fleet.h"
#include "limpetdrum/daemon/Executor.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <easylogging++.h>
#include <filesystem>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_int32(rate, 375, "calls per second");
DEFINE_int32(seconds, 5, "seconds per round");
DEFINE_int32(rounds, 3,
             "rounds of direct calls and of calls through nodes, interleaved");
DEFINE_int32(saturation_clients, 64,
             "calls in flight when the highest rate is measured");
DEFINE_int32(base_port, 26000, "first of the consecutive ports used");

namespace {

using namespace limpetdrum;
using namespace limpetdrum::bench;

FleetSpec spec() {
  FleetSpec Spec;
  Spec.Domains = {"a", "b"};
  ServiceSpec Front;
  Front.Name = "front";
  Front.Slots = 500;
  Front.ServiceMillis = 0;
  ServiceSpec Back = Front;
  Back.Name = "back";
  Spec.Services = {Front, Back};
  Spec.Note = R"(against: 0
added:
  classes: [{name: order, importance: 1}]
  services:
    - {name: front, routes: [{path: /front/a, class: order}]}
    - name: back
      routes:
        - {path: /back/a, class: order}
        - {path: /back/keyed, class: order, runs: once}
)";
  Spec.ProgramFolder =
      std::filesystem::canonical("/proc/self/exe").parent_path();
  Spec.WorkFolder =
      Spec.ProgramFolder + "/run/latency-" + std::to_string(getpid());
  Spec.BasePort = static_cast<std::uint16_t>(FLAGS_base_port);
  return Spec;
}

class Trial {
public:
  Trial() : Processes(Loop, spec()) {}

  void run() {
    this->Processes.startPlatform();
    this->Processes.startAll();
    if (!this->Processes.publishFirstNote(Milliseconds(20000)))
      throw ValueError("the first note was not published, or not all targets "
                       "became ready, within 20 s each",
                       "see the logs in " + this->Processes.spec().WorkFolder);
    auto Front = this->Processes.ingress(this->Processes.member("front-1"));
    auto Direct = this->Processes.target(this->Processes.member("back-1"));
    std::vector<double> NodeLatencies;
    std::vector<double> DirectLatencies;
    double Processor = 0;
    std::size_t Calls = 0;
    for (int I = 0; I < FLAGS_rounds; ++I) {
      this->measureAtRate(Direct, "/back/a", DirectLatencies);
      auto Before = NodeLatencies.size();
      auto Start = this->processorSeconds();
      this->measureAtRate(Front, "/back/a", NodeLatencies);
      Processor += this->processorSeconds() - Start;
      Calls += NodeLatencies.size() - Before;
    }
    this->report("direct", DirectLatencies);
    this->report("two nodes", NodeLatencies);
    auto AddedLatency = [&](double Share) {
      return quantile(NodeLatencies, Share) - quantile(DirectLatencies, Share);
    };
    std::cout << "added by two nodes at " << FLAGS_rate << " calls/s: median "
              << AddedLatency(0.5) << " ms, 99th " << AddedLatency(0.99)
              << " ms" << std::endl;
    std::cout << "processor a call, both nodes: "
              << 1e6 * Processor / static_cast<double>(Calls) << " us"
              << std::endl;
    std::vector<double> Keyed;
    this->measureAtRate(Front, "/back/keyed", Keyed);
    this->report("keyed", Keyed);
    std::cout << "saturation with " << FLAGS_saturation_clients
              << " calls in flight: " << this->saturate(Direct)
              << " calls/s direct, " << this->saturate(Front)
              << " calls/s by two nodes" << std::endl;
    for (auto &M : this->Processes.members())
      std::cout << M->Name << ": " << this->residentMegabytes(*M)
                << " MB resident" << std::endl;
  }

private:
  double processorSeconds() {
    double Sum = 0;
    for (auto &M : this->Processes.members())
      Sum += M->Node->processorSeconds();
    return Sum;
  }

  /// Returns the resident memory of a node in MiB.
  double residentMegabytes(Fleet::Member &M) {
    const std::string Name = "limpetdrum_resident_bytes ";
    auto Text = this->Processes.getText(this->Processes.admin(M), "/metrics");
    auto Position = Text.find("\n" + Name);
    return std::stod(Text.substr(Position + 1 + Name.size())) / 1048576;
  }

  static double quantile(std::vector<double> Values, double Share) {
    if (Values.empty())
      return 0;
    std::sort(Values.begin(), Values.end());
    return Values[static_cast<std::size_t>(
        Share * static_cast<double>(Values.size() - 1))];
  }

  static void report(const char *Name, const std::vector<double> &Values) {
    std::cout << std::fixed << std::setprecision(3) << Name << ": "
              << Values.size() << " calls, median " << quantile(Values, 0.5)
              << " ms, 99th " << quantile(Values, 0.99) << " ms" << std::endl;
  }

  HttpCall call(const std::string &Path) {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = Path;
    Call.Body = "hello";
    Call.Headers.emplace_back(header::IdempotencyKey,
                              std::to_string(++this->LastKey));
    return Call;
  }

  void measureAtRate(Endpoint Server, const std::string &Path,
                     std::vector<double> &Latencies) {
    HttpClient Client(this->Loop, Server);
    auto Gap = Microseconds(1'000'000 / FLAGS_rate);
    std::size_t Open = 0;
    std::size_t Failed = 0;
    auto SendTimer = this->Loop.every(Gap, [&]() {
      ++Open;
      auto Start = this->Loop.now();
      Client.send(this->call(Path), [&, Start](const HttpResponse &Answer) {
        --Open;
        std::chrono::duration<double, std::milli> Latency =
            this->Loop.now() - Start;
        if (Answer.Status == 200)
          Latencies.push_back(Latency.count());
        else
          ++Failed;
      });
    });
    this->Processes.runFor(std::chrono::seconds(FLAGS_seconds));
    SendTimer.cancel();
    static_cast<void>(this->Processes.runUntil([&]() { return Open == 0; },
                                               Milliseconds(5000)));
    if (Failed > 0)
      std::cout << Failed << " calls FAILED" << std::endl;
  }

  double saturate(Endpoint Server) {
    HttpClient Client(this->Loop, Server);
    std::size_t Done = 0;
    std::size_t Open = 0;
    bool Stopped = false;
    std::function<void()> SendNext = [&]() {
      ++Open;
      Client.send(this->call("/back/a"), [&](const HttpResponse &Answer) {
        --Open;
        Done += Answer.Status == 200 ? 1 : 0;
        if (!Stopped)
          SendNext();
      });
    };
    for (int I = 0; I < FLAGS_saturation_clients; ++I)
      SendNext();
    this->Processes.runFor(std::chrono::seconds(FLAGS_seconds));
    Stopped = true;
    auto Rate = static_cast<double>(Done) / FLAGS_seconds;
    static_cast<void>(this->Processes.runUntil([&]() { return Open == 0; },
                                               Milliseconds(5000)));
    return Rate;
  }

  EventLoop Loop;
  Fleet Processes;
  std::uint64_t LastKey = 0;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("measures the latency that two nodes add to a call");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    Trial().run();
    return 0;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
