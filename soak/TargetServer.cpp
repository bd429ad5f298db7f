#include "TargetServer.h"

#include "HttpParser.h"

#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace limpetdrum::soak {

namespace {

constexpr int ListenBacklog = 1024;
constexpr unsigned MaxCopyDelayMillis = 100;
constexpr unsigned MaxAnswerDelayMillis = 1500;
constexpr unsigned MaxPauseMillis = 300;
/// Period and bytes of the writes of an answer that does not end, and the
/// bytes above which it waits for the reader.
constexpr Milliseconds EndlessPeriod{2};
constexpr std::size_t EndlessBytes = 64 * 1024;
constexpr std::size_t SlowEndlessBytes = 8;
constexpr std::size_t MaxUnreadBytes = 128 * 1024;
const std::string Noise = "no answer\r\n\r\n";

std::string serializeHead(int Status, const HttpHeaders &Headers) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     impl::reasonPhrase(Status) + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text;
}

std::string serialize(int Status, const HttpHeaders &Headers,
                      const std::string &Body, bool HasLength) {
  auto Text = serializeHead(Status, Headers);
  if (HasLength)
    Text.append("Content-Length: " + std::to_string(Body.size()) + "\r\n");
  else
    Text.append("Connection: close\r\n");
  return Text.append("\r\n").append(Body);
}

} // namespace

