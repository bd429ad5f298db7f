#include "HttpParser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <strings.h>

namespace limpetdrum {

namespace http = boost::beast::http;

const std::string *findHeader(const HttpHeaders &Headers,
                              const std::string &Name) noexcept {
  for (const auto &[Key, Value] : Headers)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return &Value;
  return nullptr;
}

void removeHeader(HttpHeaders &Headers, const std::string &Name) {
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(),
                               [&](const auto &Header) {
                                 return strcasecmp(Header.first.c_str(),
                                                   Name.c_str()) == 0;
                               }),
                Headers.end());
}

void removeConnectionHeaders(HttpHeaders &Headers) {
  std::vector<std::string> Removed = {
      "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
      "Trailer",    "Transfer-Encoding", "Upgrade"};
  for (const auto &[Key, Value] : Headers) {
    if (strcasecmp(Key.c_str(), "Connection") != 0)
      continue;
    for (const auto &Token : http::token_list(Value))
      Removed.emplace_back(Token.data(), Token.size());
  }
  auto IsRemoved = [&](const auto &Header) {
    for (const auto &Name : Removed)
      if (strcasecmp(Header.first.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  };
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(), IsRemoved),
                Headers.end());
}

namespace impl {

namespace {

template <typename Parser>
ParseResult feed(Parser &Reader, evbuffer *Input, bool &Started) {
  while (evbuffer_get_length(Input) > 0) {
    auto Size = evbuffer_get_length(Input);
    const auto *Bytes = evbuffer_pullup(Input, -1);
    boost::beast::error_code Error;
    auto Consumed = Reader.put(boost::asio::buffer(Bytes, Size), Error);
    evbuffer_drain(Input, Consumed);
    Started = true;
    if (Error == http::error::need_more) {
      if (Consumed == 0)
        return ParseResult::NeedMore;
      continue;
    }
    if (Error == http::error::header_limit)
      return ParseResult::HeaderTooLarge;
    if (Error == http::error::body_limit)
      return ParseResult::BodyTooLarge;
    if (Error)
      return ParseResult::Malformed;
    if (Reader.is_done())
      return ParseResult::Done;
    if (Consumed == 0)
      return ParseResult::NeedMore;
  }
  return ParseResult::NeedMore;
}

template <typename Message> HttpHeaders headersOf(const Message &Parsed) {
  HttpHeaders Headers;
  for (const auto &Field : Parsed)
    Headers.emplace_back(std::string(Field.name_string()),
                         std::string(Field.value()));
  return Headers;
}

} // namespace

struct RequestParser::State {
  std::optional<http::request_parser<http::string_body>> Parser;
  bool ContinueSent = false;
};

RequestParser::RequestParser() : Impl(std::make_unique<State>()) {}
RequestParser::~RequestParser() = default;

void RequestParser::reset(std::size_t MaxHeaders, std::size_t MaxBody) {
  this->Impl->Parser.emplace();
  this->Impl->Parser->eager(true);
  this->Impl->Parser->header_limit(static_cast<std::uint32_t>(MaxHeaders));
  this->Impl->Parser->body_limit(MaxBody);
  this->Impl->ContinueSent = false;
  this->Started = false;
}

ParseResult RequestParser::read(evbuffer *Input) {
  return feed(*this->Impl->Parser, Input, this->Started);
}

bool RequestParser::takeExpectContinue() {
  auto &Parser = *this->Impl->Parser;
  if (this->Impl->ContinueSent || !Parser.is_header_done())
    return false;
  auto Expect = Parser.get()[http::field::expect];
  if (Expect.empty() ||
      strncasecmp(Expect.data(), "100-continue", Expect.size()) != 0)
    return false;
  this->Impl->ContinueSent = true;
  return true;
}

bool RequestParser::keepAlive() const {
  return this->Impl->Parser->get().keep_alive();
}

HttpRequest RequestParser::release() {
  auto Message = this->Impl->Parser->release();
  HttpRequest Result;
  Result.Method = std::string(Message.method_string());
  Result.Target = std::string(Message.target());
  Result.Headers = headersOf(Message);
  Result.Body = std::move(Message.body());
  return Result;
}

struct ResponseParser::State {
  http::response_parser<http::string_body> Parser;
  bool Started = false;
};

ResponseParser::ResponseParser(bool IsHead, std::size_t MaxBody)
    : Impl(std::make_unique<State>()) {
  this->Impl->Parser.eager(true);
  this->Impl->Parser.skip(IsHead);
  this->Impl->Parser.header_limit(MaxHeaderBytes);
  this->Impl->Parser.body_limit(MaxBody);
}

ResponseParser::~ResponseParser() = default;

ParseResult ResponseParser::read(evbuffer *Input) {
  return feed(this->Impl->Parser, Input, this->Impl->Started);
}

bool ResponseParser::finishAtClose() {
  if (!this->Impl->Started || !this->Impl->Parser.is_header_done())
    return false;
  boost::beast::error_code Error;
  this->Impl->Parser.put_eof(Error);
  return !Error && this->Impl->Parser.is_done();
}

bool ResponseParser::isCloseDelimited() const {
  return this->Impl->Parser.is_header_done() && this->Impl->Parser.need_eof();
}

bool ResponseParser::keepAlive() const {
  return this->Impl->Parser.get().keep_alive();
}

void ResponseParser::release(HttpResponse &Response) {
  auto Message = this->Impl->Parser.release();
  Response.Status = static_cast<int>(Message.result_int());
  Response.Headers = headersOf(Message);
  Response.Body = std::move(Message.body());
}

std::string reasonPhrase(int Status) {
  auto Phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(Status)));
  return std::string(Phrase);
}

} // namespace impl

} // namespace limpetdrum
