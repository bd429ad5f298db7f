// What many nodes cost, and how fast news travels among them: real nodes on
// loopback without load. The figures feed docs/CAPACITY.md.
#include "Fleet.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <easylogging++.h>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(nodes, "25,50,100", "sizes of the fleet");
DEFINE_int32(quiet_s, 15, "seconds over which an idle fleet is measured");
DEFINE_int32(notes, 5, "notes published");
DEFINE_int32(base_port, 30000, "first of the ports used");

namespace {

using namespace limpetdrum;
using namespace limpetdrum::bench;

constexpr unsigned Domains = 16;
constexpr double UdpHeaderBytes = 28;

using WallClock = std::chrono::system_clock;

/// Milliseconds since the epoch of a log line's time stamp.
std::int64_t stampOf(const std::string &Line) {
  std::tm Parts{};
  const char *Rest = strptime(Line.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  if (Rest == nullptr)
    return 0;
  Parts.tm_isdst = -1;
  return std::int64_t{std::mktime(&Parts)} * 1000 + std::atoi(Rest + 1);
}

std::int64_t wallMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             WallClock::now().time_since_epoch())
      .count();
}

struct Spread {
  double Median = 0;
  double P99 = 0;
  double Worst = 0;
  std::size_t Count = 0;
};

Spread spreadOf(std::vector<double> Values) {
  Spread S;
  S.Count = Values.size();
  if (Values.empty())
    return S;
  std::sort(Values.begin(), Values.end());
  S.Median = Values[Values.size() / 2];
  S.P99 = Values[std::min(Values.size() - 1, Values.size() * 99 / 100)];
  S.Worst = Values.back();
  return S;
}

std::ostream &operator<<(std::ostream &Out, const Spread &S) {
  return Out << S.Median << " / " << S.P99 << " / " << S.Worst << " ms (n "
             << S.Count << ")";
}

class Trial {
public:
  explicit Trial(unsigned Count) : Count(Count), Processes(Loop, spec(Count)) {}

  void run() {
    this->Processes.startPlatform();
    this->Processes.runFor(Milliseconds(300));
    auto Began = wallMillis();
    for (auto &M : this->Processes.members())
      this->Processes.startNode(*M);
    auto Joined = [this]() {
      for (auto &M : this->Processes.members())
        if (this->gauge(*M, "limpetdrum_members") != this->Count)
          return false;
      return true;
    };
    bool Up = this->Processes.runUntil(Joined, Milliseconds(90000));
    std::cout << std::fixed << std::setprecision(2) << this->Count
              << " nodes: all know all after " << wallMillis() - Began << " ms"
              << (Up ? "" : " (NOT REACHED)") << std::endl;
    this->announceAll();
    this->publish(0);
    this->Processes.runFor(Milliseconds(12000));
    this->measureQuiet();
    this->measureNotes();
    this->measureCrash();
    this->measureDrain();
    this->measureDomainLoss();
  }

private:
  static FleetSpec spec(unsigned Count) {
    FleetSpec Spec;
    Spec.Domains.clear();
    for (unsigned I = 0; I < Domains; ++I)
      Spec.Domains.push_back("d" + std::to_string(I));
    ServiceSpec Service;
    Service.Name = "service";
    Service.Targets = Count;
    Spec.Services = {Service};
    Spec.Note = "{against: 0, added: {classes: [{name: c0, importance: 1}]}}";
    Spec.ProgramFolder =
        std::filesystem::canonical("/proc/self/exe").parent_path();
    Spec.WorkFolder = Spec.ProgramFolder + "/run/scale-" +
                      std::to_string(Count) + "-" + std::to_string(getpid());
    Spec.BasePort = static_cast<std::uint16_t>(FLAGS_base_port);
    return Spec;
  }

  double gauge(Fleet::Member &Of, const std::string &Name) {
    std::istringstream Text(
        this->Processes.askText(this->Processes.admin(Of), "/metrics"));
    double Sum = 0;
    for (std::string Line; std::getline(Text, Line);)
      if (Line.compare(0, Name.size(), Name) == 0 && Line[Name.size()] == ' ')
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    return Sum;
  }

  double sum(const std::string &Name) {
    double Sum = 0;
    for (auto &M : this->Processes.members())
      if (!M->Node->status())
        Sum += this->gauge(*M, Name);
    return Sum;
  }

  double processorSeconds() {
    double Sum = 0;
    for (auto &M : this->Processes.members())
      if (!M->Node->status())
        Sum += M->Node->processorSeconds();
    return Sum;
  }

  double gossipBytes() {
    return this->sum("limpetdrum_gossip_bytes_sent_total") +
           UdpHeaderBytes * this->sum("limpetdrum_gossip_datagrams_sent_total");
  }

  double platformCalls() {
    auto Stats = this->Processes.ask(this->Processes.platform(), "/control");
    double Sum = 0;
    for (const auto &Entry : Stats["calls"].items())
      Sum += Entry.value().get<double>();
    return Sum;
  }

  void announceAll() {
    for (auto &M : this->Processes.members()) {
      HttpClient Egress(
          this->Loop,
          Endpoint{0x7f000001, static_cast<std::uint16_t>(M->Port + 1)});
      HttpCall Call;
      Call.Method = "POST";
      Call.Path = "/limpetdrum/v1/announce";
      Call.Body = R"({"service":"service","slots":10,"address":"127.0.0.1:9"})";
      Egress.send(Call, [this](const HttpResponse &) { this->Loop.stop(); });
      this->Loop.run();
    }
  }

