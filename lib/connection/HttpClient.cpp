#include "HttpParser.h"

#include "limpetdrum/connection/SocketAddress.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <unordered_map>

namespace limpetdrum {

namespace {

bool hasHeader(const HttpHeaders &Headers, const char *Name) {
  return findHeader(Headers, Name) != nullptr;
}

/// Reads `timeout=N` of a Keep-Alive header, in seconds.
std::optional<Milliseconds> keepAliveTimeout(const HttpHeaders &Headers) {
  const auto *Value = findHeader(Headers, "Keep-Alive");
  if (Value == nullptr)
    return std::nullopt;
  const std::string Key = "timeout=";
  auto At = Value->find(Key);
  if (At == std::string::npos)
    return std::nullopt;
  return std::chrono::seconds(
      std::strtoul(Value->c_str() + At + Key.size(), nullptr, 10));
}

std::string serialize(const HttpCall &Call, Endpoint Server) {
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
  Text.append("\r\n").append(Call.Body);
  return Text;
}

} // namespace

std::string HttpResponse::header(const std::string &Name) const {
  const auto *Value = findHeader(this->Headers, Name);
  return Value == nullptr ? "" : *Value;
}

/// One connection; it carries one request at a time.
struct ClientConnection {
  HttpClient::State &Owner;
  bufferevent *Event = nullptr;
  bool Connected = false;
  bool Spoiled = false;     ///< it carried a response to no request of its own
  std::uint64_t Ticket = 0; ///< 0 while idle
  std::optional<impl::ResponseParser> Parser;
  TimePoint IdleUntil{};

  explicit ClientConnection(HttpClient::State &Owner) : Owner(Owner) {}
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;
  ~ClientConnection() {
    if (this->Event != nullptr)
      bufferevent_free(this->Event);
  }

  void open();
  void onReadable();
  void onEnd(bool InOrder);
};

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct Pending {
    std::shared_ptr<ClientConnection> Connection;
    Callback Done;
    Timer Deadline;
    std::string Echo;
    bool ToHead = false;
    bool Reused = false;
  };

  EventLoop &Loop;
  Endpoint Server;
  HttpClientOptions Options;
  std::uint64_t LastTicket = 0;
  std::uint64_t Opened = 0;
  std::vector<std::shared_ptr<ClientConnection>> Idle;
  std::unordered_map<std::uint64_t, Pending> Calls;

  State(EventLoop &Loop, Endpoint Server, HttpClientOptions Options)
      : Loop(Loop), Server(Server), Options(std::move(Options)) {}

  std::shared_ptr<ClientConnection> takeIdle() {
    auto Now = this->Loop.now();
    while (!this->Idle.empty()) {
      auto Last = std::move(this->Idle.back());
      this->Idle.pop_back();
      if (Now < Last->IdleUntil)
        return Last;
      this->retire(std::move(Last));
    }
    return nullptr;
  }

  /// Frees a connection later: it may be in a callback now.
  void retire(std::shared_ptr<ClientConnection> Old) {
    if (Old->Event != nullptr) {
      bufferevent_disable(Old->Event, EV_READ | EV_WRITE);
      bufferevent_setcb(Old->Event, nullptr, nullptr, nullptr, nullptr);
      bufferevent_free(std::exchange(Old->Event, nullptr));
    }
    this->Loop.post([Old = std::move(Old)]() {});
  }

  void finish(std::uint64_t Ticket, HttpResponse Answer, bool Reusable) {
    auto Found = this->Calls.find(Ticket);
    if (Found == this->Calls.end())
      return;
    auto Call = std::move(Found->second);
    this->Calls.erase(Found);
    Answer.ReusedConnection = Call.Reused;
    auto Connection = std::move(Call.Connection);
    Connection->Ticket = 0;
    Connection->Parser.reset();
    if (Reusable) {
      auto Limit = keepAliveTimeout(Answer.Headers)
                       .value_or(this->Options.DefaultIdleLimit);
      Connection->IdleUntil =
          this->Loop.now() + Limit - this->Options.IdleMargin;
      this->Idle.push_back(std::move(Connection));
    } else {
      this->retire(std::move(Connection));
    }
    Call.Done(std::move(Answer));
  }

