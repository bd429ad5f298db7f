#include "limpetdrum/daemon/fleet/MeshCodec.h"

#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/Position.h"

#include <capnp/message.h>
#include <cmath>

namespace limpetdrum::codec {

namespace {

std::string text(capnp::Text::Reader Reader) {
  return {Reader.cStr(), Reader.size()};
}

std::string bytes(capnp::Data::Reader Reader) {
  return {reinterpret_cast<const char *>(Reader.begin()), Reader.size()};
}

kj::ArrayPtr<const kj::byte> asData(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

void write(mesh::Contact::Builder Builder, const Contact &Value) {
  Builder.setNode(Value.Node.value());
  Builder.setAddress(Value.Link.Address);
  Builder.setPort(Value.Link.Port);
  Builder.setFailureDomain(Value.FailureDomain.value());
}

Contact read(mesh::Contact::Reader Reader) {
  return {NodeId(text(Reader.getNode())),
          {Reader.getAddress(), Reader.getPort()},
          FailureDomain(text(Reader.getFailureDomain()))};
}

void write(mesh::Target::Builder Builder, const TargetRecord &Value) {
  Builder.setId(Value.Id);
  Builder.setStarted(Value.Started);
  Builder.setSequence(Value.Sequence);
  Builder.setService(Value.Service.value());
  Builder.setSlots(Value.Slots.value());
  Builder.setState(static_cast<std::uint8_t>(Value.State));
  if (Value.RequestRate)
    Builder.setRequestRate(*Value.RequestRate);
}

TargetRecord read(mesh::Target::Reader Reader) {
  if (Reader.getState() > static_cast<std::uint8_t>(TargetState::Left))
    throw ValueError("unknown target state " +
                         std::to_string(Reader.getState()) +
                         " in a frame from another node, expected 0 to 3",
                     "run the same release on all nodes");
  TargetRecord Value;
  Value.Id = text(Reader.getId());
  Value.Started = Reader.getStarted();
  Value.Sequence = Reader.getSequence();
  Value.Service = ServiceName(text(Reader.getService()));
  Value.Slots = Slots(static_cast<std::uint16_t>(Reader.getSlots()));
  Value.State = static_cast<TargetState>(Reader.getState());
  // Excludes NaN as well.
  if (Reader.getRequestRate() >= 0)
    Value.RequestRate = Reader.getRequestRate();
  return Value;
}

void write(mesh::Status::Builder Builder, const NodeStatus &Value) {
  write(Builder.initContact(), Value.Self);
  Builder.setIncarnation(Value.Incarnation.value());
  Builder.setVersion(Value.Version);
  Builder.setLeaving(Value.Leaving);
  Builder.setPolicy(Value.Policy.value());
  write(Builder.initTarget(), Value.Target);
  Builder.setRunning(Value.Running);
  Builder.setQueued(Value.Queued);
  Builder.setLimit(Value.Limit);
  Builder.setThreshold(Value.Threshold);
  Builder.setServiceMicros(
      static_cast<std::uint32_t>(Value.ServiceTime.count()));
  Builder.setStoreLost(Value.StoreLost);
  Builder.setPace(Value.Pace);
  Builder.setRefusesRuns(Value.RefusesRuns);
  Builder.setTakesBodyParts(Value.TakesBodyParts);
}

template <typename MessageBuilder>
void writeHeaders(MessageBuilder Builder, const HttpHeaders &Headers) {
  auto Entries = Builder.initHeaders(static_cast<unsigned>(Headers.size()));
  for (unsigned I = 0; I < Entries.size(); ++I) {
    Entries[I].setName(Headers[I].first);
    Entries[I].setValue(Headers[I].second);
  }
}

template <typename MessageReader>
HttpHeaders readHeaders(MessageReader Reader) {
  HttpHeaders Headers;
  for (auto Entry : Reader.getHeaders())
    Headers.emplace_back(text(Entry.getName()), text(Entry.getValue()));
  return Headers;
}

template <typename ListBuilder>
void writeCalls(ListBuilder Builder, const std::vector<std::uint64_t> &Calls) {
  for (unsigned I = 0; I < Builder.size(); ++I)
    Builder.set(I, Calls[I]);
}

/// Says that a body follows the message in parts.
void announceBody(mesh::Frame::Builder Frame, std::uint64_t Call,
                  const Body &Content) {
  Frame.setBodyCall(Call);
  Frame.setBodyBytes(Content.size());
}

/// \throws ValueError unless \p Value is the number of a scope.
UsageScope readScope(std::uint8_t Value) {
  if (Value > static_cast<std::uint8_t>(UsageScope::Fleet))
    throw ValueError("unknown scope " + std::to_string(Value) +
                         " of a usage report, expected 0 to 2",
                     "run the same release on all nodes");
  return static_cast<UsageScope>(Value);
}

} // namespace

std::string encodeHello(const MeshHello &Value) {
  capnp::MallocMessageBuilder Message;
  auto Hello = Message.initRoot<mesh::Frame>().initHello();
  write(Hello.initStatus(), Value.Status);
  write(Hello.initYourTarget(), Value.ReceiverTarget);
  return encodeFrame(Message);
}

std::string encodeStatus(const NodeStatus &Value) {
  capnp::MallocMessageBuilder Message;
  write(Message.initRoot<mesh::Frame>().initStatus(), Value);
  return encodeFrame(Message);
}

std::string encodeLoad(const NodeStatus &Value) {
  capnp::MallocMessageBuilder Message;
  auto Builder = Message.initRoot<mesh::Frame>().initLoad();
  Builder.setPolicy(Value.Policy.value());
  Builder.setRunning(Value.Running);
  Builder.setQueued(Value.Queued);
  Builder.setLimit(Value.Limit);
  Builder.setServiceMicros(
      static_cast<std::uint32_t>(Value.ServiceTime.count()));
  Builder.setStoreLost(Value.StoreLost);
  Builder.setPace(Value.Pace);
  return encodeFrame(Message);
}

std::string encodeAttempt(const MeshAttempt &Value,
                          const std::vector<std::uint64_t> &Acknowledged,
                          BodyPlace Place) {
  capnp::MallocMessageBuilder Message;
  auto Frame = Message.initRoot<mesh::Frame>();
  auto Builder = Frame.initAttempt();
  if (Place == BodyPlace::InParts)
    announceBody(Frame, Value.Call, Value.Request.Body);
  else
    Builder.setBody(asData(Value.Request.Body));
  Builder.setCall(Value.Call);
  Builder.setRequestId(Value.RequestId);
  Builder.setMethod(Value.Request.Method);
  Builder.setPath(Value.Request.Target);
  writeHeaders(Builder, Value.Request.Headers);
  Builder.setTimeLeft(static_cast<std::uint32_t>(Value.TimeLeft.count()));
  Builder.setWaitLimit(static_cast<std::uint32_t>(Value.WaitLimit.count()));
  Builder.setTargetId(Value.TargetId);
  Builder.setTargetStarted(Value.TargetStarted);
  Builder.setCallerService(Value.CallerService.value());
  Builder.setRank(Value.Rank.value());
  Builder.setCohort(Value.Cohort);
  Builder.setRoute(Value.Route);
  Builder.setTargetsEnded(Value.TargetsEnded);
  Builder.setOrganisation(Value.Organisation.value());
  writeCalls(
      Builder.initAcknowledged(static_cast<unsigned>(Acknowledged.size())),
      Acknowledged);
  return encodeFrame(Message);
}

std::string encodeReply(std::uint64_t Call, const Reply &Value,
                        const NodeStatus &Load, BodyPlace Place) {
  capnp::MallocMessageBuilder Message;
  auto Frame = Message.initRoot<mesh::Frame>();
  auto Builder = Frame.initReply();
  if (Place == BodyPlace::InParts)
    announceBody(Frame, Call, Value.Body);
  else
    Builder.setBody(asData(Value.Body));
  Builder.setCall(Call);
  Builder.setOutcome(static_cast<std::uint8_t>(Value.Outcome));
  Builder.setReason(static_cast<std::uint8_t>(Value.Reason));
  Builder.setStatus(Value.Status);
  writeHeaders(Builder, Value.Headers);
  Builder.setRetryAfter(static_cast<std::uint32_t>(Value.RetryAfter.count()));
  Builder.setRunning(Load.Running);
  Builder.setQueued(Load.Queued);
  Builder.setLimit(Load.Limit);
  Builder.setServiceMicros(
      static_cast<std::uint32_t>(Load.ServiceTime.count()));
  Builder.setPace(Load.Pace);
  return encodeFrame(Message);
}

std::string encodeLoadRequest() {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setAsk();
  return encodeFrame(Message);
}

std::string encodeUsage(const MeshUsage &Value) {
  capnp::MallocMessageBuilder Message;
  auto Builder = Message.initRoot<mesh::Frame>().initUsage();
  Builder.setNode(Value.Node.value());
  Builder.setService(Value.Usage.Service.value());
  Builder.setFailureDomain(Value.FailureDomain.value());
  Builder.setNodes(Value.Usage.Nodes);
  Builder.setScope(static_cast<std::uint8_t>(Value.Scope));
  auto Routes =
      Builder.initRoutes(static_cast<unsigned>(Value.Usage.Routes.size()));
  for (unsigned I = 0; I < Routes.size(); ++I) {
    const auto &Route = Value.Usage.Routes[I];
    Routes[I].setRoute(Route.Route);
    Routes[I].setArrivals(static_cast<float>(Route.Arrivals));
    Routes[I].setRuns(static_cast<float>(Route.Runs));
    Routes[I].setSlotMicros(static_cast<std::uint32_t>(Route.SlotTime.count()));
    auto Calls = Routes[I].initCalls(static_cast<unsigned>(Route.Calls.size()));
    for (unsigned J = 0; J < Calls.size(); ++J) {
      Calls[J].setRoute(Route.Calls[J].Route);
      Calls[J].setPerRun(static_cast<float>(Route.Calls[J].PerRun));
    }
  }
  return encodeFrame(Message);
}

std::string encodeOrganisationUsage(const MeshOrganisationUsage &Value) {
  capnp::MallocMessageBuilder Message;
  auto Builder = Message.initRoot<mesh::Frame>().initOrganisations();
  Builder.setNode(Value.Node.value());
  Builder.setFailureDomain(Value.FailureDomain.value());
  Builder.setScope(static_cast<std::uint8_t>(Value.Scope));
  Builder.setNodes(Value.Nodes);
  auto Entries = Builder.initOrganisations(
      static_cast<unsigned>(Value.Organisations.size()));
  for (unsigned I = 0; I < Entries.size(); ++I) {
    const auto &Use = Value.Organisations[I];
    Entries[I].setOrganisation(Use.Organisation.value());
    Entries[I].setAsked(static_cast<float>(Use.Asked));
  }
  return encodeFrame(Message);
}

std::string encodeCrashNews(const CrashNews &Value) {
  capnp::MallocMessageBuilder Message;
  auto Builder = Message.initRoot<mesh::Frame>().initCrashes();
  auto Reports =
      Builder.initReports(static_cast<unsigned>(Value.Reports.size()));
  for (unsigned I = 0; I < Reports.size(); ++I) {
    const auto &Report = Value.Reports[I];
    Reports[I].setRequest(Report.Request.value());
    Reports[I].setTarget(Report.Target);
    Reports[I].setAlone(Report.Alone);
    Reports[I].setAgeMillis(static_cast<std::uint32_t>(Report.Age.count()));
  }
  auto Sound = Builder.initSound(static_cast<unsigned>(Value.Sound.size()));
  for (unsigned I = 0; I < Sound.size(); ++I)
    Sound.set(I, Value.Sound[I].value());
  return encodeFrame(Message);
}

std::string encodeCancel(std::uint64_t Call) {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setCancel(Call);
  return encodeFrame(Message);
}

std::string encodePolicy(const std::string &Text) {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setPolicy(Text);
  return encodeFrame(Message);
}

std::string encodePolicyRequest() {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setAskPolicy();
  return encodeFrame(Message);
}

std::string encodeAcknowledged(const std::vector<std::uint64_t> &Calls) {
  capnp::MallocMessageBuilder Message;
  writeCalls(Message.initRoot<mesh::Frame>().initAcknowledged(
                 static_cast<unsigned>(Calls.size())),
             Calls);
  return encodeFrame(Message);
}

MeshHello decode(mesh::Hello::Reader Reader) {
  MeshHello Value;
  Value.Status = decode(Reader.getStatus());
  Value.ReceiverTarget = read(Reader.getYourTarget());
  return Value;
}

NodeStatus decode(mesh::Status::Reader Reader) {
  NodeStatus Value;
  Value.Self = read(Reader.getContact());
  Value.Incarnation = Incarnation(Reader.getIncarnation());
  Value.Version = Reader.getVersion();
  Value.Leaving = Reader.getLeaving();
  Value.Policy = Revision(Reader.getPolicy());
  Value.Target = read(Reader.getTarget());
  Value.Running = Reader.getRunning();
  Value.Queued = Reader.getQueued();
  Value.Limit = Reader.getLimit();
  Value.Threshold = Reader.getThreshold();
  Value.ServiceTime = Microseconds(Reader.getServiceMicros());
  Value.StoreLost = Reader.getStoreLost();
  Value.Pace = Reader.getPace();
  Value.RefusesRuns = Reader.getRefusesRuns();
  Value.TakesBodyParts = Reader.getTakesBodyParts();
  if (!(Value.Threshold >= 0))
    throw ValueError("invalid admission threshold " +
                         std::to_string(Value.Threshold) +
                         " in the status of a node, expected at least 0",
                     "run the same release on all nodes");
  return Value;
}

void decode(mesh::Load::Reader Reader, NodeStatus &Status) {
  Status.Policy = Revision(Reader.getPolicy());
  Status.Running = Reader.getRunning();
  Status.Queued = Reader.getQueued();
  Status.Limit = Reader.getLimit();
  Status.ServiceTime = Microseconds(Reader.getServiceMicros());
  Status.StoreLost = Reader.getStoreLost();
  Status.Pace = Reader.getPace();
}

MeshAttempt decode(mesh::Attempt::Reader Reader, MemoryBudget *Memory) {
  MeshAttempt Value;
  Value.Call = Reader.getCall();
  Value.RequestId = text(Reader.getRequestId());
  Value.Request.Method = text(Reader.getMethod());
  Value.Request.Target = text(Reader.getPath());
  Value.Request.Headers = readHeaders(Reader);
  auto Share = Memory == nullptr ? std::optional(MemoryBudget::Share())
                                 : Memory->take(Reader.getBody().size());
  Value.Request.ExceedsMemory = !Share;
  if (Share)
    Value.Request.Body = {bytes(Reader.getBody()), std::move(*Share)};
  Value.TimeLeft = Milliseconds(Reader.getTimeLeft());
  Value.WaitLimit = Milliseconds(Reader.getWaitLimit());
  Value.TargetId = text(Reader.getTargetId());
  Value.TargetStarted = Reader.getTargetStarted();
  Value.CallerService = ServiceName(text(Reader.getCallerService()));
  if (Reader.getRank() >= MaxRanks ||
      !(Reader.getCohort() >= 0 && Reader.getCohort() < 1))
    throw ValueError("rank " + std::to_string(Reader.getRank()) +
                         " or cohort " + std::to_string(Reader.getCohort()) +
                         " of an attempt is out of range, expected a rank "
                         "below " +
                         std::to_string(MaxRanks) +
                         " and a cohort of at least 0 and below 1",
                     "run the same release on all nodes");
  Value.Rank = ClassRank(Reader.getRank());
  Value.Cohort = Reader.getCohort();
  Value.Route = text(Reader.getRoute());
  Value.TargetsEnded = Reader.getTargetsEnded();
  Value.Organisation = Organisation(text(Reader.getOrganisation()));
  return Value;
}

CrashNews decode(mesh::Crashes::Reader Reader) {
  CrashNews Value;
  for (auto Entry : Reader.getReports())
    Value.Reports.push_back({RequestFingerprint(Entry.getRequest()),
                             Entry.getTarget(), Entry.getAlone(),
                             Milliseconds(Entry.getAgeMillis())});
  for (auto Request : Reader.getSound())
    Value.Sound.emplace_back(Request);
  return Value;
}

MeshOrganisationUsage decode(mesh::OrganisationUsage::Reader Reader) {
  MeshOrganisationUsage Value;
  Value.Node = NodeId(text(Reader.getNode()));
  Value.FailureDomain = FailureDomain(text(Reader.getFailureDomain()));
  Value.Scope = readScope(Reader.getScope());
  Value.Nodes = Reader.getNodes();
  for (auto Entry : Reader.getOrganisations()) {
    if (!(Entry.getAsked() >= 0) || !std::isfinite(Entry.getAsked()))
      throw ValueError("invalid usage of organisation '" +
                           text(Entry.getOrganisation()) +
                           "': the rate must be a number from 0",
                       "run the same release on all nodes");
    Value.Organisations.push_back(
        {Organisation(text(Entry.getOrganisation())), Entry.getAsked()});
  }
  return Value;
}

MeshUsage decode(mesh::Usage::Reader Reader) {
  MeshUsage Value;
  Value.Node = NodeId(text(Reader.getNode()));
  Value.FailureDomain = FailureDomain(text(Reader.getFailureDomain()));
  Value.Scope = readScope(Reader.getScope());
  Value.Usage.Service = ServiceName(text(Reader.getService()));
  Value.Usage.Nodes = Reader.getNodes();
  if (Value.Usage.Nodes == 0)
    throw ValueError("usage report over 0 nodes, expected at least 1",
                     "run the same release on all nodes");
  for (auto Entry : Reader.getRoutes()) {
    RouteUsage Route;
    Route.Route = text(Entry.getRoute());
    Route.Arrivals = Entry.getArrivals();
    Route.Runs = Entry.getRuns();
    Route.SlotTime = Microseconds(Entry.getSlotMicros());
    bool IsValid = Route.Arrivals >= 0 && Route.Runs >= 0;
    for (auto Call : Entry.getCalls()) {
      Route.Calls.push_back({text(Call.getRoute()), Call.getPerRun()});
      IsValid = IsValid && Call.getPerRun() >= 0;
    }
    if (!IsValid)
      throw ValueError("invalid usage of route '" + Route.Route +
                           "': arrivals " + std::to_string(Route.Arrivals) +
                           ", runs " + std::to_string(Route.Runs) +
                           " and all calls per run must be at least 0",
                       "run the same release on all nodes");
    Value.Usage.Routes.push_back(std::move(Route));
  }
  return Value;
}

Reply decode(mesh::Reply::Reader Reader, AnswerMemory *Memory) {
  if (Reader.getOutcome() > static_cast<std::uint8_t>(Outcome::Unknown) ||
      Reader.getReason() >= ReasonCount)
    throw ValueError("unknown reply outcome " +
                         std::to_string(Reader.getOutcome()) + " or reason " +
                         std::to_string(Reader.getReason()) +
                         ", expected outcome 0 to 2 and reason 0 to " +
                         std::to_string(ReasonCount - 1),
                     "run the same release on all nodes");
  Reply Value;
  Value.Outcome = static_cast<Outcome>(Reader.getOutcome());
  Value.Reason = static_cast<Reason>(Reader.getReason());
  Value.Status = Reader.getStatus();
  Value.Headers = readHeaders(Reader);
  MemoryBudget::Share Share;
  if (Memory != nullptr) {
    AnswerMemory::Receipt Receipt(*Memory, nullptr);
    Receipt.setAnnounced();
    if (!Receipt.take(Reader.getBody().size()))
      return unknownOutcome(Reason::Overload, Milliseconds(0));
    Share = Receipt.complete();
  }
  Value.Body = {bytes(Reader.getBody()), std::move(Share)};
  Value.RetryAfter = Milliseconds(Reader.getRetryAfter());
  return Value;
}

} // namespace limpetdrum::codec
