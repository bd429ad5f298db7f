#include "limpetdrum/daemon/KeyedCalls.h"

#include "limpetdrum/Config.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr std::size_t KeptBodyBytes = 16U * 1024U * 1024U;
constexpr Milliseconds ComeBackSoon{1000};
constexpr Milliseconds ComeBackLate{60000};

/// Whether nothing more will be learned of a key from its holder.
bool isFinal(const Reply &Value) {
  if (Value.Outcome != Outcome::Unknown)
    return true;
  return Value.Reason == Reason::TargetFailed;
}

/// Whether another home may do better than one that said "not run".
bool worthMoving(const Reply &Value) {
  return Value.Outcome == Outcome::NotRun &&
         (Value.Reason == Reason::NodeGone ||
          Value.Reason == Reason::NoTarget || Value.Reason == Reason::Draining);
}

bool contains(const std::vector<NodeId> &Names, const NodeId &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::vector<NodeId> holders(const std::optional<KeyNodes> &Nodes) {
  if (!Nodes)
    return {};
  if (!Nodes->Witness)
    return {Nodes->Home};
  return {Nodes->Home, *Nodes->Witness};
}

ServiceName serviceOfScoped(const IdempotencyKey &Key) {
  auto Slash = Key.value().find('/');
  return Slash == std::string::npos ? ServiceName()
                                    : serviceOf(Key.value().substr(Slash));
}

} // namespace

IdempotencyKey scopedKey(const Tenant &Owner, const std::string &Path,
                         const std::string &ClientKey) {
  // Tenants are hashed, so that none can write another's keys.
  return IdempotencyKey(std::to_string(stableHash(Owner.value())) + Path + " " +
                        ClientKey);
}

KeyedCalls::KeyedCalls(const Membership &Members, ServiceDirectory &Directory,
                       Executor &Own, Caller &Calls, const InForce &Releases,
                       Metrics &Counters, Clock Now)
    : Members(Members), Directory(Directory), Own(Own), Calls(Calls),
      Releases(Releases), Counters(Counters), Now(std::move(Now)),
      Keys(LedgerRetention, KeptBodyBytes) {
  Calls.setLocalArrival([this](const AttemptSpec &Attempt, ReplyDone Done) {
    this->execute(Attempt, std::move(Done));
  });
}

NodeIncarnation KeyedCalls::self() const {
  const auto &Self = this->Members.self();
  return {Self.Node, Self.Incarnation};
}

std::optional<KeyNodes>
KeyedCalls::nodesOf(const IdempotencyKey &Key, const ServiceName &Service,
                    const std::vector<NodeId> &Except) const {
  const auto &All = this->Directory.keyCandidates(Service);
  if (Except.empty())
    return findKeyNodes(Key, All);
  std::vector<KeyCandidate> Rest;
  std::copy_if(
      All.begin(), All.end(), std::back_inserter(Rest),
      [&Except](const KeyCandidate &C) { return !contains(Except, C.Node); });
  return findKeyNodes(Key, Rest);
}

void KeyedCalls::start(CallRequest Request, ReplyDone Done) {
  auto Key = Request.Spec.Key;
  auto Service = Request.Service;
  auto Nodes = this->nodesOf(Key, Service);
  if (!Nodes) {
    Done(notRun(Reason::NoTarget, ComeBackSoon));
    return;
  }
  Request.Spec.Role = AttemptRole::Witness;
  if (Nodes->Witness.value_or(Nodes->Home) == this->self().Node) {
    this->execute(Request.Spec, std::move(Done));
    return;
  }
  Request.Selector =
      [this, Key, Service](
          const std::vector<NodeId> &Tried) -> std::optional<NodeIncarnation> {
    auto Choice = this->nodesOf(Key, Service);
    if (!Choice)
      return std::nullopt;
    if (Choice->Witness && !contains(Tried, *Choice->Witness))
      return this->Calls.incarnationOf(*Choice->Witness);
    if (!contains(Tried, Choice->Home))
      return this->Calls.incarnationOf(Choice->Home);
    return std::nullopt;
  };
  this->Calls.start(std::move(Request), std::move(Done));
}

