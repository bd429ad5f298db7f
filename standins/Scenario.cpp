// Runs scenarios on real processes. A scenario is a YAML file with a fleet, a
// load, faults and expectations. It passes or fails on invariants and on the
// order of events, not on timing.
#include "Fleet.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <csignal>
#include <easylogging++.h>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_int32(base_port, 22000, "first of the consecutive ports used");
DEFINE_uint64(seed, 1, "random seed of the load");
DEFINE_string(
    work_folder, "",
    "folder for settings and logs; empty: run/NAME beside this program");

namespace {

using namespace limpetdrum;
using namespace limpetdrum::bench;

constexpr Milliseconds StartLimit{20000};
constexpr Microseconds DelayCheckPeriod{10'000};

/// Thrown if an expectation or invariant of a scenario does not hold.
class ScenarioFailure : public SourceError {
public:
  using SourceError::SourceError;
};

std::string join(const std::vector<std::string> &Texts) {
  std::string Joined;
  for (const auto &Text : Texts)
    Joined += (Joined.empty() ? "" : ", ") + Text;
  return Joined;
}

/// Returns the numbers of failed tries of a stream by outcome and reason, as
/// the end of a message.
std::string describeRefusals(const StreamResult &Result) {
  std::string Text;
  for (const auto &[Reason, Count] : Result.Refusals)
    Text += (Text.empty() ? "; tries refused: " : ", ") +
            std::to_string(Count) + " " + Reason;
  return Text;
}

class Scenario {
public:
  Scenario(const std::string &File, std::uint64_t Seed)
      : File(File), Document(parseYaml(readFile(File), File)),
        Map(this->Document, File), Name(this->Map.text("name")),
        Load(this->Loop, Seed), Processes(this->Loop, this->fleetSpec()),
        DelayCheck(this->Loop.every(DelayCheckPeriod, [this]() {
          auto Now = this->Loop.now();
          this->LongestDelay =
              std::max(this->LongestDelay,
                       Now - this->LastDelayCheck - DelayCheckPeriod);
          this->LastDelayCheck = Now;
        })) {}

  void run() {
    this->Processes.startPlatform();
    this->Processes.startAll();
    this->Processes.assignEntries(this->Load);
    this->require(
        this->Processes.publishFirstNote(StartLimit), this->Map.location(),
        "the first note was not published, or not all targets became ready, "
        "within " +
            std::to_string(StartLimit.count()) + " ms each");
    try {
      for (const auto &Node : this->Map.list("steps"))
        this->runStep(YamlMap(Node, this->File));
      this->Map.rejectUnknownKeys();
      this->Load.stop();
      this->checkInvariants();
    } catch (const ScenarioFailure &) {
      this->saveEvidence();
      throw;
    }
    std::cout << this->Name << ": passed";
    for (const auto &[Stream, R] : this->Load.results())
      std::cout << "; " << Stream << " " << R.Completed << "/" << R.Started;
    std::cout << std::endl;
  }

private:
  using Action = void (Scenario::*)(YamlMap &Step);

  /// Reads the fleet file, whose path is relative to the scenario file.
  FleetSpec fleetSpec() {
    auto Path = std::filesystem::path(this->File).parent_path() /
                this->Map.text("fleet");
    auto Spec =
        parseFleet(YamlMap(parseYaml(readFile(Path), Path), Path), Path);
    Spec.ProgramFolder =
        std::filesystem::canonical("/proc/self/exe").parent_path();
    Spec.WorkFolder = FLAGS_work_folder.empty()
                          ? Spec.ProgramFolder + "/run/" + this->Name
                          : FLAGS_work_folder;
    std::filesystem::remove_all(Spec.WorkFolder);
    Spec.BasePort = static_cast<std::uint16_t>(FLAGS_base_port);
    return Spec;
  }

  void require(bool Condition, const SourceLocation &Location,
               const std::string &Problem) const {
    if (!Condition)
      throw ScenarioFailure(Location, Problem,
                            "see the logs in " +
                                this->Processes.spec().WorkFolder);
  }

  /// Writes the metrics of the running nodes and the tries of the failed
  /// requests to the work folder.
  void saveEvidence() {
    auto Folder = this->Processes.spec().WorkFolder + "/";
    for (auto &M : this->Processes.members())
      if (!M->Node->status())
        std::ofstream(Folder + M->Name + ".metrics")
            << this->Processes.getText(this->Processes.admin(*M), "/metrics");
    std::ofstream Tries(Folder + "failed-requests.txt");
    Tries << "longest delay of the runner's loop: "
          << this->LongestDelay.count() << " us\n";
    for (const auto &Entry : this->Load.results())
      for (const auto &Request : Entry.second.FailedRequests)
        Tries << Entry.first << " " << Request << "\n";
  }

  void runStep(YamlMap Step) {
    static const std::map<std::string, Action> Actions = {
        {"load", &Scenario::startLoad},
        {"stop-load", &Scenario::stopLoad},
        {"repeat", &Scenario::repeat},
        {"run", &Scenario::runFor},
        {"kill", &Scenario::killNode},
        {"kill-target", &Scenario::killTarget},
        {"kill-domain", &Scenario::killDomain},
        {"restart-domain", &Scenario::restartDomain},
        {"freeze", &Scenario::freezeNode},
        {"thaw", &Scenario::thawNode},
        {"leave", &Scenario::leaveNode},
        {"restart", &Scenario::restart},
        {"forget", &Scenario::forget},
        {"cut", &Scenario::cutConnections},
        {"platform", &Scenario::controlPlatform},
        {"slow", &Scenario::slowService},
        {"surge", &Scenario::setSurge},
        {"publish", &Scenario::publish},
        {"race", &Scenario::race},
        {"expect-left", &Scenario::expectLeft},
        {"expect-in-force", &Scenario::expectInForce},
        {"expect-health", &Scenario::expectHealth},
        {"expect-no-new-work", &Scenario::expectNoNewWork},
        {"expect-completed", &Scenario::expectCompleted},
        {"expect-refused-only", &Scenario::expectRefusedOnly},
        {"expect-counter", &Scenario::expectCounter},
    };
    for (const auto &[Key, Run] : Actions)
      if (Step.has(Key)) {
        (this->*Run)(Step);
        Step.rejectUnknownKeys();
        return;
      }
    throw SourceError(Step.location(), "the step has no known key",
                      "use one of the steps listed in docs/SCENARIOS.md");
  }

  // Load steps.

  void startLoad(YamlMap &Step) {
    auto M = Step.map("load");
    StreamSpec S;
    S.Name = M.text("name");
    S.Path = M.text("path");
    S.Rate = static_cast<double>(M.number("rate", 1, 10000));
    S.Keyed = M.choice("keyed", {"no", "yes"}, 0) == 1;
    S.Tries = static_cast<unsigned>(M.number("tries", 1, 100, 4));
    S.Timeout = M.duration("timeout", S.Timeout);
    S.RetryPause = M.duration("retry-pause", S.RetryPause);
    M.rejectUnknownKeys();
    this->Load.start(S);
  }

  void stopLoad(YamlMap &Step) {
    static_cast<void>(Step.text("stop-load"));
    this->Load.stop();
    this->waitForOpenRequests(Step);
  }

  /// Sends every answered keyed request of a stream again.
  void repeat(YamlMap &Step) {
    auto M = Step.map("repeat");
    auto Stream = M.text("stream");
    this->Load.repeat(Stream, M.text("as"));
    M.rejectUnknownKeys();
    this->waitForOpenRequests(Step);
  }

  void waitForOpenRequests(YamlMap &Step) {
    this->require(this->Processes.runUntil(
                      [this]() { return this->Load.openRequests() == 0; },
                      Milliseconds(60000)),
                  Step.location(), "requests are still open after 60 s");
  }

  void runFor(YamlMap &Step) {
    this->Processes.runFor(Step.duration("run", Milliseconds(0)));
  }

  void setSurge(YamlMap &Step) {
    this->Load.setSurge(static_cast<double>(Step.number("surge", 1, 100)));
  }

  // Fault steps.

  Fleet::Member &memberOf(YamlMap &Step, const std::string &Key) {
    return this->Processes.member(Step.text(Key));
  }

  void killNode(YamlMap &Step) {
    this->memberOf(Step, "kill").Node->signal(SIGKILL);
  }
  void killTarget(YamlMap &Step) {
    this->memberOf(Step, "kill-target").Target->signal(SIGKILL);
  }
  std::vector<Fleet::Member *> membersOfDomain(const std::string &Domain) {
    std::vector<Fleet::Member *> Found;
    for (auto &M : this->Processes.members())
      if (M->Domain == Domain)
        Found.push_back(M.get());
    return Found;
  }
  /// Kills all nodes and targets of a failure domain.
  void killDomain(YamlMap &Step) {
    for (auto *M : this->membersOfDomain(Step.text("kill-domain"))) {
      M->Node->signal(SIGKILL);
      M->Target->signal(SIGKILL);
    }
  }
  void restartDomain(YamlMap &Step) {
    for (auto *M : this->membersOfDomain(Step.text("restart-domain")))
      this->restart(*M);
  }
  void freezeNode(YamlMap &Step) {
    auto &M = this->memberOf(Step, "freeze");
    M.Node->signal(SIGSTOP);
    this->Frozen.insert(M.Name);
  }
  void thawNode(YamlMap &Step) {
    auto &M = this->memberOf(Step, "thaw");
    M.Node->signal(SIGCONT);
    this->Frozen.erase(M.Name);
  }
  void leaveNode(YamlMap &Step) {
    this->memberOf(Step, "leave").Node->signal(SIGTERM);
  }

  /// Removes a node from the entries that clients send requests to.
  void forget(YamlMap &Step) {
    this->memberOf(Step, "forget").AcceptsClients = false;
    this->Processes.assignEntries(this->Load);
  }

  void restart(YamlMap &Step) {
    this->restart(this->memberOf(Step, "restart"));
  }
  void restart(Fleet::Member &M) {
    this->Restarted.insert(M.Name);
    M.Node.reset();
    M.Target.reset();
    this->Processes.startNode(M);
    this->Processes.startTarget(M);
  }

  void cutConnections(YamlMap &Step) {
    auto &M = this->memberOf(Step, "cut");
    this->require(
        M.Relay != nullptr, Step.location(),
        "cannot cut connections: the fleet file does not set 'relays: yes'");
    this->require(M.Relay->cutSilently() > 0, Step.location(),
                  M.Name + " has no open connection to cut");
  }

  void controlPlatform(YamlMap &Step) {
    auto M = Step.map("platform");
    std::string Query;
    auto Add = [&Query](const std::string &Key, std::uint64_t Value) {
      Query += (Query.empty() ? "?" : "&") + Key + "=" + std::to_string(Value);
    };
    if (M.has("down"))
      Add("down", M.choice("down", {"no", "yes"}, 0));
    if (M.has("delay"))
      Add("delay-ms", static_cast<std::uint64_t>(
                          M.duration("delay", Milliseconds(0)).count()));
    if (M.has("lose-answers"))
      Add("lose-answers", M.number("lose-answers", 0, 1000));
    M.rejectUnknownKeys();
    this->Processes.getJson(this->Processes.platform(), "/control" + Query);
  }

  void slowService(YamlMap &Step) {
    auto M = Step.map("slow");
    auto Service = M.text("service");
    auto Factor = M.number("factor", 1, 1000);
    M.rejectUnknownKeys();
    for (auto &Member : this->Processes.members())
      if (Member->Service.Name == Service)
        this->Processes.getJson(this->Processes.target(*Member),
                                "/control?slow=" + std::to_string(Factor));
  }

  // Publication steps.

  struct PublishCommand {
    std::unique_ptr<Process> Limpetctl;
    std::string Log; ///< path of its log file
  };

  PublishCommand beginPublish(const std::string &Text) {
    auto Number = std::to_string(++this->PublishCount);
    auto Folder = this->Processes.spec().WorkFolder + "/";
    std::ofstream(Folder + "note-" + Number + ".yaml") << Text;
    auto Log = "publish-" + Number + ".log";
    return {this->Processes.startLimpetctl(
                {"publish", Folder + "note-" + Number + ".yaml"}, Log),
            Folder + Log};
  }

  void publish(YamlMap &Step) {
    auto M = Step.map("publish");
    auto Command = this->beginPublish(M.text("note"));
    const std::vector<std::string> Words = {"accepted", "refused", "malformed",
                                            "unreachable", "unknown"};
    auto Expected = static_cast<int>(M.choice("expect", Words, 0));
    M.rejectUnknownKeys();
    this->require(
        this->Processes.runUntil(
            [&Command]() { return Command.Limpetctl->status().has_value(); },
            Milliseconds(60000)),
        Step.location(), "the publication did not end within 60 s");
    this->require(Command.Limpetctl->status() == Expected, Step.location(),
                  "the publication ended with status " +
                      std::to_string(*Command.Limpetctl->status()) +
                      ", expected " + std::to_string(Expected) + " (" +
                      Words[static_cast<std::size_t>(Expected)] + ")");
  }

  void race(YamlMap &Step) {
    std::vector<PublishCommand> Commands;
    for (const auto &Note : Step.texts("race"))
      Commands.push_back(this->beginPublish(Note));
    auto AllEnded = [&Commands]() {
      return std::all_of(Commands.begin(), Commands.end(), [](auto &Command) {
        return Command.Limpetctl->status().has_value();
      });
    };
    this->require(this->Processes.runUntil(AllEnded, Milliseconds(60000)),
                  Step.location(), "not all publications ended within 60 s");
    auto Accepted =
        std::count_if(Commands.begin(), Commands.end(), [](auto &Command) {
          return Command.Limpetctl->status() == 0;
        });
    this->require(Accepted == 1, Step.location(),
                  std::to_string(Accepted) +
                      " publications were accepted, expected exactly 1");
  }

  // Expectation steps.

  /// Requires that a node exits with status 0 after SIGTERM.
  void expectLeft(YamlMap &Step) {
    auto &M = this->memberOf(Step, "expect-left");
    this->require(this->Processes.runUntil(
                      [&M]() { return M.Node->status().has_value(); },
                      Milliseconds(45000)),
                  Step.location(), M.Name + " did not exit within 45 s");
    this->require(M.Node->status() == 0, Step.location(),
                  M.Name + " exited with status " +
                      std::to_string(*M.Node->status()) + ", expected 0");
  }

  /// Requires that every running node has at least the revision in force, and
  /// that no node reverts to an earlier one.
  void expectInForce(YamlMap &Step) {
    auto M = Step.map("expect-in-force");
    auto Expected = M.number("revision", 1, 1000000);
    auto Within = M.duration("within", Milliseconds(5000));
    auto Except = M.texts("except");
    M.rejectUnknownKeys();
    auto InForce = [&]() {
      for (auto &Member : this->Processes.members()) {
        if (Member->Node->status() || std::find(Except.begin(), Except.end(),
                                                Member->Name) != Except.end())
          continue;
        auto S =
            this->Processes.getJson(this->Processes.admin(*Member), "/status");
        if (!S.is_object())
          return false;
        auto Revision = S["revision"].get<std::uint64_t>();
        // A restarted node has no release in force at first and serves nothing.
        // Its first release may not be older than the one it had before.
        if (Revision == 0 && this->Restarted.count(Member->Name) != 0)
          return false;
        this->Restarted.erase(Member->Name);
        auto &Highest = this->HighestRevision[Member->Name];
        this->require(Revision >= Highest, Step.location(),
                      Member->Name + " reverted from revision " +
                          std::to_string(Highest) + " to " +
                          std::to_string(Revision));
        Highest = Revision;
        if (Revision < Expected)
          return false;
      }
      return true;
    };
    this->require(this->Processes.runUntil(InForce, Within), Step.location(),
                  "revision " + std::to_string(Expected) +
                      " was not in force at all running nodes within " +
                      std::to_string(Within.count()) + " ms");
  }

  /// Requires that all other running nodes report a node with this health and
  /// target state.
  void expectHealth(YamlMap &Step) {
    auto M = Step.map("expect-health");
    auto Node = M.text("node");
    auto Expected = M.text("health", "");
    auto Target = M.text("target", "");
    auto Within = M.duration("within", Milliseconds(30000));
    M.rejectUnknownKeys();
    auto AllReport = [&]() {
      for (auto &Member : this->Processes.members()) {
        if (Member->Name == Node || Member->Node->status() ||
            this->Frozen.count(Member->Name) != 0)
          continue;
        auto S =
            this->Processes.getJson(this->Processes.admin(*Member), "/status");
        bool Listed = false;
        for (const auto &Entry : S["members"])
          Listed =
              Listed || (Entry["node"] == Node &&
                         (Expected.empty() || Entry["health"] == Expected) &&
                         (Target.empty() || Entry["target"] == Target));
        if (!Listed)
          return false;
      }
      return true;
    };
    this->require(this->Processes.runUntil(AllReport, Within), Step.location(),
                  "not all running nodes reported " + Node + " with health '" +
                      Expected + "' and target state '" + Target +
                      "' (empty: any) within " +
                      std::to_string(Within.count()) + " ms");
  }

  /// Requires that a target starts no request while the step runs.
  void expectNoNewWork(YamlMap &Step) {
    auto M = Step.map("expect-no-new-work");
    auto &Member = this->Processes.member(M.text("target"));
    auto Span = M.duration("for", Milliseconds(2000));
    M.rejectUnknownKeys();
    auto Started = [&]() {
      return this->Processes
          .getJson(this->Processes.target(Member), "/control")["started"]
          .get<std::uint64_t>();
    };
    auto Before = Started();
    this->Processes.runFor(Span);
    this->require(Started() == Before, Step.location(),
                  Member.Name + " started requests within " +
                      std::to_string(Span.count()) + " ms, expected none");
  }

  void expectCompleted(YamlMap &Step) {
    auto M = Step.map("expect-completed");
    auto Stream = M.text("stream");
    auto Percent = M.number("percent", 0, 100);
    M.rejectUnknownKeys();
    const auto &R = this->Load.results()[Stream];
    auto Ended = R.Completed + R.Failed;
    this->require(
        Ended > 0 && R.Completed * 100 >= Percent * Ended, Step.location(),
        Stream + ": " + std::to_string(R.Completed) + " of " +
            std::to_string(Ended) + " requests completed, expected at least " +
            std::to_string(Percent) + "%" + describeRefusals(R));
  }

  /// Requires that failed tries of a stream have only these outcomes and
  /// reasons.
  void expectRefusedOnly(YamlMap &Step) {
    auto M = Step.map("expect-refused-only");
    auto Stream = M.text("stream");
    auto Allowed = M.texts("for");
    M.rejectUnknownKeys();
    for (const auto &[Reason, Count] : this->Load.results()[Stream].Refusals)
      this->require(
          std::find(Allowed.begin(), Allowed.end(), Reason) != Allowed.end(),
          Step.location(),
          Stream + ": " + std::to_string(Count) + " tries failed with '" +
              Reason + "', allowed: [" + join(Allowed) + "]");
  }

  /// Requires that the sum of a counter over all running nodes is in a range.
  void expectCounter(YamlMap &Step) {
    auto M = Step.map("expect-counter");
    auto Counter = "limpetdrum_" + M.text("counter") + "_total";
    auto Minimum = M.number("at-least", 0, UINT64_MAX, 0);
    auto Maximum = M.number("at-most", 0, UINT64_MAX, UINT64_MAX);
    M.rejectUnknownKeys();
    double Sum = 0;
    for (auto &Member : this->Processes.members())
      if (!Member->Node->status())
        Sum += this->readCounter(*Member, Counter);
    this->require(Sum >= static_cast<double>(Minimum) &&
                      Sum <= static_cast<double>(Maximum),
                  Step.location(),
                  Counter + " is " + std::to_string(Sum) + ", expected " +
                      std::to_string(Minimum) + " to " +
                      std::to_string(Maximum));
  }

  double readCounter(Fleet::Member &Member, const std::string &Counter) {
    double Sum = 0;
    std::istringstream Text(
        this->Processes.getText(this->Processes.admin(Member), "/metrics"));
    for (std::string Line; std::getline(Text, Line);) {
      bool Match = Line.compare(0, Counter.size(), Counter) == 0 &&
                   (Line[Counter.size()] == ' ' || Line[Counter.size()] == '{');
      if (Match)
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    }
    return Sum;
  }

  /// Requires the invariants of every scenario, independent of its faults: each
  /// request ends, no answer is wrong, each key is executed at most once, and
  /// the outcomes reported to clients match the log of runs.
  void checkInvariants() {
    auto Location = this->Map.location();
    this->require(this->Processes.runUntil(
                      [this]() { return this->Load.openRequests() == 0; },
                      Milliseconds(60000)),
                  Location, "requests are still open after 60 s");
    this->Processes.runFor(Milliseconds(1500));
    this->require(
        this->Processes.isRunLogComplete(), Location,
        "the log of runs is incomplete: a target's datagram was lost");
    for (const auto &[Stream, R] : this->Load.results())
      this->require(R.WrongAnswers == 0, Location,
                    Stream + " received " + std::to_string(R.WrongAnswers) +
                        " answers that were truncated or belonged to another "
                        "request");
    const auto &Runs = this->Processes.runs();
    for (const auto &[Run, Targets] : Runs)
      this->require(Targets.size() <= 1, Location,
                    "'" + Run + "' was executed more than once: at " +
                        join(Targets));
    for (const auto &Run : this->Load.reportedNotRun())
      this->require(Runs.count(Run) == 0, Location,
                    "'" + Run +
                        "' was executed, but every try was answered with "
                        "outcome 'not-run'");
    for (const auto &Run : this->Load.answered())
      this->require(Runs.count(Run) == 1, Location,
                    "'" + Run + "' was answered, but not executed");
  }

  std::string File;
  YAML::Node Document;
  YamlMap Map;
  std::string Name;
  EventLoop Loop;
  LoadGenerator Load;
  Fleet Processes;
  std::map<std::string, std::uint64_t> HighestRevision;
  std::set<std::string> Frozen;
  /// Restarted nodes that have not yet been seen with a release in force.
  std::set<std::string> Restarted;
  unsigned PublishCount = 0;
  /// Longest delay of this process's event loop, which carries the clients and
  /// the relays.
  Microseconds LongestDelay{0};
  TimePoint LastDelayCheck = this->Loop.now();
  Timer DelayCheck;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("limpetdrum-scenario FILE...");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  int Failed = 0;
  for (int I = 1; I < ArgCount; ++I)
    try {
      Scenario(Args[I], FLAGS_seed).run();
    } catch (const Error &E) {
      std::cout << Args[I] << ": FAILED: " << E.what() << std::endl;
      ++Failed;
    }
  return Failed == 0 ? 0 : 1;
}
