#include "Relay.h"

#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <sys/socket.h>

namespace limpetdrum::bench {

namespace {

/// Bytes for a side that does not read, above which the other side waits.
constexpr std::size_t MaxUnreadBytes = 512 * 1024;

} // namespace

/// Two sockets; the bytes read from each are written to the other one.
struct Relay::Pair {
  Relay::State &Owner;
  bufferevent *Front = nullptr;
  bufferevent *Back = nullptr;
  bool Cut = false;
  bool Ended = false;
  struct Chunk {
    Timer Due;
    bufferevent *Destination;
    evbuffer *Bytes;
  };
  std::list<Chunk> Delayed; ///< in the order of reading

  explicit Pair(Relay::State &Owner) : Owner(Owner) {}
  Pair(const Pair &) = delete;
  Pair &operator=(const Pair &) = delete;
  ~Pair() {
    for (auto &Chunk : this->Delayed)
      evbuffer_free(Chunk.Bytes);
    bufferevent_free(this->Front);
    bufferevent_free(this->Back);
  }

  /// Reads from each side unless that is blocked or the other side is behind.
  void updateReading();

  void reset() {
    for (auto *Side : {this->Front, this->Back}) {
      linger Abort{1, 0};
      setsockopt(bufferevent_getfd(Side), SOL_SOCKET, SO_LINGER, &Abort,
                 sizeof(Abort));
    }
  }

  /// Writes \p Last, and all earlier chunks to the same destination.
  void send(const evbuffer *Last);
  static void onRead(bufferevent *From, void *Context);
  static void onWritten(bufferevent *To, void *Context);
  static void onEvent(bufferevent *From, short Events, void *Context);
};

struct Relay::State {
  EventLoop &Loop;
  Endpoint Listen;
  Endpoint Server;
  evconnlistener *Listener = nullptr; ///< null while connections are refused
  std::list<Pair> Pairs;
  Direction Blocked = Direction::None;
  Milliseconds Delay{0};

  void onAccept(evutil_socket_t Socket) {
    this->Pairs.emplace_back(*this);
    auto &P = this->Pairs.back();
    auto *Base = this->Loop.base();
    P.Front = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
    P.Back = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto Address = toSocketAddress(this->Server);
    for (auto *Side : {P.Front, P.Back}) {
      bufferevent_setcb(Side, &Pair::onRead, &Pair::onWritten, &Pair::onEvent,
                        &P);
      bufferevent_enable(Side, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(P.Back, reinterpret_cast<sockaddr *>(&Address),
                               sizeof(Address));
    P.updateReading();
  }

  void removeEnded() {
    this->Pairs.remove_if([](const Pair &P) { return P.Ended && !P.Cut; });
  }
};

void Relay::Pair::updateReading() {
  if (this->Cut || this->Ended)
    return;
  auto Update = [](bufferevent *From, bufferevent *To, bool IsBlocked) {
    if (!IsBlocked &&
        evbuffer_get_length(bufferevent_get_output(To)) < MaxUnreadBytes)
      bufferevent_enable(From, EV_READ);
    else
      bufferevent_disable(From, EV_READ);
  };
  auto Blocked = this->Owner.Blocked;
  Update(this->Front, this->Back,
         Blocked == Direction::Both || Blocked == Direction::ToServer);
  Update(this->Back, this->Front,
         Blocked == Direction::Both || Blocked == Direction::ToClient);
}

void Relay::Pair::onWritten(bufferevent * /*To*/, void *Context) {
  static_cast<Pair *>(Context)->updateReading();
}

void Relay::Pair::onRead(bufferevent *From, void *Context) {
  auto *Self = static_cast<Pair *>(Context);
  auto *Destination = From == Self->Front ? Self->Back : Self->Front;
  if (Self->Owner.Delay == Milliseconds(0) && Self->Delayed.empty()) {
    bufferevent_write_buffer(Destination, bufferevent_get_input(From));
    Self->updateReading();
    return;
  }
  auto *Bytes = evbuffer_new();
  evbuffer_add_buffer(Bytes, bufferevent_get_input(From));
  Self->Delayed.push_back(
      {Self->Owner.Loop.after(std::max(Self->Owner.Delay, Milliseconds(1)),
                              [Self, Bytes]() { Self->send(Bytes); }),
       Destination, Bytes});
}

void Relay::Pair::send(const evbuffer *Last) {
  auto End = std::find_if(this->Delayed.begin(), this->Delayed.end(),
                          [&](const Chunk &C) { return C.Bytes == Last; });
  auto *Destination = End->Destination;
  ++End;
  for (auto Entry = this->Delayed.begin(); Entry != End;) {
    if (Entry->Destination != Destination) {
      ++Entry;
      continue;
    }
    bufferevent_write_buffer(Destination, Entry->Bytes);
    evbuffer_free(Entry->Bytes);
    Entry = this->Delayed.erase(Entry);
  }
  this->updateReading();
}

void Relay::Pair::onEvent(bufferevent *From, short Events, void *Context) {
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  auto *Self = static_cast<Pair *>(Context);
  auto *Destination = From == Self->Front ? Self->Back : Self->Front;
  if ((Events & BEV_EVENT_ERROR) != 0)
    Self->reset();
  // Writes the delayed bytes, as far as the socket accepts them.
  for (auto &Chunk : Self->Delayed)
    if (Chunk.Destination == Destination)
      bufferevent_write_buffer(Destination, Chunk.Bytes);
  bufferevent_flush(Destination, EV_WRITE, BEV_FLUSH);
  Self->Ended = true;
  Self->Owner.Loop.post([Owner = &Self->Owner]() { Owner->removeEnded(); });
}

Relay::Relay(EventLoop &Loop, Endpoint Listen, Endpoint Server)
    : Impl(new State{Loop,
                     Listen,
                     Server,
                     nullptr,
                     {},
                     Direction::None,
                     Milliseconds(0)}) {
  this->listen();
}

void Relay::listen() {
  if (this->Impl->Listener != nullptr)
    return;
  auto Address = toSocketAddress(this->Impl->Listen);
  constexpr int Backlog = 256;
  this->Impl->Listener = evconnlistener_new_bind(
      this->Impl->Loop.base(),
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Size*/,
         void *Context) { static_cast<State *>(Context)->onAccept(Socket); },
      this->Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      Backlog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (this->Impl->Listener == nullptr)
    throw NetworkError("cannot listen on " + toString(this->Impl->Listen),
                       "end the process that uses the port, or choose another "
                       "port");
}

void Relay::stopListening() {
  if (this->Impl->Listener != nullptr)
    evconnlistener_free(std::exchange(this->Impl->Listener, nullptr));
}

Relay::~Relay() { this->stopListening(); }

std::size_t Relay::cutSilently() {
  std::size_t Count = 0;
  for (auto &P : this->Impl->Pairs) {
    if (P.Ended || P.Cut)
      continue;
    P.Cut = true;
    ++Count;
    for (auto *Side : {P.Front, P.Back}) {
      bufferevent_disable(Side, EV_READ | EV_WRITE);
      bufferevent_setcb(Side, nullptr, nullptr, nullptr, nullptr);
    }
  }
  return Count;
}

void Relay::block(Direction Blocked) {
  this->Impl->Blocked = Blocked;
  for (auto &P : this->Impl->Pairs)
    P.updateReading();
}

void Relay::reset() {
  for (auto &P : this->Impl->Pairs) {
    P.reset();
    P.Ended = true;
    P.Cut = false;
  }
  this->Impl->removeEnded();
}

void Relay::delay(Milliseconds Delay) { this->Impl->Delay = Delay; }

} // namespace limpetdrum::bench
