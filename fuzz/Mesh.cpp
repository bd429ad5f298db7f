// Fuzzes the decoders of frames received from peers.
#include "limpetdrum/daemon/fleet/MeshCodec.h"
#include "limpetdrum/process/Error.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace {

using namespace limpetdrum;

void readFrame(mesh::Frame::Reader Frame) {
  switch (Frame.which()) {
  case mesh::Frame::HELLO:
    static_cast<void>(codec::decode(Frame.getHello()));
    return;
  case mesh::Frame::STATUS:
    static_cast<void>(codec::decode(Frame.getStatus()));
    return;
  case mesh::Frame::LOAD: {
    NodeStatus Status;
    codec::decode(Frame.getLoad(), Status);
    return;
  }
  case mesh::Frame::ATTEMPT:
    static_cast<void>(codec::decode(Frame.getAttempt()));
    return;
  case mesh::Frame::REPLY:
    static_cast<void>(codec::decode(Frame.getReply()));
    return;
  case mesh::Frame::USAGE:
    static_cast<void>(codec::decode(Frame.getUsage()));
    return;
  case mesh::Frame::CRASHES:
    static_cast<void>(codec::decode(Frame.getCrashes()));
    return;
  default:
    return;
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  try {
    kj::ArrayInputStream Stream(kj::arrayPtr(Data, Size));
    capnp::ReaderOptions Limits;
    Limits.traversalLimitInWords = 1U << 16U;
    capnp::PackedMessageReader Message(Stream, Limits);
    readFrame(Message.getRoot<mesh::Frame>());
  } catch (const limpetdrum::Error &) {
    return 0; // the frame is malformed: the expected error
  } catch (const kj::Exception &) {
    return 0; // the input is not a valid Cap'n Proto message
  }
  return 0;
}
