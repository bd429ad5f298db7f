#include "limpetdrum/daemon/Entrance.h"

#include "limpetdrum/process/Error.h"

#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

constexpr std::uint16_t UnboundedRetries = 3;
/// A target may make other calls for its request: each gets half of the rest.
constexpr unsigned OtherCalls = 1;
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t MaxTenantLength = 128;
constexpr Milliseconds ComeBackSoon{1000};

int httpStatus(const Reply &Value) {
  if (Value.Outcome == Outcome::Answered)
    return Value.Status;
  if (Value.Outcome == Outcome::NotRun)
    return 503;
  return Value.Reason == Reason::TimedOut ? 504 : 502;
}

HttpHeaders answerHeaders(const Reply &Value) {
  HttpHeaders Headers = {{header::Outcome, toString(Value.Outcome)}};
  if (Value.Outcome == Outcome::Answered) {
    if (!Value.ContentType.empty())
      Headers.emplace_back(header::ContentType, Value.ContentType);
    return Headers;
  }
  Headers.emplace_back(header::ContentType, "application/json");
  Headers.emplace_back(header::Reason, toString(Value.Reason));
  auto Span = std::max(Value.RetryAfter, Milliseconds(1));
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Span);
  Headers.emplace_back("Retry-After", std::to_string(Seconds.count()));
  Headers.emplace_back(header::RetryAfterMillis, std::to_string(Span.count()));
  return Headers;
}

std::string answerBody(const Reply &Value) {
  if (Value.Outcome == Outcome::Answered)
    return Value.Body;
  nlohmann::json Body = {{"outcome", toString(Value.Outcome)},
                         {"reason", toString(Value.Reason)}};
  return Body.dump() + "\n";
}

} // namespace

/// One request from its arrival to its answer.
struct Entrance::Entry {
  std::shared_ptr<HttpExchange> Exchange;
  std::uint64_t Number = 0;
  TimePoint Start;
  bool FromTarget = false;
  std::shared_ptr<const CompiledRelease> Release;
  const CompiledRoute *Route = nullptr;
  std::optional<AttemptId> Parent;
  CallRequest Request;
  Tenant Owner;
  std::uint16_t Granted = 0; ///< retries, out of the parent's budget
  std::uint64_t Ticket = 0;
  bool Done = false;
};

Entrance::Entrance(Options Chosen, Executor &Own, Caller &Calls,
                   KeyedCalls &Keyed, const LevelTable &Levels,
                   const InForce &Releases, Metrics &Counters, Clock Now)
    : Chosen(Chosen), Own(Own), Calls(Calls), Keyed(Keyed), Levels(Levels),
      Releases(Releases), Counters(Counters), Now(std::move(Now)),
      Random(Chosen.Seed), ComeBack(Chosen.Seed + 1) {}

void Entrance::onClient(std::shared_ptr<HttpExchange> Exchange) {
  auto E = std::make_shared<Entry>();
  E->Exchange = std::move(Exchange);
  this->enter(E);
}

void Entrance::onTarget(std::shared_ptr<HttpExchange> Exchange) {
  auto E = std::make_shared<Entry>();
  E->Exchange = std::move(Exchange);
  E->FromTarget = true;
  this->enter(E);
}

void Entrance::enter(const std::shared_ptr<Entry> &E) {
  ++this->Open;
  E->Number = ++this->LastEntry;
  E->Start = this->Now();
  E->Release = this->Releases.current();
  if (!E->Release) {
    this->finish(E, notRun(Reason::NoTarget, ComeBackSoon));
    return;
  }
  E->Route = E->Release->route(E->Exchange->path());
  if (E->Route == nullptr) {
    this->reject(E, 404, "no service in force has this path");
    return;
  }
  if (E->Route->Declared.Method != E->Exchange->method()) {
    this->reject(E, 405, "this path takes " + E->Route->Declared.Method);
    return;
  }
  if (this->bindParent(E) && this->fillSpec(E))
    this->admit(E);
}

bool Entrance::bindParent(const std::shared_ptr<Entry> &E) {
  auto Text = E->FromTarget ? E->Exchange->header(header::Attempt) : "";
  if (Text.empty())
    return true;
  try {
    E->Parent = parseAttemptId(Text);
  } catch (const ValueError &Problem) {
    this->reject(E, 400, Problem.what());
    return false;
  }
  if (this->Own.parent(*E->Parent) != nullptr)
    return true;
  // The request that this call belongs to has ended.
  this->finish(E, notRun(Reason::Cancelled, ComeBackSoon));
  return false;
}

