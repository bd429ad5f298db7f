#ifndef LIMPETDRUM_CONNECTION_HTTP_H
#define LIMPETDRUM_CONNECTION_HTTP_H

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/process/AnswerMemory.h"
#include "limpetdrum/process/Body.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetdrum {

/// \brief Header fields in the order in which they were received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \brief Finds a header by its name, ignoring case.
/// \returns the first value of the header, or nullptr if it is missing.
[[nodiscard]] const std::string *findHeader(const HttpHeaders &Headers,
                                            const std::string &Name) noexcept;

/// \brief Removes the hop-by-hop headers (RFC 9110, section 7.6.1), including
/// those named by `Connection`.
void removeConnectionHeaders(HttpHeaders &Headers);
/// \brief Removes all headers with a name, whatever its case.
void removeHeader(HttpHeaders &Headers, const std::string &Name);

/// \brief Request as read from a connection.
struct HttpRequest {
  std::string Method;
  std::string Target; ///< path and query as received
  HttpHeaders Headers;
  limpetdrum::Body Body;
  TimePoint Started; ///< time at which its first byte was read
  /// The server has no memory for it, and may not have read its body: it can
  /// only be refused.
  bool ExceedsMemory = false;
};

class HttpServerConnection;
struct ClientConnection;

/// \brief Request at a server together with the means to respond to it.
///
/// An exchange that is destroyed without a response responds with status 500.
class HttpExchange {
public:
  HttpExchange(HttpRequest Request,
               std::weak_ptr<HttpServerConnection> Connection);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  [[nodiscard]] const HttpRequest &request() const noexcept {
    return this->Request;
  }
  [[nodiscard]] const std::string &method() const noexcept {
    return this->Request.Method;
  }
  /// \brief Returns the path without the query.
  [[nodiscard]] const std::string &path() const noexcept { return this->Path; }
  /// \brief Returns the query without its `?`.
  [[nodiscard]] const std::string &query() const noexcept {
    return this->Query;
  }
  [[nodiscard]] const std::string &body() const noexcept {
    return this->Request.Body.text();
  }
  /// \returns the value of the header, or an empty string if it is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;

  /// \brief Sends the response; later calls do nothing.
  void reply(int Status, const HttpHeaders &Headers,
             const limpetdrum::Body &Body);
  /// \brief Calls \p Action if the client disconnects before the response.
  void onClientDisconnect(std::function<void()> Action);
  /// \brief Returns true until a response is sent or the client disconnects.
  [[nodiscard]] bool isOpen() const noexcept { return !this->Ended; }

private:
  friend class HttpServerConnection;
  /// \brief Handles the loss of the client's connection, or its close.
  void notifyDisconnect();

