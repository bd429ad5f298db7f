#include "limpetdrum/process/Types.h"

#include "limpetdrum/process/Error.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace limpetdrum {

namespace {

constexpr std::size_t HexDigitsPerWord = 16;

/// \param Text the whole attempt id, for errors.
std::uint64_t parseHexWord(const char *Begin, const std::string &Text) {
  std::uint64_t Word = 0;
  const char *End = Begin + HexDigitsPerWord;
  auto Result = std::from_chars(Begin, End, Word, 16);
  if (Result.ec != std::errc() || Result.ptr != End)
    throw ValueError("'" + Text +
                         "' is not a valid attempt id: expected 32 "
                         "hexadecimal digits",
                     "pass on the Limpetdrum-Attempt header unchanged");
  return Word;
}

} // namespace

std::uint64_t stableHash(const std::string &Bytes,
                         std::uint64_t Seed) noexcept {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::string addressToString(Endpoint Value) {
  in_addr Address{};
  Address.s_addr = htonl(Value.Address);
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address, Text, sizeof(Text));
  return Text;
}

std::string toString(Endpoint Value) {
  return addressToString(Value) + ":" + std::to_string(Value.Port);
}

Endpoint parseEndpoint(const std::string &Text) {
  const std::string Remedy =
      "write an IPv4 address and a port, such as 10.0.0.7:7400";
  auto Colon = Text.rfind(':');
  in_addr Address{};
  if (Colon == std::string::npos ||
      inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address) != 1)
    throw ValueError("'" + Text +
                         "' does not begin with an IPv4 address and a colon",
                     Remedy);
  Endpoint Result;
  Result.Address = ntohl(Address.s_addr);
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Begin, End, Result.Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Result.Port == 0)
    throw ValueError("'" + Text +
                         "' does not have a valid port: expected a number from "
                         "1 to 65535",
                     Remedy);
  return Result;
}

Incarnation callerKey(const NodeId &Node, Incarnation Current) {
  return Incarnation(stableHash(Node.value(), Current.value()));
}

std::string toString(AttemptId Value) {
  char Text[2 * HexDigitsPerWord + 1];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Value.Caller.value()),
                static_cast<unsigned long long>(Value.Sequence));
  return Text;
}

AttemptId parseAttemptId(const std::string &Text) {
  if (Text.size() != 2 * HexDigitsPerWord)
    throw ValueError("'" + Text +
                         "' is not a valid attempt id: expected 32 "
                         "hexadecimal digits",
                     "pass on the Limpetdrum-Attempt header unchanged");
  return AttemptId{Incarnation(parseHexWord(Text.data(), Text)),
                   parseHexWord(Text.data() + HexDigitsPerWord, Text)};
}

} // namespace limpetdrum
