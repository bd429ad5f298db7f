// What two nodes add to a call, against the same call made direct, in one run;
// and what a call costs the nodes.
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

DEFINE_int32(rate, 375, "calls a second");
DEFINE_int32(seconds, 5, "of each round");
DEFINE_int32(rounds, 3, "of each kind, interleaved");
DEFINE_int32(saturation_clients, 64, "calls in flight to find the most");
DEFINE_int32(base_port, 26000, "first of the ports used");

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
    if (!this->Processes.publishFirst(Milliseconds(20000)))
      throw ValueError("the fleet did not come up", "read the logs");
    auto Front = this->Processes.ingress(this->Processes.member("front-1"));
    auto Direct = this->Processes.target(this->Processes.member("back-1"));
    std::vector<double> ByNodes;
    std::vector<double> Alone;
    double Processor = 0;
    std::size_t Calls = 0;
    for (int I = 0; I < FLAGS_rounds; ++I) {
      this->atRate(Direct, "/back/a", Alone);
      auto Before = ByNodes.size();
      auto Start = this->processorSeconds();
      this->atRate(Front, "/back/a", ByNodes);
      Processor += this->processorSeconds() - Start;
      Calls += ByNodes.size() - Before;
    }
    this->report("direct", Alone);
    this->report("two nodes", ByNodes);
    auto Added = [&](double Share) {
      return quantile(ByNodes, Share) - quantile(Alone, Share);
    };
    std::cout << "added by two nodes at " << FLAGS_rate << " calls/s: median "
              << Added(0.5) << " ms, 99th " << Added(0.99) << " ms"
              << std::endl;
    std::cout << "processor a call, both nodes: "
              << 1e6 * Processor / static_cast<double>(Calls) << " us"
              << std::endl;
    std::vector<double> Keyed;
    this->atRate(Front, "/back/keyed", Keyed);
    this->report("keyed", Keyed);
    std::cout << "saturation with " << FLAGS_saturation_clients
              << " calls in flight: " << this->saturate(Direct)
              << " calls/s direct, " << this->saturate(Front)
              << " calls/s by two nodes" << std::endl;
    for (auto &M : this->Processes.members())
      std::cout << M->Name << ": " << this->resident(*M) << " MB resident"
                << std::endl;
  }

private:
  double processorSeconds() {
    double Sum = 0;
    for (auto &M : this->Processes.members())
      Sum += M->Node->processorSeconds();
    return Sum;
  }

  double resident(Fleet::Member &M) {
    const std::string Name = "limpetdrum_resident_bytes ";
    auto Text = this->Processes.askText(this->Processes.admin(M), "/metrics");
    auto At = Text.find("\n" + Name);
    return std::stod(Text.substr(At + 1 + Name.size())) / 1048576;
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

  void atRate(Endpoint Where, const std::string &Path,
              std::vector<double> &Into) {
    HttpClient Client(this->Loop, Where);
    auto Gap = Microseconds(1'000'000 / FLAGS_rate);
    std::size_t Open = 0;
    std::size_t Failed = 0;
    auto Sending = this->Loop.every(Gap, [&]() {
      ++Open;
      auto Start = this->Loop.now();
      Client.send(this->call(Path), [&, Start](const HttpResponse &Answer) {
        --Open;
        std::chrono::duration<double, std::milli> Took =
            this->Loop.now() - Start;
        if (Answer.Status == 200)
          Into.push_back(Took.count());
        else
          ++Failed;
      });
    });
    this->Processes.runFor(std::chrono::seconds(FLAGS_seconds));
    Sending.cancel();
    static_cast<void>(this->Processes.runUntil([&]() { return Open == 0; },
                                               Milliseconds(5000)));
    if (Failed > 0)
      std::cout << Failed << " calls FAILED" << std::endl;
  }

  double saturate(Endpoint Where) {
    HttpClient Client(this->Loop, Where);
    std::size_t Done = 0;
    std::size_t Open = 0;
    bool Over = false;
    std::function<void()> Next = [&]() {
      ++Open;
      Client.send(this->call("/back/a"), [&](const HttpResponse &Answer) {
        --Open;
        Done += Answer.Status == 200 ? 1 : 0;
        if (!Over)
          Next();
      });
    };
    for (int I = 0; I < FLAGS_saturation_clients; ++I)
      Next();
    this->Processes.runFor(std::chrono::seconds(FLAGS_seconds));
    Over = true;
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
  gflags::SetUsageMessage("what two nodes add to a call");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    Trial().run();
    return 0;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
