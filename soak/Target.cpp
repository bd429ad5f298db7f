#include "Target.h"

#include <nlohmann/json.hpp>

namespace limpetdrum::soak {

namespace {

constexpr std::size_t SlotCount = 40;
constexpr Milliseconds ReportPeriod{1500};
constexpr Milliseconds ReportTimeout{1000};
constexpr Milliseconds DrainTimeout{2000};
constexpr Milliseconds ExitDelay{400};
/// A target exits after this time even if its leave is not acknowledged.
constexpr Milliseconds UnacknowledgedExit{5000};
constexpr Milliseconds CallTimeout{1500};

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
      Server(std::make_unique<HttpServer>(
          Loop, this->Settings.Listen,
          [this](const Exchange &Request) { this->onRequest(Request); })) {
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

HttpHeaders Target::notices(const std::string &RequestId) {
  HttpHeaders Headers;
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
  auto Route = Request->path().substr(0, Request->path().rfind('/') + 1);
  auto Content = Request->path().substr(Route.size());
  RunRecord Run;
  Run.Id = Request->header(wire::RequestId);
  Run.Node = this->Settings.Node;
  Run.Target = this->Id;
  Run.Service = this->Settings.Service;
  Run.CallerService = Request->header(wire::Caller);
  Run.Organisation = Request->header(wire::Organisation);
  Run.HasKey = findHeader(Request->request().Headers, wire::Key) != nullptr;
  Run.Route = Route;
  Run.Started = this->Loop.now();
  auto Sent = this->Observations.Requests.find(Run.Id);
  Run.Intact = Sent != this->Observations.Requests.end() &&
               Content == Sent->second.Content &&
               Request->body() == (Request->method() == "POST" ? Content : "");
  HttpHeaders Headers = {{wire::RequestId, Run.Id}};
  for (auto &Entry : this->notices(Run.Id))
    Headers.push_back(std::move(Entry));
  if (Request->path() == "/health") {
    Headers.emplace_back(wire::Instance, this->Id);
    Request->reply(this->Leaving ? 503 : 200, Headers, "");
    return;
  }
  auto Expected = Request->header(wire::Expected);
  bool WrongTarget = !Expected.empty() && Expected != this->Id;
  if (WrongTarget || this->Running.size() >= SlotCount) {
    Headers.emplace_back(wire::NotExecuted, "1");
    Run.Executed = false;
    this->Observations.Runs.push_back(Run);
    Request->reply(WrongTarget ? 421 : 503, Headers, "");
    return;
  }
  this->Observations.Runs.push_back(Run);
  auto Job = std::make_shared<Work>();
  Job->Request = Request;
  Job->Run = this->Observations.Runs.size() - 1;
  this->Running.push_back(Job);
  Request->onClientDisconnect([this, Weak = std::weak_ptr<Work>(Job)]() {
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
  auto Span = Milliseconds(static_cast<std::int64_t>(
      std::min(Duration(this->Random) * Factor, 1500.0)));
  constexpr Milliseconds StalledSpan{4000};
  if (this->Loop.now() < this->StalledUntil)
    Span = StalledSpan;
  this->Observations.Runs[Job->Run].ExpectedEnd = this->Loop.now() + Span;
  Job->Completion =
      this->Loop.after(Span, [this, Route, Weak = std::weak_ptr<Work>(Job)]() {
        // The work is destroyed with a target that crashed.
        auto Pending = Weak.lock();
        if (Pending == nullptr)
          return;
        if (Route == "/order/")
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
  if (Status == 0)
    return;
  auto Body =
      Run.Id + " at " + this->Id + std::string(this->Random() % 900, '.');
  auto Headers = this->notices(Run.Id);
  Headers.emplace_back(wire::RequestId, Run.Id);
  Headers.emplace_back(wire::Receipt, wire::receipt(Run.Id, Body));
  Job->Request->reply(Status, Headers, Body);
}

} // namespace limpetdrum::soak
