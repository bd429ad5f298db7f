#include "limpetdrum/request/RequestFingerprint.h"

#include <array>
#include <cstdio>

namespace limpetdrum {

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
  Add(Request.Body);
  return RequestFingerprint(Hash);
}

std::string toString(RequestFingerprint Value) {
  constexpr std::size_t Digits = 16;
  std::array<char, Digits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Value.value()));
  return Text.data();
}

} // namespace limpetdrum
