#include "HttpParser.h"

#include "limpetdrum/connection/SocketAddress.h"

#include <algorithm>
#include <array>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <unordered_map>

namespace limpetdrum {

namespace {

/// Periods and number of the kernel's probes of a silent connection: it ends
/// about 2 s after the last byte that the server acknowledged.
constexpr int ProbeIdleSeconds = 1;
constexpr int ProbePeriodSeconds = 1;
constexpr int ProbeCount = 1;
/// Interim responses, and responses to other requests, that are skipped before
/// the response to a request. A server that sends more is not answering.
constexpr unsigned MaxSkippedResponses = 16;
/// From this status on, a response may be followed by the same request.
constexpr int MinFailureStatus = 400;
/// Failed requests that a connection remembers. A request is sent again within
/// its time left, while one connection carries few others.
constexpr std::size_t MaxFailedRequests = 64;
/// The address of an ended process refuses connections at once.
constexpr Milliseconds EndCheckTimeout{200};

void setSocketOptions(evutil_socket_t Socket,
                      const HttpClientOptions &Options) {
  auto Set = [Socket](int Level, int Name, int Value) {
    setsockopt(Socket, Level, Name, &Value, sizeof(Value));
  };
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
  if (!Options.ProbesSilentConnections)
    return;
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, ProbePeriodSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

bool hasHeader(const HttpHeaders &Headers, const char *Name) {
  return findHeader(Headers, Name) != nullptr;
}

/// Returns the `timeout` of the Keep-Alive header, which is in seconds.
std::optional<Milliseconds> keepAliveTimeout(const HttpHeaders &Headers) {
  const auto *Value = findHeader(Headers, "Keep-Alive");
  if (Value == nullptr)
    return std::nullopt;
  const std::string Key = "timeout=";
  auto Position = Value->find(Key);
  if (Position == std::string::npos)
    return std::nullopt;
  return std::chrono::seconds(
      std::strtoul(Value->c_str() + Position + Key.size(), nullptr, 10));
}

/// Returns why a response that was read this way is unusable.
HttpDefect defectOf(impl::ParseResult Result) {
  switch (Result) {
  case impl::ParseResult::HeaderTooLarge:
  case impl::ParseResult::BodyTooLarge:
    return HttpDefect::TooLong;
  case impl::ParseResult::NoMemory:
    return HttpDefect::NoMemory;
  default:
    return HttpDefect::Malformed;
  }
}

/// Returns the request line and the headers of a request.
std::string serializeHead(const HttpCall &Call, Endpoint Server) {
  std::string Text = Call.Method + " " + Call.Path + " HTTP/1.1\r\n";
  if (!hasHeader(Call.Headers, "Host"))
    Text.append("Host: " + toString(Server) + "\r\n");
  for (const auto &[Name, Value] : Call.Headers)
    if (strcasecmp(Name.c_str(), "Content-Length") != 0)
      Text.append(Name).append(": ").append(Value).append("\r\n");
  bool MayHaveBody =
      Call.Method != "GET" && Call.Method != "HEAD" && Call.Method != "DELETE";
  if (!Call.Body.empty() || MayHaveBody)
    Text.append("Content-Length: " + std::to_string(Call.Body.size()) + "\r\n");
  return Text.append("\r\n");
}

} // namespace

std::string HttpResponse::header(const std::string &Name) const {
  const auto *Value = findHeader(this->Headers, Name);
  return Value == nullptr ? "" : *Value;
}

const char *toString(HttpDefect Value) noexcept {
  static constexpr std::array<const char *, 6> Names = {
      "none", "ended", "malformed", "too-long", "no-memory", "unrelated"};
  return Names.at(static_cast<std::size_t>(Value));
}

/// Connection that carries one request at a time.
struct ClientConnection : std::enable_shared_from_this<ClientConnection> {
  HttpClient::State &Owner;
  bufferevent *Event = nullptr;
  bool Opening = false; ///< within open()
  bool Connected = false;
  bool HasEnded = false; ///< closed or reset by the server
  /// True once a response to another request was received on it.
  bool ReceivedForeignResponse = false;
  /// Latest requests that were refused or failed on it. A server may write such
  /// a response once more, so they are not sent on it again.
  std::deque<std::string> FailedRequests;
  std::uint64_t CallId = 0;      ///< 0 while idle
  unsigned SkippedResponses = 0; ///< since the request was sent
  std::optional<impl::ResponseParser> Parser;
  TimePoint IdleUntil{};

  explicit ClientConnection(HttpClient::State &Owner) : Owner(Owner) {}
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;
  ~ClientConnection() {
    if (this->Event != nullptr)
      bufferevent_free(this->Event);
  }