void KeyedCalls::execute(const AttemptSpec &Attempt, ReplyDone Done) {
  if (Attempt.Key.value().empty())
    this->Own.execute(Attempt, std::move(Done));
  else
    this->arriveKeyed(Attempt, {}, std::move(Done));
}

std::optional<NodeIncarnation>
KeyedCalls::candidateFor(const AttemptSpec &Attempt,
                         const std::vector<NodeId> &Tried) const {
  if (Attempt.Role == AttemptRole::Execute)
    return this->self();
  auto Nodes = this->nodesOf(Attempt.Key, serviceOf(Attempt.Path), Tried);
  return Nodes ? this->Calls.incarnationOf(Nodes->Home) : std::nullopt;
}

void KeyedCalls::arriveKeyed(const AttemptSpec &Attempt,
                             const std::vector<NodeId> &Tried, ReplyDone Done) {
  if (this->Refusing && !this->Keys.find(Attempt.Key)) {
    Done(notRun(Reason::Draining, ComeBackSoon));
    return;
  }
  auto Candidate = this->candidateFor(Attempt, Tried);
  if (!Candidate) {
    Done(notRun(Reason::NoTarget, ComeBackSoon));
    return;
  }
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Attempt.Path) : nullptr;
  auto MostRuns = static_cast<std::uint16_t>(
      1 + (Route == nullptr ? 0 : Route->Declared.ClientRetries));
  auto Seen =
      this->Keys.onArrival(Attempt.Key, *Candidate, MostRuns, this->Now());
  switch (Seen.Verdict) {
  case KeyLedger::Verdict::Replay:
    this->Counters.count("keys_replayed");
    Done(Seen.Reply);
    return;
  case KeyLedger::Verdict::RetriesExhausted:
    Done(notRun(Reason::RetriesExhausted, ComeBackLate));
    return;
  case KeyLedger::Verdict::Begin:
  case KeyLedger::Verdict::InProgress:
    break;
  }
  bool Begins = Seen.Verdict == KeyLedger::Verdict::Begin;
  if (Seen.Holder == this->self()) {
    this->runHere(Attempt, Begins, std::move(Done));
    return;
  }
  if (Attempt.Role == AttemptRole::Witness &&
      this->Calls.isReachable(Seen.Holder)) {
    this->forward(Attempt, Seen.Holder, Begins, Tried, std::move(Done));
    return;
  }
  // Its holder is gone, and may have run it.
  this->Counters.count("keys_unknown");
  Done(unknownOutcome(Reason::NodeGone, ComeBackSoon));
}

void KeyedCalls::runHere(const AttemptSpec &Attempt, bool Begins,
                         ReplyDone Done) {
  auto Spec = Attempt;
  Spec.Executor = this->self().Incarnation;
  if (!Begins) {
    auto Found = this->RunningHere.find(Spec.Key);
    if (Found == this->RunningHere.end()) {
      Done(unknownOutcome(Reason::NodeGone, ComeBackSoon));
      return;
    }
    this->Counters.count("keys_attached");
    Spec.Id = Found->second;
    this->Own.execute(Spec, std::move(Done));
    return;
  }
  if (Attempt.Role == AttemptRole::Witness)
    Spec.Id = this->Calls.nextAttemptId();
  Spec.Role = AttemptRole::Execute;
  this->RunningHere[Spec.Key] = Spec.Id;
  this->Own.execute(
      Spec, [this, Key = Spec.Key, Done = std::move(Done)](const Reply &Value) {
        this->Keys.settle(Key, Value);
        this->RunningHere.erase(Key);
        Done(Value);
      });
}

