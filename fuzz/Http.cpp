// Fuzzes the parsers of HTTP requests and responses.
#include "../lib/connection/HttpParser.h"

#include <event2/buffer.h>

namespace {

using namespace limpetdrum;

void readRequests(evbuffer *Input) {
  MemoryBudget Memory(MaxBodyBytes / 2);
  impl::RequestParser Parser;
  Parser.reset(MaxHeaderBytes, MaxBodyBytes, &Memory);
  while (Parser.read(Input) == impl::ParseResult::Done) {
    auto Request = Parser.release();
    removeConnectionHeaders(Request.Headers);
    Parser.reset(MaxHeaderBytes, MaxBodyBytes, &Memory);
  }
}

void readResponse(evbuffer *Input, bool IsHeadResponse) {
  AnswerMemory Memory(MaxBodyBytes / 2);
  impl::ResponseParser Parser(IsHeadResponse, MaxBodyBytes, &Memory);
  HttpResponse Response;
  if (Parser.read(Input) == impl::ParseResult::Done || Parser.finishAtClose())
    (void)Parser.release(Response);
  removeConnectionHeaders(Response.Headers);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  evbuffer *Input = evbuffer_new();
  evbuffer_add(Input, Data + 1, Size - 1);
  if (Data[0] % 3 == 0)
    readRequests(Input);
  else
    readResponse(Input, Data[0] % 3 == 1);
  evbuffer_free(Input);
  return 0;
}
