#include "EndlessAnswer.h"

#include <algorithm>

namespace limpetdrum::soak {

namespace {

/// Below the limit of the soak's policy on bodies, in bytes.
constexpr std::size_t UnmetLength = 1'000'000;

} // namespace

EndlessAnswer::EndlessAnswer(EndlessPart Part, const std::string &Head) {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (Part) {
  case EndlessPart::StatusLine:
    this->Start = "HTTP/1.1 200 ";
    this->Repeated = "OK ";
    break;
  case EndlessPart::Field:
    this->Start = Head + "X-Long: ";
    this->Repeated = "a";
    break;
  case EndlessPart::Fields:
    this->Start = Head;
    this->Repeated = "X-Many: a\r\n";
    break;
  case EndlessPart::BodyToClose:
    this->Start = Head + "Connection: close\r\n\r\n";
    this->Repeated = "a";
    break;
  case EndlessPart::Length:
    this->Start = Head + "Content-Length: 99999999999\r\n\r\n";
    this->Repeated = "a";
    break;
  case EndlessPart::UnmetLength:
    this->Start =
        Head + "Content-Length: " + std::to_string(UnmetLength) + "\r\n\r\n";
    this->Repeated = "a";
    this->Limit = this->Start.size() + UnmetLength - 1;
    break;
  case EndlessPart::Chunks:
    this->Start = Chunked;
    this->Repeated = "5\r\nhello\r\n";
    break;
  case EndlessPart::ChunkExtension:
    this->Start = Chunked + "5;x=";
    this->Repeated = "a";
    break;
  case EndlessPart::ChunkSize:
    this->Start = Chunked;
    this->Repeated = "0";
    break;
  case EndlessPart::Trailers:
    this->Start = Chunked + "0\r\n";
    this->Repeated = "X-Many: a\r\n";
    break;
  case EndlessPart::InterimAnswers:
    this->Repeated = "HTTP/1.1 102 Processing\r\n\r\n";
    break;
  case EndlessPart::AnswersOfOthers:
    this->Repeated = "HTTP/1.1 200 OK\r\nX-Limpetdrum-Attempt-Id: other\r\n"
                     "Content-Length: 5\r\n\r\nhello";
    break;
  case EndlessPart::AfterAnswer:
  case EndlessPart::OnIdle:
    this->Repeated = "a";
    break;
  }
}

std::string EndlessAnswer::next(std::size_t Size) {
  Size = std::min(Size, this->Limit - this->Written);
  std::string Bytes;
  Bytes.reserve(Size);
  if (this->Written < this->Start.size())
    Bytes = this->Start.substr(this->Written, Size);
  while (Bytes.size() < Size) {
    auto Offset = (this->Written + Bytes.size() - this->Start.size()) %
                  this->Repeated.size();
    Bytes.append(this->Repeated, Offset, Size - Bytes.size());
  }
  this->Written += Size;
  return Bytes;
}

} // namespace limpetdrum::soak
