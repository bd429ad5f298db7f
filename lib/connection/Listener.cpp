#include "limpetdrum/connection/Listener.h"

#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <cerrno>
#include <cstring>
#include <event2/listener.h>
#include <optional>

namespace limpetdrum {

namespace {

constexpr int ListenBacklog = 1024;
/// Pause after a failure to accept: short beside the deadlines of clients, and
/// long beside the cost of a failed attempt.
constexpr Milliseconds AcceptPause{100};
constexpr Milliseconds ErrorReportPeriod{1000};

} // namespace

struct Listener::State {
  EventLoop &Loop;
  Endpoint Local;
  AcceptHandler OnAccept;
  ErrorHandler OnError;
  evconnlistener *Socket = nullptr;
  Timer Pause;
  std::optional<TimePoint> ReportedAt;

  State(EventLoop &Loop, Endpoint Local, AcceptHandler OnAccept,
        ErrorHandler OnError)
      : Loop(Loop), Local(Local), OnAccept(std::move(OnAccept)),
        OnError(std::move(OnError)) {}

  static void onAccept(evconnlistener * /*Socket*/, evutil_socket_t Accepted,
                       sockaddr * /*Peer*/, int /*Size*/, void *Context) {
    static_cast<State *>(Context)->OnAccept(Accepted);
  }

  static void onError(evconnlistener * /*Socket*/, void *Context) {
    int Code = errno;
    auto &Self = *static_cast<State *>(Context);
    evconnlistener_disable(Self.Socket);
    Self.Pause = Self.Loop.after(
        AcceptPause, [&Self]() { evconnlistener_enable(Self.Socket); });
    auto Now = Self.Loop.now();
    if (!Self.OnError ||
        (Self.ReportedAt && Now - *Self.ReportedAt < ErrorReportPeriod))
      return;
    Self.ReportedAt = Now;
    Self.OnError("cannot accept connections on " + toString(Self.Local) + ": " +
                 std::strerror(Code));
  }
};

Listener::Listener(EventLoop &Loop, Endpoint Local, AcceptHandler OnAccept,
                   ErrorHandler OnError)
    : Impl(std::make_unique<State>(Loop, Local, std::move(OnAccept),
                                   std::move(OnError))) {
  auto Address = toSocketAddress(Local);
  this->Impl->Socket = evconnlistener_new_bind(
      Loop.base(), &State::onAccept, this->Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (this->Impl->Socket == nullptr)
    throw NetworkError("cannot listen on " + toString(Local),
                       "free the port or change 'listen' in the settings");
  evconnlistener_set_error_cb(this->Impl->Socket, &State::onError);
}

Listener::~Listener() { evconnlistener_free(this->Impl->Socket); }

} // namespace limpetdrum
