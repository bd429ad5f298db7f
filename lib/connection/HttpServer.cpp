#include "HttpServerConnection.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace limpetdrum {

namespace {

/// Interval between checks for connections that exceed a time limit.
constexpr Milliseconds TimeoutCheckPeriod{250};
/// Time for a client to close the connection after the last response before it
/// is reset.
constexpr Milliseconds LingerTimeout{1000};
/// Bytes received on a connection beyond the headers of its next request while
/// no request is read.
constexpr std::size_t ReadAheadBytes = 64U * 1024U;

} // namespace

HttpExchange::HttpExchange(HttpRequest Request,
                           std::weak_ptr<HttpServerConnection> Connection)
    : Request(std::move(Request)), Connection(std::move(Connection)) {
  const auto &Target = this->Request.Target;
  auto QueryMark = Target.find('?');
  this->Path = Target.substr(0, QueryMark);
  if (QueryMark != std::string::npos)
    this->Query = Target.substr(QueryMark + 1);
}

HttpExchange::~HttpExchange() {
  if (!this->Ended)
    this->reply(500, {}, "no answer was made\n");
}

std::string HttpExchange::header(const std::string &Name) const {
  const auto *Value = findHeader(this->Request.Headers, Name);
  return Value == nullptr ? "" : *Value;
}

void HttpExchange::reply(int Status, const HttpHeaders &Headers,
                         const limpetdrum::Body &Text) {
  if (this->Ended)
    return;
  this->Ended = true;
  this->DisconnectAction = nullptr;
  if (auto Connection = this->Connection.lock())
    Connection->respond(*this, Status, Headers, Text);
}

void HttpExchange::onClientDisconnect(std::function<void()> Action) {
  this->DisconnectAction = std::move(Action);
}

void HttpExchange::notifyDisconnect() {
  if (this->Ended)
    return;
  this->Ended = true;
  auto Action = std::exchange(this->DisconnectAction, nullptr);
  if (Action)
    Action();
}

