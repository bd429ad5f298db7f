// An upstream leaves twice under the same id; all sidecars are killed; a status
// report that it sent before its second leave arrives afterwards.
#include "Kit.h"

#include "limpetdrum/process/Error.h"

#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace limpetdrum;
using namespace limpetdrum::review;

constexpr double DrainTimeout = 2;
constexpr double ContactWindow = 3;

/// Times in milliseconds.
constexpr Milliseconds FirstLeave{5000};
constexpr Milliseconds SecondStart{9500};
constexpr Milliseconds ReportSent{13'000};
constexpr Milliseconds SecondLeave{13'050};
constexpr Milliseconds Killed{13'500};
constexpr Milliseconds Restarted{14'500};
constexpr Milliseconds ReportArrives{16'500};
constexpr Milliseconds Exit{28'000};
constexpr Milliseconds End{30'000};

class Case {
public:
  Case(EventLoop &Loop, const std::string &Sidecar, const std::string &Folder)
      : Loop(Loop), Log(Loop), Machines(Loop, Log, Sidecar, Folder) {}

  void start() {
    for (std::size_t I = 0; I < 3; ++I)
      this->Machines.addMachine("bestilling");
    this->Machines.publish({{"/lookup/", "bestilling", true}});
    for (std::size_t I = 0; I < 3; ++I) {
      this->Machines.start(I, true);
      this->Upstreams.push_back(this->upstream(I, "i-" + std::to_string(I)));
    }
    this->Machines.after(Milliseconds(3000), [this]() {
      this->Machines.every(Milliseconds(25), [this]() {
        this->Machines.request(this->Next++ % 3, "GET", "/lookup/1",
                               Milliseconds(3000), "", nullptr);
      });
    });
    this->Machines.after(
        FirstLeave, [this]() { this->Upstreams[0]->withdraw([](int) {}); });
    this->Machines.after(FirstLeave + Milliseconds(3500),
                         [this]() { this->Upstreams[0].reset(); });
    this->Machines.after(SecondStart, [this]() {
      this->Upstreams[0] = this->upstream(0, "i-0");
    });
    this->Machines.after(ReportSent, [this]() {
      this->HeldUp = this->Upstreams[0]->makeReport();
      this->Log.add("upstream i-0 sends a status report that is held up");
    });
    this->Machines.after(SecondLeave, [this]() {
      this->Upstreams[0]->withdraw([this](int Status) {
        if (Status / 100 == 2)
          this->AcknowledgedAt = this->Log.now();
      });
    });
    if (hasTrouble()) {
      this->Machines.after(Killed, [this]() {
        for (std::size_t I = 0; I < 3; ++I)
          this->Machines.kill(I);
      });
      this->Machines.after(Restarted, [this]() {
        for (std::size_t I = 0; I < 3; ++I)
          this->Machines.start(I, false);
        this->RestartedAt = this->Log.now();
      });
    }
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
    if (this->RestartedAt)
      From = std::max(From, *this->RestartedAt + ContactWindow);
    std::size_t Late = 0;
    std::size_t Others = 0;
    for (const auto &Each : this->Machines.Runs) {
      if (Each.At <= From)
        continue;
      if (Each.Machine == this->Machines.machine(0).Name)
        ++Late;
      else
        ++Others;
    }
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
  std::unique_ptr<Upstream> upstream(std::size_t Index, const std::string &Id) {
    Upstream::Options Config;
    Config.Id = Id;
    return std::make_unique<Upstream>(this->Loop, this->Machines.machine(Index),
                                      Config, this->Log, this->Machines.Runs);
  }

  EventLoop &Loop;
  Record Log;
  Fleet Machines;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  HttpCall HeldUp;
  std::optional<double> AcknowledgedAt;
  std::optional<double> RestartedAt;
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