  [[nodiscard]] bool hasFailed(const std::string &Echo) const {
    return !Echo.empty() &&
           std::find(this->FailedRequests.begin(), this->FailedRequests.end(),
                     Echo) != this->FailedRequests.end();
  }
  void addFailed(std::string Echo) {
    this->FailedRequests.push_back(std::move(Echo));
    if (this->FailedRequests.size() > MaxFailedRequests)
      this->FailedRequests.pop_front();
  }
  void open();
  /// Prepares to read a response.
  void expectResponse(bool IsHead);
  void onConnected();
  void onReadable();
  /// Reads what arrived before a reset that a write has met.
  void readBeforeReset();
  void onEnd(bool Orderly);
  /// Handles that the response was given up in favour of another.
  void onGivenUp();
};

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct PendingCall {
    std::shared_ptr<ClientConnection> Connection;
    Callback Done;
    Timer Timeout;
    std::string Echo;
    bool IsHead = false;
    bool Reused = false;
    bool IsConnectOnly = false; ///< ends as soon as it is connected
  };

  EventLoop &Loop;
  Endpoint Server;
  HttpClientOptions Options;
  std::uint64_t LastCallId = 0;
  std::uint64_t OpenedConnections = 0;
  std::vector<std::shared_ptr<ClientConnection>> Idle;
  std::unordered_map<std::uint64_t, PendingCall> Calls;

  State(EventLoop &Loop, Endpoint Server, HttpClientOptions Options)
      : Loop(Loop), Server(Server), Options(std::move(Options)) {}

  /// \param Echo id of the request to send; empty if it has none.
  std::shared_ptr<ClientConnection> takeIdle(const std::string &Echo) {
    auto Now = this->Loop.now();
    for (auto Index = this->Idle.size(); Index-- > 0;) {
      auto Position = this->Idle.begin() + static_cast<std::ptrdiff_t>(Index);
      if (Now < (*Position)->IdleUntil && (*Position)->hasFailed(Echo))
        continue;
      auto Last = std::move(*Position);
      this->Idle.erase(Position);
      if (Now < Last->IdleUntil)
        return Last;
      this->destroyLater(std::move(Last));
    }
    return nullptr;
  }

  /// Closes a connection now and destroys it from the loop, because one of its
  /// callbacks may be running.
  void destroyLater(std::shared_ptr<ClientConnection> Old) {
    if (Old->Event != nullptr) {
      bufferevent_disable(Old->Event, EV_READ | EV_WRITE);
      bufferevent_setcb(Old->Event, nullptr, nullptr, nullptr, nullptr);
      bufferevent_free(std::exchange(Old->Event, nullptr));
    }
    this->Loop.post([Old = std::move(Old)]() {});
  }

  void finish(std::uint64_t CallId, HttpResponse Response, bool Reusable) {
    auto Found = this->Calls.find(CallId);
    if (Found == this->Calls.end())
      return;
    auto Call = std::move(Found->second);
    this->Calls.erase(Found);
    Response.ReusedConnection = Call.Reused;
    auto Connection = std::move(Call.Connection);
    Connection->CallId = 0;
    Connection->Parser.reset();
    if (Reusable) {
      if (Response.Status >= MinFailureStatus && !Call.Echo.empty())
        Connection->addFailed(std::move(Call.Echo));
      auto Limit = keepAliveTimeout(Response.Headers)
                       .value_or(this->Options.DefaultIdleLimit);
      Connection->IdleUntil =
          this->Loop.now() + Limit - this->Options.IdleMargin;
      this->Idle.push_back(std::move(Connection));
    } else {
      this->destroyLater(std::move(Connection));
    }
    Call.Done(std::move(Response));
  }

  /// Ends a call whose response is unusable.
  void fail(std::uint64_t CallId, HttpDefect Defect) {
    HttpResponse Response;
    Response.Defect = Defect;
    this->finish(CallId, std::move(Response), false);
  }

