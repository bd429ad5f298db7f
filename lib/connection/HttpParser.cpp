#include "HttpParser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <deque>
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

/// Body that is being received. One of unknown length is kept in blocks, so
/// that it is not copied while it grows. Memory is taken before it is used.
class ReceivedBody {
public:
  /// \param Source budget of a request's body; null: none.
  void bind(MemoryBudget *Source) { this->Source = Source; }
  /// \param Source memory of an answer's body.
  /// \param OnGivenUp called if the answer is given up in favour of another;
  ///   its bytes have been freed then.
  void bind(AnswerMemory &Source, std::function<void()> OnGivenUp) {
    this->Receipt = std::make_unique<AnswerMemory::Receipt>(
        Source, [this, OnGivenUp = std::move(OnGivenUp)]() {
          this->Blocks.clear();
          OnGivenUp();
        });
  }

  /// Handles that the length is known, and takes the memory for a request's
  /// body. That of an answer is a claim that its sender may not keep.
  /// \returns false if the budget does not have it.
  [[nodiscard]] bool expect(std::size_t Length) {
    this->Expected = Length;
    if (this->Receipt == nullptr)
      return this->take(Length);
    this->Receipt->setAnnounced();
    return true;
  }

  /// \returns false if there is no memory for the bytes.
  [[nodiscard]] bool append(const char *Bytes, std::size_t Added) {
    if (this->Blocks.empty() ||
        this->Blocks.back().size() + Added > this->Blocks.back().capacity()) {
      auto Capacity = std::max(Added, this->nextBlock());
      if (!this->isReserved(Capacity) && !this->take(Capacity))
        return false;
      this->Blocks.emplace_back().reserve(Capacity);
    }
    this->Size += Added;
    this->Blocks.back().append(Bytes, Added);
    return true;
  }

  /// Takes memory for what is kept beside the body.
  /// \returns false if there is none.
  [[nodiscard]] bool take(std::size_t Bytes) {
    if (this->Receipt != nullptr)
      return this->Receipt->take(Bytes);
    if (this->Source == nullptr)
      return true;
    auto Share = this->Source->take(Bytes);
    if (!Share)
      return false;
    this->Held.grow(std::move(*Share));
    return true;
  }

  [[nodiscard]] Body release() {
    std::string Text;
    if (this->Blocks.size() == 1) {
      Text = std::move(this->Blocks.front());
    } else {
      // Blocks are freed while the pages of the result come into use.
      Text.reserve(this->Size);
      for (; !this->Blocks.empty(); this->Blocks.pop_front())
        Text.append(this->Blocks.front());
    }
    if (this->Receipt != nullptr)
      this->Held = this->Receipt->complete();
    return {std::move(Text), std::move(this->Held)};
  }

private:
  static constexpr std::size_t MinBlockBytes = 4096;
  static constexpr std::size_t MaxBlockBytes = 256U * 1024U;

  /// Returns true if memory for a block was taken with the length.
  [[nodiscard]] bool isReserved(std::size_t Capacity) const {
    return this->Receipt == nullptr && this->Size + Capacity <= this->Expected;
  }

  [[nodiscard]] std::size_t nextBlock() const {
    auto Grown = std::clamp(this->Size, MinBlockBytes, MaxBlockBytes);
    if (this->Expected <= this->Size)
      return Grown;
    auto Missing = this->Expected - this->Size;
    return this->Receipt == nullptr ? Missing
                                    : std::min(Missing, MaxBlockBytes);
  }

  MemoryBudget *Source = nullptr;
  std::unique_ptr<AnswerMemory::Receipt> Receipt; ///< null for a request
  std::size_t Expected = 0; ///< 0 if the length is unknown
  std::size_t Size = 0;
  std::deque<std::string> Blocks;
  MemoryBudget::Share Held;
};

/// Body type of Boost.Beast's parsers (a named requirement of that library).
struct BlockBody {
  using value_type = ReceivedBody;

  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields> & /*Header*/, value_type &Value)
        : Value(Value) {}

    void init(const boost::optional<std::uint64_t> &Length,
              boost::beast::error_code &Error) {
      Error = {};
      if (Length && !this->Value.expect(static_cast<std::size_t>(*Length)))
        Error = http::error::buffer_overflow;
    }
    template <typename Buffers>
    std::size_t put(const Buffers &Input, boost::beast::error_code &Error) {
      Error = {};
      std::size_t Size = 0;
      for (auto Buffer : boost::beast::buffers_range_ref(Input)) {
        if (!this->Value.append(static_cast<const char *>(Buffer.data()),
                                Buffer.size())) {
          Error = http::error::buffer_overflow;
          return Size;
        }
        Size += Buffer.size();
      }
      return Size;
    }
    void finish(boost::beast::error_code &Error) { Error = {}; }

  private:
    value_type &Value;
  };
};

