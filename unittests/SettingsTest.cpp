#include "limpetdrum/process/Settings.h"
#include "limpetdrum/process/Error.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

const std::string Valid = R"(node: ordering-1
region: trondelag
failure-domain: a
listen:
  ingress: 10.0.0.7:7400
  egress: 127.0.0.1:7401
  rpc: 10.0.0.7:7402
  gossip: 10.0.0.7:7403
  admin: 10.0.0.7:7404
platform: 10.0.0.2:7300
contacts: ["10.0.0.8:7402"]
)";

std::string errorOf(const std::string &Text) {
  try {
    static_cast<void>(parseSettings(Text, "node.yaml"));
  } catch (const SourceError &E) {
    return E.what();
  }
  return "";
}

} // namespace

TEST_CASE("Settings parse durations with their units", "[settings]") {
  auto S = parseSettings(Valid + "leave-grace: 1500ms\ndrain-limit: 20s\n",
                         "node.yaml");
  CHECK(S.Node == NodeId("ordering-1"));
  CHECK(S.Rpc == Endpoint{0x0a000007, 7402});
  CHECK(S.AdvertisedRpc == S.Rpc);
  CHECK(S.LeaveGrace == Milliseconds(1500));
  CHECK(S.DrainLimit == std::chrono::seconds(20));
  REQUIRE(S.Contacts.size() == 1);
}

TEST_CASE("Settings errors contain file, line and column", "[settings]") {
  CHECK(errorOf(Valid + "colour: red\n").find("node.yaml:12:1: ") == 0);
  CHECK(errorOf(Valid + "leave-grace: 5\n").find("node.yaml:12:14: ") == 0);
  CHECK(errorOf(Valid + "leave-grace: 40s\n")
            .find("'drain-limit' of 30000ms is shorter than 'leave-grace' of "
                  "40000ms") != std::string::npos);
  // The key that is written, not the one whose default is too short.
  CHECK(errorOf(Valid + "leave-grace: 40s\n").find("node.yaml:12:") == 0);
  CHECK(errorOf(Valid + "leave-grace: 99999999999s\n")
            .find("'99999999999s' is not a valid 'leave-grace': expected a "
                  "whole number from 0 to 86400 with the unit s") !=
        std::string::npos);
  CHECK(errorOf("node: a\n").find("the required key 'region' is missing") !=
        std::string::npos);
  CHECK(errorOf(Valid + "mechanisms: {shed-at-entry: maybe}\n")
            .find("'maybe' is not a valid 'shed-at-entry'; write one of off, "
                  "on") != std::string::npos);
  CHECK(errorOf("- a\n").find("expected a mapping of keys to values") !=
        std::string::npos);
}

TEST_CASE("parseEndpoint accepts only IPv4 addresses with a port",
          "[settings]") {
  CHECK(toString(parseEndpoint("127.0.0.1:80")) == "127.0.0.1:80");
  for (const auto *Text : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                           "127.0.0.1:70000", "1.2.3:80", "127.0.0.1:80x", ""})
    CHECK_THROWS_AS(parseEndpoint(Text), ValueError);
}

TEST_CASE("AttemptId is unchanged by a round trip through text", "[settings]") {
  AttemptId Id{Incarnation(0xfeed), 42};
  CHECK(parseAttemptId(toString(Id)) == Id);
  CHECK_THROWS_AS(parseAttemptId("12"), ValueError);
  CHECK_THROWS_AS(parseAttemptId(std::string(32, 'z')), ValueError);
}
