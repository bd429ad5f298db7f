// Runs a scenario: a YAML file with a fleet, a load, faults and expectations,
// on real processes. Verdicts are on invariants and on order of events.
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

DEFINE_int32(base_port, 22000, "first of the ports used");
DEFINE_uint64(seed, 1, "of the load");
DEFINE_string(work_folder, "", "for settings and logs; empty: beside it");

namespace {

using namespace limpetdrum;
using namespace limpetdrum::bench;

constexpr Milliseconds StartLimit{20000};

/// An expectation of the scenario that did not hold.
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

/// The tries of a stream that were refused, by outcome and reason.
std::string describeRefusals(const StreamResult &Result) {
  std::string Text;
  for (const auto &[Why, Count] : Result.Refusals)
    Text += (Text.empty() ? "; tries refused: " : ", ") +
            std::to_string(Count) + " " + Why;
  return Text;
}

class Scenario {
public:
  Scenario(const std::string &File, std::uint64_t Seed)
      : File(File), Document(parseYaml(readFile(File), File)),
        Map(this->Document, File), Name(this->Map.text("name")),
        Load(this->Loop, Seed), Processes(this->Loop, this->fleetSpec()) {}

  void run() {
    this->Processes.startPlatform();
    this->Processes.startAll();
    this->Processes.aim(this->Load);
    this->require(this->Processes.publishFirst(StartLimit),
                  this->Map.location(), "the fleet did not come up");
    for (const auto &Node : this->Map.list("steps"))
      this->step(YamlMap(Node, this->File));
    this->Map.rejectUnknownKeys();
    this->Load.stop();
    this->checkInvariants();
    std::cout << this->Name << ": passed";
    for (const auto &[Stream, R] : this->Load.results())
      std::cout << "; " << Stream << " " << R.Completed << "/" << R.Started;
    std::cout << std::endl;
  }

private:
  using Action = void (Scenario::*)(YamlMap &Step);

  /// The fleet stands in a file of its own, beside the scenario.
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

  void require(bool Holds, const SourceLocation &Where,
               const std::string &Problem) const {
    if (!Holds)
      throw ScenarioFailure(Where, Problem,
                            "read the logs below " +
                                this->Processes.spec().WorkFolder);
  }

  void step(YamlMap Step) {
    static const std::map<std::string, Action> Actions = {
        {"load", &Scenario::startLoad},
        {"stop-load", &Scenario::stopLoad},
        {"repeat", &Scenario::repeat},
        {"run", &Scenario::letRun},
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
    for (const auto &[Word, Run] : Actions)
      if (Step.has(Word)) {
        (this->*Run)(Step);
        Step.rejectUnknownKeys();
        return;
      }
    throw SourceError(Step.location(), "the step is unknown",
                      "read docs/SCENARIOS.md for the steps there are");
  }

  // Load

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
    this->settle(Step);
  }

  /// Clients ask again for what they have been answered.
  void repeat(YamlMap &Step) {
    auto M = Step.map("repeat");
    auto Stream = M.text("stream");
    this->Load.repeat(Stream, M.text("as"));
    M.rejectUnknownKeys();
    this->settle(Step);
  }

  void settle(YamlMap &Step) {
    this->require(
        this->Processes.runUntil([this]() { return this->Load.open() == 0; },
                                 Milliseconds(60000)),
        Step.location(), "requests stay open");
  }

  void letRun(YamlMap &Step) {
    this->Processes.runFor(Step.duration("run", Milliseconds(0)));
  }

  void setSurge(YamlMap &Step) {
    this->Load.setSurge(static_cast<double>(Step.number("surge", 1, 100)));
  }

  // Faults

  Fleet::Member &named(YamlMap &Step, const std::string &Word) {
    return this->Processes.member(Step.text(Word));
  }

