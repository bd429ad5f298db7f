// Feeds the decoders of what other nodes send by RPC.
#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace {

using namespace limpetdrum;

/// Reads the same message as one of the types that a call carries.
void readAs(unsigned Which, capnp::MessageReader &Message) {
  switch (Which) {
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
  constexpr unsigned Types = 4;
  try {
    kj::ArrayInputStream Stream(kj::arrayPtr(Data + 1, Size - 1));
    capnp::ReaderOptions Limits;
    Limits.traversalLimitInWords = 1U << 16U;
    capnp::PackedMessageReader Message(Stream, Limits);
    readAs(Data[0] % Types, Message);
  } catch (const limpetdrum::Error &) {
    return 0; // refused with a remedy, as it should be
  } catch (const kj::Exception &) {
    return 0; // no message at all
  }
  return 0;
}
