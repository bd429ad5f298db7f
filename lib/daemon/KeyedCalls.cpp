#include "limpetdrum/daemon/KeyedCalls.h"

#include "limpetdrum/Config.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr std::size_t MaxStoredBodyBytes = 16U * 1024U * 1024U;
constexpr Milliseconds ShortRetryAfter{1000};
constexpr Milliseconds LongRetryAfter{60000};

/// Returns true if the holder's outcome of a key can no longer change.
bool isFinal(const Reply &Value) {
  if (Value.Outcome != Outcome::Unknown)
    return true;
  return Value.Reason == Reason::TargetFailed;
}

/// Returns true if another home may run a request that this one did not run.
bool shouldTryOtherHome(const Reply &Value) {
  return Value.Outcome == Outcome::NotRun &&
         (Value.Reason == Reason::NodeGone ||
          Value.Reason == Reason::NoTarget || Value.Reason == Reason::Draining);
}

bool contains(const std::vector<NodeId> &Names, const NodeId &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::vector<NodeId> holdersOf(const std::optional<KeyNodes> &Nodes) {
  if (!Nodes)
    return {};
  if (!Nodes->Witness)
    return {Nodes->Home};
  return {Nodes->Home, *Nodes->Witness};
}

ServiceName serviceOfScopedKey(const IdempotencyKey &Key) {
  auto Slash = Key.value().find('/');
  return Slash == std::string::npos ? ServiceName()
                                    : serviceOf(Key.value().substr(Slash));
}

} // namespace

IdempotencyKey scopedKey(const Organisation &Owner, const std::string &Path,
                         const std::string &ClientKey) {
  // The organisation is hashed, so that no organisation can write the keys of
  // another.
  return IdempotencyKey(std::to_string(stableHash(Owner.value())) + Path + " " +
                        ClientKey);
}

KeyedCalls::KeyedCalls(const Membership &Members, ServiceDirectory &Directory,
                       Executor &LocalExecutor, Caller &Calls,
                       const InForce &Releases, Metrics &Counters, Clock Now)
    : Members(Members), Directory(Directory), LocalExecutor(LocalExecutor),
      Calls(Calls), Releases(Releases), Counters(Counters), Now(std::move(Now)),
      Keys(LedgerRetention, MaxStoredBodyBytes) {
  Calls.setLocalHandler([this](const AttemptSpec &Attempt, ReplyCallback Done) {
    this->execute(Attempt, std::move(Done));
  });
}

NodeIncarnation KeyedCalls::self() const {
  const auto &Self = this->Members.self();
  return {Self.Node, Self.Incarnation};
}

std::optional<KeyNodes>
KeyedCalls::nodesOf(const IdempotencyKey &Key, const ServiceName &Service,
                    const std::vector<NodeId> &Excluded) const {
  const auto &All = this->Directory.keyCandidates(Service);
  if (Excluded.empty())
    return findKeyNodes(Key, All);
  std::vector<KeyCandidate> Remaining;
  std::copy_if(All.begin(), All.end(), std::back_inserter(Remaining),
               [&Excluded](const KeyCandidate &C) {
                 return !contains(Excluded, C.Node);
               });
  return findKeyNodes(Key, Remaining);
}

void KeyedCalls::start(CallRequest Request, ReplyCallback Done) {
  auto Key = Request.Spec.Key;
  auto Service = Request.Service;
  auto Nodes = this->nodesOf(Key, Service);
  if (!Nodes) {
    Done(notRun(Reason::NoTarget, ShortRetryAfter));
    return;
  }
  Request.Spec.Role = AttemptRole::Witness;
  Request.Spec.Executor = this->self().Incarnation;
  if (Nodes->Witness.value_or(Nodes->Home) == this->self().Node) {
    this->execute(Request.Spec, std::move(Done));
    return;
  }
  Request.Selector =
      [this, Key, Service](
          const std::vector<NodeId> &Tried) -> std::optional<NodeIncarnation> {
    auto Current = this->nodesOf(Key, Service);
    if (!Current)
      return std::nullopt;
    if (Current->Witness && !contains(Tried, *Current->Witness))
      return this->Calls.incarnationOf(*Current->Witness);
    if (!contains(Tried, Current->Home))
      return this->Calls.incarnationOf(Current->Home);
    return std::nullopt;
  };
  this->Calls.start(std::move(Request), std::move(Done));
}

