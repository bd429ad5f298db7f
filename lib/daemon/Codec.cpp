#include "limpetdrum/daemon/Codec.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/process/Error.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace limpetdrum::codec {

namespace {

constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxKeyBytes = 1024;
constexpr unsigned GossipKindCount = 5;

std::string toText(capnp::Text::Reader In, std::size_t MaxBytes) {
  if (In.size() > MaxBytes)
    throw ValueError("text field of " + std::to_string(In.size()) +
                         " bytes is too long: expected at most " +
                         std::to_string(MaxBytes) + " bytes",
                     "run the same version of limpetdrum on all nodes");
  return std::string(In.begin(), In.size());
}

std::string toBody(capnp::Data::Reader In) {
  if (In.size() > MaxBodyBytes)
    throw ValueError("body of " + std::to_string(In.size()) +
                         " bytes is too long: expected at most " +
                         std::to_string(MaxBodyBytes) + " bytes",
                     "send a smaller body");
  return std::string(reinterpret_cast<const char *>(In.begin()), In.size());
}

capnp::Data::Reader toData(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

template <typename T> T toEnum(unsigned Value, unsigned Count) {
  if (Value >= Count)
    throw ValueError("unknown enumerator " + std::to_string(Value) +
                         ": expected 0 to " + std::to_string(Count - 1),
                     "run the same version of limpetdrum on all nodes");
  return static_cast<T>(Value);
}

void writeEndpoint(rpc::Endpoint::Builder Out, Endpoint Value) {
  Out.setAddress(Value.Address);
  Out.setPort(Value.Port);
}

Endpoint readEndpoint(rpc::Endpoint::Reader In) {
  return {In.getAddress(), In.getPort()};
}

} // namespace

void write(rpc::AttemptId::Builder Out, AttemptId Value) {
  Out.setCaller(Value.Caller.value());
  Out.setSequence(Value.Sequence);
}

AttemptId read(rpc::AttemptId::Reader In) {
  return {Incarnation(In.getCaller()), In.getSequence()};
}

void write(rpc::Attempt::Builder Out, const AttemptSpec &Value) {
  write(Out.initId(), Value.Id);
  Out.setRootHigh(Value.Root.High);
  Out.setRootLow(Value.Root.Low);
  Out.setIncarnation(Value.Executor.value());
  Out.setPath(Value.Path);
  Out.setMethod(Value.Method);
  Out.setContentType(Value.ContentType);
  Out.setBody(toData(Value.Body));
  Out.setClassRank(Value.Rank.value());
  Out.setCohort(Value.Cohort);
  Out.setTenant(Value.Organisation.value());
  Out.setTimeLeft(static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, Value.TimeLeft.count())));
  Out.setRetries(Value.Retries);
  Out.setKey(Value.Key.value());
  Out.setRole(static_cast<rpc::Attempt::Role>(Value.Role));
}

AttemptSpec read(rpc::Attempt::Reader In) {
  AttemptSpec Value;
  Value.Id = read(In.getId());
  Value.Root = {In.getRootHigh(), In.getRootLow()};
  Value.Executor = Incarnation(In.getIncarnation());
  Value.Path = toText(In.getPath(), MaxHeaderBytes);
  Value.Method = toText(In.getMethod(), MaxNameBytes);
  Value.ContentType = toText(In.getContentType(), MaxNameBytes);
  Value.Body = toBody(In.getBody());
  Value.Rank = ClassRank(toEnum<std::uint8_t>(In.getClassRank(), MaxRanks));
  Value.Cohort = In.getCohort();
  if (!(Value.Cohort >= 0 && Value.Cohort < 1))
    throw ValueError("cohort " + std::to_string(Value.Cohort) +
                         " is out of range: expected at least 0 and below 1",
                     "run the same version of limpetdrum on all nodes");
  Value.Organisation = Organisation(toText(In.getTenant(), MaxNameBytes));
  Value.TimeLeft = Microseconds(In.getTimeLeft());
  Value.Retries = In.getRetries();
  Value.Key = IdempotencyKey(toText(In.getKey(), MaxKeyBytes));
  Value.Role = toEnum<AttemptRole>(static_cast<unsigned>(In.getRole()), 2);
  return Value;
}

void write(rpc::Reply::Builder Out, const Reply &Value) {
  Out.setOutcome(static_cast<rpc::Reply::Outcome>(Value.Outcome));
  Out.setStatus(Value.Status);
  Out.setContentType(Value.ContentType);
  Out.setBody(toData(Value.Body));
  Out.setReason(static_cast<std::uint8_t>(Value.Reason));
  Out.setRetryAfter(static_cast<std::uint32_t>(Value.RetryAfter.count()));
  Out.setRetriesLeft(Value.RetriesLeft);
  write(Out.initLevels(static_cast<unsigned>(Value.Levels.size())),
        Value.Levels);
}

Reply read(rpc::Reply::Reader In) {
  Reply Value;
  Value.Outcome = toEnum<Outcome>(static_cast<unsigned>(In.getOutcome()), 3);
  Value.Status = In.getStatus();
  Value.ContentType = toText(In.getContentType(), MaxNameBytes);
  Value.Body = toBody(In.getBody());
  Value.Reason = toEnum<Reason>(In.getReason(), ReasonCount);
  Value.RetryAfter = Milliseconds(In.getRetryAfter());
  Value.RetriesLeft = In.getRetriesLeft();
  Value.Levels = read(In.getLevels());
  return Value;
}

void write(RpcLevels::Builder Out, const std::vector<LevelReport> &Value) {
  for (unsigned I = 0; I < Out.size(); ++I) {
    Out[I].setService(Value[I].Service.value());
    Out[I].setThreshold(Value[I].Threshold);
  }
}

