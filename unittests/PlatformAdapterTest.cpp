#include "Adapter.h"

#include "limpetdrum/process/Error.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace limpetdrum;

namespace {

using Modification = void (*)(nlohmann::json &);

nlohmann::json policyBody() {
  return nlohmann::json::parse(R"({
    "version": "0000001a",
    "routes": {
      "r-1": {"host": "a.example", "path-prefix": "/x/", "route-kind": "safe",
              "timeout": "5000ms", "target-latency": "1.2s", "priority": 2,
              "traffic-split": [{"service": "s1", "weight": 90},
                                {"service": "s2", "weight": 0},
                                {"service": "s3", "weight": 10}],
              "max-attempts": 2},
      "r-2": {"host": "b.example", "path-prefix": "/y/",
              "route-kind": "unsafe", "timeout": "800ms",
              "target-latency": "200ms", "priority": 0, "service": "s2",
              "max-attempts": 1}},
    "services": {"s1": {"health-check-path": "/health",
                        "max-connections": 640}},
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
               "header-timeout": "3000ms", "idle-timeout": "15s"}})");
}

nlohmann::json reportBody() {
  return nlohmann::json::parse(R"({
    "address": "10.0.0.9:8080", "born": 1785159859000,
    "server-info": {"service": "s1", "version": "v1", "zone": "z",
                    "slots": 82},
    "status": {"state": "ready", "sequence": 4, "cold-remaining": "1.5s"}})");
}

TargetMessage decode(const std::string &Method, const std::string &Path,
                     const std::string &Body = "") {
  HttpRequest Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Body = Body;
  HttpExchange Exchange(Request, {});
  return platform::Adapter().decodeTargetMessage(Exchange);
}

} // namespace

