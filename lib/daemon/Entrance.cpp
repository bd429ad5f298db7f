#include "limpetdrum/daemon/Entrance.h"

#include "limpetdrum/process/Error.h"

#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

/// Retries of each request when BoundRetries is off.
constexpr std::uint16_t UnboundedRetries = 3;
/// Calls that a target may still make for the same request; because of it, each
/// call is granted half of the remaining retries.
constexpr unsigned FurtherCalls = 1;
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t MaxOrganisationLength = 128;
constexpr Milliseconds ShortRetryAfter{1000};

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
  auto RetryAfter = std::max(Value.RetryAfter, Milliseconds(1));
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter);
  Headers.emplace_back("Retry-After", std::to_string(Seconds.count()));
  Headers.emplace_back(header::RetryAfterMillis,
                       std::to_string(RetryAfter.count()));
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

/// Request from its arrival to its reply.
struct Entrance::Entry {
  std::shared_ptr<HttpExchange> Exchange;
  std::uint64_t Number = 0;
  TimePoint Start;
  bool FromTarget = false;
  std::shared_ptr<const CompiledRelease> Release;
  const CompiledRoute *Route = nullptr;
  std::optional<AttemptId> Parent;
  CallRequest Request;
  Organisation Owner;
  std::uint16_t GrantedRetries = 0; ///< taken from any parent's budget
  std::uint64_t Ticket = 0;
  bool Done = false;
};

Entrance::Entrance(Options Config, Executor &LocalExecutor, Caller &Calls,
                   KeyedCalls &Keyed, const LevelTable &Levels,
                   const InForce &Releases, Metrics &Counters, Clock Now)
    : Config(Config), LocalExecutor(LocalExecutor), Calls(Calls), Keyed(Keyed),
      Levels(Levels), Releases(Releases), Counters(Counters),
      Now(std::move(Now)), Random(Config.Seed), RetryDelays(Config.Seed + 1) {}

void Entrance::onClientRequest(std::shared_ptr<HttpExchange> Exchange) {
  auto E = std::make_shared<Entry>();
  E->Exchange = std::move(Exchange);
  this->enter(E);
}

void Entrance::onTargetCall(std::shared_ptr<HttpExchange> Exchange) {
  auto E = std::make_shared<Entry>();
  E->Exchange = std::move(Exchange);
  E->FromTarget = true;
  this->enter(E);
}