  void killNode(YamlMap &Step) {
    this->named(Step, "kill").Node->signal(SIGKILL);
  }
  void killTarget(YamlMap &Step) {
    this->named(Step, "kill-target").Target->signal(SIGKILL);
  }
  std::vector<Fleet::Member *> ofDomain(const std::string &Domain) {
    std::vector<Fleet::Member *> Found;
    for (auto &M : this->Processes.members())
      if (M->Domain == Domain)
        Found.push_back(M.get());
    return Found;
  }
  /// Nodes and targets of a failure domain die at once.
  void killDomain(YamlMap &Step) {
    for (auto *M : this->ofDomain(Step.text("kill-domain"))) {
      M->Node->signal(SIGKILL);
      M->Target->signal(SIGKILL);
    }
  }
  void restartDomain(YamlMap &Step) {
    for (auto *M : this->ofDomain(Step.text("restart-domain")))
      this->restart(*M);
  }
  void freezeNode(YamlMap &Step) {
    auto &M = this->named(Step, "freeze");
    M.Node->signal(SIGSTOP);
    this->Frozen.insert(M.Name);
  }
  void thawNode(YamlMap &Step) {
    auto &M = this->named(Step, "thaw");
    M.Node->signal(SIGCONT);
    this->Frozen.erase(M.Name);
  }
  void leaveNode(YamlMap &Step) {
    this->named(Step, "leave").Node->signal(SIGTERM);
  }

  /// Clients learn that a node is gone, and send it nothing more.
  void forget(YamlMap &Step) {
    this->named(Step, "forget").TakesClients = false;
    this->Processes.aim(this->Load);
  }

  void restart(YamlMap &Step) { this->restart(this->named(Step, "restart")); }
  void restart(Fleet::Member &M) {
    this->Restarted.insert(M.Name);
    M.Node.reset();
    M.Target.reset();
    this->Processes.startNode(M);
    this->Processes.startTarget(M);
  }

  void cutConnections(YamlMap &Step) {
    auto &M = this->named(Step, "cut");
    this->require(M.Relay != nullptr, Step.location(),
                  "the fleet has no relays");
    this->require(M.Relay->cutSilently() > 0, Step.location(),
                  "there was no connection to cut");
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
    this->Processes.ask(this->Processes.platform(), "/control" + Query);
  }

  void slowService(YamlMap &Step) {
    auto M = Step.map("slow");
    auto Service = M.text("service");
    auto Factor = M.number("factor", 1, 1000);
    M.rejectUnknownKeys();
    for (auto &Member : this->Processes.members())
      if (Member->Service.Name == Service)
        this->Processes.ask(this->Processes.target(*Member),
                            "/control?slow=" + std::to_string(Factor));
  }

  // Operators

  struct Publishing {
    std::unique_ptr<Process> Running;
    std::string Log;
  };

  Publishing beginPublish(const std::string &Text) {
    auto Number = std::to_string(++this->Published);
    auto Folder = this->Processes.spec().WorkFolder + "/";
    std::ofstream(Folder + "note-" + Number + ".yaml") << Text;
    auto Log = "publish-" + Number + ".log";
    return {this->Processes.control(
                {"publish", Folder + "note-" + Number + ".yaml"}, Log),
            Folder + Log};
  }

  void publish(YamlMap &Step) {
    auto M = Step.map("publish");
    auto Deed = this->beginPublish(M.text("note"));
    const std::vector<std::string> Words = {"accepted", "refused", "malformed",
                                            "unreachable", "unknown"};
    auto Expected = static_cast<int>(M.choice("expect", Words, 0));
    M.rejectUnknownKeys();
    this->require(this->Processes.runUntil(
                      [&Deed]() { return Deed.Running->status().has_value(); },
                      Milliseconds(60000)),
                  Step.location(), "the publication did not end");
    this->require(Deed.Running->status() == Expected, Step.location(),
                  "the publication ended with status " +
                      std::to_string(*Deed.Running->status()));
  }

