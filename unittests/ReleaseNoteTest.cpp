#include "limpetdrum/version/ReleaseNote.h"
#include "limpetdrum/version/InForce.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

constexpr const char *First = R"(against: 0
added:
  classes:
    - {name: order, importance: 1}
    - {name: browse, importance: 5}
  services:
    - name: ordering
      routes:
        - {path: /ordering/place, class: order, runs: once, retries: 3,
           deadline: 2s, calls: [/planning/find]}
    - name: planning
      routes: [{path: /planning/find, class: browse}]
)";

Release base() {
  return applyNote(Release(), parseReleaseNote(First, "first"));
}

Release applyTo(const Release &Base, const std::string &Text) {
  return applyNote(Base, parseReleaseNote(Text, "note.yaml"));
}

} // namespace

TEST_CASE("ReleaseNote applies added, changed and withdrawn entries",
          "[note]") {
  auto One = base();
  CHECK(One.Revision == Revision(1));
  CHECK(findRoute(One, "/ordering/place")->Retries == 3);
  auto Two = applyTo(One, R"(against: 1
changed:
  services:
    - name: ordering
      routes: [{path: /ordering/place, class: order, runs: once}]
withdrawn: {services: [planning]}
)");
  CHECK(Two.Revision == Revision(2));
  CHECK(findRoute(Two, "/planning/find") == nullptr);
  CHECK(difference(One, Two) ==
        std::vector<std::string>{"~ service ordering", "- service planning"});
}

TEST_CASE("Release is unchanged by a round trip through YAML", "[note]") {
  auto One = base();
  auto Again = parseRelease(toYaml(One), "release");
  CHECK(difference(One, Again).empty());
  CHECK(Again.Revision == One.Revision);
  REQUIRE(Again.Publications.size() == 1);
  CHECK(Again.Publications[0].Id == One.Publications[0].Id);
}

TEST_CASE("ReleaseNote errors contain file, line, column and remedy",
          "[note]") {
  struct Case {
    const char *Text;
    const char *Location;
    const char *Message;
  };
  auto Invalid = GENERATE(
      Case{"against: 1\nadded:\n  clases: []\n", "note.yaml:3:3",
           "the key 'clases' is unknown"},
      Case{"against: x\n", "note.yaml:1:10", "'x' is not a whole number"},
      Case{"added: {}\n", "note.yaml:1:1",
           "the required key 'against' is missing"},
      Case{"against: 1\nagainst: 2\n", "note.yaml:2:1",
           "the key 'against' occurs twice"},
      Case{"against: [\n", "note.yaml:2:1", "not a valid YAML document"},
      Case{"against: 1\nadded:\n  services:\n    - name: a\n      routes:\n"
           "        - {path: /b/x, class: order}\n",
           "note.yaml:6:18", "'/b/x' does not belong to the service 'a'"},
      Case{"against: 1\nadded: {classes: [{name: a, importance: 0}]}\n",
           "note.yaml:2:41",
           "'0' is not a whole number in the range from 1 to 100"});
  try {
    static_cast<void>(applyTo(base(), Invalid.Text));
    FAIL("no error for: " << Invalid.Text);
  } catch (const SourceError &E) {
    INFO(E.what());
    CHECK(std::string(E.what()).find(Invalid.Location) == 0);
    CHECK(std::string(E.what()).find(Invalid.Message) != std::string::npos);
    CHECK_FALSE(E.remedy().empty());
  }
}

TEST_CASE("ReleaseNote rejects an inconsistent release", "[note]") {
  auto Text = GENERATE(
      // Withdraws a service that others call.
      "against: 1\nwithdrawn: {services: [planning]}\n",
      // Withdraws a class in use.
      "against: 1\nwithdrawn: {classes: [order]}\n",
      // Creates a cycle of calls.
      "against: 1\nchanged:\n  services:\n    - name: planning\n      routes:\n"
      "        - {path: /planning/find, class: browse, "
      "calls: [/ordering/place]}\n",
      // Adds an existing class, changes a missing class, withdraws a missing
      // service.
      "against: 1\nadded: {classes: [{name: order, importance: 1}]}\n",
      "against: 1\nchanged: {classes: [{name: nosuch, importance: 1}]}\n",
      "against: 1\nwithdrawn: {services: [nosuch]}\n");
  CHECK_THROWS_AS(applyTo(base(), Text), SourceError);
}

TEST_CASE("ReleaseNote conflict error names the revision in force", "[note]") {
  CHECK_THROWS_AS(applyTo(base(), "against: 7\n"), ConflictError);
  CHECK_THROWS_WITH(applyTo(base(), "against: 7\n"),
                    Catch::Contains("against: 1"));
}

TEST_CASE("ReleaseNote rejects a release larger than the platform's limit",
          "[note]") {
  std::string Text = "against: 1\nadded:\n  classes:\n";
  for (int I = 0; I < 30000; ++I)
    Text += "    - {name: a-rather-long-name-for-a-class-" + std::to_string(I) +
            ", importance: 1}\n";
  CHECK_THROWS_WITH(
      applyTo(base(), Text),
      Catch::Contains("more than the limit of 1048576 bytes for a "
                      "value at the platform"));
}

TEST_CASE("InForce rejects malformed releases and those that are not newer",
          "[note]") {
  InForce Releases;
  auto One = base();
  auto Two = applyTo(One, "against: 1\nwithdrawn: {}\n");
  CHECK(Releases.offer(toYaml(Two)));
  CHECK_FALSE(Releases.offer(toYaml(One)));
  CHECK_FALSE(Releases.offer(toYaml(Two)));
  CHECK_THROWS_AS(Releases.offer("revision: many"), SourceError);
  CHECK(Releases.revision() == Revision(2));
}

TEST_CASE("CompiledRelease computes the rank and the reach of routes",
          "[note]") {
  CompiledRelease Compiled(toYaml(base()));
  const auto *Route = Compiled.route("/ordering/place");
  REQUIRE(Route != nullptr);
  CHECK(Route->Rank == ClassRank(0));
  CHECK(Route->CallDepth == 1);
  CHECK(Route->Reaches == std::vector<ServiceName>{ServiceName("ordering"),
                                                   ServiceName("planning")});
  CHECK(Compiled.route("/planning/find")->Rank == ClassRank(1));
  CHECK(Compiled.rankCount() == 2);
}
