// An upstream leaves while the store is down, and its leave is acknowledged;
// all sidecars are killed before the store is back; a status report that the
// upstream sent before its leave arrives afterwards.
#include "Kit.h"

#include "limpetdrum/process/Error.h"

#include <cstdlib>
#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace limpetdrum;
using namespace limpetdrum::review;

constexpr double DrainTimeout = 2;
constexpr double ContactWindow = 3;
constexpr std::size_t MachineCount = 3;

constexpr Milliseconds ReportSent{5950};
constexpr Milliseconds Leave{6000};
constexpr Milliseconds StoreAway{5500};
constexpr Milliseconds StoreBack{8500};
constexpr Milliseconds Killed{6800};
constexpr Milliseconds Restarted{7800};
constexpr Milliseconds ReportArrives{9500};
constexpr Milliseconds Exit{20'000};
constexpr Milliseconds End{22'000};

/// For trials with one of the two disruptions only: "store" or "kill".
bool isChosen(const std::string &Trouble) {
  const char *Only = std::getenv("ONLY");
  return hasTrouble() && (Only == nullptr || Trouble == Only);
}

class Case {
public:
  Case(EventLoop &Loop, const std::string &Sidecar, const std::string &Folder)
      : Loop(Loop), Log(Loop), Machines(Loop, Log, Sidecar, Folder) {}

  void start() {
    for (std::size_t I = 0; I < MachineCount; ++I)
      this->Machines.addMachine("bestilling");
    this->Machines.publish({{"/lookup/", "bestilling", true}});
    for (std::size_t I = 0; I < MachineCount; ++I) {
      this->Machines.start(I, true);
      Upstream::Options Config;
      Config.Id = "i-" + std::to_string(I);
      this->Upstreams.push_back(
          std::make_unique<Upstream>(this->Loop, this->Machines.machine(I),
                                     Config, this->Log, this->Machines.Runs));
    }
    this->Machines.after(Milliseconds(3000), [this]() {
      this->Machines.every(Milliseconds(25), [this]() {
        this->Machines.request(this->Next++ % MachineCount, "GET", "/lookup/1",
                               Milliseconds(3000), "", nullptr);
      });
    });
    this->Machines.after(ReportSent, [this]() {
      this->HeldUp = this->Upstreams[0]->makeReport();
      this->Log.add("upstream i-0 sends a status report that is held up");
    });
    this->Machines.after(Leave, [this]() {
      this->Upstreams[0]->withdraw([this](int Status) {
        if (Status / 100 == 2)
          this->AcknowledgedAt = this->Log.now();
      });
    });
    if (isChosen("store"))
      this->disturbStore();
    if (isChosen("kill"))
      this->killAll();
    this->Machines.after(ReportArrives, [this]() {
      this->Log.add("the held up report arrives");
      this->Upstreams[0]->send(this->HeldUp, [](int) {});
    });
    this->Machines.after(Exit, [this]() { this->Upstreams[0].reset(); });
    this->Machines.after(End, [this]() { this->Loop.stop(); });
  }

  int check() {
    if (!this->AcknowledgedAt) {
      this->Log.add("cannot run: the leave was not acknowledged");
      return 2;
    }
    auto From = *this->AcknowledgedAt + DrainTimeout;
    // Only requests that machines in touch took and sent on count.
    for (const auto &End : this->TroubleEnds)
      From = std::max(From, End + ContactWindow);
    std::size_t Late = 0;
    std::size_t Others = 0;
    for (const auto &Each : this->Machines.Runs)
      if (Each.At > From)
        ++(Each.Machine == this->Machines.machine(0).Name ? Late : Others);
    std::string Result = "DRAIN: " + std::to_string(Late) +
                         " requests reached the upstream that left, " +
                         std::to_string(Others) + " the others, from " +
                         std::to_string(From);
    this->Log.add(Result);
    std::cout << Result << "\n";
    if (Others == 0)
      return 2;
    return Late > 0 ? 1 : 0;
  }

private:
  void disturbStore() {
    this->Machines.after(StoreAway, [this]() {
      this->Log.add("the store is down");
      this->Machines.store().setFailureMode(soak::Store::FailureMode::Refusing);
    });
    this->Machines.after(StoreBack, [this]() {
      this->Log.add("the store is back");
      this->Machines.store().setFailureMode(soak::Store::FailureMode::Healthy);
      this->TroubleEnds.push_back(this->Log.now());
    });
  }

  void killAll() {
    this->Machines.after(Killed, [this]() {
      for (std::size_t I = 0; I < MachineCount; ++I)
        this->Machines.kill(I);
    });
    this->Machines.after(Restarted, [this]() {
      for (std::size_t I = 0; I < MachineCount; ++I)
        this->Machines.start(I, false);
      this->TroubleEnds.push_back(this->Log.now());
    });
  }

  EventLoop &Loop;
  Record Log;
  Fleet Machines;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  HttpCall HeldUp;
  std::optional<double> AcknowledgedAt;
  std::vector<double> TroubleEnds;
  std::size_t Next = 0;
};

} // namespace

int main(int ArgCount, char **Args) {
  if (ArgCount != 3)
    return 2;
  try {
    EventLoop Loop;
    Case Run(Loop, Args[1], Args[2]);
    Run.start();
    Loop.run();
    return Run.check();
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 2;
  }
}
