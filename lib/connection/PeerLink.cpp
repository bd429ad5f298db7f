#include "limpetdrum/connection/PeerLink.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/BodyParts.h"
#include "limpetdrum/connection/Deflate.h"
#include "limpetdrum/connection/FrameReceiver.h"
#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <array>
#include <capnp/serialize-packed.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <netinet/tcp.h>
#include <optional>
#include <vector>

namespace limpetdrum {

namespace {

constexpr std::size_t MaxFrameBytes = MaxConnectionBacklogBytes;
/// A message is read from a form that omits zeros, and its fields several
/// times, each of which counts towards the limit.
constexpr std::size_t MaxUnpackedFactor = 4;
/// Bytes that are taken from the socket's buffer at once.
constexpr std::size_t ReadBytes = 16U * 1024U;
/// Compressed bytes that are read at once: they become at most 264 KB.
constexpr std::size_t CompressedBytes = 256;
/// More than any number of bytes becomes that are read at once.
constexpr std::size_t MaxInflatedBytes = 1024U * 1024U;
/// Time that sent bytes may stay unacknowledged. After it the peer counts as
/// unreachable and the kernel ends the connection.
constexpr unsigned UserTimeoutMillis = 3000;
/// Longer bodies follow their message in parts.
constexpr std::size_t MaxInlineBodyBytes = 64U * 1024U;
/// While more than BusyBytes wait on a link, bodies longer than this follow in
/// parts, too, since a link with too many unsent bytes is closed.
constexpr std::size_t MaxInlineBytesWhenBusy = 4096;
constexpr std::size_t BusyBytes = MaxConnectionBacklogBytes / 8;
/// Parts are written while less than this waits on the link: enough to keep it
/// in use, and few milliseconds of delay for other messages.
constexpr std::size_t PartBacklogBytes = 128U * 1024U;
/// No node sends a longer body, whatever memory is free.
constexpr std::size_t MaxAnnouncedBodyBytes = 256U * 1024U * 1024U;

std::string encodePart(const BodySender::Part &Part) {
  capnp::MallocMessageBuilder Message;
  auto Builder = Message.initRoot<mesh::Frame>().initPart();
  Builder.setCall(Part.Call);
  Builder.setData(
      kj::arrayPtr(reinterpret_cast<const kj::byte *>(Part.Bytes.data()),
                   Part.Bytes.size()));
  return encodeFrame(Message);
}

kj::ArrayPtr<const kj::byte> asBytes(std::string_view Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

/// Runs an action that reads a message.
/// \returns false if it found the message malformed.
template <typename Action> bool isWellFormed(Action Read) {
  try {
    Read();
    return true;
  } catch (const kj::Exception &) {
    return false;
  } catch (const ValueError &) {
    return false;
  }
}

void setSocketOptions(evutil_socket_t Socket) {
  int Enable = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  unsigned Limit = UserTimeoutMillis;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
}

} // namespace

std::string encodeFrame(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Packed;
  capnp::writePackedMessage(Packed, Message);
  auto Bytes = Packed.getArray();
  auto Size = static_cast<std::uint32_t>(Bytes.size());
  std::string Text;
  Text.reserve(FrameReceiver::LengthBytes + Size);
  for (unsigned I = 0; I < FrameReceiver::LengthBytes; ++I)
    Text += static_cast<char>(Size >> (8 * I) & 0xff);
  Text.append(reinterpret_cast<const char *>(Bytes.begin()), Size);
  return Text;
}

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State> {
  EventLoop &Loop;
  Events Callbacks;
  bufferevent *Event = nullptr;
  bool Connected = false;
  bool Stopped = false;
  LinkMemory Memory;
  bool TakesParts = false; ///< the peer
  TimePoint LastRead;
  BodySender Bodies;
  BodyReceiver IncomingBodies;
  FrameReceiver Frames;
  /// Not set on the accepting side until the peer's first byte is read.
  std::optional<Format> WireFormat;
  // Made with the first bytes, as a link may never carry any.
  std::unique_ptr<Deflater> Outgoing;
  std::unique_ptr<Inflater> Incoming;

  State(EventLoop &Loop, Events Callbacks, LinkMemory Memory)
      : Loop(Loop), Callbacks(std::move(Callbacks)), Memory(Memory),
        LastRead(Loop.now()), Frames([this]() { this->failLater(); }) {
    this->Frames.setLimits(MaxFrameBytes, Memory.Frames);
  }

  void attach(evutil_socket_t Socket) {
    this->Event = bufferevent_socket_new(this->Loop.base(), Socket,
                                         BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(this->Event, &State::onReadable, &State::onWritten,
                      &State::onEvent, this);
    bufferevent_setwatermark(this->Event, EV_WRITE, PartBacklogBytes / 2, 0);
    bufferevent_enable(this->Event, EV_READ | EV_WRITE);
  }

  void close() {
    if (this->Event != nullptr)
      bufferevent_free(std::exchange(this->Event, nullptr));
  }

  void fail() {
    auto Self = this->shared_from_this();
    bool WasConnected = std::exchange(this->Connected, false);
    this->close();
    if (!this->Stopped && this->Callbacks.OnClosed)
      this->Callbacks.OnClosed(WasConnected);
  }

  /// Fails from the loop, because a callback of another link may be running.
  void failLater() {
    this->Loop.post([Weak = this->weak_from_this()]() {
      if (auto Self = Weak.lock(); Self && Self->Event != nullptr)
        Self->fail();
    });
  }

  [[nodiscard]] bool isCompressed() const {
    return this->WireFormat == Format::Compressed;
  }

  /// Reads the format from the first byte sent by the connecting side.
  /// \returns false if it is unknown.
  bool readFormat(std::string_view &Input) {
    auto First = static_cast<unsigned char>(Input.front());
    if (First > static_cast<unsigned char>(Format::Compressed))
      return false;
    Input.remove_prefix(1);
    this->WireFormat = static_cast<Format>(First);
    return true;
  }

  /// Reads what has been received and delivers the messages in it.
  /// \returns false if the link has to fail.
  bool receive(std::string_view Input) {
    if (!this->WireFormat && !this->readFormat(Input))
      return false;
    if (!this->isCompressed())
      return this->readFrames(Input);
    if (!this->Incoming && !Input.empty())
      this->Incoming = std::make_unique<Inflater>();
    std::string Inflated;
    for (; !Input.empty() && this->Event != nullptr;
         Input.remove_prefix(std::min(CompressedBytes, Input.size()))) {
      Inflated.clear();
      if (!this->Incoming->decompress(Input.data(),
                                      std::min(CompressedBytes, Input.size()),
                                      MaxInflatedBytes, Inflated) ||
          !this->readFrames(Inflated))
        return false;
    }
    return true;
  }

  /// Delivers the messages that are complete.
  /// \returns false if the link has to fail.
  bool readFrames(std::string_view Input) {
    while (!Input.empty() && this->Event != nullptr) {
      auto Result = this->Frames.read(Input);
      if (Result == FrameReceiver::Result::NeedMore)
        return true;
      if (Result != FrameReceiver::Result::Complete || !this->deliver())
        return false;
      this->Frames.drop();
    }
    return true;
  }

  [[nodiscard]] capnp::ReaderOptions readerOptions() const {
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords =
        MaxUnpackedFactor * this->Frames.maxBytes() / sizeof(capnp::word);
    return Options;
  }

  /// \returns false if the message is malformed.
  bool deliver() {
    bool IsValid = true;
    bool IsReadable = isWellFormed([&]() {
      kj::ArrayInputStream Input(asBytes(this->Frames.message()));
      capnp::PackedMessageReader Message(Input, this->readerOptions());
      auto Frame = Message.getRoot<mesh::Frame>();
      if (Frame.isPart())
        this->onPart(Frame.getPart());
      else if (Frame.getBodyCall() != 0)
        IsValid = this->beginBody(Frame);
      else
        this->Callbacks.OnFrame(Frame, {});
    });
    return IsReadable && IsValid;
  }

  /// Handles a message whose body follows in parts.
  bool beginBody(mesh::Frame::Reader Frame) {
    auto Bytes = Frame.getBodyBytes();
    if (Bytes == 0 || Bytes > MaxAnnouncedBodyBytes)
      return false;
    FrameBody Missing;
    Missing.IsMissing = true;
    if (this->Callbacks.NeedsBody && !this->Callbacks.NeedsBody(Frame)) {
      this->Callbacks.OnFrame(Frame, std::move(Missing));
      return true;
    }
    auto Message = this->Frames.message();
    auto Now = this->Loop.now();
    auto Deadline = Frame.isAttempt()
                        ? Now + Milliseconds(Frame.getAttempt().getTimeLeft())
                        : TimePoint::max();
    if (this->IncomingBodies.begin(Frame.getBodyCall(), Bytes,
                                   {Message.begin(), Message.end()},
                                   this->memoryFor(Frame), Now, Deadline))
      return true;
    Missing.ExceedsMemory = true;
    this->Callbacks.OnFrame(Frame, std::move(Missing));
    return true;
  }

  /// Returns the memory for the body of a message.
  BodyReceiver::Memory memoryFor(mesh::Frame::Reader Frame) {
    if (!Frame.isReply()) {
      if (this->Memory.Requests == nullptr)
        return MemoryBudget::Share();
      return this->Memory.Requests;
    }
    if (this->Memory.Answers == nullptr)
      return MemoryBudget::Share();
    auto Receipt = std::make_unique<AnswerMemory::Receipt>(
        *this->Memory.Answers,
        [this, Call = Frame.getBodyCall()]() { this->onGivenUp(Call); });
    Receipt->setAnnounced();
    return Receipt;
  }

  /// Handles that a reply was given up in favour of another, maybe within the
  /// callback of another link.
  void onGivenUp(std::uint64_t Call) {
    this->Loop.post([Weak = this->weak_from_this(),
                     Message = this->IncomingBodies.giveUp(Call)]() {
      auto Self = Weak.lock();
      if (!Self || Self->Event == nullptr || Message.empty())
        return;
      FrameBody Missing;
      Missing.IsMissing = true;
      Missing.ExceedsMemory = true;
      if (!isWellFormed(
              [&]() { Self->deliverMessage(Message, std::move(Missing)); }))
        Self->fail();
    });
  }

  void deliverMessage(const std::vector<unsigned char> &Packed,
                      FrameBody Received) {
    kj::ArrayInputStream Input(kj::arrayPtr(Packed.data(), Packed.size()));
    capnp::PackedMessageReader Message(Input, this->readerOptions());
    this->Callbacks.OnFrame(Message.getRoot<mesh::Frame>(),
                            std::move(Received));
  }

  void onPart(mesh::Part::Reader Part) {
    auto Data = Part.getData();
    auto Complete = this->IncomingBodies.append(
        Part.getCall(),
        {reinterpret_cast<const char *>(Data.begin()), Data.size()},
        this->Loop.now());
    if (!Complete)
      return;
    FrameBody Received;
    Received.IsMissing = Complete->ExceedsMemory;
    Received.ExceedsMemory = Complete->ExceedsMemory;
    if (!Complete->ExceedsMemory)
      Received.Content = std::move(Complete->Content);
    Received.Duration = Complete->Duration;
    this->deliverMessage(Complete->Message, std::move(Received));
  }

  void write(const std::string &Bytes) {
    if (!this->isCompressed()) {
      bufferevent_write(this->Event, Bytes.data(), Bytes.size());
      return;
    }
    if (!this->Outgoing)
      this->Outgoing = std::make_unique<Deflater>();
    auto Compressed = this->Outgoing->compress(Bytes);
    bufferevent_write(this->Event, Compressed.data(), Compressed.size());
  }

  /// Writes parts of bodies as long as the peer reads them.
  void writeParts() {
    while (this->Event != nullptr && !this->Bodies.empty() &&
           evbuffer_get_length(bufferevent_get_output(this->Event)) <
               PartBacklogBytes)
      this->write(encodePart(this->Bodies.next()));
  }

  static void onWritten(bufferevent * /*Event*/, void *Context) {
    static_cast<State *>(Context)->shared_from_this()->writeParts();
  }

  static void onReadable(bufferevent * /*Event*/, void *Context) {
    auto Self = static_cast<State *>(Context)->shared_from_this();
    Self->LastRead = Self->Loop.now();
    // All that was received is read, so nothing waits in the buffer.
    std::array<char, ReadBytes> Bytes;
    while (Self->Event != nullptr) {
      auto Size = bufferevent_read(Self->Event, Bytes.data(), Bytes.size());
      if (Size == 0)
        return;
      if (!Self->receive({Bytes.data(), Size}) && Self->Event != nullptr)
        Self->fail();
    }
  }

  static void onEvent(bufferevent * /*Event*/, short Flags, void *Context) {
    auto Self = static_cast<State *>(Context)->shared_from_this();
    if ((Flags & BEV_EVENT_CONNECTED) != 0) {
      Self->Connected = true;
      Self->LastRead = Self->Loop.now();
      if (Self->Callbacks.OnConnected)
        Self->Callbacks.OnConnected();
      return;
    }
    if ((Flags & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      Self->fail();
  }
};

PeerLink::PeerLink(EventLoop &Loop, Endpoint Peer, Events Callbacks,
                   Format WireFormat, LinkMemory Memory)
    : Impl(std::make_shared<State>(Loop, std::move(Callbacks), Memory)) {
  this->Impl->attach(-1);
  this->Impl->WireFormat = WireFormat;
  auto First = static_cast<unsigned char>(WireFormat);
  bufferevent_write(this->Impl->Event, &First, 1);
  auto Address = toSocketAddress(Peer);
  // A failure is reported through the event callback.
  bufferevent_socket_connect(this->Impl->Event,
                             reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  if (this->Impl->Event != nullptr)
    setSocketOptions(bufferevent_getfd(this->Impl->Event));
}

PeerLink::PeerLink(EventLoop &Loop, int Socket, Events Callbacks,
                   LinkMemory Memory)
    : Impl(std::make_shared<State>(Loop, std::move(Callbacks), Memory)) {
  setSocketOptions(Socket);
  this->Impl->attach(Socket);
  this->Impl->Connected = true;
}

PeerLink::~PeerLink() { this->stop(); }

void PeerLink::send(const std::string &Bytes) {
  if (this->Impl->Event == nullptr)
    return;
  auto *Output = bufferevent_get_output(this->Impl->Event);
  if (evbuffer_get_length(Output) > MaxConnectionBacklogBytes) {
    this->Impl->failLater();
    return;
  }
  this->Impl->write(Bytes);
}

void PeerLink::limitFrames(std::size_t MaxBytes,
                           AnswerMemory &Memory) noexcept {
  this->Impl->Frames.setLimits(MaxBytes, &Memory);
}

void PeerLink::unlimitFrames() noexcept {
  this->Impl->Frames.setLimits(MaxFrameBytes, this->Impl->Memory.Frames);
}

void PeerLink::setTakesParts(bool Value) noexcept {
  this->Impl->TakesParts = Value;
}

bool PeerLink::sendsInParts(std::size_t BodyBytes) const noexcept {
  if (!this->Impl->TakesParts)
    return false;
  return BodyBytes > MaxInlineBodyBytes ||
         (BodyBytes > MaxInlineBytesWhenBusy &&
          this->unsentBytes() > BusyBytes);
}

bool PeerLink::canSend(const std::string &Bytes) noexcept {
  return Bytes.size() <= FrameReceiver::LengthBytes + MaxFrameBytes;
}

void PeerLink::sendBody(std::uint64_t Call, Body Content) {
  this->Impl->Bodies.add(Call, std::move(Content));
  this->Impl->writeParts();
}

void PeerLink::cancelBody(std::uint64_t Call) {
  this->Impl->Bodies.cancel(Call);
  this->Impl->IncomingBodies.drop(Call);
}

void PeerLink::dropOverdueBodies() {
  this->Impl->IncomingBodies.dropOverdue(this->Impl->Loop.now());
}

std::size_t PeerLink::unsentBytes() const noexcept {
  if (this->Impl->Event == nullptr)
    return 0;
  return evbuffer_get_length(bufferevent_get_output(this->Impl->Event)) +
         this->Impl->Bodies.unsentBytes();
}

void PeerLink::stop() noexcept {
  this->Impl->Stopped = true;
  this->Impl->close();
}

TimePoint PeerLink::lastRead() const noexcept { return this->Impl->LastRead; }

void destroyLater(EventLoop &Loop, std::unique_ptr<PeerLink> Old) {
  Old->stop();
  std::shared_ptr<PeerLink> Shared = std::move(Old);
  Loop.post([Shared]() {});
}

} // namespace limpetdrum