void KeyedCalls::forward(const AttemptSpec &Attempt,
                         const NodeIncarnation &Holder, bool Begins,
                         std::vector<NodeId> Tried, ReplyDone Done) {
  CallRequest Request;
  Request.Spec = Attempt;
  Request.Spec.Role = AttemptRole::Execute;
  Request.Runs = RunSemantics::Once;
  Request.Service = serviceOf(Attempt.Path);
  Request.MayTryOtherNodes = false;
  Request.MayHaveRun = !Begins;
  Request.Selector = [Holder](const std::vector<NodeId> & /*Tried*/) {
    return std::optional<NodeIncarnation>(Holder);
  };
  Tried.push_back(Holder.Node);
  auto Deadline = this->Now() + Attempt.TimeLeft;
  this->Calls.start(std::move(Request),
                    [this, Attempt, Begins, Deadline, Tried = std::move(Tried),
                     Done = std::move(Done)](const Reply &Value) {
                      auto Left = Attempt;
                      Left.TimeLeft = Deadline - this->Now();
                      this->onForwarded(Left, Tried, Begins, Value, Done);
                    });
}

void KeyedCalls::onForwarded(const AttemptSpec &Attempt,
                             const std::vector<NodeId> &Tried, bool Begins,
                             const Reply &Value, const ReplyDone &Done) {
  if (isFinal(Value))
    this->Keys.settle(Attempt.Key, Value);
  bool Moves = Begins && worthMoving(Value) && Attempt.TimeLeft.count() > 0 &&
               this->candidateFor(Attempt, Tried);
  if (!Moves) {
    Done(Value);
    return;
  }
  this->Counters.count("keys_moved");
  this->arriveKeyed(Attempt, Tried, Done);
}

void KeyedCalls::adopt(const KeyRecords &Records) {
  for (const auto &[Key, Record] : Records)
    this->Keys.adopt(Key, Record);
  this->Counters.count("keys_adopted", "", "", Records.size());
}

std::map<NodeId, KeyedCalls::KeyRecords>
KeyedCalls::batches(const Receivers &ReceiversOf) const {
  std::map<NodeId, KeyRecords> ByNode;
  for (const auto &Record : this->Keys.records())
    for (const auto &Node : ReceiversOf(Record.first))
      if (Node != this->self().Node)
        ByNode[Node].emplace_back(Record);
  return ByNode;
}

void KeyedCalls::handOver(const std::optional<NodeId> &OnlyTo,
                          const SendRecords &Send,
                          const std::function<void(bool)> &OnDone) const {
  auto ByNode = this->batches([&](const IdempotencyKey &Key) {
    auto Receivers = holders(this->nodesOf(Key, serviceOfScoped(Key)));
    if (OnlyTo)
      Receivers = contains(Receivers, *OnlyTo) ? std::vector<NodeId>{*OnlyTo}
                                               : std::vector<NodeId>{};
    return Receivers;
  });
  if (ByNode.empty()) {
    OnDone(true);
    return;
  }
  auto Left = std::make_shared<std::size_t>(ByNode.size());
  auto AllTaken = std::make_shared<bool>(true);
  for (const auto &[Node, Records] : ByNode)
    Send(*this->Members.find(Node), Records, [Left, AllTaken, OnDone](bool Ok) {
      *AllTaken = *AllTaken && Ok;
      if (--*Left == 0)
        OnDone(*AllTaken);
    });
}

void KeyedCalls::replaceLost(const KeyCandidate &Lost,
                             const SendRecords &Send) {
  const auto &Now = this->Directory.keyCandidates(this->Own.service());
  auto Before = Now;
  Before.push_back(Lost);
  auto ByNode = this->batches([&](const IdempotencyKey &Key) {
    auto Receivers = holders(findKeyNodes(Key, Now));
    auto Earlier = holders(findKeyNodes(Key, Before));
    auto HadIt = [&Earlier](const NodeId &N) { return contains(Earlier, N); };
    Receivers.erase(std::remove_if(Receivers.begin(), Receivers.end(), HadIt),
                    Receivers.end());
    return Receivers;
  });
  for (const auto &[Node, Records] : ByNode) {
    this->Counters.count("keys_replaced", "", "", Records.size());
    Send(*this->Members.find(Node), Records, [this](bool Taken) {
      if (!Taken)
        this->Counters.count("hand_overs_failed");
    });
  }
}

void KeyedCalls::sweep() { this->Keys.sweep(this->Now()); }

} // namespace limpetdrum
