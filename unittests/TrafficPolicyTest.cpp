#include "limpetdrum/version/TrafficPolicy.h"
#include "FakeClock.h"
#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/SplitChooser.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

TrafficRoute route(const std::string &Prefix,
                   std::vector<WeightedService> Services) {
  TrafficRoute Route;
  Route.Name = Prefix;
  Route.Host = "shop.example";
  Route.Prefix = Prefix;
  Route.Services = std::move(Services);
  return Route;
}

TrafficPolicy policy(std::vector<TrafficRoute> Routes) {
  return {Revision(3), std::move(Routes), {}, {}, ""};
}

const std::vector<WeightedService> One = {{ServiceName("one"), 1}};

} // namespace

TEST_CASE("TrafficPolicy selects the longest prefix of whole segments") {
  auto Policy = policy({route("/a/", One), route("/a/b/", One)});
  struct Case {
    const char *Host;
    const char *Path;
    const char *Expected;
  };
  auto C = GENERATE(Case{"shop.example", "/a/b/c", "/a/b/"},
                    Case{"shop.example", "/a/b", "/a/"},
                    Case{"SHOP.example:80", "/a/x/y/z", "/a/"},
                    Case{"shop.example", "/a/bc/d", "/a/"},
                    Case{"shop.example", "/a", ""},
                    Case{"shop.example", "/", ""}, Case{"shop.example", "", ""},
                    Case{"other.example", "/a/b/c", ""});
  const auto *Found = Policy.find(C.Host, C.Path);
  INFO(C.Host << C.Path);
  CHECK((Found == nullptr ? std::string() : Found->Prefix) == C.Expected);
}

TEST_CASE("TrafficPolicy applies a root route to every path") {
  auto Policy = policy({route("/", One)});
  CHECK(Policy.find("shop.example", "/anything/at/all") != nullptr);
}

TEST_CASE("TrafficPolicy rejects a route without a service") {
  CHECK_THROWS_AS(policy({route("/a/", {})}), ValueError);
}

TEST_CASE("SplitChooser follows the weights in every 20 requests") {
  auto Split =
      route("/a/", {{ServiceName("one"), 90}, {ServiceName("two"), 10}});
  SplitChooser Chooser;
  for (int Run = 0; Run < 5; ++Run) {
    int Two = 0;
    for (int I = 0; I < 20; ++I)
      if (Chooser.choose(Split).value() == "two")
        ++Two;
    CHECK(Two == 2);
  }
}