  HttpRequest Request;
  std::string Path;
  std::string Query;
  std::weak_ptr<HttpServerConnection> Connection;
  std::function<void()> DisconnectAction;
  bool Ended = false;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// \brief Limits on the size and duration of requests and connections.
struct HttpServerOptions {
  std::size_t MaxHeaderBytes = limpetdrum::MaxHeaderBytes;
  std::size_t MaxBodyBytes = limpetdrum::MaxBodyBytes;
  Milliseconds RequestTimeout{10'000}; ///< until a request is complete
  Milliseconds IdleTimeout{60'000};    ///< of a connection without requests
  /// Maximum number of requests of one connection handled concurrently.
  std::size_t PipelineDepth = 64;
  /// Time in which a client must receive at least some of the response bytes
  /// that are waiting for it.
  Milliseconds StallTimeout{15'000};
  /// Number of response bytes not yet sent on a connection above which no more
  /// requests are read from it.
  std::size_t MaxUnreadBytes = 256U * 1024U;
  /// Memory for the bodies of requests, shared with others; null: no limit.
  MemoryBudget *Memory = nullptr;
  /// Returns true while there is no memory for further answers; unset: never.
  std::function<bool()> IsMemoryScarce;
  /// Called while connections cannot be accepted, see Listener.
  std::function<void(const std::string &Problem)> OnAcceptError;
};

/// \brief HTTP/1.1 server on one address.
///
/// Reads further requests while earlier ones are being handled: pipelined
/// requests run concurrently and are answered in order.
class HttpServer {
public:
  /// \throws NetworkError if \p Local cannot be bound.
  HttpServer(EventLoop &Loop, Endpoint Local, HttpHandler Handler,
             const HttpServerOptions &Options = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void setOptions(const HttpServerOptions &Options);
  /// \brief Closes each connection after the response to its last request.
  ///
  /// A connection that is idle or new still serves one request.
  void drain();
  /// \brief Closes the listening socket; open connections stay.
  void stopListening();
  /// \brief Returns the number of requests read whose response has not been
  /// written yet.
  [[nodiscard]] std::size_t openRequests() const noexcept;
  /// \brief Returns the number of bytes of responses that wait to be written to
  ///   their connections, because clients read them slowly.
  [[nodiscard]] std::size_t unsentBytes() const noexcept;

private:
  struct State;
  std::shared_ptr<State> Impl;
  friend class HttpServerConnection;
};

/// \brief Outcome of an HTTP request.
enum class HttpOutcome : std::uint8_t {
  Answered,     ///< a complete response was received
  NotConnected, ///< the connection was refused: the request was not sent
  Broken,       ///< no complete response; the server may have the request
  TimedOut,     ///< no complete response within HttpCall::Timeout
};

/// \brief Why a response is HttpOutcome::Broken.
enum class HttpDefect : std::uint8_t {
  None,
  Ended,     ///< the connection ended before the end of the response
  Malformed, ///< bytes that are no response
  TooLong,   ///< a header or the body exceeds its limit
  NoMemory,  ///< given up for want of memory
  Unrelated, ///< too many interim responses, or responses to other requests
};
[[nodiscard]] const char *toString(HttpDefect Value) noexcept;

struct HttpResponse {
  HttpOutcome Outcome = HttpOutcome::Broken;
  HttpDefect Defect = HttpDefect::None;
  int Status = 0;
  HttpHeaders Headers;
  limpetdrum::Body Body;
  /// True if the request was sent on a pooled connection.
  bool ReusedConnection = false;

  /// \returns the value of the header, or an empty string if it is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

struct HttpCall {
  std::string Method = "GET";
  std::string Path;
  HttpHeaders Headers;
  limpetdrum::Body Body;
  Milliseconds Timeout{1000};
  /// Expected value of HttpClientOptions::EchoHeader in the response; empty:
  /// not checked.
  std::string ExpectedEcho;
};

struct HttpClientOptions {
  /// Response header in which servers repeat the id of the request; a response
  /// with another id is dropped. Empty: responses are not checked.
  std::string EchoHeader;
  /// True if the end of the connection may end a body; a reset never does.
  bool AcceptCloseDelimited = false;
  std::size_t MaxBodyBytes = limpetdrum::MaxBodyBytes;
  /// Memory in which responses count; null: they count nowhere.
  AnswerMemory *Memory = nullptr;
  /// Idle connections are closed this long before the server's idle timeout.
  Milliseconds IdleMargin{500};
  /// True to detect a connection that has gone silent while a response is
  /// pending for long, by the kernel's keep-alive probes.
  bool ProbesSilentConnections = false;
  /// Idle timeout assumed for servers that don't announce one in `Keep-Alive`.
  Milliseconds DefaultIdleLimit{4000};
};

/// \brief Client of one HTTP server with a pool of connections.
class HttpClient {
public:
  using Callback = std::function<void(HttpResponse)>;

  HttpClient(EventLoop &Loop, Endpoint Server, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \brief Sends a request and calls \p Done once, from the loop.
  /// \returns an id to pass to cancel().
  std::uint64_t send(const HttpCall &Call, Callback Done);
  /// \brief Finds out whether the server's process has ended, by a connection
  ///   that stays in the pool for the next request.
  /// \param Done called once, from the loop, with true if the connection was
  ///   refused; false if it was accepted or nothing is known after 200 ms.
  void checkEnded(std::function<void(bool HasEnded)> Done);
  /// \brief Closes the connection of a request; its callback is not called.
  void cancel(std::uint64_t CallId);
  /// \brief Returns the number of requests without an outcome.
  [[nodiscard]] std::size_t inFlight() const noexcept;
  /// \brief Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connectionsOpened() const noexcept;

private:
  struct State;
  friend struct ClientConnection;
  /// Adds a call on a connection, and opens the connection unless it is reused.
  /// \param IsConnectOnly true if the call ends as soon as it is connected.
  std::uint64_t start(std::shared_ptr<ClientConnection> Connection, bool Reused,
                      const HttpCall &Call, Callback Done, bool IsConnectOnly);
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
