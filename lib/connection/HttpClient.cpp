#include "limpetdrum/Config.h"
#include "limpetdrum/connection/Http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <unordered_map>

namespace limpetdrum {

namespace {

evhttp_cmd_type methodType(const std::string &Name) {
  static const std::unordered_map<std::string, evhttp_cmd_type> Types = {
      {"GET", EVHTTP_REQ_GET},        {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},        {"DELETE", EVHTTP_REQ_DELETE},
      {"HEAD", EVHTTP_REQ_HEAD},      {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS}};
  auto Found = Types.find(Name);
  return Found == Types.end() ? EVHTTP_REQ_POST : Found->second;
}

/// Without a length the end of a body cannot be told from a cut.
bool hasLength(evkeyvalq *Headers, int Status) {
  return Status == 204 || Status == 304 ||
         evhttp_find_header(Headers, "Content-Length") != nullptr ||
         evhttp_find_header(Headers, "Transfer-Encoding") != nullptr;
}

} // namespace

std::string HttpAnswer::header(const std::string &Name) const {
  for (const auto &[Key, Value] : this->Headers)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct Pending {
    State *Owner;
    std::uint64_t Ticket;
    evhttp_connection *Connection;
    evhttp_request *Request;
    Callback Done;
    Timer Deadline;
    bool Broken = false;
  };

  EventLoop &Loop;
  Endpoint Server;
  std::uint64_t LastTicket = 0;
  std::vector<evhttp_connection *> Idle;
  std::vector<evhttp_connection *> Retired;
  std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> Calls;

  State(EventLoop &Loop, Endpoint Server) : Loop(Loop), Server(Server) {}

  evhttp_connection *takeConnection() {
    if (!this->Idle.empty()) {
      auto *Connection = this->Idle.back();
      this->Idle.pop_back();
      return Connection;
    }
    auto *Connection = evhttp_connection_base_new(
        this->Loop.base(), nullptr, addressToString(this->Server).c_str(),
        this->Server.Port);
    evhttp_connection_set_max_body_size(Connection, MaxBodyBytes);
    evhttp_connection_set_max_headers_size(Connection, MaxHeaderBytes);
    return Connection;
  }

  void finish(std::uint64_t Ticket, HttpAnswer Answer) {
    auto Found = this->Calls.find(Ticket);
    if (Found == this->Calls.end())
      return;
    auto Call = std::move(Found->second);
    this->Calls.erase(Found);
    if (Answer.Outcome == HttpOutcome::Answered)
      this->Idle.push_back(Call->Connection);
    else
      this->release(Call->Connection);
    Call->Done(std::move(Answer));
  }

  /// Frees a connection later: it may be running a callback of ours now.
  void release(evhttp_connection *Connection) {
    this->Retired.push_back(Connection);
    this->Loop.post([Weak = this->weak_from_this()]() {
      if (auto Self = Weak.lock())
        Self->freeRetired();
    });
  }

  void freeRetired() {
    for (auto *Connection : std::exchange(this->Retired, {}))
      evhttp_connection_free(Connection);
  }

  void abandon(Pending &Call) {
    evhttp_cancel_request(Call.Request);
    this->release(Call.Connection);
  }

  static void onDone(evhttp_request *Request, void *Context) {
    auto *Call = static_cast<Pending *>(Context);
    Call->Owner->finish(Call->Ticket, readAnswer(Request, Call->Broken));
  }

  static HttpAnswer readAnswer(evhttp_request *Request, bool Broken) {
    HttpAnswer Answer;
    if (Request == nullptr || Broken)
      return Answer;
    Answer.Status = evhttp_request_get_response_code(Request);
    if (Answer.Status == 0) {
      Answer.Outcome = HttpOutcome::NotConnected;
      return Answer;
    }
    evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    if (!hasLength(Headers, Answer.Status))
      return Answer;
    for (evkeyval *Entry = Headers->tqh_first; Entry != nullptr;
         Entry = Entry->next.tqe_next)
      Answer.Headers.emplace_back(Entry->key, Entry->value);
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    Answer.Body.resize(evbuffer_get_length(Input));
    evbuffer_remove(Input, Answer.Body.data(), Answer.Body.size());
    Answer.Outcome = HttpOutcome::Answered;
    return Answer;
  }
};

HttpClient::HttpClient(EventLoop &Loop, Endpoint Server)
    : Impl(std::make_shared<State>(Loop, Server)) {}

HttpClient::~HttpClient() {
  for (auto &Entry : this->Impl->Calls) {
    evhttp_cancel_request(Entry.second->Request);
    evhttp_connection_free(Entry.second->Connection);
  }
  for (auto *Connection : this->Impl->Idle)
    evhttp_connection_free(Connection);
  this->Impl->freeRetired();
}

std::uint64_t HttpClient::send(const HttpCall &Call, Callback Done) {
  auto *Self = this->Impl.get();
  auto Ticket = ++Self->LastTicket;
  auto Entry = std::make_unique<State::Pending>();
  auto *Pending = Entry.get();
  Pending->Owner = Self;
  Pending->Ticket = Ticket;
  Pending->Connection = Self->takeConnection();
  Pending->Done = std::move(Done);
  Pending->Request = evhttp_request_new(&State::onDone, Pending);
  evhttp_request_set_error_cb(
      Pending->Request, [](evhttp_request_error /*Kind*/, void *Context) {
        static_cast<State::Pending *>(Context)->Broken = true;
      });
  evkeyvalq *Headers = evhttp_request_get_output_headers(Pending->Request);
  evhttp_add_header(Headers, "Host", toString(Self->Server).c_str());
  for (const auto &[Name, Value] : Call.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Pending->Request),
               Call.Body.data(), Call.Body.size());
  Self->Calls.emplace(Ticket, std::move(Entry));
  Pending->Deadline = Self->Loop.after(Call.Timeout, [Self, Ticket]() {
    auto Found = Self->Calls.find(Ticket);
    if (Found == Self->Calls.end())
      return;
    auto Late = std::move(Found->second);
    Self->Calls.erase(Found);
    Self->abandon(*Late);
    HttpAnswer Answer;
    Answer.Outcome = HttpOutcome::TimedOut;
    Late->Done(std::move(Answer));
  });
  if (evhttp_make_request(Pending->Connection, Pending->Request,
                          methodType(Call.Method), Call.Path.c_str()) != 0) {
    // libevent has freed the request.
    Self->Loop.post([Self, Ticket]() {
      HttpAnswer Answer;
      Answer.Outcome = HttpOutcome::NotConnected;
      Self->finish(Ticket, std::move(Answer));
    });
  }
  return Ticket;
}

void HttpClient::cancel(std::uint64_t Ticket) {
  auto Found = this->Impl->Calls.find(Ticket);
  if (Found == this->Impl->Calls.end())
    return;
  auto Call = std::move(Found->second);
  this->Impl->Calls.erase(Found);
  this->Impl->abandon(*Call);
}

std::size_t HttpClient::inFlight() const noexcept {
  return this->Impl->Calls.size();
}

} // namespace limpetdrum
