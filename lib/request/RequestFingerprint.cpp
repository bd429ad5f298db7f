#include "limpetdrum/request/RequestFingerprint.h"

#include "limpetdrum/process/Error.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace limpetdrum {

namespace {

constexpr std::size_t HexDigits = 16;

} // namespace

RequestFingerprint fingerprint(const HttpRequest &Request) {
  std::uint64_t Hash = 0;
  // Each hash is the seed of the next, so parts cannot run into each other.
  auto Add = [&Hash](const std::string &Part) {
    Hash = stableHash(Part, Hash + 1);
  };
  Add(Request.Method);
  Add(Request.Target);
  for (const auto *Name : {"Host", "Authorization"}) {
    const auto *Value = findHeader(Request.Headers, Name);
    Add(Value == nullptr ? std::string() : *Value);
  }
  Add(Request.Body.text());
  return RequestFingerprint(Hash);
}

std::string toString(RequestFingerprint Value) {
  std::array<char, HexDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Value.value()));
  return Text.data();
}

RequestFingerprint parseFingerprint(const std::string &Text) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Text.size() != HexDigits || Parsed.ec != std::errc() || Parsed.ptr != End)
    throw ValueError("'" + Text + "' is not a valid request fingerprint",
                     "write 16 hexadecimal digits");
  return RequestFingerprint(Value);
}

} // namespace limpetdrum