  void removeIdle(ClientConnection *Connection) {
    auto Position =
        std::find_if(this->Idle.begin(), this->Idle.end(),
                     [&](const auto &C) { return C.get() == Connection; });
    if (Position == this->Idle.end())
      return;
    auto Old = std::move(*Position);
    this->Idle.erase(Position);
    this->destroyLater(std::move(Old));
  }
};

void ClientConnection::open() {
  this->Event = bufferevent_socket_new(this->Owner.Loop.base(), -1,
                                       BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      this->Event,
      [](bufferevent * /*Event*/, void *Context) {
        static_cast<ClientConnection *>(Context)->onReadable();
      },
      nullptr,
      [](bufferevent * /*Event*/, short Events, void *Context) {
        auto *Self = static_cast<ClientConnection *>(Context);
        if ((Events & BEV_EVENT_CONNECTED) != 0)
          Self->onConnected();
        else if (!Self->Opening &&
                 (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          Self->onEnd((Events & BEV_EVENT_EOF) != 0);
      },
      this);
  // The parser takes headers only as a whole, so they have to fit.
  bufferevent_setwatermark(this->Event, EV_READ, 0, 2 * MaxHeaderBytes);
  bufferevent_enable(this->Event, EV_READ | EV_WRITE);
  auto Address = toSocketAddress(this->Owner.Server);
  ++this->Owner.OpenedConnections;
  this->Opening = true;
  int Result = bufferevent_socket_connect(
      this->Event, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  this->Opening = false;
  if (Result == 0) {
    setSocketOptions(bufferevent_getfd(this->Event), this->Owner.Options);
    return;
  }
  // No port is free or there is no route. The caller has no id of the call yet.
  this->Owner.Loop.post([Weak = this->weak_from_this()]() {
    if (auto Self = Weak.lock(); Self && Self->Event != nullptr)
      Self->onEnd(false);
  });
}

void ClientConnection::onConnected() {
  this->Connected = true;
  auto Found = this->Owner.Calls.find(this->CallId);
  if (Found == this->Owner.Calls.end() || !Found->second.IsConnectOnly)
    return;
  HttpResponse Response;
  Response.Outcome = HttpOutcome::Answered;
  this->Owner.finish(this->CallId, std::move(Response), true);
}

void ClientConnection::expectResponse(bool IsHead) {
  // Given up within the callback of another connection, or of this one.
  auto OnGivenUp = [this]() {
    this->Owner.Loop.post([Weak = this->weak_from_this()]() {
      if (auto Self = Weak.lock(); Self && Self->Event != nullptr)
        Self->onGivenUp();
    });
  };
  this->Parser.emplace(IsHead, this->Owner.Options.MaxBodyBytes,
                       this->Owner.Options.Memory, OnGivenUp);
}

void ClientConnection::onGivenUp() {
  auto Found = this->Owner.Calls.find(this->CallId);
  if (Found != this->Owner.Calls.end())
    this->Owner.fail(this->CallId, HttpDefect::NoMemory);
}

void ClientConnection::onReadable() {
  if (this->CallId == 0) {
    // Bytes without a request: later responses could be mismatched, so the
    // connection is not reused.
    this->Owner.removeIdle(this);
    return;
  }
  auto &Calls = this->Owner.Calls;
  auto *Input = bufferevent_get_input(this->Event);
  while (this->CallId != 0) {
    auto Result = this->Parser->read(Input);
    if (Result == impl::ParseResult::NeedMore)
      return;
    if (Result != impl::ParseResult::Done) {
      this->Owner.fail(this->CallId, defectOf(Result));
      return;
    }
    auto &Call = Calls.at(this->CallId);
    HttpResponse Response;
    bool KeepAlive = this->Parser->keepAlive();
    if (!this->Parser->release(Response)) {
      this->Owner.fail(this->CallId, HttpDefect::NoMemory);
      return;
    }
    bool Ignored = Response.Status < 200;
    if (!Ignored && !this->Owner.Options.EchoHeader.empty() &&
        !Call.Echo.empty())
      Ignored = Response.header(this->Owner.Options.EchoHeader) != Call.Echo;
    if (Ignored) {
      if (++this->SkippedResponses > MaxSkippedResponses) {
        this->Owner.fail(this->CallId, HttpDefect::Unrelated);
        return;
      }
      this->expectResponse(Call.IsHead);
      if (Response.Status >= 200)
        this->ReceivedForeignResponse = true;
      continue;
    }
    Response.Outcome = HttpOutcome::Answered;
    auto *Output = bufferevent_get_output(this->Event);
    bool Reusable =
        KeepAlive && !this->HasEnded && !this->ReceivedForeignResponse &&
        evbuffer_get_length(Input) == 0 && evbuffer_get_length(Output) == 0;
    this->Owner.finish(this->CallId, std::move(Response), Reusable);
    return;
  }
}

void ClientConnection::readBeforeReset() {
  auto *Input = bufferevent_get_input(this->Event);
  evbuffer_unfreeze(Input, 0); // a bufferevent's input is frozen for others
  while (this->CallId != 0 &&
         evbuffer_read(Input, bufferevent_getfd(this->Event), -1) > 0)
    this->onReadable();
}

void ClientConnection::onEnd(bool Orderly) {
  if (this->CallId == 0) {
    this->Owner.removeIdle(this);
    return;
  }
  this->HasEnded = true;
  if (!Orderly && this->Connected)
    this->readBeforeReset();
  if (this->CallId == 0)
    return;
  HttpResponse Response;
  // Without a socket, nothing has been learned of the server.
  bool HasSocket = bufferevent_getfd(this->Event) >= 0;
  bool IsConnectOnly = this->Owner.Calls.at(this->CallId).IsConnectOnly;
  if (!this->Connected && (HasSocket || !IsConnectOnly))
    Response.Outcome = HttpOutcome::NotConnected;
  else if (Orderly && this->Owner.Options.AcceptCloseDelimited &&
           this->Parser->isCloseDelimited() && this->Parser->finishAtClose() &&
           this->Parser->release(Response)) {
    const auto &Call = this->Owner.Calls.at(this->CallId);
    const auto &Echo = this->Owner.Options.EchoHeader;
    if (Echo.empty() || Call.Echo.empty() || Response.header(Echo) == Call.Echo)
      Response.Outcome = HttpOutcome::Answered;
  }
  if (Response.Outcome == HttpOutcome::Broken)
    Response.Defect = HttpDefect::Ended;
  this->Owner.finish(this->CallId, std::move(Response), false);
}

HttpClient::HttpClient(EventLoop &Loop, Endpoint Server,
                       HttpClientOptions Options)
    : Impl(std::make_shared<State>(Loop, Server, std::move(Options))) {}

HttpClient::~HttpClient() {
  for (auto &Entry : std::exchange(this->Impl->Calls, {}))
    this->Impl->destroyLater(std::move(Entry.second.Connection));
  for (auto &Connection : std::exchange(this->Impl->Idle, {}))
    this->Impl->destroyLater(std::move(Connection));
}

std::uint64_t HttpClient::start(std::shared_ptr<ClientConnection> Connection,
                                bool Reused, const HttpCall &Call,
                                Callback Done, bool IsConnectOnly) {
  auto &Self = *this->Impl;
  auto CallId = ++Self.LastCallId;
  Connection->CallId = CallId;
  Connection->SkippedResponses = 0;
  Connection->expectResponse(Call.Method == "HEAD");
  auto &Pending = Self.Calls[CallId];
  Pending.Connection = Connection;
  Pending.Done = std::move(Done);
  Pending.Echo = Call.ExpectedEcho;
  Pending.IsHead = Call.Method == "HEAD";
  Pending.Reused = Reused;
  Pending.IsConnectOnly = IsConnectOnly;
  Pending.Timeout = Self.Loop.after(Call.Timeout, [&Self, CallId]() {
    HttpResponse Response;
    Response.Outcome = HttpOutcome::TimedOut;
    Self.finish(CallId, std::move(Response), false);
  });
  if (!Reused)
    Connection->open();
  return CallId;
}

std::uint64_t HttpClient::send(const HttpCall &Call, Callback Done) {
  auto &Self = *this->Impl;
  auto Connection = Self.takeIdle(Call.ExpectedEcho);
  bool Reused = Connection != nullptr;
  if (!Connection)
    Connection = std::make_shared<ClientConnection>(Self);
  auto CallId = this->start(Connection, Reused, Call, std::move(Done), false);
  if (Connection->Event != nullptr) {
    auto Head = serializeHead(Call, Self.Server);
    bufferevent_write(Connection->Event, Head.data(), Head.size());
    if (!Call.Body.empty())
      impl::addBody(bufferevent_get_output(Connection->Event), Call.Body);
  }
  return CallId;
}

void HttpClient::checkEnded(std::function<void(bool HasEnded)> Done) {
  HttpCall Call;
  Call.Timeout = EndCheckTimeout;
  (void)this->start(
      std::make_shared<ClientConnection>(*this->Impl), false, Call,
      [Done = std::move(Done)](const HttpResponse &Response) {
        Done(Response.Outcome == HttpOutcome::NotConnected);
      },
      true);
}

void HttpClient::cancel(std::uint64_t CallId) {
  auto Found = this->Impl->Calls.find(CallId);
  if (Found == this->Impl->Calls.end())
    return;
  auto Call = std::move(Found->second);
  this->Impl->Calls.erase(Found);
  this->Impl->destroyLater(std::move(Call.Connection));
}

std::size_t HttpClient::inFlight() const noexcept {
  return this->Impl->Calls.size();
}

std::uint64_t HttpClient::connectionsOpened() const noexcept {
  return this->Impl->OpenedConnections;
}

} // namespace limpetdrum