std::vector<LevelReport> read(RpcLevels::Reader In) {
  std::vector<LevelReport> Value;
  for (auto Level : In) {
    float Threshold = Level.getThreshold();
    if (!(Threshold >= 0 && Threshold <= MaxRanks))
      throw ValueError("level threshold " + std::to_string(Threshold) +
                           " is out of range: expected 0 to " +
                           std::to_string(MaxRanks),
                       "run the same version of limpetdrum on all nodes");
    Value.push_back(
        {ServiceName(toText(Level.getService(), MaxNameBytes)), Threshold});
  }
  return Value;
}

void write(rpc::MemberRecord::Builder Out, const Member &Value) {
  Out.setNode(Value.Node.value());
  Out.setIncarnation(Value.Incarnation.value());
  Out.setVersion(Value.Version);
  Out.setService(Value.Service.value());
  Out.setFailureDomain(Value.FailureDomain.value());
  Out.setRegion(Value.Region.value());
  writeEndpoint(Out.initRpc(), Value.Rpc);
  writeEndpoint(Out.initGossip(), Value.Gossip);
  Out.setSlots(Value.Slots.value());
  Out.setTarget(static_cast<std::uint8_t>(Value.Target));
  Out.setHealth(static_cast<std::uint8_t>(Value.Health));
}

Member read(rpc::MemberRecord::Reader In) {
  Member Value;
  Value.Node = NodeId(toText(In.getNode(), MaxNameBytes));
  Value.Incarnation = Incarnation(In.getIncarnation());
  Value.Version = In.getVersion();
  Value.Service = ServiceName(toText(In.getService(), MaxNameBytes));
  Value.FailureDomain =
      FailureDomain(toText(In.getFailureDomain(), MaxNameBytes));
  Value.Region = Region(toText(In.getRegion(), MaxNameBytes));
  Value.Rpc = readEndpoint(In.getRpc());
  Value.Gossip = readEndpoint(In.getGossip());
  Value.Slots = Slots(In.getSlots());
  Value.Target = toEnum<TargetState>(In.getTarget(), 4);
  Value.Health = toEnum<Health>(In.getHealth(), 3);
  return Value;
}

void write(rpc::KeyRecord::Builder Out, const IdempotencyKey &Key,
           const KeyRecord &Value, TimePoint Now) {
  Out.setKey(Key.value());
  Out.setHolder(Value.Holder.Node.value());
  Out.setHolderIncarnation(Value.Holder.Incarnation.value());
  Out.setSettled(Value.Settled);
  write(Out.initReply(), Value.Reply);
  auto TimeLeft = std::chrono::duration_cast<Milliseconds>(Value.Expiry - Now);
  Out.setTimeLeft(
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, TimeLeft.count())));
  Out.setRuns(Value.Runs);
}

std::pair<IdempotencyKey, KeyRecord> read(rpc::KeyRecord::Reader In,
                                          TimePoint Now) {
  KeyRecord Value;
  Value.Holder = {NodeId(toText(In.getHolder(), MaxNameBytes)),
                  Incarnation(In.getHolderIncarnation())};
  Value.Settled = In.getSettled();
  Value.Reply = read(In.getReply());
  Value.Expiry = Now + Milliseconds(In.getTimeLeft());
  Value.Runs = In.getRuns();
  return {IdempotencyKey(toText(In.getKey(), MaxKeyBytes)), Value};
}

std::string encode(GossipMessage Value) {
  for (;;) {
    capnp::MallocMessageBuilder Message;
    auto Out = Message.initRoot<rpc::Datagram>();
    Out.setKind(static_cast<rpc::Datagram::Kind>(Value.Kind));
    Out.setFrom(Value.Sender.value());
    Out.setSequence(Value.Sequence);
    Out.setSubject(Value.Subject.value());
    Out.setRevision(Value.Revision.value());
    Out.setDigest(Value.Digest);
    auto Updates = Out.initUpdates(static_cast<unsigned>(Value.Updates.size()));
    for (unsigned I = 0; I < Updates.size(); ++I)
      write(Updates[I], Value.Updates[I]);
    kj::VectorOutputStream Stream;
    capnp::writePackedMessage(Stream, Message);
    auto Bytes = Stream.getArray();
    if (Bytes.size() <= MaxDatagramBytes || Value.Updates.empty())
      return std::string(Bytes.asChars().begin(), Bytes.size());
    Value.Updates.pop_back();
  }
}

std::optional<GossipMessage> decode(const std::string &Bytes) {
  try {
    kj::ArrayInputStream Stream(toData(Bytes));
    capnp::ReaderOptions Limits;
    Limits.traversalLimitInWords = MaxDatagramBytes;
    capnp::PackedMessageReader Message(Stream, Limits);
    auto In = Message.getRoot<rpc::Datagram>();
    GossipMessage Value;
    Value.Kind = toEnum<GossipKind>(static_cast<unsigned>(In.getKind()),
                                    GossipKindCount);
    Value.Sender = NodeId(toText(In.getFrom(), MaxNameBytes));
    Value.Sequence = In.getSequence();
    Value.Subject = NodeId(toText(In.getSubject(), MaxNameBytes));
    Value.Revision = Revision(In.getRevision());
    Value.Digest = In.getDigest();
    for (auto Update : In.getUpdates())
      Value.Updates.push_back(read(Update));
    return Value;
  } catch (const kj::Exception &) {
    return std::nullopt;
  } catch (const ValueError &) {
    return std::nullopt;
  }
}

} // namespace limpetdrum::codec
