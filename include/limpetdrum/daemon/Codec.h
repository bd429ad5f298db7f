#ifndef LIMPETDRUM_DAEMON_CODEC_H
#define LIMPETDRUM_DAEMON_CODEC_H

#include "limpetdrum/process/Membership.h"
#include "limpetdrum/request/AttemptSpec.h"
#include "limpetdrum/request/KeyLedger.h"

#include "Node.capnp.h"

#include <optional>
#include <string>

/// \brief Conversion between the messages of Node.capnp and the types of the
///   library.
namespace limpetdrum::codec {

void write(rpc::AttemptId::Builder Out, AttemptId Value);
[[nodiscard]] AttemptId read(rpc::AttemptId::Reader In);

void write(rpc::Attempt::Builder Out, const AttemptSpec &Value);
/// \throws ValueError if a field is out of its range.
[[nodiscard]] AttemptSpec read(rpc::Attempt::Reader In);

void write(rpc::Reply::Builder Out, const Reply &Value);
/// \throws ValueError if a field is out of its range.
[[nodiscard]] Reply read(rpc::Reply::Reader In);

using RpcLevels = capnp::List<rpc::Level>;
void write(RpcLevels::Builder Out, const std::vector<LevelReport> &Value);
/// \throws ValueError if a threshold is not a number from 0 to MaxRanks, or a
///   service name is too long.
[[nodiscard]] std::vector<LevelReport> read(RpcLevels::Reader In);

void write(rpc::MemberRecord::Builder Out, const Member &Value);
/// \throws ValueError if a field is out of its range.
[[nodiscard]] Member read(rpc::MemberRecord::Reader In);

void write(rpc::KeyRecord::Builder Out, const IdempotencyKey &Key,
           const KeyRecord &Value, TimePoint Now);
/// \throws ValueError if a field is out of its range.
[[nodiscard]] std::pair<IdempotencyKey, KeyRecord>
read(rpc::KeyRecord::Reader In, TimePoint Now);

/// \brief Encodes a message as a datagram.
/// \returns at most MaxDatagramBytes bytes, without the last updates if they do
///   not fit.
[[nodiscard]] std::string encode(GossipMessage Value);
/// \brief Decodes a datagram.
/// \returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<GossipMessage> decode(const std::string &Bytes);

} // namespace limpetdrum::codec

#endif
