// Fuzzes the decoders of RPC messages received from other nodes.
#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace {

using namespace limpetdrum;

/// \brief Decodes \p Message as the message type with index \p Type.
void decodeAs(unsigned Type, capnp::MessageReader &Message) {
  switch (Type) {
  case 0:
    static_cast<void>(codec::read(Message.getRoot<rpc::Attempt>()));
    return;
  case 1:
    static_cast<void>(codec::read(Message.getRoot<rpc::Reply>()));
    return;
  case 2:
    static_cast<void>(codec::read(Message.getRoot<rpc::MemberRecord>()));
    return;
  default:
    static_cast<void>(
        codec::read(Message.getRoot<rpc::KeyRecord>(), TimePoint()));
    return;
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  constexpr unsigned TypeCount = 4;
  try {
    kj::ArrayInputStream Stream(kj::arrayPtr(Data + 1, Size - 1));
    capnp::ReaderOptions Limits;
    Limits.traversalLimitInWords = 1U << 16U;
    capnp::PackedMessageReader Message(Stream, Limits);
    decodeAs(Data[0] % TypeCount, Message);
  } catch (const limpetdrum::Error &) {
    return 0; // a field is malformed: the expected error
  } catch (const kj::Exception &) {
    return 0; // the input is not a valid Cap'n Proto message
  }
  return 0;
}