  /// \returns when the publication was accepted, by the wall clock.
  std::int64_t publish(unsigned Against) {
    auto Path = this->Processes.spec().WorkFolder + "/n" +
                std::to_string(Against) + ".yaml";
    std::ofstream(Path) << "{against: " << Against
                        << ", added: {classes: [{name: c" << Against
                        << ", importance: 1}]}}";
    auto Running = this->Processes.control({"publish", Path}, "publish.log");
    while (!Running->status())
      this->Processes.runFor(Milliseconds(5));
    if (Running->status() != 0)
      throw ValueError("a note was not accepted", "read publish.log");
    return wallMillis();
  }

  /// For each running node, when a line first stood in its log after a time.
  std::vector<double> delays(const std::string &Words, std::int64_t After) {
    std::vector<double> Found;
    for (auto &M : this->Processes.members()) {
      if (M->Node->status())
        continue;
      std::ifstream Log(this->Processes.spec().WorkFolder + "/" + M->Name +
                        ".log");
      for (std::string Line; std::getline(Log, Line);)
        if (Line.find(Words) != std::string::npos &&
            stampOf(Line) >= After - 1000) {
          Found.push_back(static_cast<double>(stampOf(Line) - After));
          break;
        }
    }
    return Found;
  }

  void measureQuiet() {
    auto Bytes = this->gossipBytes();
    auto Processor = this->processorSeconds();
    auto Calls = this->platformCalls();
    this->Processes.runFor(std::chrono::seconds(FLAGS_quiet_s));
    double Nodes = this->Count;
    double Seconds = FLAGS_quiet_s;
    std::cout << "  quiet, a node: "
              << (this->gossipBytes() - Bytes) / Nodes / Seconds
              << " B/s sent, "
              << 100 * (this->processorSeconds() - Processor) / Nodes / Seconds
              << "% of a core, "
              << this->sum("limpetdrum_resident_bytes") / Nodes / 1048576
              << " MB; platform " << (this->platformCalls() - Calls) / Seconds
              << " calls/s for all, watchers "
              << this->sum("limpetdrum_release_watcher") << std::endl;
  }

  void measureNotes() {
    std::vector<double> All;
    auto Processor = this->processorSeconds();
    auto Bytes = this->gossipBytes();
    for (int I = 1; I <= FLAGS_notes; ++I) {
      auto Accepted = this->publish(static_cast<unsigned>(I));
      this->Processes.runFor(Milliseconds(5000));
      auto Line = "revision " + std::to_string(I + 1) + " in force";
      auto Delays = this->delays(Line, Accepted);
      if (Delays.size() < this->Count)
        std::cout << "  revision " << I + 1 << " at " << Delays.size()
                  << " nodes only after 5 s" << std::endl;
      All.insert(All.end(), Delays.begin(), Delays.end());
    }
    std::cout << "  a note in force (median / 99th / worst): " << spreadOf(All)
              << "; a note costs a node "
              << (this->gossipBytes() - Bytes) / this->Count / FLAGS_notes
              << " B of gossip and "
              << 1000 * (this->processorSeconds() - Processor) / this->Count /
                     FLAGS_notes
              << " ms of processor with 5 s of quiet" << std::endl;
  }

  void measureCrash() {
    auto &Gone = *this->Processes.members().back();
    auto At = wallMillis();
    Gone.Node->signal(SIGKILL);
    this->Processes.runFor(Milliseconds(30000));
    std::cout << "  a crash known: "
              << spreadOf(
                     this->delays("member " + Gone.Name + " ready dead", At))
              << std::endl;
  }

  void measureDrain() {
    auto &Gone = *this->Processes.members()[this->Count / 2];
    auto At = wallMillis();
    Gone.Node->signal(SIGTERM);
    this->Processes.runFor(Milliseconds(6000));
    std::cout << "  a drain known: "
              << spreadOf(this->delays("member " + Gone.Name + " draining", At))
              << std::endl;
  }

  void measureDomainLoss() {
    auto Lost = [](const Fleet::Member &M) { return M.Domain == "d1"; };
    unsigned Number = 0;
    for (auto &M : this->Processes.members())
      if (Lost(*M)) {
        M->Node->signal(SIGKILL);
        ++Number;
      }
    this->Processes.runFor(Milliseconds(500));
    auto Processor = this->processorSeconds();
    auto Bytes = this->gossipBytes();
    constexpr int Seconds = 30;
    this->Processes.runFor(std::chrono::seconds(Seconds));
    double Left = this->Count - Number;
    std::cout << "  a domain of " << Number << " lost, " << Seconds
              << " s after, a node: "
              << (this->gossipBytes() - Bytes) / Left / Seconds << " B/s, "
              << 100 * (this->processorSeconds() - Processor) / Left / Seconds
              << "% of a core" << std::endl;
    auto At = wallMillis();
    auto Calls = this->platformCalls();
    std::string Last;
    for (auto &M : this->Processes.members())
      if (Lost(*M)) {
        M->Node.reset();
        this->Processes.startNode(*M);
        Last = M->Name;
      }
    this->Processes.runFor(Milliseconds(10000));
    std::cout << "  its restart known (last node): "
              << spreadOf(
                     this->delays("member " + Last + " starting alive", At))
              << "; platform calls " << this->platformCalls() - Calls
              << std::endl;
  }

  unsigned Count;
  EventLoop Loop;
  Fleet Processes;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("what many nodes cost");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    std::istringstream Sizes(FLAGS_nodes);
    for (std::string Size; std::getline(Sizes, Size, ',');)
      Trial(static_cast<unsigned>(std::stoul(Size))).run();
    return 0;
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
