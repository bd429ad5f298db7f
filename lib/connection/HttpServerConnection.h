#ifndef LIMPETDRUM_LIB_CONNECTION_HTTPSERVERCONNECTION_H
#define LIMPETDRUM_LIB_CONNECTION_HTTPSERVERCONNECTION_H

#include "HttpParser.h"

#include "limpetdrum/connection/Listener.h"

#include <deque>
#include <set>
#include <strings.h>

struct bufferevent;

namespace limpetdrum {

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  EventLoop &Loop;
  HttpHandler Handler;
  HttpServerOptions Options;
  std::unique_ptr<limpetdrum::Listener> Listener;
  std::set<std::shared_ptr<HttpServerConnection>> Connections;
  std::size_t OpenRequests = 0;
  bool Draining = false;
  Timer TimeoutCheck;

  State(EventLoop &Loop, HttpHandler Handler, const HttpServerOptions &Options)
      : Loop(Loop), Handler(std::move(Handler)), Options(Options) {}
};

/// \brief Connection of a client: reads requests ahead of the responses, which
/// it sends in order.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  HttpServerConnection(HttpServer::State &Server, evutil_socket_t Socket);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection &) = delete;
  HttpServerConnection &operator=(const HttpServerConnection &) = delete;

  /// \brief Responds to a request once those before it are answered.
  void respond(const HttpExchange &Exchange, int Status,
               const HttpHeaders &Headers, const Body &Content);
  /// \brief Closes the connection after the response to the last open request.
  void endAfterPipeline();
  [[nodiscard]] bool isUsable() const noexcept {
    return this->Event != nullptr;
  }
  /// \brief Enforces the time limits on requests, responses and idle time.
  void checkTimeouts(TimePoint Now);
  /// \brief Returns the number of bytes that wait to be written to the socket.
  [[nodiscard]] std::size_t unsentBytes() const noexcept;
  void close();

private:
  struct PipelinedRequest {
    const HttpExchange *Identity;
    std::weak_ptr<HttpExchange> Exchange;
    bool KeepAlive;
    /// As of head(); set when the request is answered.
    std::optional<std::string> Head;
    limpetdrum::Body Body;
  };

  void beginRequest();
  [[nodiscard]] bool canReadRequest() const;
  void readRequests();
  void postRead();
  /// Answers `Expect: 100-continue` of the request that is being read.
  void askForBody();
  void rejectMalformed(impl::ParseResult Result);
  /// Responds to a request that could not be read and ends the connection.
  void rejectAndEnd(int Status);
  /// Hands a request that has been read to the handler.
  void handle(HttpRequest Request, bool KeepAlive);
  /// Returns the status line and the headers of a response, without
  /// `Connection` and the empty line.
  [[nodiscard]] static std::string head(int Status, const HttpHeaders &Headers,
                                        std::size_t BodyBytes, bool IsHead);
  void flush();
  void write(const std::string &Bytes);
  void writeBody(const Body &Value);
  /// Reads and drops what a client sends after its last request.
  void discardInput();
  void finishWriting();
  static void onReadable(bufferevent *Event, void *Context);
  static void onWritten(bufferevent *Event, void *Context);
  static void onEvent(bufferevent *Event, short Events, void *Context);

  HttpServer::State *Server;
  bufferevent *Event = nullptr;
  impl::RequestParser Parser;
  std::deque<PipelinedRequest> Pipeline;
  std::optional<TimePoint> RequestStarted;
  std::optional<TimePoint> LingerUntil;
  TimePoint LingerLimit{}; ///< of LingerUntil, which input postpones
  TimePoint LastActive;
  std::size_t LastUnsent = 0; ///< response bytes unsent at the last check
  bool Ending = false;        ///< no further requests are read
  bool ReadPosted = false;
};

} // namespace limpetdrum

#endif