  void race(YamlMap &Step) {
    std::vector<Publishing> Racing;
    for (const auto &Note : Step.texts("race"))
      Racing.push_back(this->beginPublish(Note));
    auto AllEnded = [&Racing]() {
      return std::all_of(Racing.begin(), Racing.end(), [](auto &Deed) {
        return Deed.Running->status().has_value();
      });
    };
    this->require(this->Processes.runUntil(AllEnded, Milliseconds(60000)),
                  Step.location(), "a publication did not end");
    auto Accepted = std::count_if(Racing.begin(), Racing.end(), [](auto &Deed) {
      return Deed.Running->status() == 0;
    });
    this->require(Accepted == 1, Step.location(),
                  std::to_string(Accepted) + " operators were accepted");
  }

  // Expectations

  /// SIGTERM to exit with status 0.
  void expectLeft(YamlMap &Step) {
    auto &M = this->named(Step, "expect-left");
    this->require(this->Processes.runUntil(
                      [&M]() { return M.Node->status().has_value(); },
                      Milliseconds(45000)),
                  Step.location(), M.Name + " did not leave");
    this->require(M.Node->status() == 0, Step.location(),
                  M.Name + " left with status " +
                      std::to_string(*M.Node->status()));
  }

  /// Every running node has the revision in force, and none ever goes back.
  void expectInForce(YamlMap &Step) {
    auto M = Step.map("expect-in-force");
    auto Wanted = M.number("revision", 1, 1000000);
    auto Within = M.duration("within", Milliseconds(5000));
    auto Except = M.texts("except");
    M.rejectUnknownKeys();
    auto Everywhere = [&]() {
      for (auto &Member : this->Processes.members()) {
        if (Member->Node->status() || std::find(Except.begin(), Except.end(),
                                                Member->Name) != Except.end())
          continue;
        auto S = this->Processes.ask(this->Processes.admin(*Member), "/status");
        if (!S.is_object())
          return false;
        auto Seen = S["revision"].get<std::uint64_t>();
        // A new life has nothing in force at first, and serves nothing; what it
        // first has may not be older than what was seen before.
        if (Seen == 0 && this->Restarted.count(Member->Name) != 0)
          return false;
        this->Restarted.erase(Member->Name);
        auto &Highest = this->HighestSeen[Member->Name];
        this->require(Seen >= Highest, Step.location(),
                      Member->Name + " went back to revision " +
                          std::to_string(Seen));
        Highest = Seen;
        if (Seen < Wanted)
          return false;
      }
      return true;
    };
    this->require(this->Processes.runUntil(Everywhere, Within), Step.location(),
                  "revision " + std::to_string(Wanted) +
                      " is not in force everywhere");
  }

  /// All other running nodes believe this of a node.
  void expectHealth(YamlMap &Step) {
    auto M = Step.map("expect-health");
    auto Of = M.text("node");
    auto Wanted = M.text("health", "");
    auto Target = M.text("target", "");
    auto Within = M.duration("within", Milliseconds(30000));
    M.rejectUnknownKeys();
    auto Agreed = [&]() {
      for (auto &Member : this->Processes.members()) {
        if (Member->Name == Of || Member->Node->status() ||
            this->Frozen.count(Member->Name) != 0)
          continue;
        auto S = this->Processes.ask(this->Processes.admin(*Member), "/status");
        bool Believes = false;
        for (const auto &Entry : S["members"])
          Believes =
              Believes || (Entry["node"] == Of &&
                           (Wanted.empty() || Entry["health"] == Wanted) &&
                           (Target.empty() || Entry["target"] == Target));
        if (!Believes)
          return false;
      }
      return true;
    };
    this->require(this->Processes.runUntil(Agreed, Within), Step.location(),
                  "not all believe that " + Of + " is " + Wanted + Target);
  }

  /// A target starts nothing while the step runs.
  void expectNoNewWork(YamlMap &Step) {
    auto M = Step.map("expect-no-new-work");
    auto &Member = this->Processes.member(M.text("target"));
    auto For = M.duration("for", Milliseconds(2000));
    M.rejectUnknownKeys();
    auto Started = [&]() {
      return this->Processes
          .ask(this->Processes.target(Member), "/control")["started"]
          .get<std::uint64_t>();
    };
    auto Before = Started();
    this->Processes.runFor(For);
    this->require(Started() == Before, Step.location(),
                  Member.Name + " was given new work");
  }