void KeyedCalls::execute(const AttemptSpec &Attempt, ReplyCallback Done) {
  if (Attempt.Key.value().empty()) {
    this->LocalExecutor.execute(Attempt, std::move(Done));
    return;
  }
  if (Attempt.Executor != this->self().Incarnation) {
    // The records of the earlier incarnation are lost, and it may have run the
    // key.
    this->Counters.count("keys_unknown");
    Done(unknownOutcome(Reason::NodeGone, ShortRetryAfter));
    return;
  }
  this->handleKeyed(Attempt, {}, std::move(Done));
}

std::optional<NodeIncarnation>
KeyedCalls::candidateFor(const AttemptSpec &Attempt,
                         const std::vector<NodeId> &Tried) const {
  if (Attempt.Role == AttemptRole::Execute)
    return this->self();
  auto Nodes = this->nodesOf(Attempt.Key, serviceOf(Attempt.Path), Tried);
  return Nodes ? this->Calls.incarnationOf(Nodes->Home) : std::nullopt;
}

void KeyedCalls::handleKeyed(const AttemptSpec &Attempt,
                             const std::vector<NodeId> &Tried,
                             ReplyCallback Done) {
  if (this->RefusesNewKeys && !this->Keys.find(Attempt.Key)) {
    Done(notRun(Reason::Draining, ShortRetryAfter));
    return;
  }
  auto Candidate = this->candidateFor(Attempt, Tried);
  if (!Candidate) {
    Done(notRun(Reason::NoTarget, ShortRetryAfter));
    return;
  }
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Attempt.Path) : nullptr;
  auto MaxRuns = static_cast<std::uint16_t>(
      1 + (Route == nullptr ? 0 : Route->Declared.ClientRetries));
  auto Lookup =
      this->Keys.onArrival(Attempt.Key, *Candidate, MaxRuns, this->Now());
  switch (Lookup.Verdict) {
  case KeyLedger::Verdict::Replay:
    this->Counters.count("keys_replayed");
    Done(Lookup.Reply);
    return;
  case KeyLedger::Verdict::RetriesExhausted:
    Done(notRun(Reason::RetriesExhausted, LongRetryAfter));
    return;
  case KeyLedger::Verdict::Begin:
  case KeyLedger::Verdict::InProgress:
    break;
  }
  bool IsNewRun = Lookup.Verdict == KeyLedger::Verdict::Begin;
  if (Lookup.Holder == this->self()) {
    this->runLocally(Attempt, IsNewRun, std::move(Done));
    return;
  }
  if (Attempt.Role == AttemptRole::Witness &&
      this->Calls.isReachable(Lookup.Holder)) {
    this->forward(Attempt, Lookup.Holder, IsNewRun, Tried, std::move(Done));
    return;
  }
  // The holder is gone and may have run the request.
  this->Counters.count("keys_unknown");
  Done(unknownOutcome(Reason::NodeGone, ShortRetryAfter));
}

void KeyedCalls::runLocally(const AttemptSpec &Attempt, bool IsNewRun,
                            ReplyCallback Done) {
  auto Spec = Attempt;
  Spec.Executor = this->self().Incarnation;
  if (!IsNewRun) {
    auto Found = this->RunningLocally.find(Spec.Key);
    if (Found == this->RunningLocally.end()) {
      Done(unknownOutcome(Reason::NodeGone, ShortRetryAfter));
      return;
    }
    this->Counters.count("keys_attached");
    Spec.Id = Found->second;
    this->LocalExecutor.execute(Spec, std::move(Done));
    return;
  }
  if (Attempt.Role == AttemptRole::Witness)
    Spec.Id = this->Calls.nextAttemptId();
  Spec.Role = AttemptRole::Execute;
  this->RunningLocally[Spec.Key] = Spec.Id;
  this->LocalExecutor.execute(
      Spec, [this, Key = Spec.Key, Done = std::move(Done)](const Reply &Value) {
        if (Value.Outcome == Outcome::Unknown)
          this->Counters.count("keys_settled_unknown", "reason",
                               toString(Value.Reason));
        this->Keys.settle(Key, Value);
        this->RunningLocally.erase(Key);
        Done(Value);
      });
}