TEST_CASE("Adapter decodes a traffic policy") {
  auto Policy = platform::Adapter().decodePolicy(policyBody().dump());
  CHECK(Policy->version() == Revision(0x1a));
  const auto *SplitRoute = Policy->find("a.example", "/x/1");
  REQUIRE(SplitRoute != nullptr);
  CHECK(SplitRoute->Idempotent);
  CHECK(SplitRoute->Timeout == Milliseconds(5000));
  CHECK(SplitRoute->LatencyTarget == Milliseconds(1200));
  REQUIRE(SplitRoute->Services.size() == 2);
  CHECK(SplitRoute->Services[1].Service == ServiceName("s3"));
  const auto *SingleRoute = Policy->find("b.example", "/y/1");
  REQUIRE(SingleRoute != nullptr);
  CHECK_FALSE(SingleRoute->Idempotent);
  CHECK(SingleRoute->Services.front().Service == ServiceName("s2"));
  CHECK(Policy->service(ServiceName("s1"))->MaxConnections == 640);
  CHECK(Policy->limits().IdleTimeout == Milliseconds(15'000));
}

TEST_CASE("Adapter rejects a malformed traffic policy") {
  auto Modify = GENERATE(
      as<Modification>{}, [](nlohmann::json &B) { B.erase("version"); },
      [](nlohmann::json &B) { B["version"] = "zz"; },
      [](nlohmann::json &B) { B["version"] = 7; },
      [](nlohmann::json &B) { B["version"] = ""; },
      [](nlohmann::json &B) { B["version"] = " 1a"; },
      [](nlohmann::json &B) { B["version"] = "0x1a"; },
      [](nlohmann::json &B) { B["version"] = "-1"; },
      [](nlohmann::json &B) { B["version"] = "1a "; },
      [](nlohmann::json &B) { B["version"] = "11111111111111111"; },
      [](nlohmann::json &B) {
        B["routes"]["r-1"]["traffic-split"][0]["weight"] = 1ULL << 32U;
      },
      [](nlohmann::json &B) {
        B["routes"]["r-1"]["max-attempts"] = (1ULL << 32U) + 1;
      },
      [](nlohmann::json &B) {
        B["services"]["s1"]["max-connections"] = 1ULL << 32U;
      },
      [](nlohmann::json &B) { B["routes"]["r-1"]["timeout"] = "5000"; },
      [](nlohmann::json &B) { B["routes"]["r-1"]["timeout"] = "-5ms"; },
      [](nlohmann::json &B) { B["routes"]["r-1"]["priority"] = -1; },
      [](nlohmann::json &B) { B["routes"]["r-2"].erase("service"); },
      [](nlohmann::json &B) { B["routes"]["r-2"]["max-attempts"] = 1.5; },
      [](nlohmann::json &B) { B.erase("limits"); },
      [](nlohmann::json &B) { B = nlohmann::json::array(); });
  auto Body = policyBody();
  Modify(Body);
  CHECK_THROWS_AS(platform::Adapter().decodePolicy(Body.dump()), ValueError);
  CHECK_THROWS_AS(platform::Adapter().decodePolicy("{\"version\":"),
                  ValueError);
}

TEST_CASE("Adapter decodes the organisations of a policy") {
  auto Body = policyBody();
  Body["tenants"] = nlohmann::json::parse(R"({
    "acme": {"api-keys": ["k-1", "k-2"], "priority": 1, "rate-per-s": 31.5,
             "burst": 40, "unknown": {"to": "us"}},
    "plain": {"api-keys": []},
    "last": {"api-keys": ["k-3"], "priority": 99, "rate-per-s": 0}})");
  Body["routes"]["r-1"]["public"] = true;
  Body["routes"]["r-2"]["public"] = false;
  auto Policy = platform::Adapter().decodePolicy(Body.dump());
  const auto &Owners = Policy->organisations();
  REQUIRE(Owners.entries().size() == 3);
  const auto *Acme = Owners.findByKey("k-2");
  REQUIRE(Acme != nullptr);
  CHECK(Acme == Owners.findByKey("k-1"));
  CHECK(Acme->Name == Organisation("acme"));
  CHECK(Acme->Rank == ClassRank(1));
  CHECK(Acme->RatePerSecond == 31.5);
  CHECK(Acme->Burst == 40);
  const auto *Plain = Owners.find(Organisation("plain"));
  REQUIRE(Plain != nullptr);
  CHECK_FALSE(Plain->Rank);
  CHECK(Plain->RatePerSecond == 0);
  CHECK(Plain->Burst == 0);
  CHECK(Owners.findByKey("k-3")->Rank == ClassRank(MaxRanks - 1));
  CHECK(Owners.findByKey("k-4") == nullptr);
  CHECK(Policy->find("a.example", "/x/1")->IsOpen);
  CHECK_FALSE(Policy->find("b.example", "/y/1")->IsOpen);
}

TEST_CASE("Adapter decodes a policy without organisations") {
  auto Body = policyBody();
  CHECK(platform::Adapter().decodePolicy(Body.dump())->organisations().empty());
  Body["tenants"] = nlohmann::json::object();
  CHECK(platform::Adapter().decodePolicy(Body.dump())->organisations().empty());
}

TEST_CASE("Adapter refuses a policy with a malformed organisation") {
  auto Body = policyBody();
  Body["tenants"] = nlohmann::json::parse(R"({
    "acme": {"api-keys": ["secret-1"], "rate-per-s": 5, "burst": 5},
    "other": {"api-keys": ["secret-2"]}})");
  CHECK_NOTHROW(platform::Adapter().decodePolicy(Body.dump()));
  auto Modify = GENERATE(
      as<Modification>{},
      [](nlohmann::json &B) { B["tenants"] = {B["tenants"]["acme"]}; },
      [](nlohmann::json &B) { B["tenants"] = nullptr; },
      [](nlohmann::json &B) { B["tenants"]["acme"] = "secret-1"; },
      [](nlohmann::json &B) { B["tenants"]["acme"].erase("api-keys"); },
      [](nlohmann::json &B) { B["tenants"]["acme"]["api-keys"] = "secret-1"; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["api-keys"] = {1}; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["api-keys"] = {""}; },
      [](nlohmann::json &B) {
        B["tenants"]["acme"]["api-keys"] = {{"secret-1", 1}};
      },
      [](nlohmann::json &B) { B["tenants"]["acme"]["priority"] = "1"; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["priority"] = -1; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["rate-per-s"] = -0.5; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["rate-per-s"] = "5"; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["burst"] = nullptr; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["burst"] = true; },
      [](nlohmann::json &B) { B["tenants"]["acme"]["burst"] = -1; },
      [](nlohmann::json &B) {
        B["tenants"]["other"]["api-keys"].push_back("secret-1");
      },
      [](nlohmann::json &B) { B["tenants"][""] = B["tenants"]["acme"]; },
      [](nlohmann::json &B) {
        B["tenants"]["a\r\nSet-Cookie: b"] = B["tenants"]["acme"];
        B["tenants"].erase("acme");
      },
      [](nlohmann::json &B) {
        B["tenants"][std::string(200, 'a')] = {{"api-keys", {"k-1"}}};
      },
      [](nlohmann::json &B) { B["routes"]["r-1"]["public"] = "yes"; });
  Modify(Body);
  try {
    (void)platform::Adapter().decodePolicy(Body.dump());
    FAIL("accepted " << Body["tenants"].dump());
  } catch (const ValueError &E) {
    CHECK(std::string(E.what()).find("secret") == std::string::npos);
  }
}

