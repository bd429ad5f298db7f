#include "limpetdrum/process/SidecarSettings.h"
#include "limpetdrum/process/Error.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

std::string settings() {
  return "node: n1\n"
         "region: r\n"
         "failure-domain: a\n"
         "service: ordering\n"
         "target: 10.0.0.7:8301\n"
         "listen:\n"
         "  outbound: 10.0.0.7:8304\n"
         "  readiness: 10.0.0.7:8302\n"
         "  reports: 10.0.0.7:8306\n"
         "  link: 10.0.0.7:7620\n"
         "  metrics: 10.0.0.7:9464\n"
         "store: 10.0.0.2:8309\n"
         "repeats: {ratio: 0.1, slack: 48, window: 10s}\n";
}

std::string replaced(const std::string &Old, const std::string &New) {
  auto Text = settings();
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

} // namespace

TEST_CASE("SidecarSettings use the defaults of missing keys") {
  auto Result = parseSidecarSettings(settings(), "s.yaml");
  CHECK(Result.Node == NodeId("n1"));
  CHECK_FALSE(Result.FirstStart);
  CHECK(Result.RepeatRatio == Approx(0.1));
  CHECK(Result.DrainTimeout == Milliseconds(2000));
  // The advertised address of the link defaults to its listening address.
  CHECK(Result.AdvertisedLink == Result.Link);
  auto Forwarded = parseSidecarSettings(
      replaced("  metrics", "  advertised-link: 10.0.0.1:99\n  metrics"),
      "s.yaml");
  CHECK(Forwarded.AdvertisedLink == parseEndpoint("10.0.0.1:99"));
  CHECK(Forwarded.Link == parseEndpoint("10.0.0.7:7620"));
}

TEST_CASE("SidecarSettings accept a fraction of a repeat as slack") {
  CHECK(parseSidecarSettings(replaced("slack: 48", "slack: 22.142857142857142"),
                             "s.yaml")
            .RepeatSlack == Approx(22.142857));
}

TEST_CASE("SidecarSettings errors contain file and line") {
  using Case = std::pair<std::string, std::string>;
  auto Invalid =
      GENERATE(Case{replaced("ratio: 0.1", "ratio: 1.5"), "s.yaml:13"},
               Case{replaced("ratio: 0.1", "ratio: often"), "s.yaml:13"},
               Case{replaced("slack: 48", "slack: -1"), "s.yaml:13"},
               Case{replaced("slack: 48", "slack: 1000001"), "s.yaml:13"},
               Case{replaced("slack: 48", "slack: 4 8"), "s.yaml:13"},
               Case{replaced("window: 10s", "window: 0s"), "s.yaml:13"},
               Case{replaced("10.0.0.7:8304", "10.0.0.7"), "s.yaml:7"},
               Case{replaced("store:", "shop:"), "s.yaml"},
               Case{settings() + "surplus: 1\n", "s.yaml:14"});
  try {
    (void)parseSidecarSettings(Invalid.first, "s.yaml");
    FAIL("no error for: " << Invalid.first);
  } catch (const SourceError &E) {
    CHECK_THAT(E.what(), Catch::Contains(Invalid.second));
  }
}