void Entrance::enter(const std::shared_ptr<Entry> &E) {
  ++this->OpenCount;
  E->Number = ++this->LastEntry;
  E->Start = this->Now();
  if (this->IsClosed) {
    this->finish(E, notRun(Reason::Draining, ShortRetryAfter));
    return;
  }
  E->Release = this->Releases.current();
  if (!E->Release) {
    this->finish(E, notRun(Reason::NoTarget, ShortRetryAfter));
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
  auto ParentId = E->FromTarget ? E->Exchange->header(header::Attempt) : "";
  if (ParentId.empty())
    return true;
  try {
    E->Parent = parseAttemptId(ParentId);
  } catch (const ValueError &Problem) {
    this->reject(E, 400, Problem.what());
    return false;
  }
  if (this->LocalExecutor.parent(*E->Parent) != nullptr)
    return true;
  // The attempt that made this call has ended.
  this->finish(E, notRun(Reason::Cancelled, ShortRetryAfter));
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
  auto Owner = E->Exchange->header(header::Organisation);
  if (Key.size() > MaxKeyLength || Owner.size() > MaxOrganisationLength) {
    this->reject(E, 400, "the Idempotency-Key or organisation is too long");
    return false;
  }
  if (!E->Parent) {
    Spec.Organisation = Organisation(Owner);
    Spec.Rank = E->Route->Rank;
    Spec.Root = {this->Random(), this->Random()};
    Spec.Retries =
        this->Config.BoundRetries ? Declared.Retries : UnboundedRetries;
    if (Declared.Runs == RunSemantics::Once && Key.empty()) {
      this->reject(E, 400, "this path runs once: send an Idempotency-Key");
      return false;
    }
  } else {
    auto &Parent = *this->LocalExecutor.parent(*E->Parent);
    Spec.Organisation = Parent.Spec.Organisation;
    Spec.Rank = Parent.Spec.Rank;
    Spec.Root = Parent.Spec.Root;
    E->Request.RetryOnOverload = true;
    Spec.Retries = this->Config.BoundRetries ? Parent.Budget.grant(FurtherCalls)
                                             : UnboundedRetries;
    Spec.TimeLeft =
        std::min(Spec.TimeLeft, std::chrono::duration_cast<Microseconds>(
                                    Parent.Deadline - this->Now()));
  }
  if (!Key.empty() && Declared.Runs == RunSemantics::Once) {
    Spec.Key = scopedKey(Spec.Organisation, Spec.Path, Key);
    // Retries of a key fall into the same cohort.
    if (!E->Parent)
      Spec.Root = {stableHash(Spec.Key.value(), 1),
                   stableHash(Spec.Key.value(), 2)};
  }
  Spec.Cohort = cohortOf(Spec.Root);
  E->Owner = Spec.Organisation;
  E->GrantedRetries = Spec.Retries;
  return true;
}

float Entrance::threshold(const CompiledRoute &Route) const {
  float Lowest = this->Levels.threshold(Route.Reaches, this->Now());
  for (const auto &Name : Route.Reaches)
    if (Name == this->LocalExecutor.service())
      Lowest = std::min(Lowest, this->LocalExecutor.threshold());
  return Lowest;
}

void Entrance::admit(const std::shared_ptr<Entry> &E) {
  if (E->Parent || !this->Config.ShedAtEntry) {
    this->begin(E);
    return;
  }
  const auto &Spec = E->Request.Spec;
  auto Threshold = this->threshold(*E->Route);
  auto RequestPosition = position(Spec.Rank, Spec.Cohort);
  if (RequestPosition < Threshold) {
    this->begin(E);
    return;
  }
  this->Counters.count("entry_refusals");
  this->finish(E, notRun(Reason::LevelAtEntry,
                         this->RetryDelays.next(Threshold, RequestPosition)));
}

void Entrance::begin(const std::shared_ptr<Entry> &E) {
  auto Done = [this, E](const Reply &Value) { this->finish(E, Value); };
  auto Service = E->Request.Service;
  if (!E->Request.Spec.Key.value().empty()) {
    // A keyed request keeps running when its client disconnects, because the
    // client retries the key to get the answer.
    E->Exchange->onClientDisconnect([]() {});
    this->Keyed.start(std::move(E->Request), Done);
    return;
  }
  E->Ticket = this->Calls.start(std::move(E->Request), Done);
  if (E->Done)
    return;
  std::weak_ptr<Entry> Weak = E;
  auto CancelCall = [this, Weak]() {
    auto Entry = Weak.lock();
    if (!Entry || Entry->Done)
      return;
    this->Calls.cancel(Entry->Ticket);
    this->finish(Entry, unknownOutcome(Reason::Cancelled, ShortRetryAfter));
  };
  E->Exchange->onClientDisconnect(CancelCall);
  if (E->Parent)
    this->LocalExecutor.addParentEndAction(*E->Parent, E->Number, CancelCall);
}

void Entrance::finish(const std::shared_ptr<Entry> &E, const Reply &Value) {
  if (E->Done)
    return;
  E->Done = true;
  --this->OpenCount;
  if (E->Parent) {
    this->LocalExecutor.removeParentEndAction(*E->Parent, E->Number);
    if (auto *Parent = this->LocalExecutor.parent(*E->Parent))
      if (this->Config.BoundRetries)
        Parent->Budget.refund(std::min(Value.RetriesLeft, E->GrantedRetries));
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
  --this->OpenCount;
  this->Counters.count("requests_malformed", "status", std::to_string(Status));
  nlohmann::json Body = {{"outcome", toString(Outcome::NotRun)},
                         {"error", Problem}};
  E->Exchange->reply(Status,
                     {{header::Outcome, toString(Outcome::NotRun)},
                      {header::ContentType, "application/json"}},
                     Body.dump() + "\n");
}

} // namespace limpetdrum
