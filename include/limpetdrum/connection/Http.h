#ifndef LIMPETDRUM_CONNECTION_HTTP_H
#define LIMPETDRUM_CONNECTION_HTTP_H

#include "limpetdrum/connection/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_request;

namespace limpetdrum {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \brief One request at a server and the way to answer it.
class HttpExchange {
public:
  explicit HttpExchange(EventLoop &Loop, evhttp_request *Request);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  [[nodiscard]] const std::string &method() const { return this->Method; }
  /// \brief The path, without the query.
  [[nodiscard]] const std::string &path() const { return this->Path; }
  /// \brief The query, without its `?`.
  [[nodiscard]] const std::string &query() const { return this->Query; }
  [[nodiscard]] const std::string &body() const { return this->Body; }
  /// \returns an empty text if the header is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;

  /// \brief Answers; later calls do nothing.
  void reply(int Status, const HttpHeaders &Headers, const std::string &Body);
  /// \brief Calls \p Action if the client leaves before the answer.
  void onClientGone(std::function<void()> Action);
  [[nodiscard]] bool isOpen() const noexcept {
    return this->Request != nullptr;
  }

private:
  struct Watch;
  void clientGone();

  EventLoop &Loop;
  evhttp_request *Request;
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  std::function<void()> GoneAction;
  std::unique_ptr<Watch> Closed;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// \brief An HTTP server on one address.
class HttpServer {
public:
  /// \throws NetworkError if \p Where cannot be bound.
  HttpServer(EventLoop &Loop, Endpoint Where, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief How an HTTP request ended.
enum class HttpOutcome : std::uint8_t {
  Answered,     ///< a whole answer came
  NotConnected, ///< the connection was refused: nothing was handed over
  Broken,       ///< no whole answer came: it may have been handed over
  TimedOut,
};

struct HttpAnswer {
  HttpOutcome Outcome = HttpOutcome::Broken;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  /// \returns an empty text if the header is missing.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

struct HttpCall {
  std::string Method = "GET";
  std::string Path;
  HttpHeaders Headers;
  std::string Body;
  Milliseconds Timeout{1000};
};

/// \brief Calls one HTTP server over a pool of connections.
class HttpClient {
public:
  using Callback = std::function<void(HttpAnswer)>;

  HttpClient(EventLoop &Loop, Endpoint Server);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \brief Sends a request; \p Done is called once, from the loop.
  /// \returns a ticket for cancel().
  std::uint64_t send(const HttpCall &Call, Callback Done);
  /// \brief Closes the connection of a request; its callback is not called.
  void cancel(std::uint64_t Ticket);
  [[nodiscard]] std::size_t inFlight() const noexcept;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
