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
  Malformed,
};

/// \brief Reads requests from a buffer, one after the other.
class RequestParser {
public:
  RequestParser();
  ~RequestParser();
  /// \brief Begins the next message.
  void reset(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes);
  /// \brief Takes bytes off \p Input up to the end of the message.
  [[nodiscard]] ParseResult read(evbuffer *Input);
  /// \brief Whether part of a message has been read.
  [[nodiscard]] bool hasBegun() const noexcept { return this->Begun; }
  /// \brief Whether the client waits for `100 Continue`; true once.
  [[nodiscard]] bool takeExpectContinue();
  /// \brief Whether the client allows further requests on the connection.
  [[nodiscard]] bool keepAlive() const;
  [[nodiscard]] HttpRequest release();

private:
  struct State;
  std::unique_ptr<State> Impl;
  bool Begun = false;
};

/// \brief Reads one response from a buffer.
class ResponseParser {
public:
  /// \param ToHead whether it answers a HEAD request.
  ResponseParser(bool ToHead, std::size_t MaxBodyBytes);
  ~ResponseParser();
  [[nodiscard]] ParseResult read(evbuffer *Input);
  /// \brief The connection ended in order.
  /// \returns whether that completes the message.
  [[nodiscard]] bool finishAtClose();
  /// \brief Whether the body ends only with the connection.
  [[nodiscard]] bool endsWithConnection() const;
  [[nodiscard]] bool keepAlive() const;
  void release(HttpResponse &Into);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief The standard phrase for a status.
[[nodiscard]] std::string reasonPhrase(int Status);

} // namespace limpetdrum::impl

#endif
