#include "Target.h"

#include <nlohmann/json.hpp>

namespace limpetdrum::soak {

namespace {

constexpr std::size_t SlotCount = 40;
constexpr std::size_t QueueLength = 20;
constexpr Milliseconds ReportPeriod{1500};
constexpr Milliseconds ReportTimeout{1000};
constexpr Milliseconds DrainTimeout{2000};
constexpr Milliseconds ExitDelay{400};
/// A target exits after this time even if its leave is not acknowledged.
constexpr Milliseconds UnacknowledgedExit{5000};
constexpr Milliseconds CallTimeout{1500};
/// Time for which a target's pace lasts, and the pace of one span in six.
constexpr Milliseconds PaceSpan{150};
constexpr unsigned SlowPace = 250;
constexpr unsigned UsualPace = 100;

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::string wire::receipt(const std::string &Id, const std::string &Body) {
  return std::to_string(stableHash(Id + '\n' + Body));
}

Target::Target(EventLoop &Loop, TargetSettings Settings, std::string Id,
               Witness &Observations, std::uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), Id(std::move(Id)),
      Observations(Observations), Random(Seed), StartTime(unixMillis()),
      ReportsClient(Loop, this->Settings.Reports),
      OutboundClient(Loop, this->Settings.Outbound),
      Server(std::make_unique<TargetServer>(
          Loop, this->Settings.Listen,
          [this](const Exchange &Request) { this->onRequest(Request); },
          Seed + 1)) {
  this->Timers.push_back(
      Loop.every(ReportPeriod, [this]() { this->report(); }));
  this->report();
}

Target::~Target() {
  for (const auto &Work : this->Running)
    this->Observations.Runs[Work->Run].Ended = this->Loop.now();
}

void Target::stall(Milliseconds Span) {
  this->StalledUntil = this->Loop.now() + Span;
}

void Target::spoilAnswers(AnswerStyle Style, double Share, Milliseconds Span) {
  this->Server->spoil(Style, Share, Span);
}

void Target::spoilEndlessly(bool IsSlow, double Share, Milliseconds Span) {
  this->Server->spoilEndlessly(IsSlow, Share, Span);
}

void Target::shed(double Share, Milliseconds Span) {
  this->Shed = {Share, this->Loop.now() + Span};
}

void Target::failUnmarked(double Share, Milliseconds Span) {
  this->FailedUnmarked = {Share, this->Loop.now() + Span};
}

bool Target::isIn(const Part &Value) {
  std::uniform_real_distribution<double> Draw(0, 1);
  return this->Loop.now() < Value.Until && Draw(this->Random) < Value.Share;
}

void Target::nameRate(double PerSecond, Milliseconds Span) {
  if (this->RateNotice)
    return;
  auto &Notices = this->Observations.Notices;
  this->RateNotice = Notices.size();
  Notices.push_back({this->Id, PerSecond, this->Loop.now(), {}, {}});
  this->Timers.push_back(this->Loop.after(Span, [this]() {
    this->Observations.Notices[*this->RateNotice].Ended = this->Loop.now();
    this->RateNotice.reset();
  }));
}

void Target::leaveAfterNotice(Milliseconds Delay) {
  if (this->Leaving || this->LeavingNotice)
    return;
  auto &Notices = this->Observations.Notices;
  this->LeavingNotice = Notices.size();
  Notices.push_back({this->Id, {}, this->Loop.now(), {}, {}});
  this->Timers.push_back(
      this->Loop.after(Delay, [this]() { this->leave(false); }));
}

unsigned Target::pace() const {
  auto Span = this->Loop.now().time_since_epoch() / PaceSpan;
  return stableHash(this->Id, static_cast<std::uint64_t>(Span)) % 6 == 0
             ? SlowPace
             : UsualPace;
}

HttpHeaders Target::notices(const std::string &RequestId) {
  HttpHeaders Headers = {
      {wire::TargetLoad, std::to_string(this->Running.size()) + ",0," +
                             std::to_string(SlotCount) + ',' +
                             std::to_string(this->pace())}};
  auto Add = [&](std::optional<std::size_t> Index, const std::string &Name) {
    if (!Index)
      return;
    auto &Value = this->Observations.Notices[*Index];
    Headers.emplace_back(
        Name, Value.RequestRate ? std::to_string(*Value.RequestRate) : "1");
    auto Found = this->Observations.Requests.find(RequestId);
    if (Found != this->Observations.Requests.end())
      Value.Told.emplace(Found->second.Entry, this->Loop.now());
  };
  Add(this->RateNotice, wire::RequestRate);
  Add(this->LeavingNotice, wire::TargetLeaving);
  return Headers;
}

void Target::report() {
  if (this->Withdrawn)
    return;
  HttpCall Call;
  Call.Method = "PUT";
  Call.Path = "/-/instances/" + this->Id;
  Call.Headers = {{"Content-Type", "application/json"}};
  Call.Timeout = ReportTimeout;
  Call.Body = nlohmann::json({{"address", toString(this->Settings.Announced)},
                              {"born", this->StartTime},
                              {"server-info",
                               {{"service", this->Settings.Service},
                                {"version", "v1"},
                                {"zone", this->Settings.Zone},
                                {"slots", SlotCount}}},
                              {"status",
                               {{"state", this->Leaving ? "draining" : "ready"},
                                {"sequence", ++this->Sequence},
                                {"cold-remaining", "0ms"}}}})
                  .dump();
  bool ReportsLeaving = this->Leaving;
  (void)this->ReportsClient.send(
      Call, [this, ReportsLeaving](const HttpResponse &Response) {
        if (ReportsLeaving && Response.Outcome == HttpOutcome::Answered &&
            Response.Status / 100 == 2)
          this->onLeaveAcknowledged();
      });
}

void Target::leave(bool Silently) {
  if (std::exchange(this->Leaving, true))
    return;
  this->Timers.push_back(this->Loop.after(
      UnacknowledgedExit, [this]() { this->HasExited = true; }));
  if (!Silently) {
    this->report();
    return;
  }
  this->Withdrawn = true;
  this->withdraw();
}

void Target::withdraw() {
  HttpCall Call;
  Call.Method = "DELETE";
  Call.Path = "/-/instances/" + this->Id;
  Call.Timeout = ReportTimeout;
  (void)this->ReportsClient.send(Call, [this](const HttpResponse &Response) {
    if (Response.Outcome == HttpOutcome::Answered && Response.Status / 100 == 2)
      this->onLeaveAcknowledged();
  });
}

void Target::onLeaveAcknowledged() {
  if (!this->Observations.LeaveAcks.emplace(this->Id, this->Loop.now()).second)
    return;
  this->Timers.push_back(this->Loop.after(DrainTimeout + ExitDelay, [this]() {
    if (!std::exchange(this->Withdrawn, true))
      this->withdraw();
    this->HasExited = true;
  }));
}

void Target::onRequest(const Exchange &Request) {
  auto Path = Request->path();
  auto Route = Path.substr(0, Path.rfind('/') + 1);
  auto Content = Path.substr(Route.size());
  const auto &Message = Request->request();
  RunRecord Run;
  Run.Id = Request->header(wire::RequestId);
  Run.Node = this->Settings.Node;
  Run.Target = this->Id;
  Run.Service = this->Settings.Service;
  Run.CallerService = Request->header(wire::Caller);
  Run.Organisation = Request->header(wire::Organisation);
  Run.HasKey = findHeader(Message.Headers, wire::Key) != nullptr;
  Run.Route = Route;
  auto Sent = this->Observations.Requests.find(Run.Id);
  Run.Intact = Sent != this->Observations.Requests.end() &&
               Content == Sent->second.Content &&
               Message.Body.text() == (Message.Method == "POST" ? Content : "");
  if (Path == "/health") {
    auto Headers = this->notices(Run.Id);
    Headers.emplace_back(wire::RequestId, Run.Id);
    Headers.emplace_back(wire::Instance, this->Id);
    Request->reply(this->Leaving ? 503 : 200, Headers, "");
    return;
  }
  auto Expected = Request->header(wire::Expected);
  if (!Expected.empty() && Expected != this->Id)
    this->refuse(Request, Run, 421);
  else if (this->isIn(this->Shed) || (this->Running.size() >= SlotCount &&
                                      this->Queue.size() >= QueueLength))
    this->refuse(Request, Run, 503);
  else if (this->Running.size() < SlotCount)
    this->run(Request, Run);
  else
    this->Queue.push_back(
        {Request, Run,
         this->Loop.now() +
             Milliseconds(std::strtoul(Request->header(wire::TimeLeft).c_str(),
                                       nullptr, 10))});
}

void Target::refuse(const Exchange &Request, RunRecord Run, int Status) {
  Run.Executed = false;
  Run.Started = this->Loop.now();
  auto Headers = this->notices(Run.Id);
  Headers.emplace_back(wire::RequestId, Run.Id);
  Headers.emplace_back(wire::NotExecuted, "1");
  this->Observations.Runs.push_back(std::move(Run));
  Request->reply(Status, Headers, "");
}

void Target::runQueued() {
  while (!this->Queue.empty() && this->Running.size() < SlotCount) {
    auto Next = std::move(this->Queue.front());
    this->Queue.pop_front();
    if (!Next.Request->isOpen())
      continue;
    if (Next.Deadline <= this->Loop.now())
      this->refuse(Next.Request, Next.Run, 503);
    else
      this->run(Next.Request, Next.Run);
  }
}

void Target::run(const Exchange &Request, RunRecord Run) {
  auto Route = Run.Route;
  auto Content = Request->path().substr(Route.size());
  Run.Started = this->Loop.now();
  this->Observations.Runs.push_back(std::move(Run));
  auto Job = std::make_shared<Work>();
  Job->Request = Request;
  Job->Run = this->Observations.Runs.size() - 1;
  this->Running.push_back(Job);
  Request->onDisconnect([this, Weak = std::weak_ptr<Work>(Job)]() {
    if (auto Pending = Weak.lock())
      this->finish(Pending, 0);
  });
  if (Content.compare(0, CrashingContent.size(), CrashingContent) == 0) {
    Job->Completion =
        this->Loop.after(Milliseconds(this->Random() % 80),
                         [this, Weak = std::weak_ptr<Work>(Job)]() {
                           if (auto Pending = Weak.lock())
                             this->crash(Pending);
                         });
    return;
  }
  constexpr double MeanMillis = 40;
  std::exponential_distribution<double> Duration(1 / MeanMillis);
  // One request in six runs long enough to overlap a fault on its node.
  double Factor = this->Random() % 6 == 0 ? 15 : 1;
  Factor *= static_cast<double>(this->pace()) / UsualPace;
  auto Span = Milliseconds(static_cast<std::int64_t>(
      std::min(Duration(this->Random) * Factor, 1500.0)));
  constexpr Milliseconds StalledSpan{4000};
  if (this->Loop.now() < this->StalledUntil)
    Span = StalledSpan;
  this->Observations.Runs[Job->Run].ExpectedEnd = this->Loop.now() + Span;
  Job->Completion = this->Loop.after(Span, [this, Route,
                                            Weak = std::weak_ptr<Work>(Job)]() {
    // The work is destroyed with a target that crashed.
    auto Pending = Weak.lock();
    if (Pending == nullptr)
      return;
    constexpr std::array<int, 3> UnmarkedStatuses = {503, 429, 408};
    if (this->isIn(this->FailedUnmarked))
      this->finish(Pending,
                   UnmarkedStatuses[this->Random() % UnmarkedStatuses.size()]);
    else if (Route == "/order/")
      this->callLookup(Pending);
    else
      this->finish(Pending, 200);
  });
}

void Target::crash(const std::shared_ptr<Work> &Cause) {
  auto &Run = this->Observations.Runs[Cause->Run];
  if (Run.Ended)
    return;
  Run.CrashedAt = this->Loop.now();
  this->Loop.post(this->Settings.OnCrash);
}

void Target::callLookup(const std::shared_ptr<Work> &Parent) {
  RequestRecord Record;
  Record.Parent = this->Observations.Runs[Parent->Run].Id;
  Record.Id =
      Record.Parent + "." + this->Id + "-" + std::to_string(++this->LastCall);
  Record.Content = Record.Id;
  Record.Route = "/lookup/";
  Record.Entry = this->Settings.Node;
  Record.IsCall = true;
  Record.Sent = this->Loop.now();
  Record.Deadline = Record.Sent + CallTimeout;
  this->Observations.Requests[Record.Id] = Record;
  HttpCall Call;
  Call.Path = Record.Route + Record.Id;
  Call.Headers = {{"Host", wire::Host},
                  {wire::RequestId, Record.Id},
                  {wire::Organisation, wire::ForgedOrganisation},
                  {wire::TimeLeft, std::to_string(CallTimeout.count())}};
  Call.Timeout = CallTimeout;
  (void)this->OutboundClient.send(
      Call, [this, Parent, Key = Record.Id](const HttpResponse &Response) {
        auto &Record = this->Observations.Requests[Key];
        Record.Ended = this->Loop.now();
        Record.Status = Response.Status;
        Record.ConnectionLost = Response.Outcome == HttpOutcome::Broken;
        bool Served =
            Response.Outcome == HttpOutcome::Answered && Response.Status == 200;
        Record.AnswerMatches = !Served || Response.header(wire::Receipt) ==
                                              wire::receipt(Key, Response.Body);
        this->finish(Parent, Served ? 200 : 500);
      });
}

void Target::finish(const std::shared_ptr<Work> &Job, int Status) {
  auto &Run = this->Observations.Runs[Job->Run];
  if (Run.Ended)
    return;
  Run.Ended = this->Loop.now();
  Job->Completion.cancel();
  this->Running.remove(Job);
  if (Status != 0)
    this->answer(Job->Request, Run.Id, Status);
  this->runQueued();
}

void Target::answer(const Exchange &Request, const std::string &RequestId,
                    int Status) {
  auto Body =
      RequestId + " at " + this->Id + std::string(this->Random() % 900, '.');
  auto Headers = this->notices(RequestId);
  Headers.emplace_back(wire::RequestId, RequestId);
  Headers.emplace_back(wire::Receipt, wire::receipt(RequestId, Body));
  Request->reply(Status, Headers, Body);
}

} // namespace limpetdrum::soak
