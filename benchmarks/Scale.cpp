// Measures the resource use of fleets of many nodes, and the propagation delay
// of membership changes and release notes: real nodes on loopback, without
// load. docs/CAPACITY.md uses the figures.
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

DEFINE_string(nodes, "25,50,100", "comma-separated numbers of nodes");
DEFINE_int32(quiet_s, 15, "seconds over which an idle fleet is measured");
DEFINE_int32(notes, 5, "number of release notes published");
DEFINE_int32(base_port, 30000, "first of the consecutive ports used");

namespace {

using namespace limpetdrum;
using namespace limpetdrum::bench;

constexpr unsigned Domains = 16;
constexpr double UdpHeaderBytes = 28;

using WallClock = std::chrono::system_clock;

/// Returns the time stamp of a log line in ms since the epoch; 0 if it has
/// none.
std::int64_t parseTimestamp(const std::string &Line) {
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

/// Distribution of delays in ms.
struct Distribution {
  double Median = 0;
  double P99 = 0;
  double Worst = 0;
  std::size_t Count = 0;
};

Distribution distributionOf(std::vector<double> Values) {
  Distribution S;
  S.Count = Values.size();
  if (Values.empty())
    return S;
  std::sort(Values.begin(), Values.end());
  S.Median = Values[Values.size() / 2];
  S.P99 = Values[std::min(Values.size() - 1, Values.size() * 99 / 100)];
  S.Worst = Values.back();
  return S;
}

std::ostream &operator<<(std::ostream &Out, const Distribution &S) {
  return Out << S.Median << " / " << S.P99 << " / " << S.Worst << " ms (n "
             << S.Count << ")";
}

class Trial {
public:
  explicit Trial(unsigned Count) : Count(Count), Processes(Loop, spec(Count)) {}

  void run() {
    this->Processes.startPlatform();
    this->Processes.runFor(Milliseconds(300));
    auto Start = wallMillis();
    for (auto &M : this->Processes.members())
      this->Processes.startNode(*M);
    auto Joined = [this]() {
      for (auto &M : this->Processes.members())
        if (this->readMetric(*M, "limpetdrum_members") != this->Count)
          return false;
      return true;
    };
    bool AllJoined = this->Processes.runUntil(Joined, Milliseconds(90000));
    std::cout << std::fixed << std::setprecision(2) << this->Count
              << " nodes: all know all after " << wallMillis() - Start << " ms"
              << (AllJoined ? "" : " (NOT REACHED)") << std::endl;
    this->announceAll();
    this->publish(0);
    this->Processes.runFor(Milliseconds(12000));
    this->measureIdle();
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

  double readMetric(Fleet::Member &Member, const std::string &Name) {
    std::istringstream Text(
        this->Processes.getText(this->Processes.admin(Member), "/metrics"));
    double Sum = 0;
    for (std::string Line; std::getline(Text, Line);)
      if (Line.compare(0, Name.size(), Name) == 0 && Line[Name.size()] == ' ')
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    return Sum;
  }

  double sumMetric(const std::string &Name) {
    double Sum = 0;
    for (auto &M : this->Processes.members())
      if (!M->Node->status())
        Sum += this->readMetric(*M, Name);
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
    return this->sumMetric("limpetdrum_gossip_bytes_sent_total") +
           UdpHeaderBytes *
               this->sumMetric("limpetdrum_gossip_datagrams_sent_total");
  }

  double platformCalls() {
    auto Stats =
        this->Processes.getJson(this->Processes.platform(), "/control");
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

  /// Publishes a release note that adds a class.
  /// \returns the time of its acceptance, in ms since the epoch.
  /// \throws ValueError if it is not accepted.
  std::int64_t publish(unsigned BaseRevision) {
    auto Path = this->Processes.spec().WorkFolder + "/n" +
                std::to_string(BaseRevision) + ".yaml";
    std::ofstream(Path) << "{against: " << BaseRevision
                        << ", added: {classes: [{name: c" << BaseRevision
                        << ", importance: 1}]}}";
    auto Limpetctl =
        this->Processes.startLimpetctl({"publish", Path}, "publish.log");
    while (!Limpetctl->status())
      this->Processes.runFor(Milliseconds(5));
    if (Limpetctl->status() != 0)
      throw ValueError("release note '" + Path +
                           "' was not accepted: limpetctl exited with status " +
                           std::to_string(*Limpetctl->status()),
                       "see publish.log in " +
                           this->Processes.spec().WorkFolder);
    return wallMillis();
  }

  /// Returns the ms from \p Since until the first line with \p Pattern in the
  /// log of each running node that has one. Lines that are stamped up to 1 s
  /// before \p Since count as well.
  std::vector<double> delays(const std::string &Pattern, std::int64_t Since) {
    std::vector<double> Delays;
    for (auto &M : this->Processes.members()) {
      if (M->Node->status())
        continue;
      std::ifstream Log(this->Processes.spec().WorkFolder + "/" + M->Name +
                        ".log");
      for (std::string Line; std::getline(Log, Line);)
        if (Line.find(Pattern) != std::string::npos &&
            parseTimestamp(Line) >= Since - 1000) {
          Delays.push_back(static_cast<double>(parseTimestamp(Line) - Since));
          break;
        }
    }
    return Delays;
  }

  void measureIdle() {
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
              << this->sumMetric("limpetdrum_resident_bytes") / Nodes / 1048576
              << " MB; platform " << (this->platformCalls() - Calls) / Seconds
              << " calls/s for all, watchers "
              << this->sumMetric("limpetdrum_release_watcher") << std::endl;
  }

  void measureNotes() {
    std::vector<double> AllDelays;
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
      AllDelays.insert(AllDelays.end(), Delays.begin(), Delays.end());
    }
    std::cout << "  a note in force (median / 99th / worst): "
              << distributionOf(AllDelays) << "; a note costs a node "
              << (this->gossipBytes() - Bytes) / this->Count / FLAGS_notes
              << " B of gossip and "
              << 1000 * (this->processorSeconds() - Processor) / this->Count /
                     FLAGS_notes
              << " ms of processor with 5 s of quiet" << std::endl;
  }

  void measureCrash() {
    auto &Crashed = *this->Processes.members().back();
    auto Start = wallMillis();
    Crashed.Node->signal(SIGKILL);
    this->Processes.runFor(Milliseconds(30000));
    std::cout << "  a crash known: "
              << distributionOf(this->delays(
                     "member " + Crashed.Name + " ready dead", Start))
              << std::endl;
  }

  void measureDrain() {
    auto &Drained = *this->Processes.members()[this->Count / 2];
    auto Start = wallMillis();
    Drained.Node->signal(SIGTERM);
    this->Processes.runFor(Milliseconds(6000));
    std::cout << "  a drain known: "
              << distributionOf(this->delays(
                     "member " + Drained.Name + " draining", Start))
              << std::endl;
  }

  void measureDomainLoss() {
    auto InLostDomain = [](const Fleet::Member &M) { return M.Domain == "d1"; };
    unsigned LostCount = 0;
    for (auto &M : this->Processes.members())
      if (InLostDomain(*M)) {
        M->Node->signal(SIGKILL);
        ++LostCount;
      }
    this->Processes.runFor(Milliseconds(500));
    auto Processor = this->processorSeconds();
    auto Bytes = this->gossipBytes();
    constexpr int Seconds = 30;
    this->Processes.runFor(std::chrono::seconds(Seconds));
    double RemainingNodes = this->Count - LostCount;
    std::cout << "  a domain of " << LostCount << " lost, " << Seconds
              << " s after, a node: "
              << (this->gossipBytes() - Bytes) / RemainingNodes / Seconds
              << " B/s, "
              << 100 * (this->processorSeconds() - Processor) / RemainingNodes /
                     Seconds
              << "% of a core" << std::endl;
    auto Start = wallMillis();
    auto Calls = this->platformCalls();
    std::string LastNode;
    for (auto &M : this->Processes.members())
      if (InLostDomain(*M)) {
        M->Node.reset();
        this->Processes.startNode(*M);
        LastNode = M->Name;
      }
    this->Processes.runFor(Milliseconds(10000));
    std::cout << "  its restart known (last node): "
              << distributionOf(this->delays(
                     "member " + LastNode + " starting alive", Start))
              << "; platform calls " << this->platformCalls() - Calls
              << std::endl;
  }

  unsigned Count;
  EventLoop Loop;
  Fleet Processes;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("measures the resource use of many nodes");
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