HttpServerConnection::HttpServerConnection(HttpServer::State &Server,
                                           evutil_socket_t Socket)
    : Server(&Server), LastActive(Server.Loop.now()) {
  int Enable = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  this->Event =
      bufferevent_socket_new(Server.Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(this->Event, &HttpServerConnection::onReadable,
                    &HttpServerConnection::onWritten,
                    &HttpServerConnection::onEvent, this);
  this->beginRequest();
  bufferevent_enable(this->Event, EV_READ | EV_WRITE);
}

HttpServerConnection::~HttpServerConnection() {
  if (this->Event != nullptr)
    bufferevent_free(this->Event);
}

void HttpServerConnection::beginRequest() {
  this->Parser.reset(this->Server->Options.MaxHeaderBytes,
                     this->Server->Options.MaxBodyBytes,
                     this->Server->Options.Memory);
  this->RequestStarted.reset();
  // The parser takes headers only as a whole, so they have to fit.
  bufferevent_setwatermark(this->Event, EV_READ, 0,
                           this->Server->Options.MaxHeaderBytes +
                               ReadAheadBytes);
}

bool HttpServerConnection::canReadRequest() const {
  return !this->Ending &&
         this->Pipeline.size() < this->Server->Options.PipelineDepth &&
         evbuffer_get_length(bufferevent_get_output(this->Event)) <=
             this->Server->Options.MaxUnreadBytes;
}

void HttpServerConnection::readRequests() {
  auto Self = this->shared_from_this();
  auto *Input = bufferevent_get_input(this->Event);
  if (this->Ending) {
    this->discardInput();
    return;
  }
  while (this->Event != nullptr && this->canReadRequest() &&
         evbuffer_get_length(Input) > 0) {
    if (!this->RequestStarted)
      this->RequestStarted = this->Server->Loop.now();
    auto Result = this->Parser.read(Input);
    if (Result == impl::ParseResult::NeedMore) {
      this->askForBody();
      return;
    }
    bool IsUnread = Result == impl::ParseResult::NoMemory;
    if (Result != impl::ParseResult::Done && !IsUnread) {
      this->rejectMalformed(Result);
      return;
    }
    bool KeepAlive = this->Parser.keepAlive() && !this->Server->Draining;
    auto Request = this->Parser.release();
    Request.Started = *this->RequestStarted;
    if (IsUnread)
      Request.Body = {};
    const auto &IsScarce = this->Server->Options.IsMemoryScarce;
    Request.ExceedsMemory = IsUnread || (IsScarce && IsScarce());
    this->beginRequest();
    // After a body that is not read no further request can be found.
    this->handle(std::move(Request), KeepAlive && !IsUnread);
  }
}

void HttpServerConnection::askForBody() {
  // An interim response belongs to the first request without an answer.
  if (this->Pipeline.empty() && this->Parser.takeExpectContinue())
    this->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpServerConnection::handle(HttpRequest Request, bool KeepAlive) {
  auto Exchange = std::make_shared<HttpExchange>(std::move(Request),
                                                 this->weak_from_this());
  this->Pipeline.push_back({Exchange.get(), Exchange, KeepAlive, {}, {}});
  this->LastActive = this->Server->Loop.now();
  ++this->Server->OpenRequests;
  if (!KeepAlive)
    this->Ending = true;
  this->Server->Handler(std::move(Exchange));
}

void HttpServerConnection::discardInput() {
  auto *Input = bufferevent_get_input(this->Event);
  evbuffer_drain(Input, evbuffer_get_length(Input));
  // A client that is still sending a body reads the response afterwards.
  if (this->LingerUntil)
    this->LingerUntil =
        std::min(this->Server->Loop.now() + LingerTimeout, this->LingerLimit);
}

void HttpServerConnection::rejectMalformed(impl::ParseResult Result) {
  int Status = 400;
  if (Result == impl::ParseResult::HeaderTooLarge)
    Status = 431;
  else if (Result == impl::ParseResult::BodyTooLarge)
    Status = 413;
  this->rejectAndEnd(Status);
}

void HttpServerConnection::rejectAndEnd(int Status) {
  if (this->Event != nullptr)
    this->beginRequest(); // frees what was read of it
  this->Ending = true;
  this->Pipeline.push_back(
      {nullptr, {}, false, head(Status, {}, 0, false), {}});
  ++this->Server->OpenRequests;
  this->flush();
}

std::string HttpServerConnection::head(int Status, const HttpHeaders &Headers,
                                       std::size_t BodyBytes, bool IsHead) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     impl::reasonPhrase(Status) + "\r\n";
  bool HasLength = false;
  for (const auto &[Name, Value] : Headers) {
    if (strcasecmp(Name.c_str(), "Content-Length") == 0) {
      if (!IsHead)
        continue;
      HasLength = true;
    }
    Text.append(Name).append(": ").append(Value).append("\r\n");
  }
  if (!HasLength && Status != 204 && Status != 304)
    Text.append("Content-Length: " + std::to_string(BodyBytes) + "\r\n");
  return Text;
}

void HttpServerConnection::endAfterPipeline() {
  // Requests after the last response count as unread: clients that pipeline
  // resend them on another connection. An idle connection may carry one more.
  if (this->Pipeline.empty())
    return;
  this->Pipeline.back().KeepAlive = false;
  this->Ending = true;
}

void HttpServerConnection::respond(const HttpExchange &Exchange, int Status,
                                   const HttpHeaders &Headers,
                                   const Body &Content) {
  for (auto &Entry : this->Pipeline) {
    if (Entry.Identity != &Exchange)
      continue;
    bool IsHead = Exchange.method() == "HEAD";
    Entry.Head = head(Status, Headers, Content.size(), IsHead);
    if (!IsHead && Status != 204 && Status != 304)
      Entry.Body = Content;
    this->flush();
    return;
  }
}

void HttpServerConnection::flush() {
  auto Self = this->shared_from_this();
  while (!this->Pipeline.empty() && this->Pipeline.front().Head) {
    this->write(*this->Pipeline.front().Head);
    // A drain may begin while an answer waits for those before it.
    this->write(this->Pipeline.front().KeepAlive ? "\r\n"
                                                 : "Connection: close\r\n\r\n");
    this->writeBody(this->Pipeline.front().Body);
    this->Pipeline.pop_front();
    --this->Server->OpenRequests;
    this->LastActive = this->Server->Loop.now();
  }
  if (this->Event == nullptr)
    return;
  if (this->Ending) {
    this->finishWriting();
    return;
  }
  this->askForBody();
  if (evbuffer_get_length(bufferevent_get_input(this->Event)) > 0)
    this->postRead();
}

void HttpServerConnection::postRead() {
  if (std::exchange(this->ReadPosted, true))
    return;
  this->Server->Loop.post([Weak = this->weak_from_this()]() {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->ReadPosted = false;
    if (Self->Event != nullptr)
      Self->readRequests();
  });
}

void HttpServerConnection::write(const std::string &Bytes) {
  if (this->Event == nullptr)
    return;
  bufferevent_write(this->Event, Bytes.data(), Bytes.size());
}

void HttpServerConnection::writeBody(const Body &Value) {
  if (this->Event != nullptr && !Value.empty())
    impl::addBody(bufferevent_get_output(this->Event), Value);
}

void HttpServerConnection::finishWriting() {
  if (!this->Pipeline.empty() || this->LingerUntil ||
      evbuffer_get_length(bufferevent_get_output(this->Event)) > 0)
    return;
  // Closing a socket with unread input resets the connection, which can destroy
  // the response in transit. Input that has been received holds up the rest.
  this->discardInput();
  shutdown(bufferevent_getfd(this->Event), SHUT_WR);
  this->LingerUntil = this->Server->Loop.now() + LingerTimeout;
  this->LingerLimit =
      this->Server->Loop.now() + this->Server->Options.RequestTimeout;
}

std::size_t HttpServerConnection::unsentBytes() const noexcept {
  return this->Event == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(this->Event));
}

