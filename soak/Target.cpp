#include "Target.h"

#include <nlohmann/json.hpp>

namespace limpetdrum::soak {

namespace {

constexpr std::size_t SlotCount = 40;
constexpr Milliseconds ReportPeriod{1500};
constexpr Milliseconds ReportTimeout{1000};
constexpr Milliseconds DrainTimeout{2000};
constexpr Milliseconds AfterDrain{400};
/// A target that hears no acknowledgement exits all the same.
constexpr Milliseconds UnheardExit{5000};
constexpr Milliseconds CallLimit{1500};

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::string wire::receipt(const std::string &Id, const std::string &Body) {
  return std::to_string(stableHash(Id + '\n' + Body));
}

Target::Target(EventLoop &Loop, TargetPlace Chosen, std::string Id,
               Witness &Seen, std::uint64_t Seed)
    : Loop(Loop), Place(std::move(Chosen)), Id(std::move(Id)), Seen(Seen),
      Random(Seed), Born(unixMillis()), ToReports(Loop, this->Place.Reports),
      ToNode(Loop, this->Place.Outbound),
      Server(std::make_unique<HttpServer>(
          Loop, this->Place.Listen,
          [this](const Exchange &Who) { this->onRequest(Who); })) {
  this->Timers.push_back(
      Loop.every(ReportPeriod, [this]() { this->report(); }));
  this->report();
}

Target::~Target() {
  for (const auto &Work : this->Running)
    this->Seen.Runs[Work->Run].Ended = this->Loop.now();
}

void Target::stall(Milliseconds Span) {
  this->StalledUntil = this->Loop.now() + Span;
}

void Target::report() {
  if (this->Withdraws)
    return;
  HttpCall Call;
  Call.Method = "PUT";
  Call.Path = "/-/instances/" + this->Id;
  Call.Headers = {{"Content-Type", "application/json"}};
  Call.Timeout = ReportTimeout;
  Call.Body = nlohmann::json({{"address", toString(this->Place.Announced)},
                              {"born", this->Born},
                              {"server-info",
                               {{"service", this->Place.Service},
                                {"version", "v1"},
                                {"zone", this->Place.Zone},
                                {"slots", SlotCount}}},
                              {"status",
                               {{"state", this->Leaving ? "draining" : "ready"},
                                {"sequence", ++this->Sequence},
                                {"cold-remaining", "0ms"}}}})
                  .dump();
  bool TellsLeave = this->Leaving;
  (void)this->ToReports.send(Call, [this, TellsLeave](const HttpResponse &Got) {
    if (TellsLeave && Got.Outcome == HttpOutcome::Answered &&
        Got.Status / 100 == 2)
      this->acknowledged();
  });
}

void Target::leave(bool Silently) {
  if (std::exchange(this->Leaving, true))
    return;
  this->Timers.push_back(
      this->Loop.after(UnheardExit, [this]() { this->HasLeft = true; }));
  if (!Silently) {
    this->report();
    return;
  }
  this->Withdraws = true;
  this->withdraw();
}

void Target::withdraw() {
  HttpCall Call;
  Call.Method = "DELETE";
  Call.Path = "/-/instances/" + this->Id;
  Call.Timeout = ReportTimeout;
  (void)this->ToReports.send(Call, [this](const HttpResponse &Got) {
    if (Got.Outcome == HttpOutcome::Answered && Got.Status / 100 == 2)
      this->acknowledged();
  });
}

void Target::acknowledged() {
  if (!this->Seen.LeaveAcks.emplace(this->Id, this->Loop.now()).second)
    return;
  this->Timers.push_back(this->Loop.after(DrainTimeout + AfterDrain, [this]() {
    if (!std::exchange(this->Withdraws, true))
      this->withdraw();
    this->HasLeft = true;
  }));
}

void Target::onRequest(const Exchange &Who) {
  auto Route = Who->path().substr(0, Who->path().rfind('/') + 1);
  SeenRun Run;
  Run.Id = Who->header(wire::RequestId);
  Run.Node = this->Place.Node;
  Run.Target = this->Id;
  Run.Service = this->Place.Service;
  Run.CallerService = Who->header(wire::Caller);
  Run.Route = Route;
  Run.Begun = this->Loop.now();
  Run.Intact = Who->path() == Route + Run.Id &&
               Who->body() == (Who->method() == "POST" ? Run.Id : "");
  HttpHeaders Headers = {{wire::RequestId, Run.Id}};
  if (Who->path() == "/health") {
    Headers.emplace_back(wire::Instance, this->Id);
    Who->reply(this->Leaving ? 503 : 200, Headers, "");
    return;
  }
  auto Expected = Who->header(wire::Expected);
  bool Wrong = !Expected.empty() && Expected != this->Id;
  if (Wrong || this->Running.size() >= SlotCount) {
    Headers.emplace_back(wire::NotExecuted, "1");
    Run.Ran = false;
    this->Seen.Runs.push_back(Run);
    Who->reply(Wrong ? 421 : 503, Headers, "");
    return;
  }
  this->Seen.Runs.push_back(Run);
  auto Begun = std::make_shared<Work>();
  Begun->Who = Who;
  Begun->Run = this->Seen.Runs.size() - 1;
  this->Running.push_back(Begun);
  Who->onClientDisconnect([this, Weak = std::weak_ptr<Work>(Begun)]() {
    if (auto Left = Weak.lock())
      this->finish(Left, 0);
  });
  constexpr double MeanMillis = 40;
  std::exponential_distribution<double> Length(1 / MeanMillis);
  // One in six takes long enough for what happens to a node meanwhile.
  double Times = this->Random() % 6 == 0 ? 15 : 1;
  auto Span = Milliseconds(static_cast<std::int64_t>(
      std::min(Length(this->Random) * Times, 1500.0)));
  constexpr Milliseconds StalledSpan{4000};
  if (this->Loop.now() < this->StalledUntil)
    Span = StalledSpan;
  this->Seen.Runs[Begun->Run].Due = this->Loop.now() + Span;
  Begun->End = this->Loop.after(
      Span, [this, Route, Weak = std::weak_ptr<Work>(Begun)]() {
        // Gone with a target that crashed.
        auto Due = Weak.lock();
        if (Due == nullptr)
          return;
        if (Route == "/order/")
          this->call(Due);
        else
          this->finish(Due, 200);
      });
}

void Target::call(const std::shared_ptr<Work> &For) {
  SeenRequest Asked;
  Asked.Id = this->Id + "-" + std::to_string(++this->LastCall);
  Asked.Route = "/lookup/";
  Asked.Entry = this->Place.Node;
  Asked.IsCall = true;
  Asked.Sent = this->Loop.now();
  Asked.Deadline = Asked.Sent + CallLimit;
  this->Seen.Requests[Asked.Id] = Asked;
  HttpCall Call;
  Call.Path = Asked.Route + Asked.Id;
  Call.Headers = {{"Host", wire::Host},
                  {wire::RequestId, Asked.Id},
                  {wire::TimeLeft, std::to_string(CallLimit.count())}};
  Call.Timeout = CallLimit;
  (void)this->ToNode.send(Call, [this, For,
                                 Key = Asked.Id](const HttpResponse &Got) {
    auto &Told = this->Seen.Requests[Key];
    Told.Ended = this->Loop.now();
    Told.Status = Got.Status;
    bool Served = Got.Outcome == HttpOutcome::Answered && Got.Status == 200;
    Told.OwnAnswer =
        !Served || Got.header(wire::Receipt) == wire::receipt(Key, Got.Body);
    this->finish(For, Served ? 200 : 500);
  });
}

void Target::finish(const std::shared_ptr<Work> &Done, int Status) {
  auto &Run = this->Seen.Runs[Done->Run];
  if (Run.Ended)
    return;
  Run.Ended = this->Loop.now();
  Done->End.cancel();
  this->Running.remove(Done);
  if (Status == 0)
    return;
  auto Body =
      Run.Id + " at " + this->Id + std::string(this->Random() % 900, '.');
  Done->Who->reply(
      Status,
      {{wire::RequestId, Run.Id}, {wire::Receipt, wire::receipt(Run.Id, Body)}},
      Body);
}

} // namespace limpetdrum::soak
