#include "limpetdrum/daemon/MeshCodec.h"

#include "limpetdrum/process/Error.h"

#include <capnp/message.h>

namespace limpetdrum::codec {

namespace {

std::string text(capnp::Text::Reader From) {
  return {From.cStr(), From.size()};
}

std::string bytes(capnp::Data::Reader From) {
  return {reinterpret_cast<const char *>(From.begin()), From.size()};
}

kj::ArrayPtr<const kj::byte> asData(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

void write(mesh::Contact::Builder To, const Contact &Value) {
  To.setNode(Value.Node.value());
  To.setAddress(Value.Link.Address);
  To.setPort(Value.Link.Port);
  To.setFailureDomain(Value.FailureDomain.value());
}

Contact read(mesh::Contact::Reader From) {
  return {NodeId(text(From.getNode())),
          {From.getAddress(), From.getPort()},
          FailureDomain(text(From.getFailureDomain()))};
}

void write(mesh::Target::Builder To, const TargetRecord &Value) {
  To.setId(Value.Id);
  To.setStarted(Value.Started);
  To.setSequence(Value.Sequence);
  To.setService(Value.Service.value());
  To.setSlots(Value.Slots.value());
  To.setState(static_cast<std::uint8_t>(Value.State));
}

TargetRecord read(mesh::Target::Reader From) {
  if (From.getState() > static_cast<std::uint8_t>(TargetState::Left))
    throw ValueError("a node reports an unknown state of its target",
                     "run the same release on all nodes");
  TargetRecord Value;
  Value.Id = text(From.getId());
  Value.Started = From.getStarted();
  Value.Sequence = From.getSequence();
  Value.Service = ServiceName(text(From.getService()));
  Value.Slots = Slots(static_cast<std::uint16_t>(From.getSlots()));
  Value.State = static_cast<TargetState>(From.getState());
  return Value;
}

void write(mesh::Status::Builder To, const NodeStatus &Value) {
  write(To.initContact(), Value.Self);
  To.setIncarnation(Value.Incarnation.value());
  To.setVersion(Value.Version);
  To.setLeaving(Value.Leaving);
  To.setPolicy(Value.Policy.value());
  write(To.initTarget(), Value.Target);
  To.setRunning(Value.Running);
  To.setQueued(Value.Queued);
  To.setLimit(Value.Limit);
  To.setThreshold(Value.Threshold);
  To.setServiceMicros(static_cast<std::uint32_t>(Value.ServiceTime.count()));
}

template <typename Builder>
void writeHeaders(Builder To, const HttpHeaders &Headers) {
  auto List = To.initHeaders(static_cast<unsigned>(Headers.size()));
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setName(Headers[I].first);
    List[I].setValue(Headers[I].second);
  }
}

template <typename Reader> HttpHeaders readHeaders(Reader From) {
  HttpHeaders Headers;
  for (auto Entry : From.getHeaders())
    Headers.emplace_back(text(Entry.getName()), text(Entry.getValue()));
  return Headers;
}

template <typename List>
void writeCalls(List To, const std::vector<std::uint64_t> &Calls) {
  for (unsigned I = 0; I < To.size(); ++I)
    To.set(I, Calls[I]);
}

} // namespace

std::string encodeHello(const MeshHello &Value) {
  capnp::MallocMessageBuilder Message;
  auto Hello = Message.initRoot<mesh::Frame>().initHello();
  write(Hello.initStatus(), Value.Status);
  auto Known = Hello.initKnown(static_cast<unsigned>(Value.Known.size()));
  for (unsigned I = 0; I < Known.size(); ++I)
    write(Known[I], Value.Known[I]);
  write(Hello.initYourTarget(), Value.YourTarget);
  return toBytes(Message);
}

std::string encodeStatus(const NodeStatus &Value) {
  capnp::MallocMessageBuilder Message;
  write(Message.initRoot<mesh::Frame>().initStatus(), Value);
  return toBytes(Message);
}

std::string encodeLoad(const NodeStatus &Value) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<mesh::Frame>().initLoad();
  To.setPolicy(Value.Policy.value());
  To.setRunning(Value.Running);
  To.setQueued(Value.Queued);
  To.setLimit(Value.Limit);
  To.setServiceMicros(static_cast<std::uint32_t>(Value.ServiceTime.count()));
  return toBytes(Message);
}