void HttpServerConnection::close() {
  if (this->Event == nullptr)
    return;
  bufferevent_free(std::exchange(this->Event, nullptr));
  for (auto &Entry : std::exchange(this->Pipeline, {})) {
    --this->Server->OpenRequests;
    if (auto Exchange = Entry.Exchange.lock())
      Exchange->notifyDisconnect();
  }
  this->Server->Loop.post([Weak = std::weak_ptr<HttpServer::State>(
                               this->Server->shared_from_this()),
                           Self = this->shared_from_this()]() {
    if (auto Server = Weak.lock())
      Server->Connections.erase(Self);
  });
}

void HttpServerConnection::checkTimeouts(TimePoint Now) {
  const auto &Options = this->Server->Options;
  if (this->LingerUntil) {
    if (Now >= *this->LingerUntil)
      this->close();
    return;
  }
  auto Unsent = evbuffer_get_length(bufferevent_get_output(this->Event));
  bool HasProgress = Unsent < std::exchange(this->LastUnsent, Unsent);
  if (Unsent > 0) {
    if (HasProgress)
      this->LastActive = Now;
    if (Now - this->LastActive > Options.StallTimeout)
      this->close();
    return;
  }
  if (this->RequestStarted && this->Pipeline.empty() &&
      Now - *this->RequestStarted > Options.RequestTimeout) {
    this->rejectAndEnd(408);
    return;
  }
  if (this->Pipeline.empty() && !this->RequestStarted &&
      (Now - this->LastActive > Options.IdleTimeout))
    this->close();
}

void HttpServerConnection::onReadable(bufferevent * /*Event*/, void *Context) {
  static_cast<HttpServerConnection *>(Context)->readRequests();
}

void HttpServerConnection::onWritten(bufferevent * /*Event*/, void *Context) {
  auto *Self = static_cast<HttpServerConnection *>(Context);
  Self->LastActive = Self->Server->Loop.now();
  if (Self->Ending)
    Self->finishWriting();
  else
    Self->readRequests();
}

void HttpServerConnection::onEvent(bufferevent * /*Event*/, short Events,
                                   void *Context) {
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    static_cast<HttpServerConnection *>(Context)->close();
}

HttpServer::HttpServer(EventLoop &Loop, Endpoint Local, HttpHandler Handler,
                       const HttpServerOptions &Options)
    : Impl(std::make_shared<State>(Loop, std::move(Handler), Options)) {
  this->Impl->Listener = std::make_unique<Listener>(
      Loop, Local,
      [State = this->Impl.get()](int Socket) {
        State->Connections.insert(
            std::make_shared<HttpServerConnection>(*State, Socket));
      },
      [State = this->Impl.get()](const std::string &Problem) {
        if (State->Options.OnAcceptError)
          State->Options.OnAcceptError(Problem);
      });
  this->Impl->TimeoutCheck =
      Loop.every(TimeoutCheckPeriod, [State = this->Impl.get()]() {
        auto Now = State->Loop.now();
        auto Connections = State->Connections;
        for (const auto &Connection : Connections)
          if (Connection->isUsable())
            Connection->checkTimeouts(Now);
      });
}

HttpServer::~HttpServer() {
  this->Impl->TimeoutCheck.cancel();
  this->stopListening();
  auto Connections = std::exchange(this->Impl->Connections, {});
  for (const auto &Connection : Connections)
    Connection->close();
}

void HttpServer::setOptions(const HttpServerOptions &Options) {
  this->Impl->Options = Options;
}

void HttpServer::stopListening() { this->Impl->Listener.reset(); }

void HttpServer::drain() {
  this->Impl->Draining = true;
  for (const auto &Connection : this->Impl->Connections)
    if (Connection->isUsable())
      Connection->endAfterPipeline();
}

std::size_t HttpServer::openRequests() const noexcept {
  return this->Impl->OpenRequests;
}

std::size_t HttpServer::unsentBytes() const noexcept {
  std::size_t Bytes = 0;
  for (const auto &Connection : this->Impl->Connections)
    Bytes += Connection->unsentBytes();
  return Bytes;
}

} // namespace limpetdrum
