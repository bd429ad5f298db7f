#include "TargetProcess.h"

#include <csignal>
#include <cstdio>
#include <iostream>

/// All processes are killed after a target has left. The store turns one
/// machine away, and a report of before the leave arrives there late.

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr auto DrainTimeout = 2000ms;
constexpr auto ContactWindow = 3000ms;
/// Time for which the target serves after the ack of its leave.
constexpr auto ServesAfterLeave = 12000ms;
/// Time after the ack at which the late report arrives.
constexpr auto ReportDelay = 4500ms;
/// The site's dose: a third of the machines, for 9 s.
constexpr auto TurnedAwayFor = 9000ms;
constexpr auto TimeBudget = 4000ms;

class Trial {
public:
  Trial(const std::string &Root, const std::string &Folder,
        const std::string &RecordFile)
      : Lines(RecordFile), FirstPort(findFreePorts(32)),
        Objects(FirstPort + 30) {
    for (unsigned I = 0; I < 3; ++I) {
      std::string Letter(1, static_cast<char>('a' + I));
      Place Where{"sidecar-trd-" + Letter, "trd-" + Letter, "bestilling",
                  static_cast<std::uint16_t>(this->FirstPort + I * 10)};
      if (I != 0)
        this->Others.push_back(std::make_unique<Target>(
            Where, [](const Message &) { return "accepted"; }, this->Lines));
      this->Nodes.push_back(std::make_unique<Sidecar>(
          Where, Root, Folder,
          static_cast<std::uint16_t>(FirstPort + (I == 0 ? 31 : 30))));
    }
    this->Objects.addEntrance(
        static_cast<std::uint16_t>(this->FirstPort + 31),
        [this]() { return Clock::now() < this->TurnedAwayUntil.load(); });
    this->Objects.write(
        "config", "main",
        makeManifest(7,
                     {{"order-place", makeRoute("bestilling", "unsafe",
                                                "/orders/", "4000ms")}},
                     {"bestilling"}));
  }

  int run() {
    for (const auto &Node : this->Nodes)
      Node->start(true);
    if (!waitUntilReady(this->Nodes, 15s))
      return this->stop("the nodes did not become ready");
    std::vector<std::thread> Clients;
    for (unsigned I = 0; I < this->Nodes.size(); ++I)
      Clients.emplace_back([this, I]() { this->sendOrders(I); });
    auto Status = this->play();
    this->IsOver = true;
    for (auto &Each : Clients)
      Each.join();
    return Status == 0 ? this->judge() : Status;
  }

private:
  int stop(const std::string &Problem) {
    this->Lines.add("cannot run: " + Problem);
    std::cout << "cannot run: " << Problem << "\n";
    return 2;
  }

  int play() {
    TargetProcess Leaving(this->Nodes[0]->place(),
                          [this](const std::string &Id) { this->onRun(Id); });
    for (unsigned I = 0; I < 3; ++I) {
      (void)Leaving.call("PUT", Leaving.makeReport());
      sleepFor(1500ms);
    }
    auto Report = Leaving.makeReport();
    auto Status = Leaving.call("DELETE", "");
    auto Left = Clock::now();
    this->LeftAt = Left;
    this->Lines.add("the target leaves: answered " + std::to_string(Status));
    if (Status != 200 || this->Runs == 0)
      return this->stop("the target was not in use, or its leave was not "
                        "acknowledged");
    if (hasTrouble())
      this->restart();
    std::this_thread::sleep_until(Left + ReportDelay);
    this->deliver(Leaving, Report);
    std::this_thread::sleep_until(Left + ServesAfterLeave);
    this->Lines.add("the target exits");
    return 0;
  }

  /// Kills all processes at the same moment and starts them again, while the
  /// store turns the machine of the leaving target away.
  void restart() {
    sleepFor(200ms);
    this->TurnedAwayUntil = Clock::now() + TurnedAwayFor;
    this->Lines.add("the store turns the first machine away; SIGKILL to all");
    for (const auto &Node : this->Nodes)
      Node->signal(SIGKILL);
    for (const auto &Node : this->Nodes)
      Node->kill();
    sleepFor(500ms);
    for (const auto &Node : this->Nodes)
      Node->start(false);
    this->StartedAt = Clock::now();
    this->Lines.add("all processes are started again");
  }

  void deliver(TargetProcess &Sender, const std::string &Report) {
    auto Status = Sender.call("PUT", Report);
    this->Lines.add("the report of before the leave arrives: "
                    "answered " +
                    std::to_string(Status));
  }

  void onRun(const std::string &Id) {
    auto Now = Clock::now();
    auto Left = this->LeftAt.load();
    // Past contact-window after the start, all machines have been running.
    bool IsLate = Left != Clock::time_point() && Now > Left + DrainTimeout &&
                  Now > this->StartedAt.load() + ContactWindow;
    ++this->Runs;
    if (IsLate)
      ++this->LateRuns;
    this->Lines.add("the leaving target runs " + Id +
                    (IsLate ? ", counted" : ""));
  }

  void sendOrders(unsigned Node) {
    auto Port = this->Nodes[Node]->place().outbound();
    auto Link = Connection::open(Port);
    while (!this->IsOver) {
      if (!Link) {
        sleepFor(50ms);
        Link = Connection::open(Port);
        continue;
      }
      char Id[17];
      std::snprintf(Id, sizeof(Id), "%016x", ++this->LastId);
      auto Status = send(*Link, "POST", "/orders/new", Id,
                         std::string(300, 'o'), TimeBudget);
      this->Lines.add("order " + std::string(Id) + " at node " +
                      std::to_string(Node) + ": answered " +
                      std::to_string(Status));
      if (Status == 0)
        Link.reset();
      sleepFor(50ms);
    }
  }

  int judge() {
    bool IsBroken = this->LateRuns > 0;
    auto Result = std::to_string(this->LateRuns) +
                  " requests reached the target later than drain-timeout "
                  "after the ack of its leave: DRAIN " +
                  (IsBroken ? "broken" : "held");
    this->Lines.add(Result);
    std::cout << Result << "\n";
    return IsBroken ? 1 : 0;
  }

  std::atomic<Clock::time_point> TurnedAwayUntil{Clock::time_point()};
  Record Lines;
  std::uint16_t FirstPort;
  Store Objects;
  std::vector<std::unique_ptr<Target>> Others;
  std::vector<std::unique_ptr<Sidecar>> Nodes;
  std::atomic<unsigned> LastId{0};
  std::atomic<unsigned> Runs{0};
  std::atomic<unsigned> LateRuns{0};
  std::atomic<Clock::time_point> LeftAt{Clock::time_point()};
  std::atomic<Clock::time_point> StartedAt{Clock::time_point()};
  std::atomic<bool> IsOver{false};
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4) {
    std::cerr << "usage: trial-13 ROOT FOLDER RECORD\n";
    return 2;
  }
  try {
    return Trial(Arguments[1], Arguments[2], Arguments[3]).run();
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
    return 2;
  }
}