/// \brief Connection of a node to a target.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  TargetConnection(TargetServer &Server, evutil_socket_t Socket)
      : Server(Server) {
    int Enable = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
    this->Event = bufferevent_socket_new(Server.Loop.base(), Socket,
                                         BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        this->Event,
        [](bufferevent * /*Event*/, void *Context) {
          static_cast<TargetConnection *>(Context)->read();
        },
        nullptr,
        [](bufferevent * /*Event*/, short Flags, void *Context) {
          if ((Flags & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<TargetConnection *>(Context)->end();
        },
        this);
    this->Parser.reset(MaxHeaderBytes, MaxBodyBytes, nullptr);
    bufferevent_enable(this->Event, EV_READ | EV_WRITE);
  }
  ~TargetConnection() {
    if (this->Event != nullptr)
      bufferevent_free(this->Event);
  }
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;

  void answer(int Status, const HttpHeaders &Headers, const std::string &Body) {
    this->Current.reset();
    auto Style = this->Server.nextStyle();
    auto Bytes =
        serialize(Status, Headers, Body, Style != AnswerStyle::WithoutLength);
    switch (Style) {
    case AnswerStyle::Whole:
      this->write(Bytes);
      break;
    case AnswerStyle::CopiedAtOnce:
      this->write(Bytes + Bytes);
      break;
    case AnswerStyle::CopiedLater:
      this->write(Bytes);
      this->writeLater(Bytes, MaxCopyDelayMillis);
      break;
    case AnswerStyle::CopiedBeforeNext:
      this->write(Bytes);
      this->Copy = Bytes;
      break;
    case AnswerStyle::Late:
      this->writeLater(Bytes, MaxAnswerDelayMillis);
      break;
    case AnswerStyle::InHalves:
      this->write(Bytes.substr(0, Bytes.size() / 2));
      this->writeLater(Bytes.substr(Bytes.size() / 2), MaxPauseMillis);
      break;
    case AnswerStyle::CutInHalf:
      this->write(Bytes.substr(0, Bytes.size() / 2));
      this->after(MaxPauseMillis, [this]() { this->reset(); });
      return;
    case AnswerStyle::Lost:
      this->reset();
      return;
    case AnswerStyle::Closed:
      this->end();
      return;
    case AnswerStyle::WithoutLength:
      this->write(Bytes);
      this->after(MaxCopyDelayMillis, [this]() { this->end(); });
      return;
    case AnswerStyle::BeforeNoise:
      this->write(Bytes + Noise);
      break;
    case AnswerStyle::Endless:
      this->answerEndlessly(serializeHead(Status, Headers), Bytes);
      return;
    }
    this->read();
  }

  /// Closes the connection, and destroys it from the loop, because one of its
  /// callbacks may be running.
  void end() {
    if (this->Event == nullptr)
      return;
    bufferevent_free(std::exchange(this->Event, nullptr));
    this->Server.Loop.post([Weak = std::weak_ptr<TargetServer::ConnectionSet>(
                                this->Server.Connections),
                            Self = this->shared_from_this()]() {
      if (auto Connections = Weak.lock())
        Connections->erase(Self);
    });
    auto Request = std::exchange(this->Current, nullptr);
    if (!Request || std::exchange(Request->Ended, true))
      return;
    if (auto Action = std::exchange(Request->Action, nullptr))
      Action();
  }

private:
  /// Ends the connection so that what the node has not read yet is lost.
  void reset() {
    if (this->Event == nullptr)
      return;
    linger Immediate{1, 0};
    setsockopt(bufferevent_getfd(this->Event), SOL_SOCKET, SO_LINGER,
               &Immediate, sizeof(Immediate));
    this->end();
  }

  void write(const std::string &Bytes) {
    if (this->Event != nullptr)
      bufferevent_write(this->Event, Bytes.data(), Bytes.size());
  }

  void after(unsigned MaxMillis, std::function<void()> Action) {
    this->Timers.push_back(this->Server.Loop.after(
        this->Server.randomSpan(MaxMillis), std::move(Action)));
  }

  void writeLater(const std::string &Bytes, unsigned MaxMillis) {
    this->after(MaxMillis, [this, Bytes]() { this->write(Bytes); });
  }

  /// \param Whole the answer as it would be if it ended.
  void answerEndlessly(const std::string &Head, const std::string &Whole) {
    // What the node has not read is lost with the connection, and no end of it
    // is the end of the answer.
    linger Immediate{1, 0};
    setsockopt(bufferevent_getfd(this->Event), SOL_SOCKET, SO_LINGER,
               &Immediate, sizeof(Immediate));
    auto Part = EndlessParts[this->Server.Random() % EndlessParts.size()];
    auto Size = this->Server.IsSlow ? SlowEndlessBytes : EndlessBytes;
    this->Endless.emplace(Part, Head);
    if (Part == EndlessPart::AfterAnswer || Part == EndlessPart::OnIdle)
      this->write(Whole);
    auto Start = [this, Size]() {
      this->Timers.push_back(this->Server.Loop.every(
          EndlessPeriod, [this, Size]() { this->writeMore(Size); }));
    };
    if (Part == EndlessPart::OnIdle)
      this->after(MaxCopyDelayMillis, Start);
    else
      Start();
  }

  void writeMore(std::size_t Size) {
    if (this->Event != nullptr && evbuffer_get_length(bufferevent_get_output(
                                      this->Event)) < MaxUnreadBytes)
      this->write(this->Endless->next(Size));
  }

  void read() {
    if (this->Event == nullptr || this->Current || this->Endless)
      return;
    auto Result = this->Parser.read(bufferevent_get_input(this->Event));
    if (Result == impl::ParseResult::NeedMore)
      return;
    if (Result != impl::ParseResult::Done) {
      this->end();
      return;
    }
    auto Request = this->Parser.release();
    this->Parser.reset(MaxHeaderBytes, MaxBodyBytes, nullptr);
    this->write(std::exchange(this->Copy, {}));
    this->Current = std::make_shared<TargetExchange>(std::move(Request),
                                                     this->weak_from_this());
    this->Server.Serve(this->Current);
  }

  TargetServer &Server;
  bufferevent *Event = nullptr;
  impl::RequestParser Parser;
  std::shared_ptr<TargetExchange> Current;
  std::optional<EndlessAnswer> Endless; ///< no more requests are read then
  std::string Copy; ///< of the last answer, to be written before the next
  std::vector<Timer> Timers;
};

TargetExchange::TargetExchange(HttpRequest Request,
                               std::weak_ptr<TargetConnection> Owner)
    : Request(std::move(Request)), Owner(std::move(Owner)) {}

std::string TargetExchange::path() const {
  return this->Request.Target.substr(0, this->Request.Target.find('?'));
}

std::string TargetExchange::header(const std::string &Name) const {
  const auto *Value = findHeader(this->Request.Headers, Name);
  return Value == nullptr ? "" : *Value;
}

void TargetExchange::reply(int Status, const HttpHeaders &Headers,
                           const std::string &Body) {
  if (std::exchange(this->Ended, true))
    return;
  this->Action = nullptr;
  if (auto Connection = this->Owner.lock())
    Connection->answer(Status, Headers, Body);
}

void TargetExchange::onDisconnect(std::function<void()> Action) {
  this->Action = std::move(Action);
}

TargetServer::TargetServer(EventLoop &Loop, Endpoint Local, Handler Serve,
                           std::uint64_t Seed)
    : Loop(Loop), Serve(std::move(Serve)), Random(Seed) {
  auto Address = toSocketAddress(Local);
  this->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Size*/, void *Context) {
        auto *Self = static_cast<TargetServer *>(Context);
        Self->Connections->insert(
            std::make_shared<TargetConnection>(*Self, Socket));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      ListenBacklog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (this->Listener == nullptr)
    throw NetworkError("cannot listen on " + toString(Local),
                       "free the port, or choose another with --first_port");
}

TargetServer::~TargetServer() { evconnlistener_free(this->Listener); }

void TargetServer::spoil(AnswerStyle NewStyle, double NewShare,
                         Milliseconds Span) {
  this->Style = NewStyle;
  this->Share = NewShare;
  this->SpoiledUntil = this->Loop.now() + Span;
}

void TargetServer::spoilEndlessly(bool NewIsSlow, double NewShare,
                                  Milliseconds Span) {
  this->IsSlow = NewIsSlow;
  this->spoil(AnswerStyle::Endless, NewShare, Span);
}

AnswerStyle TargetServer::nextStyle() {
  std::uniform_real_distribution<double> Draw(0, 1);
  bool IsSpoiled =
      this->Loop.now() < this->SpoiledUntil && Draw(this->Random) < this->Share;
  return IsSpoiled ? this->Style : AnswerStyle::Whole;
}

Milliseconds TargetServer::randomSpan(unsigned Max) {
  return Milliseconds(
      std::uniform_int_distribution<unsigned>(0, Max)(this->Random));
}

} // namespace limpetdrum::soak
