#include "limpetdrum/Config.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/process/Error.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace limpetdrum {

namespace {

constexpr int AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                           EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                           EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char *methodName(evhttp_cmd_type Type) {
  switch (Type) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "OTHER";
  }
}

std::string drain(evbuffer *Buffer) {
  std::string Text(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Text.data(), Text.size());
  return Text;
}

} // namespace

/// Notices that the client has closed while its request is worked on.
struct HttpExchange::Watch {
  event *Event;

  Watch(EventLoop &Loop, evutil_socket_t Socket, HttpExchange *Exchange)
      : Event(event_new(
            Loop.base(), Socket, EV_CLOSED,
            [](evutil_socket_t /*Socket*/, short /*What*/, void *Context) {
              static_cast<HttpExchange *>(Context)->clientGone();
            },
            Exchange)) {
    event_add(this->Event, nullptr);
  }
  Watch(const Watch &) = delete;
  Watch &operator=(const Watch &) = delete;
  ~Watch() { event_free(this->Event); }
};

HttpExchange::HttpExchange(EventLoop &Loop, evhttp_request *Request)
    : Loop(Loop), Request(Request),
      Method(methodName(evhttp_request_get_command(Request))),
      Body(drain(evhttp_request_get_input_buffer(Request))) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *PathText = Uri == nullptr ? nullptr : evhttp_uri_get_path(Uri);
  const char *QueryText = Uri == nullptr ? nullptr : evhttp_uri_get_query(Uri);
  this->Path = PathText == nullptr ? "" : PathText;
  this->Query = QueryText == nullptr ? "" : QueryText;
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(Request),
      [](evhttp_connection * /*Connection*/, void *Context) {
        auto *Self = static_cast<HttpExchange *>(Context);
        Self->Request = nullptr;
        Self->clientGone();
      },
      this);
}

HttpExchange::~HttpExchange() {
  if (this->Request != nullptr)
    this->reply(500, {}, "no answer was made\n");
}

std::string HttpExchange::header(const std::string &Name) const {
  if (this->Request == nullptr)
    return "";
  const char *Value = evhttp_find_header(
      evhttp_request_get_input_headers(this->Request), Name.c_str());
  return Value == nullptr ? "" : Value;
}

void HttpExchange::reply(int Status, const HttpHeaders &Headers,
                         const std::string &Text) {
  this->GoneAction = nullptr;
  this->Closed.reset();
  if (this->Request == nullptr)
    return;
  auto *Open = std::exchange(this->Request, nullptr);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Open), nullptr,
                                nullptr);
  evkeyvalq *Output = evhttp_request_get_output_headers(Open);
  for (const auto &[Name, Value] : Headers)
    evhttp_add_header(Output, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Open), Text.data(),
               Text.size());
  evhttp_send_reply(Open, Status, nullptr, nullptr);
}

void HttpExchange::onClientGone(std::function<void()> Action) {
  this->GoneAction = std::move(Action);
  if (this->Request == nullptr)
    return;
  bufferevent *Event = evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(this->Request));
  this->Closed =
      std::make_unique<Watch>(this->Loop, bufferevent_getfd(Event), this);
}

void HttpExchange::clientGone() {
  this->Closed.reset();
  auto Action = std::exchange(this->GoneAction, nullptr);
  if (this->Request != nullptr) {
    auto *Open = std::exchange(this->Request, nullptr);
    auto *Connection = evhttp_request_get_connection(Open);
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
    this->Loop.post([Connection]() { evhttp_connection_free(Connection); });
  }
  if (Action)
    Action();
}

struct HttpServer::State {
  EventLoop &Loop;
  evhttp *Server;
  HttpHandler Handler;

  static void onRequest(evhttp_request *Request, void *Context) {
    auto *Self = static_cast<State *>(Context);
    Self->Handler(std::make_shared<HttpExchange>(Self->Loop, Request));
  }
};

HttpServer::HttpServer(EventLoop &Loop, Endpoint Where, HttpHandler Handler)
    : Impl(new State{Loop, evhttp_new(Loop.base()), std::move(Handler)}) {
  evhttp *Server = this->Impl->Server;
  evhttp_set_allowed_methods(Server, AllMethods);
  evhttp_set_max_body_size(Server, MaxBodyBytes);
  evhttp_set_max_headers_size(Server, MaxHeaderBytes);
  evhttp_set_default_content_type(Server, nullptr);
  evhttp_set_gencb(Server, &State::onRequest, this->Impl.get());
  if (evhttp_bind_socket(Server, addressToString(Where).c_str(), Where.Port) !=
      0)
    throw NetworkError("cannot listen on " + toString(Where),
                       "free the port or change 'listen' in the settings");
}

HttpServer::~HttpServer() { evhttp_free(this->Impl->Server); }

} // namespace limpetdrum