/// \param MaxUnreadBytes length of a header, trailer or chunk header above
///   which it is malformed; the parser takes each only as a whole.
template <typename Parser>
ParseResult feed(Parser &Reader, evbuffer *Input, std::size_t MaxUnreadBytes,
                 bool &Started) {
  while (evbuffer_get_length(Input) > 0) {
    auto Size = evbuffer_get_length(Input);
    const auto *Bytes = evbuffer_pullup(Input, -1);
    boost::beast::error_code Error;
    auto Consumed = Reader.put(boost::asio::buffer(Bytes, Size), Error);
    evbuffer_drain(Input, Consumed);
    Started = true;
    if (Error == http::error::need_more) {
      if (Consumed != 0)
        continue;
      return Size < MaxUnreadBytes ? ParseResult::NeedMore
                                   : ParseResult::HeaderTooLarge;
    }
    if (Error == http::error::header_limit)
      return ParseResult::HeaderTooLarge;
    if (Error == http::error::body_limit)
      return ParseResult::BodyTooLarge;
    if (Error == http::error::buffer_overflow)
      return ParseResult::NoMemory;
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
  std::optional<http::request_parser<BlockBody>> Parser;
  std::size_t MaxHeaderBytes = 0;
  bool ContinueSent = false;
};

RequestParser::RequestParser() : Impl(std::make_unique<State>()) {}
RequestParser::~RequestParser() = default;

void RequestParser::reset(std::size_t MaxHeaders, std::size_t MaxBody,
                          MemoryBudget *Memory) {
  this->Impl->Parser.emplace();
  this->Impl->Parser->get().body().bind(Memory);
  this->Impl->Parser->eager(true);
  this->Impl->Parser->header_limit(static_cast<std::uint32_t>(MaxHeaders));
  this->Impl->Parser->body_limit(MaxBody);
  this->Impl->MaxHeaderBytes = MaxHeaders;
  this->Impl->ContinueSent = false;
  this->Started = false;
}

ParseResult RequestParser::read(evbuffer *Input) {
  return feed(*this->Impl->Parser, Input, this->Impl->MaxHeaderBytes,
              this->Started);
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
  Result.Body = Message.body().release();
  return Result;
}

struct ResponseParser::State {
  http::response_parser<BlockBody> Parser;
  bool Started = false;
};

ResponseParser::ResponseParser(bool IsHead, std::size_t MaxBody,
                               AnswerMemory *Memory,
                               std::function<void()> OnGivenUp)
    : Impl(std::make_unique<State>()) {
  if (Memory != nullptr)
    this->Impl->Parser.get().body().bind(*Memory, std::move(OnGivenUp));
  this->Impl->Parser.eager(true);
  this->Impl->Parser.skip(IsHead);
  this->Impl->Parser.header_limit(MaxHeaderBytes);
  this->Impl->Parser.body_limit(MaxBody);
}

ResponseParser::~ResponseParser() = default;

ParseResult ResponseParser::read(evbuffer *Input) {
  return feed(this->Impl->Parser, Input, MaxHeaderBytes, this->Impl->Started);
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

bool ResponseParser::release(HttpResponse &Response) {
  const auto &Received = this->Impl->Parser.get();
  std::size_t HeaderBytes = 0;
  for (const auto &Field : Received)
    HeaderBytes += Field.name_string().size() + Field.value().size();
  if (!this->Impl->Parser.get().body().take(HeaderBytes))
    return false;
  auto Message = this->Impl->Parser.release();
  Response.Status = static_cast<int>(Message.result_int());
  Response.Headers = headersOf(Message);
  Response.Body = Message.body().release();
  return true;
}

void addBody(evbuffer *Output, const Body &Value) {
  constexpr std::size_t MaxCopiedBytes = 4096;
  if (Value.size() <= MaxCopiedBytes) {
    evbuffer_add(Output, Value.text().data(), Value.size());
    return;
  }
  auto *Owner = new Body(Value);
  auto Release = [](const void * /*Bytes*/, std::size_t /*Size*/, void *Held) {
    delete static_cast<Body *>(Held);
  };
  if (evbuffer_add_reference(Output, Owner->text().data(), Owner->size(),
                             Release, Owner) != 0)
    delete Owner;
}

std::string reasonPhrase(int Status) {
  auto Phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(Status)));
  return std::string(Phrase);
}

} // namespace impl

} // namespace limpetdrum