void KeyedCalls::forward(const AttemptSpec &Attempt,
                         const NodeIncarnation &Holder, bool IsNewRun,
                         std::vector<NodeId> Tried, ReplyCallback Done) {
  CallRequest Request;
  Request.Spec = Attempt;
  Request.Spec.Role = AttemptRole::Execute;
  Request.Runs = RunSemantics::Once;
  Request.Service = serviceOf(Attempt.Path);
  Request.MayTryOtherNodes = false;
  Request.MayHaveRun = !IsNewRun;
  Request.Selector = [Holder](const std::vector<NodeId> & /*Tried*/) {
    return std::optional<NodeIncarnation>(Holder);
  };
  Tried.push_back(Holder.Node);
  auto Deadline = this->Now() + Attempt.TimeLeft;
  this->Calls.start(
      std::move(Request),
      [this, Attempt, IsNewRun, Deadline, Tried = std::move(Tried),
       Done = std::move(Done)](const Reply &Value) {
        auto Remaining = Attempt;
        Remaining.TimeLeft = Deadline - this->Now();
        this->onForwarded(Remaining, Tried, IsNewRun, Value, Done);
      });
}

void KeyedCalls::onForwarded(const AttemptSpec &Attempt,
                             const std::vector<NodeId> &Tried, bool IsNewRun,
                             const Reply &Value, const ReplyCallback &Done) {
  if (isFinal(Value))
    this->Keys.settle(Attempt.Key, Value);
  bool ShouldMove = IsNewRun && shouldTryOtherHome(Value) &&
                    Attempt.TimeLeft.count() > 0 &&
                    this->candidateFor(Attempt, Tried);
  if (!ShouldMove) {
    Done(Value);
    return;
  }
  this->Counters.count("keys_moved");
  this->handleKeyed(Attempt, Tried, Done);
}

void KeyedCalls::adopt(const KeyRecords &Records) {
  for (const auto &[Key, Record] : Records)
    this->Keys.adopt(Key, Record);
  this->Counters.count("keys_adopted", "", "", Records.size());
}

std::map<NodeId, KeyedCalls::KeyRecords>
KeyedCalls::groupByReceiver(const ReceiverLookup &FindReceivers) const {
  std::map<NodeId, KeyRecords> ByNode;
  for (const auto &Record : this->Keys.records())
    for (const auto &Node : FindReceivers(Record.first))
      if (Node != this->self().Node)
        ByNode[Node].emplace_back(Record);
  return ByNode;
}

void KeyedCalls::handOver(const std::optional<NodeId> &OnlyReceiver,
                          const SendRecords &Send,
                          const std::function<void(bool)> &OnDone) const {
  auto ByNode = this->groupByReceiver([&](const IdempotencyKey &Key) {
    auto Receivers = holdersOf(this->nodesOf(Key, serviceOfScopedKey(Key)));
    if (OnlyReceiver)
      Receivers = contains(Receivers, *OnlyReceiver)
                      ? std::vector<NodeId>{*OnlyReceiver}
                      : std::vector<NodeId>{};
    return Receivers;
  });
  if (ByNode.empty()) {
    OnDone(true);
    return;
  }
  auto Pending = std::make_shared<std::size_t>(ByNode.size());
  auto AllAccepted = std::make_shared<bool>(true);
  for (const auto &[Node, Records] : ByNode)
    Send(*this->Members.find(Node), Records,
         [Pending, AllAccepted, OnDone](bool Accepted) {
           *AllAccepted = *AllAccepted && Accepted;
           if (--*Pending == 0)
             OnDone(*AllAccepted);
         });
}

void KeyedCalls::replaceLost(const KeyCandidate &Lost,
                             const SendRecords &Send) {
  const auto &Candidates =
      this->Directory.keyCandidates(this->LocalExecutor.service());
  auto EarlierCandidates = Candidates;
  EarlierCandidates.push_back(Lost);
  auto ByNode = this->groupByReceiver([&](const IdempotencyKey &Key) {
    auto Receivers = holdersOf(findKeyNodes(Key, Candidates));
    auto EarlierHolders = holdersOf(findKeyNodes(Key, EarlierCandidates));
    auto WasHolder = [&EarlierHolders](const NodeId &N) {
      return contains(EarlierHolders, N);
    };
    Receivers.erase(
        std::remove_if(Receivers.begin(), Receivers.end(), WasHolder),
        Receivers.end());
    return Receivers;
  });
  for (const auto &[Node, Records] : ByNode) {
    this->Counters.count("keys_replaced", "", "", Records.size());
    Send(*this->Members.find(Node), Records, [this](bool Accepted) {
      if (!Accepted)
        this->Counters.count("hand_overs_failed");
    });
  }
}

void KeyedCalls::sweep() { this->Keys.sweep(this->Now()); }

} // namespace limpetdrum