std::string encodeAttempt(const MeshAttempt &Value,
                          const std::vector<std::uint64_t> &Acknowledged) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<mesh::Frame>().initAttempt();
  To.setCall(Value.Call);
  To.setRequestId(Value.RequestId);
  To.setMethod(Value.Request.Method);
  To.setPath(Value.Request.Target);
  writeHeaders(To, Value.Request.Headers);
  To.setBody(asData(Value.Request.Body));
  To.setTimeLeft(static_cast<std::uint32_t>(Value.TimeLeft.count()));
  To.setWaitLimit(static_cast<std::uint32_t>(Value.WaitLimit.count()));
  To.setTargetId(Value.TargetId);
  To.setTargetStarted(Value.TargetStarted);
  To.setCallerService(Value.CallerService.value());
  To.setRank(Value.Rank.value());
  To.setCohort(Value.Cohort);
  To.setRoute(Value.Route);
  writeCalls(To.initAcknowledged(static_cast<unsigned>(Acknowledged.size())),
             Acknowledged);
  return toBytes(Message);
}

std::string encodeReply(std::uint64_t Call, const Reply &Value,
                        const NodeStatus &Load) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<mesh::Frame>().initReply();
  To.setCall(Call);
  To.setOutcome(static_cast<std::uint8_t>(Value.Outcome));
  To.setReason(static_cast<std::uint8_t>(Value.Reason));
  To.setStatus(Value.Status);
  writeHeaders(To, Value.Headers);
  To.setBody(asData(Value.Body));
  To.setRetryAfter(static_cast<std::uint32_t>(Value.RetryAfter.count()));
  To.setRunning(Load.Running);
  To.setQueued(Load.Queued);
  To.setLimit(Load.Limit);
  return toBytes(Message);
}

std::string encodeAsk() {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setAsk();
  return toBytes(Message);
}

std::string encodeUsage(const MeshUsage &Value) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<mesh::Frame>().initUsage();
  To.setNode(Value.Node.value());
  To.setService(Value.Usage.Service.value());
  To.setFailureDomain(Value.FailureDomain.value());
  To.setNodes(Value.Usage.Nodes);
  To.setRelayed(Value.Relayed);
  auto Routes = To.initRoutes(static_cast<unsigned>(Value.Usage.Routes.size()));
  for (unsigned I = 0; I < Routes.size(); ++I) {
    const auto &Use = Value.Usage.Routes[I];
    Routes[I].setRoute(Use.Route);
    Routes[I].setArrivals(static_cast<float>(Use.Arrivals));
    Routes[I].setRuns(static_cast<float>(Use.Runs));
    Routes[I].setSlotMicros(static_cast<std::uint32_t>(Use.SlotTime.count()));
    auto Calls = Routes[I].initCalls(static_cast<unsigned>(Use.Calls.size()));
    for (unsigned J = 0; J < Calls.size(); ++J) {
      Calls[J].setRoute(Use.Calls[J].Route);
      Calls[J].setPerRun(static_cast<float>(Use.Calls[J].PerRun));
    }
  }
  return toBytes(Message);
}

std::string encodeCancel(std::uint64_t Call) {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setCancel(Call);
  return toBytes(Message);
}

std::string encodePolicy(const std::string &Text) {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<mesh::Frame>().setPolicy(Text);
  return toBytes(Message);
}

std::string encodeAcknowledged(const std::vector<std::uint64_t> &Calls) {
  capnp::MallocMessageBuilder Message;
  writeCalls(Message.initRoot<mesh::Frame>().initAcknowledged(
                 static_cast<unsigned>(Calls.size())),
             Calls);
  return toBytes(Message);
}

MeshHello decode(mesh::Hello::Reader From) {
  MeshHello Value;
  Value.Status = decode(From.getStatus());
  for (auto Entry : From.getKnown())
    Value.Known.push_back(read(Entry));
  Value.YourTarget = read(From.getYourTarget());
  return Value;
}

