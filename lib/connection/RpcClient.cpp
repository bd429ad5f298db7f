#include "limpetdrum/connection/RpcClient.h"

#include "limpetdrum/connection/BuffereventStream.h"
#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unordered_map>

namespace limpetdrum {

namespace {

void disableNagle(evutil_socket_t Socket) {
  int Enable = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
}

kj::Own<BuffereventStream> connectTo(EventLoop &Loop, Endpoint Peer) {
  bufferevent *Event =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto Stream = kj::heap<BuffereventStream>(Event);
  auto Address = toSocketAddress(Peer);
  if (bufferevent_socket_connect(Event, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    Stream->fail("cannot start to connect to the peer");
  else
    disableNagle(bufferevent_getfd(Event));
  return Stream;
}

} // namespace

struct RpcClient::State {
  kj::Own<BuffereventStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
  rpc::Node::Client Node;

  State(EventLoop &Loop, Endpoint Peer)
      : Stream(connectTo(Loop, Peer)),
        Network(*this->Stream, capnp::rpc::twoparty::Side::CLIENT),
        System(capnp::makeRpcClient(this->Network)),
        Node(this->bootstrap().castAs<rpc::Node>()) {}

  capnp::Capability::Client bootstrap() {
    capnp::MallocMessageBuilder Message(4);
    auto Id = Message.getRoot<capnp::rpc::twoparty::VatId>();
    Id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return this->System.bootstrap(Id);
  }
};

RpcClient::RpcClient(EventLoop &Loop, Endpoint Peer)
    : Impl(std::make_unique<State>(Loop, Peer)) {}

RpcClient::~RpcClient() = default;

rpc::Node::Client &RpcClient::node() { return this->Impl->Node; }

bool RpcClient::wasConnected() const noexcept {
  return this->Impl->Stream->wasConnected();
}

bool RpcClient::isClosed() const noexcept {
  return this->Impl->Stream->isClosed();
}

TimePoint RpcClient::lastRead() const noexcept {
  return this->Impl->Stream->lastRead();
}

void RpcClient::fail(const char *Reason) { this->Impl->Stream->fail(Reason); }

namespace {

/// Accepted connection with its own RPC system.
struct AcceptedConnection {
  BuffereventStream Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
  kj::Promise<void> DisconnectWatch = nullptr;

  AcceptedConnection(bufferevent *Event, capnp::Capability::Client Service)
      : Stream(Event),
        Network(this->Stream, capnp::rpc::twoparty::Side::SERVER),
        System(capnp::makeRpcServer(this->Network, kj::mv(Service))) {
    this->Stream.markConnected();
  }
};

} // namespace

struct RpcServer::State : std::enable_shared_from_this<RpcServer::State> {
  EventLoop &Loop;
  rpc::Node::Client Service;
  evconnlistener *Listener = nullptr;
  std::uint64_t LastKey = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<AcceptedConnection>>
      Connections;

  State(EventLoop &Loop, rpc::Node::Client Service)
      : Loop(Loop), Service(kj::mv(Service)) {}

  void onAccept(evutil_socket_t Socket) {
    disableNagle(Socket);
    bufferevent *Event = bufferevent_socket_new(this->Loop.base(), Socket,
                                                BEV_OPT_CLOSE_ON_FREE);
    auto Key = ++this->LastKey;
    auto Connection =
        std::make_unique<AcceptedConnection>(Event, this->Service);
    std::weak_ptr<State> Weak = this->weak_from_this();
    auto Remove = [Weak, Key, &Loop = this->Loop]() {
      Loop.post([Weak, Key]() {
        if (auto Self = Weak.lock())
          Self->Connections.erase(Key);
      });
    };
    Connection->DisconnectWatch =
        Connection->Network.onDisconnect()
            .then([Remove]() { Remove(); },
                  [Remove](kj::Exception &&) { Remove(); })
            .eagerlyEvaluate(nullptr);
    this->Connections.emplace(Key, std::move(Connection));
  }
};

RpcServer::RpcServer(EventLoop &Loop, Endpoint Local, rpc::Node::Client Service)
    : Impl(std::make_shared<State>(Loop, kj::mv(Service))) {
  auto Address = toSocketAddress(Local);
  constexpr int Backlog = 1024;
  this->Impl->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Size*/,
         void *Context) { static_cast<State *>(Context)->onAccept(Socket); },
      this->Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      Backlog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (this->Impl->Listener == nullptr)
    throw NetworkError("cannot listen on " + toString(Local),
                       "free the port or change 'listen.rpc'");
}

RpcServer::~RpcServer() { evconnlistener_free(this->Impl->Listener); }

} // namespace limpetdrum
