#include "limpetdrum/connection/PeerLink.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/BodyParts.h"
#include "limpetdrum/connection/Deflate.h"
#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

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

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxFrameBytes = MaxConnectionBacklogBytes;
/// Buffers are released if they grew beyond this size. Larger messages are
/// rare, and a node has a link to every other node.
constexpr std::size_t MaxRetainedBytes = 16U * 1024U;
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
  Text.reserve(LengthBytes + Size);
  for (unsigned I = 0; I < LengthBytes; ++I)
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
  std::vector<kj::byte> Packed; ///< the message being read
  /// Not set on the accepting side until the peer's first byte is read.
  std::optional<Format> WireFormat;
  std::unique_ptr<Deflater> Outgoing;
  std::unique_ptr<Inflater> Incoming;
  std::string Inflated;         ///< decompressed bytes
  std::size_t InflatedUsed = 0; ///< bytes of them already delivered

  State(EventLoop &Loop, Events Callbacks, LinkMemory Memory)
      : Loop(Loop), Callbacks(std::move(Callbacks)), Memory(Memory),
        LastRead(Loop.now()) {}

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

  void setFormat(Format Value) {
    this->WireFormat = Value;
    if (Value != Format::Compressed)
      return;
    this->Outgoing = std::make_unique<Deflater>();
    this->Incoming = std::make_unique<Inflater>();
  }

  /// Reads the format from the first byte sent by the connecting side.
  /// \returns false if it has not been received or the link has failed.
  bool readFormat() {
    unsigned char First = 0;
    if (evbuffer_remove(bufferevent_get_input(this->Event), &First, 1) != 1)
      return false;
    if (First > static_cast<unsigned char>(Format::Compressed)) {
      this->fail();
      return false;
    }
    this->setFormat(static_cast<Format>(First));
    return true;
  }

  /// Decompresses all input received so far.
  /// \returns false if the link has failed.
  bool inflateInput() {
    if (this->InflatedUsed > MaxRetainedBytes) {
      this->Inflated.erase(0, this->InflatedUsed);
      this->InflatedUsed = 0;
    }
    auto *Input = bufferevent_get_input(this->Event);
    std::vector<char> Bytes(evbuffer_get_length(Input));
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    if (this->Incoming->decompress(Bytes.data(), Bytes.size(),
                                   2 * MaxFrameBytes, this->Inflated))
      return true;
    this->fail();
    return false;
  }

  [[nodiscard]] std::size_t available() const {
    return this->Incoming
               ? this->Inflated.size() - this->InflatedUsed
               : evbuffer_get_length(bufferevent_get_input(this->Event));
  }

  void peek(void *Output, std::size_t Size) const {
    if (this->Incoming)
      this->Inflated.copy(static_cast<char *>(Output), Size,
                          this->InflatedUsed);
    else
      evbuffer_copyout(bufferevent_get_input(this->Event), Output, Size);
  }

  void skip(std::size_t Size) {
    if (!this->Incoming) {
      evbuffer_drain(bufferevent_get_input(this->Event), Size);
      return;
    }
    this->InflatedUsed += Size;
    if (this->InflatedUsed == this->Inflated.size()) {
      this->Inflated.clear();
      if (this->Inflated.capacity() > MaxRetainedBytes)
        this->Inflated.shrink_to_fit();
      this->InflatedUsed = 0;
    }
  }

  /// Reads and delivers one message.
  /// \returns false if no complete message is available or the link has failed.
  bool readFrame() {
    unsigned char Length[LengthBytes];
    if (this->available() < LengthBytes)
      return false;
    this->peek(Length, LengthBytes);
    std::size_t Size = 0;
    for (unsigned I = 0; I < LengthBytes; ++I)
      Size |= std::size_t{Length[I]} << (8 * I);
    if (Size > MaxFrameBytes) {
      this->fail();
      return false;
    }
    if (this->available() < LengthBytes + Size)
      return false;
    this->skip(LengthBytes);
    this->Packed.resize(Size);
    this->peek(this->Packed.data(), Size);
    this->skip(Size);
    if (!this->deliver()) {
      this->fail();
      return false;
    }
    if (this->Packed.capacity() > MaxRetainedBytes)
      this->Packed = {};
    return this->Event != nullptr;
  }

  /// \returns false if the message is malformed.
  bool deliver() {
    bool IsValid = true;
    bool IsReadable = isWellFormed([&]() {
      kj::ArrayInputStream Input(
          kj::arrayPtr(this->Packed.data(), this->Packed.size()));
      capnp::PackedMessageReader Message(Input);
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
    auto Held = this->takeMemory(Frame);
    if (!Held) {
      Missing.ExceedsMemory = true;
      this->Callbacks.OnFrame(Frame, std::move(Missing));
      return true;
    }
    this->IncomingBodies.begin(Frame.getBodyCall(), Bytes, this->Packed,
                               std::move(*Held), this->Loop.now());
    return true;
  }

  /// Takes the memory for the body of a message.
  /// \returns nothing if there is none.
  std::optional<BodyReceiver::Memory> takeMemory(mesh::Frame::Reader Frame) {
    auto Bytes = Frame.getBodyBytes();
    if (!Frame.isReply()) {
      if (this->Memory.Requests == nullptr)
        return MemoryBudget::Share();
      auto Share = this->Memory.Requests->take(Bytes);
      return Share ? std::optional<BodyReceiver::Memory>(std::move(*Share))
                   : std::nullopt;
    }
    if (this->Memory.Answers == nullptr)
      return MemoryBudget::Share();
    auto Receipt = std::make_unique<AnswerMemory::Receipt>(
        *this->Memory.Answers,
        [this, Call = Frame.getBodyCall()]() { this->onGivenUp(Call); });
    Receipt->setAnnounced();
    if (!Receipt->take(Bytes))
      return std::nullopt;
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
    capnp::PackedMessageReader Message(Input);
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
    Received.Content = std::move(Complete->Content);
    Received.Duration = Complete->Duration;
    this->deliverMessage(Complete->Message, std::move(Received));
  }

  void write(const std::string &Bytes) {
    if (!this->Outgoing) {
      bufferevent_write(this->Event, Bytes.data(), Bytes.size());
      return;
    }
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
    if (!Self->WireFormat && !Self->readFormat())
      return;
    if (Self->Incoming && !Self->inflateInput())
      return;
    while (Self->Event != nullptr && Self->readFrame()) {
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
  this->Impl->setFormat(WireFormat);
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
    this->Impl->Loop.post([Weak = this->Impl->weak_from_this()]() {
      if (auto State = Weak.lock())
        State->fail();
    });
    return;
  }
  this->Impl->write(Bytes);
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
  return Bytes.size() <= LengthBytes + MaxFrameBytes;
}

void PeerLink::sendBody(std::uint64_t Call, Body Content) {
  this->Impl->Bodies.add(Call, std::move(Content));
  this->Impl->writeParts();
}

void PeerLink::cancelBody(std::uint64_t Call) {
  this->Impl->Bodies.cancel(Call);
  this->Impl->IncomingBodies.drop(Call);
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
