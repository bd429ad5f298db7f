#ifndef LIMPETDRUM_CONNECTION_HTTP_H
#define LIMPETDRUM_CONNECTION_HTTP_H

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetdrum {

/// \brief Header fields in the order in which they were received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \returns the first value of a header, or nullptr if it is missing.
[[nodiscard]] const std::string *findHeader(const HttpHeaders &Headers,
                                            const std::string &Name) noexcept;

/// \brief Removes the headers that concern one connection only (RFC 9110,
///   7.6.1), those named by `Connection` included.
void removeConnectionHeaders(HttpHeaders &Headers);

/// \brief One request as it was read from a connection.
struct HttpRequest {
  std::string Method;
  std::string Target; ///< path and query, as received
  HttpHeaders Headers;
  std::string Body;
  TimePoint Started; ///< when its first byte was read
};

class HttpServerConnection;
struct ClientConnection;

/// \brief One request at a server and the way to answer it.
class HttpExchange {
public:
  HttpExchange(HttpRequest Request, std::weak_ptr<HttpServerConnection> From);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  [[nodiscard]] const HttpRequest &request() const noexcept {
    return this->Request;
  }
  [[nodiscard]] const std::string &method() const noexcept {
    return this->Request.Method;
  }
  /// \brief The path, without the query.
  [[nodiscard]] const std::string &path() const noexcept { return this->Path; }
  /// \brief The query, without its `?`.
  [[nodiscard]] const std::string &query() const noexcept {
    return this->Query;
  }
  [[nodiscard]] const std::string &body() const noexcept {
    return this->Request.Body;
  }
  /// \returns an empty text if the header is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;

  /// \brief Answers; later calls do nothing.
  void reply(int Status, const HttpHeaders &Headers, const std::string &Body);
  /// \brief Calls \p Action if the client leaves before the answer.
  void onClientDisconnect(std::function<void()> Action);
  [[nodiscard]] bool isOpen() const noexcept { return !this->Ended; }

private:
  friend class HttpServerConnection;
  /// The client has closed its connection, or it was lost.
  void clientGone();

  HttpRequest Request;
  std::string Path;
  std::string Query;
  std::weak_ptr<HttpServerConnection> From;
  std::function<void()> GoneAction;
  bool Ended = false;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// \brief Limits on what a client may send, and how long it may take.
struct HttpServerOptions {
  std::size_t MaxHeaderBytes = limpetdrum::MaxHeaderBytes;
  std::size_t MaxBodyBytes = limpetdrum::MaxBodyBytes;
  Milliseconds RequestTimeout{10'000}; ///< for a request to arrive whole
  Milliseconds IdleTimeout{60'000};    ///< for a connection without requests
  /// Requests of one connection that are handled side by side.
  std::size_t PipelineDepth = 64;
  /// Unread response bytes of one connection above which nothing more is read
  /// from it.
  std::size_t MaxUnreadBytes = 256U * 1024U;
};

/// \brief An HTTP/1.1 server on one address.
///
/// Reads ahead of the response that is being made: pipelined requests run side
/// by side and are answered in their order.
class HttpServer {
public:
  /// \throws NetworkError if \p Where cannot be bound.
  HttpServer(EventLoop &Loop, Endpoint Where, HttpHandler Handler,
             const HttpServerOptions &Options = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void setOptions(const HttpServerOptions &Options);
  /// \brief Ends each connection with the response to its last request.
  void drain();
  /// \brief Refuses new connections.
  void stopListening();
  /// \brief Requests that have been read and not been answered in full.
  [[nodiscard]] std::size_t openRequests() const noexcept;

private:
  struct State;
  std::shared_ptr<State> Impl;
  friend class HttpServerConnection;
};

/// \brief How an HTTP request ended.
enum class HttpOutcome : std::uint8_t {
  Answered,     ///< a whole answer came
  NotConnected, ///< the connection was refused: nothing was handed over
  Broken,       ///< no whole answer came: it may have been handed over
  TimedOut,
};

struct HttpResponse {
  HttpOutcome Outcome = HttpOutcome::Broken;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  /// Whether the request was sent on a connection that had been idle.
  bool ReusedConnection = false;

  /// \returns an empty text if the header is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

struct HttpCall {
  std::string Method = "GET";
  std::string Path;
  HttpHeaders Headers;
  std::string Body;
  Milliseconds Timeout{1000};
  /// The value of HttpClientOptions::EchoHeader that the answer must bear.
  std::string ExpectedEcho;
};

struct HttpClientOptions {
  /// A header by which servers repeat the id of the request they answer; an
  /// answer with another id is dropped. Empty: answers are not checked.
  std::string EchoHeader;
  /// Whether a body may end with its connection; a reset never ends it.
  bool AcceptCloseDelimited = false;
  std::size_t MaxBodyBytes = limpetdrum::MaxBodyBytes;
  /// Idle connections are closed this long before the server would.
  Milliseconds IdleMargin{500};
  /// For servers that do not announce how long they keep connections.
  Milliseconds DefaultIdleLimit{4000};
};

/// \brief Calls one HTTP server over a pool of connections.
class HttpClient {
public:
  using Callback = std::function<void(HttpResponse)>;

  HttpClient(EventLoop &Loop, Endpoint Server, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \brief Sends a request; \p Done is called once, from the loop.
  /// \returns a ticket for cancel().
  std::uint64_t send(const HttpCall &Call, Callback Done);
  /// \brief Closes the connection of a request; its callback is not called.
  void cancel(std::uint64_t Ticket);
  [[nodiscard]] std::size_t inFlight() const noexcept;
  /// \brief Connections opened so far.
  [[nodiscard]] std::uint64_t connectionsOpened() const noexcept;

private:
  struct State;
  friend struct ClientConnection;
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