  void expectCompleted(YamlMap &Step) {
    auto M = Step.map("expect-completed");
    auto Stream = M.text("stream");
    auto Percent = M.number("percent", 0, 100);
    M.rejectUnknownKeys();
    const auto &R = this->Load.results()[Stream];
    auto Ended = R.Completed + R.GaveUp;
    this->require(
        Ended > 0 && R.Completed * 100 >= Percent * Ended, Step.location(),
        Stream + ": " + std::to_string(R.Completed) + " of " +
            std::to_string(Ended) + " completed" + describeRefusals(R));
  }

  /// No try of a stream was refused for anything but these reasons.
  void expectRefusedOnly(YamlMap &Step) {
    auto M = Step.map("expect-refused-only");
    auto Stream = M.text("stream");
    auto Allowed = M.texts("for");
    M.rejectUnknownKeys();
    for (const auto &[Why, Count] : this->Load.results()[Stream].Refusals)
      this->require(std::find(Allowed.begin(), Allowed.end(), Why) !=
                        Allowed.end(),
                    Step.location(),
                    Stream + ": " + std::to_string(Count) +
                        " tries ended as '" + Why + "'");
  }

  /// Over all running nodes, a counter has been counted so often.
  void expectCounter(YamlMap &Step) {
    auto M = Step.map("expect-counter");
    auto Counter = "limpetdrum_" + M.text("counter") + "_total";
    auto Least = M.number("at-least", 0, UINT64_MAX, 0);
    auto Most = M.number("at-most", 0, UINT64_MAX, UINT64_MAX);
    M.rejectUnknownKeys();
    double Sum = 0;
    for (auto &Member : this->Processes.members())
      if (!Member->Node->status())
        Sum += this->readCounter(*Member, Counter);
    this->require(
        Sum >= static_cast<double>(Least) && Sum <= static_cast<double>(Most),
        Step.location(), Counter + " stands at " + std::to_string(Sum));
  }

  double readCounter(Fleet::Member &Of, const std::string &Counter) {
    double Sum = 0;
    std::istringstream Text(
        this->Processes.askText(this->Processes.admin(Of), "/metrics"));
    for (std::string Line; std::getline(Text, Line);) {
      bool Match = Line.compare(0, Counter.size(), Counter) == 0 &&
                   (Line[Counter.size()] == ' ' || Line[Counter.size()] == '{');
      if (Match)
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    }
    return Sum;
  }

  /// What holds in every scenario, whatever its faults.
  void checkInvariants() {
    auto Where = this->Map.location();
    this->require(
        this->Processes.runUntil([this]() { return this->Load.open() == 0; },
                                 Milliseconds(60000)),
        Where, "requests stay open");
    this->Processes.runFor(Milliseconds(1500));
    this->require(this->Processes.logIsWhole(), Where,
                  "the run log lost an entry");
    for (const auto &[Stream, R] : this->Load.results())
      this->require(R.WrongAnswers == 0, Where,
                    Stream + " got " + std::to_string(R.WrongAnswers) +
                        " answers that were cut or another's");
    const auto &Runs = this->Processes.runs();
    for (const auto &[Run, Places] : Runs)
      this->require(Places.size() <= 1, Where,
                    "'" + Run + "' ran at " + join(Places));
    for (const auto &Run : this->Load.neverRun())
      this->require(Runs.count(Run) == 0, Where,
                    "'" + Run + "' ran after it was said not to have run");
    for (const auto &Run : this->Load.answered())
      this->require(Runs.count(Run) == 1, Where,
                    "'" + Run + "' was answered but never ran");
  }

  std::string File;
  YAML::Node Document;
  YamlMap Map;
  std::string Name;
  EventLoop Loop;
  LoadGenerator Load;
  Fleet Processes;
  std::map<std::string, std::uint64_t> HighestSeen;
  std::set<std::string> Frozen;
  std::set<std::string> Restarted; ///< and not yet seen with a release
  unsigned Published = 0;
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