TEST_CASE("Adapter's messages do not quote a policy that is not JSON") {
  auto Text = GENERATE(
      as<std::string>{},
      R"({"tenants": {"acme": {"api-keys": ["secret-1\x"]}}})",
      "{\"tenants\": {\"acme\": {\"api-keys\": [\"secret-\xff\"]}}}",
      R"({"tenants": {"acme": {"api-keys": ["secret-1)",
      R"({"tenants": {"acme": {"api-keys": secret-1}}})",
      R"({"tenants": {"acme": {"burst": 1e999, "api-keys": ["secret-1"]}}})");
  try {
    (void)platform::Adapter().decodePolicy(Text);
    FAIL("accepted");
  } catch (const ValueError &E) {
    CHECK(std::string(E.what()).find("secret") == std::string::npos);
  }
}

TEST_CASE("Adapter decodes the reports and the leave of a target") {
  auto Message = decode("PUT", "/-/instances/i-7", reportBody().dump());
  REQUIRE(Message.Kind == TargetMessage::Kind::Report);
  const auto &Target = Message.Report.Target;
  CHECK(Target.Id == "i-7");
  CHECK(Target.Started == 1785159859000);
  CHECK(Target.Sequence == 4);
  CHECK(Target.Slots == Slots(82));
  CHECK(Target.isReady());
  CHECK(Message.Report.WarmUp == Milliseconds(1500));
  CHECK(decode("DELETE", "/-/instances/i-7").Id == "i-7");
  CHECK(decode("GET", "/-/instances/i-7").Kind == TargetMessage::Kind::Other);
  CHECK(decode("PUT", "/elsewhere").Kind == TargetMessage::Kind::Other);
}

TEST_CASE("Adapter rejects a malformed report of a target") {
  auto Modify = GENERATE(
      as<Modification>{}, [](nlohmann::json &B) { B.erase("status"); },
      [](nlohmann::json &B) { B.erase("server-info"); },
      [](nlohmann::json &B) { B["status"]["state"] = "resting"; },
      [](nlohmann::json &B) { B["status"]["state"] = 1; },
      [](nlohmann::json &B) { B["status"]["sequence"] = "4"; },
      [](nlohmann::json &B) { B["status"]["sequence"] = -4; },
      [](nlohmann::json &B) { B["server-info"]["slots"] = 0; },
      [](nlohmann::json &B) { B["server-info"]["slots"] = 70000; },
      [](nlohmann::json &B) { B["server-info"]["service"] = nullptr; },
      [](nlohmann::json &B) { B["born"] = 1.5; },
      [](nlohmann::json &B) { B["born"] = 1ULL << 63U; },
      [](nlohmann::json &B) { B["address"] = "nowhere"; });
  auto Body = reportBody();
  Modify(Body);
  CHECK_THROWS_AS(decode("PUT", "/-/instances/i-7", Body.dump()), ValueError);
  CHECK_THROWS_AS(decode("PUT", "/-/instances/i-7", "\xff\xfe"), ValueError);
}

// Guards against a process that a deeply nested message of another writer ends.
TEST_CASE("Adapter rejects deeply nested messages") {
  constexpr std::size_t Depth = 300'000;
  auto Lists = std::string(Depth, '[') + std::string(Depth, ']');
  std::string Maps;
  for (std::size_t I = 0; I < Depth; ++I)
    Maps += R"({"status":)";
  Maps += "1" + std::string(Depth, '}');
  for (const auto &Text : {Lists, Maps, std::string("1e999"),
                           std::string(R"({"status":{"sequence":1e999}})")}) {
    CHECK_THROWS_AS(decode("PUT", "/-/instances/i-7", Text), ValueError);
    CHECK_THROWS_AS(platform::Adapter().decodePolicy(Text), ValueError);
  }
}

TEST_CASE("parseDuration accepts only a number with the unit ms or s") {
  CHECK(platform::parseDuration("1500ms") == Milliseconds(1500));
  CHECK(platform::parseDuration("2.5s") == Milliseconds(2500));
  CHECK(platform::parseDuration("0ms") == Milliseconds(0));
  auto Malformed = GENERATE("", "ms", "15", "5m", "-1s", "1 s", "nans", " 1s",
                            "+1s", "0x10s", "1e3ms", "infs", "1ss");
  CHECK_THROWS_AS(platform::parseDuration(Malformed), ValueError);
}

TEST_CASE("Adapter derives the parent's request id from the id of a call") {
  platform::Adapter Adapter;
  CHECK(Adapter.parentRequestId("9c41d07be2a35f68.77ab.12").value_or("") ==
        "9c41d07be2a35f68.77ab");
  CHECK_FALSE(Adapter.parentRequestId("9c41d07be2a35f68"));
  CHECK_FALSE(Adapter.parentRequestId(""));
  CHECK_FALSE(Adapter.parentRequestId(".12"));
}
