#ifndef LIMPETDRUM_LIB_CONNECTION_HTTPPARSER_H
#define LIMPETDRUM_LIB_CONNECTION_HTTPPARSER_H

#include "limpetdrum/connection/Http.h"

#include <event2/buffer.h>
#include <optional>

namespace limpetdrum::impl {

enum class ParseResult : std::uint8_t {
  NeedMore,
  Done,
  HeaderTooLarge,
  BodyTooLarge,
  NoMemory, ///< there is no memory for the body
  Malformed,
};

/// \brief Parser of consecutive requests in a buffer.
class RequestParser {
public:
  RequestParser();
  ~RequestParser();
  /// \brief Prepares for the next request.
  /// \param Memory where the body is taken from; null: no limit.
  void reset(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
             MemoryBudget *Memory);
  /// \brief Consumes bytes of \p Input up to the end of the request.
  [[nodiscard]] ParseResult read(evbuffer *Input);
  /// \brief Returns true if part of a request has been read.
  [[nodiscard]] bool hasStarted() const noexcept { return this->Started; }
  /// \brief Returns true if the client expects `100 Continue`; once per
  /// request.
  [[nodiscard]] bool takeExpectContinue();
  /// \brief Returns true if the connection persists after this request.
  [[nodiscard]] bool keepAlive() const;
  /// \brief Moves the parsed request out of the parser.
  ///
  /// After ParseResult::NoMemory it has no body.
  [[nodiscard]] HttpRequest release();

private:
  struct State;
  std::unique_ptr<State> Impl;
  bool Started = false;
};

/// \brief Parser of one response in a buffer.
class ResponseParser {
public:
  /// \param IsHead true for the response to a HEAD request, which has no body.
  /// \param Memory in which the response counts; null: nowhere.
  /// \param OnGivenUp called if the response is given up in favour of another,
  ///   maybe while that one is read.
  ResponseParser(bool IsHead, std::size_t MaxBodyBytes, AnswerMemory *Memory,
                 std::function<void()> OnGivenUp = nullptr);
  ~ResponseParser();
  /// \brief Consumes bytes of \p Input up to the end of the response.
  [[nodiscard]] ParseResult read(evbuffer *Input);
  /// \brief Handles an orderly end of the connection.
  /// \returns true if the end completes the response.
  [[nodiscard]] bool finishAtClose();
  /// \brief Returns true if only the end of the connection ends the body.
  [[nodiscard]] bool isCloseDelimited() const;
  [[nodiscard]] bool keepAlive() const;
  /// \brief Moves the status, headers and body to \p Response.
  /// \returns false if there is no memory for them.
  [[nodiscard]] bool release(HttpResponse &Response);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Adds a body to a buffer, by reference if it is long.
void addBody(evbuffer *Output, const Body &Value);

/// \brief Returns the standard reason phrase of a status code.
[[nodiscard]] std::string reasonPhrase(int Status);

} // namespace limpetdrum::impl

#endif
