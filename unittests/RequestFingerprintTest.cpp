#include "limpetdrum/request/RequestFingerprint.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

HttpRequest request() {
  HttpRequest Value;
  Value.Method = "POST";
  Value.Target = "/orders/1?size=2";
  Value.Headers = {{"Host", "shop.example"}, {"Authorization", "key"}};
  Value.Body = "pallet";
  return Value;
}

} // namespace

TEST_CASE("fingerprint ignores what differs between repetitions") {
  auto Repeated = request();
  Repeated.Headers = {{"X-Request-Id", "2"},
                      {"authorization", "key"},
                      {"host", "shop.example"}};
  CHECK(fingerprint(Repeated) == fingerprint(request()));
}

TEST_CASE("fingerprint differs between requests for different things") {
  auto Differs = [](auto Change) {
    auto Other = request();
    Change(Other);
    return fingerprint(Other) != fingerprint(request());
  };
  CHECK(Differs([](auto &Other) { Other.Method = "PUT"; }));
  CHECK(Differs([](auto &Other) { Other.Target = "/orders/1"; }));
  CHECK(Differs([](auto &Other) { Other.Body = "pallets"; }));
  CHECK(Differs([](auto &Other) { Other.Headers.pop_back(); }));
  CHECK(Differs([](auto &Other) { Other.Headers[0].second = "x"; }));
  // The same bytes, divided differently.
  CHECK(Differs([](auto &Other) {
    Other.Target = "/orders/1?size=2shop.example";
    Other.Headers[0].second = "";
  }));
}