  void dropIdle(ClientConnection *Which) {
    auto At = std::find_if(this->Idle.begin(), this->Idle.end(),
                           [&](const auto &C) { return C.get() == Which; });
    if (At == this->Idle.end())
      return;
    auto Old = std::move(*At);
    this->Idle.erase(At);
    this->retire(std::move(Old));
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
      [](bufferevent * /*Event*/, short What, void *Context) {
        auto *Self = static_cast<ClientConnection *>(Context);
        if ((What & BEV_EVENT_CONNECTED) != 0)
          Self->Connected = true;
        else if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          Self->onEnd((What & BEV_EVENT_EOF) != 0);
      },
      this);
  bufferevent_enable(this->Event, EV_READ | EV_WRITE);
  auto Address = toSocketAddress(this->Owner.Server);
  ++this->Owner.Opened;
  bufferevent_socket_connect(
      this->Event, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  int On = 1;
  if (this->Event != nullptr)
    setsockopt(bufferevent_getfd(this->Event), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof(On));
}

void ClientConnection::onReadable() {
  if (this->Ticket == 0) {
    // Bytes that answer no request: the connection is of no further use.
    this->Owner.dropIdle(this);
    return;
  }
  auto &Calls = this->Owner.Calls;
  auto *Input = bufferevent_get_input(this->Event);
  while (this->Ticket != 0) {
    auto Result = this->Parser->read(Input);
    if (Result == impl::ParseResult::NeedMore)
      return;
    if (Result != impl::ParseResult::Done) {
      this->Owner.finish(this->Ticket, {}, false);
      return;
    }
    auto &Call = Calls.at(this->Ticket);
    HttpResponse Answer;
    bool KeepAlive = this->Parser->keepAlive();
    this->Parser->release(Answer);
    bool IsOther = Answer.Status < 200;
    if (!IsOther && !this->Owner.Options.EchoHeader.empty() &&
        !Call.Echo.empty())
      IsOther = Answer.header(this->Owner.Options.EchoHeader) != Call.Echo;
    if (IsOther) {
      this->Parser.emplace(Call.ToHead, this->Owner.Options.MaxBodyBytes);
      if (Answer.Status >= 200)
        this->Spoiled = true;
      continue;
    }
    Answer.Outcome = HttpOutcome::Answered;
    auto *Output = bufferevent_get_output(this->Event);
    bool Reusable = KeepAlive && !this->Spoiled &&
                    evbuffer_get_length(Input) == 0 &&
                    evbuffer_get_length(Output) == 0;
    this->Owner.finish(this->Ticket, std::move(Answer), Reusable);
    return;
  }
}

void ClientConnection::onEnd(bool InOrder) {
  if (this->Ticket == 0) {
    this->Owner.dropIdle(this);
    return;
  }
  HttpResponse Answer;
  if (!this->Connected)
    Answer.Outcome = HttpOutcome::NotConnected;
  else if (InOrder && this->Owner.Options.AcceptCloseDelimited &&
           this->Parser->endsWithConnection() &&
           this->Parser->finishAtClose()) {
    this->Parser->release(Answer);
    const auto &Call = this->Owner.Calls.at(this->Ticket);
    const auto &Echo = this->Owner.Options.EchoHeader;
    if (Echo.empty() || Call.Echo.empty() || Answer.header(Echo) == Call.Echo)
      Answer.Outcome = HttpOutcome::Answered;
  }
  this->Owner.finish(this->Ticket, std::move(Answer), false);
}

HttpClient::HttpClient(EventLoop &Loop, Endpoint Server,
                       HttpClientOptions Options)
    : Impl(std::make_shared<State>(Loop, Server, std::move(Options))) {}

HttpClient::~HttpClient() {
  for (auto &Entry : std::exchange(this->Impl->Calls, {}))
    this->Impl->retire(std::move(Entry.second.Connection));
  for (auto &Connection : std::exchange(this->Impl->Idle, {}))
    this->Impl->retire(std::move(Connection));
}

std::uint64_t HttpClient::send(const HttpCall &Call, Callback Done) {
  auto &Self = *this->Impl;
  auto Ticket = ++Self.LastTicket;
  auto Connection = Self.takeIdle();
  bool Reused = Connection != nullptr;
  if (!Connection)
    Connection = std::make_shared<ClientConnection>(Self);
  Connection->Ticket = Ticket;
  Connection->Parser.emplace(Call.Method == "HEAD", Self.Options.MaxBodyBytes);
  auto &Pending = Self.Calls[Ticket];
  Pending.Connection = Connection;
  Pending.Done = std::move(Done);
  Pending.Echo = Call.ExpectedEcho;
  Pending.ToHead = Call.Method == "HEAD";
  Pending.Reused = Reused;
  Pending.Deadline = Self.Loop.after(Call.Timeout, [&Self, Ticket]() {
    HttpResponse Answer;
    Answer.Outcome = HttpOutcome::TimedOut;
    Self.finish(Ticket, std::move(Answer), false);
  });
  if (!Reused)
    Connection->open();
  if (Connection->Event != nullptr) {
    auto Text = serialize(Call, Self.Server);
    bufferevent_write(Connection->Event, Text.data(), Text.size());
  }
  return Ticket;
}

void HttpClient::cancel(std::uint64_t Ticket) {
  auto Found = this->Impl->Calls.find(Ticket);
  if (Found == this->Impl->Calls.end())
    return;
  auto Call = std::move(Found->second);
  this->Impl->Calls.erase(Found);
  this->Impl->retire(std::move(Call.Connection));
}

std::size_t HttpClient::inFlight() const noexcept {
  return this->Impl->Calls.size();
}

std::uint64_t HttpClient::connectionsOpened() const noexcept {
  return this->Impl->Opened;
}

} // namespace limpetdrum