NodeStatus decode(mesh::Status::Reader From) {
  NodeStatus Value;
  Value.Self = read(From.getContact());
  Value.Incarnation = Incarnation(From.getIncarnation());
  Value.Version = From.getVersion();
  Value.Leaving = From.getLeaving();
  Value.Policy = Revision(From.getPolicy());
  Value.Target = read(From.getTarget());
  Value.Running = From.getRunning();
  Value.Queued = From.getQueued();
  Value.Limit = From.getLimit();
  Value.Threshold = From.getThreshold();
  Value.ServiceTime = Microseconds(From.getServiceMicros());
  if (!(Value.Threshold >= 0))
    throw ValueError("a node reports a threshold that is no number from 0",
                     "run the same release on all nodes");
  return Value;
}

void decode(mesh::Load::Reader From, NodeStatus &Into) {
  Into.Policy = Revision(From.getPolicy());
  Into.Running = From.getRunning();
  Into.Queued = From.getQueued();
  Into.Limit = From.getLimit();
  Into.ServiceTime = Microseconds(From.getServiceMicros());
}

MeshAttempt decode(mesh::Attempt::Reader From) {
  MeshAttempt Value;
  Value.Call = From.getCall();
  Value.RequestId = text(From.getRequestId());
  Value.Request.Method = text(From.getMethod());
  Value.Request.Target = text(From.getPath());
  Value.Request.Headers = readHeaders(From);
  Value.Request.Body = bytes(From.getBody());
  Value.TimeLeft = Milliseconds(From.getTimeLeft());
  Value.WaitLimit = Milliseconds(From.getWaitLimit());
  Value.TargetId = text(From.getTargetId());
  Value.TargetStarted = From.getTargetStarted();
  Value.CallerService = ServiceName(text(From.getCallerService()));
  Value.Rank = ClassRank(From.getRank());
  Value.Cohort = From.getCohort();
  Value.Route = text(From.getRoute());
  return Value;
}

MeshUsage decode(mesh::Usage::Reader From) {
  MeshUsage Value;
  Value.Node = NodeId(text(From.getNode()));
  Value.FailureDomain = FailureDomain(text(From.getFailureDomain()));
  Value.Relayed = From.getRelayed();
  Value.Usage.Service = ServiceName(text(From.getService()));
  Value.Usage.Nodes = From.getNodes();
  if (Value.Usage.Nodes == 0)
    throw ValueError("a node reports the usage of no nodes",
                     "run the same release on all nodes");
  for (auto Entry : From.getRoutes()) {
    RouteUsage Use;
    Use.Route = text(Entry.getRoute());
    Use.Arrivals = Entry.getArrivals();
    Use.Runs = Entry.getRuns();
    Use.SlotTime = Microseconds(Entry.getSlotMicros());
    bool Usable = Use.Arrivals >= 0 && Use.Runs >= 0;
    for (auto Call : Entry.getCalls()) {
      Use.Calls.push_back({text(Call.getRoute()), Call.getPerRun()});
      Usable = Usable && Call.getPerRun() >= 0;
    }
    if (!Usable)
      throw ValueError("a node reports a rate that is no number from 0",
                       "run the same release on all nodes");
    Value.Usage.Routes.push_back(std::move(Use));
  }
  return Value;
}

Reply decode(mesh::Reply::Reader From) {
  if (From.getOutcome() > static_cast<std::uint8_t>(Outcome::Unknown) ||
      From.getReason() >= ReasonCount)
    throw ValueError("a node sends a reply of an unknown kind",
                     "run the same release on all nodes");
  Reply Value;
  Value.Outcome = static_cast<Outcome>(From.getOutcome());
  Value.Reason = static_cast<Reason>(From.getReason());
  Value.Status = From.getStatus();
  Value.Headers = readHeaders(From);
  Value.Body = bytes(From.getBody());
  Value.RetryAfter = Milliseconds(From.getRetryAfter());
  return Value;
}

} // namespace limpetdrum::codec
