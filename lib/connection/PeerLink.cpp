#include "limpetdrum/connection/PeerLink.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/Deflate.h"
#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <capnp/serialize-packed.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
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
constexpr int ListenBacklog = 1024;

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
  TimePoint LastRead;
  std::vector<kj::byte> Packed; ///< the message being read
  /// Not set on the accepting side until the peer's first byte is read.
  std::optional<Format> WireFormat;
  std::unique_ptr<Deflater> Outgoing;
  std::unique_ptr<Inflater> Incoming;
  std::string Inflated;         ///< decompressed bytes
  std::size_t InflatedUsed = 0; ///< bytes of them already delivered

  State(EventLoop &Loop, Events Callbacks)
      : Loop(Loop), Callbacks(std::move(Callbacks)), LastRead(Loop.now()) {}

  void attach(evutil_socket_t Socket) {
    this->Event = bufferevent_socket_new(this->Loop.base(), Socket,
                                         BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(this->Event, &State::onReadable, nullptr, &State::onEvent,
                      this);
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
    try {
      kj::ArrayInputStream Input(
          kj::arrayPtr(this->Packed.data(), this->Packed.size()));
      capnp::PackedMessageReader Message(Input);
      this->Callbacks.OnFrame(Message.getRoot<mesh::Frame>());
      return true;
    } catch (const kj::Exception &) {
      return false;
    }
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
                   Format WireFormat)
    : Impl(std::make_shared<State>(Loop, std::move(Callbacks))) {
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

PeerLink::PeerLink(EventLoop &Loop, int Socket, Events Callbacks)
    : Impl(std::make_shared<State>(Loop, std::move(Callbacks))) {
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
  if (!this->Impl->Outgoing) {
    bufferevent_write(this->Impl->Event, Bytes.data(), Bytes.size());
    return;
  }
  auto Packed = this->Impl->Outgoing->compress(Bytes);
  bufferevent_write(this->Impl->Event, Packed.data(), Packed.size());
}

std::size_t PeerLink::unsentBytes() const noexcept {
  return this->Impl->Event == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(this->Impl->Event));
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

struct PeerListener::State {
  evconnlistener *Listener = nullptr;
  OnAccept Accept;
};

PeerListener::PeerListener(EventLoop &Loop, Endpoint Local, OnAccept Accept)
    : Impl(std::make_unique<State>()) {
  this->Impl->Accept = std::move(Accept);
  auto Address = toSocketAddress(Local);
  this->Impl->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Size*/,
         void *Context) { static_cast<State *>(Context)->Accept(Socket); },
      this->Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (this->Impl->Listener == nullptr)
    throw NetworkError("cannot listen on " + toString(Local),
                       "free the port or change 'listen' in the settings");
}

PeerListener::~PeerListener() {
  if (this->Impl->Listener != nullptr)
    evconnlistener_free(this->Impl->Listener);
}

} // namespace limpetdrum