bool Entrance::fillSpec(const std::shared_ptr<Entry> &E) {
  const auto &Declared = E->Route->Declared;
  auto &Spec = E->Request.Spec;
  E->Request.Runs = Declared.Runs;
  E->Request.Service = E->Route->Service;
  E->Request.CallDepth = E->Route->CallDepth;
  Spec.Path = Declared.Path;
  Spec.Method = Declared.Method;
  Spec.ContentType = E->Exchange->header(header::ContentType);
  Spec.Body = E->Exchange->body();
  Spec.TimeLeft = Declared.Deadline;
  auto Key = E->Exchange->header(header::IdempotencyKey);
  auto Owner = E->Exchange->header(header::Tenant);
  if (Key.size() > MaxKeyLength || Owner.size() > MaxTenantLength) {
    this->reject(E, 400, "the Idempotency-Key or tenant is too long");
    return false;
  }
  if (!E->Parent) {
    Spec.Tenant = Tenant(Owner);
    Spec.Rank = E->Route->Rank;
    Spec.Root = {this->Random(), this->Random()};
    Spec.Retries =
        this->Chosen.BoundRetries ? Declared.Retries : UnboundedRetries;
    if (Declared.Runs == RunSemantics::Once && Key.empty()) {
      this->reject(E, 400, "this path runs once: send an Idempotency-Key");
      return false;
    }
  } else {
    auto &Above = *this->Own.parent(*E->Parent);
    Spec.Tenant = Above.Spec.Tenant;
    Spec.Rank = Above.Spec.Rank;
    Spec.Root = Above.Spec.Root;
    E->Request.RetryOnOverload = true;
    Spec.Retries = this->Chosen.BoundRetries ? Above.Budget.grant(OtherCalls)
                                             : UnboundedRetries;
    Spec.TimeLeft = std::min(
        Spec.TimeLeft,
        std::chrono::duration_cast<Microseconds>(Above.Deadline - this->Now()));
  }
  if (!Key.empty() && Declared.Runs == RunSemantics::Once) {
    Spec.Key = scopedKey(Spec.Tenant, Spec.Path, Key);
    // A retry of a key falls into the same cohort.
    if (!E->Parent)
      Spec.Root = {stableHash(Spec.Key.value(), 1),
                   stableHash(Spec.Key.value(), 2)};
  }
  Spec.Cohort = cohortOf(Spec.Root);
  E->Owner = Spec.Tenant;
  E->Granted = Spec.Retries;
  return true;
}

float Entrance::threshold(const CompiledRoute &Route) const {
  float Least = this->Levels.threshold(Route.Reaches, this->Now());
  for (const auto &Name : Route.Reaches)
    if (Name == this->Own.service())
      Least = std::min(Least, this->Own.threshold());
  return Least;
}

void Entrance::admit(const std::shared_ptr<Entry> &E) {
  if (E->Parent || !this->Chosen.ShedAtEntry) {
    this->begin(E);
    return;
  }
  const auto &Spec = E->Request.Spec;
  auto Threshold = this->threshold(*E->Route);
  auto Place = position(Spec.Rank, Spec.Cohort);
  if (Place < Threshold) {
    this->begin(E);
    return;
  }
  this->Counters.count("entry_refusals");
  this->finish(
      E, notRun(Reason::LevelAtEntry, this->ComeBack.next(Threshold, Place)));
}

void Entrance::begin(const std::shared_ptr<Entry> &E) {
  auto Done = [this, E](const Reply &Value) { this->finish(E, Value); };
  auto Service = E->Request.Service;
  if (!E->Request.Spec.Key.value().empty()) {
    // It runs on when its client leaves: the client comes back for it.
    E->Exchange->onClientDisconnect([]() {});
    this->Keyed.start(std::move(E->Request), Done);
    return;
  }
  E->Ticket = this->Calls.start(std::move(E->Request), Done);
  if (E->Done)
    return;
  std::weak_ptr<Entry> Weak = E;
  auto Abandon = [this, Weak]() {
    auto Left = Weak.lock();
    if (!Left || Left->Done)
      return;
    this->Calls.cancel(Left->Ticket);
    this->finish(Left, unknownOutcome(Reason::Cancelled, ComeBackSoon));
  };
  E->Exchange->onClientDisconnect(Abandon);
  if (E->Parent)
    this->Own.addParentEndAction(*E->Parent, E->Number, Abandon);
}

void Entrance::finish(const std::shared_ptr<Entry> &E, const Reply &Value) {
  if (E->Done)
    return;
  E->Done = true;
  --this->Open;
  if (E->Parent) {
    this->Own.removeParentEndAction(*E->Parent, E->Number);
    if (auto *Above = this->Own.parent(*E->Parent))
      if (this->Chosen.BoundRetries)
        Above->Budget.refund(std::min(Value.RetriesLeft, E->Granted));
  } else if (E->Route != nullptr) {
    this->Counters.request(E->Owner, E->Route->Declared.Class,
                           toString(Value.Outcome), this->Now() - E->Start);
  }
  E->Exchange->reply(httpStatus(Value), answerHeaders(Value),
                     answerBody(Value));
}

void Entrance::reject(const std::shared_ptr<Entry> &E, int Status,
                      const std::string &Problem) {
  E->Done = true;
  --this->Open;
  this->Counters.count("requests_malformed", "status", std::to_string(Status));
  nlohmann::json Body = {{"outcome", toString(Outcome::NotRun)},
                         {"error", Problem}};
  E->Exchange->reply(Status,
                     {{header::Outcome, toString(Outcome::NotRun)},
                      {header::ContentType, "application/json"}},
                     Body.dump() + "\n");
}

} // namespace limpetdrum
