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

Release foldOn(const Release &Base, const std::string &Text) {
  return applyNote(Base, parseReleaseNote(Text, "note.yaml"));
}

} // namespace

TEST_CASE("ReleaseNote folds added, changed and withdrawn", "[note]") {
  auto One = base();
  CHECK(One.Revision == Revision(1));
  CHECK(findRoute(One, "/ordering/place")->Retries == 3);
  auto Two = foldOn(One, R"(against: 1
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

TEST_CASE("Release survives its own YAML", "[note]") {
  auto One = base();
  auto Again = parseRelease(toYaml(One), "release");
  CHECK(difference(One, Again).empty());
  CHECK(Again.Revision == One.Revision);
  REQUIRE(Again.Publications.size() == 1);
  CHECK(Again.Publications[0].Id == One.Publications[0].Id);
}

TEST_CASE("ReleaseNote errors name file, line, column and remedy", "[note]") {
  struct Case {
    const char *Text;
    const char *Place;
    const char *Words;
  };
  auto Wrong = GENERATE(
      Case{"against: 1\nadded:\n  clases: []\n", "note.yaml:3:3", "clases"},
      Case{"against: x\n", "note.yaml:1:10", "whole number"},
      Case{"added: {}\n", "note.yaml:1:1", "against"},
      Case{"against: 1\nagainst: 2\n", "note.yaml:2:1", "twice"},
      Case{"against: [\n", "note.yaml:2:1", "YAML"},
      Case{"against: 1\nadded:\n  services:\n    - name: a\n      routes:\n"
           "        - {path: /b/x, class: order}\n",
           "note.yaml:6:18", "outside of its service"},
      Case{"against: 1\nadded: {classes: [{name: a, importance: 0}]}\n",
           "note.yaml:2:41", "range"});
  try {
    static_cast<void>(foldOn(base(), Wrong.Text));
    FAIL("no error for: " << Wrong.Text);
  } catch (const SourceError &E) {
    INFO(E.what());
    CHECK(std::string(E.what()).find(Wrong.Place) == 0);
    CHECK(std::string(E.what()).find(Wrong.Words) != std::string::npos);
    CHECK_FALSE(E.remedy().empty());
  }
}

TEST_CASE("ReleaseNote refuses what would not hold together", "[note]") {
  auto Text = GENERATE(
      // A service that others call is withdrawn.
      "against: 1\nwithdrawn: {services: [planning]}\n",
      // A class in use is withdrawn.
      "against: 1\nwithdrawn: {classes: [order]}\n",
      // A cycle of calls.
      "against: 1\nchanged:\n  services:\n    - name: planning\n      routes:\n"
      "        - {path: /planning/find, class: browse, "
      "calls: [/ordering/place]}\n",
      // Added twice, changed but missing, withdrawn but missing.
      "against: 1\nadded: {classes: [{name: order, importance: 1}]}\n",
      "against: 1\nchanged: {classes: [{name: nosuch, importance: 1}]}\n",
      "against: 1\nwithdrawn: {services: [nosuch]}\n");
  CHECK_THROWS_AS(foldOn(base(), Text), SourceError);
}

TEST_CASE("ReleaseNote against another revision names the one in force",
          "[note]") {
  CHECK_THROWS_AS(foldOn(base(), "against: 7\n"), ConflictError);
  CHECK_THROWS_WITH(foldOn(base(), "against: 7\n"),
                    Catch::Contains("against: 1"));
}

TEST_CASE("ReleaseNote refuses a release beyond the platform's megabyte",
          "[note]") {
  std::string Text = "against: 1\nadded:\n  classes:\n";
  for (int I = 0; I < 30000; ++I)
    Text += "    - {name: a-rather-long-name-for-a-class-" + std::to_string(I) +
            ", importance: 1}\n";
  CHECK_THROWS_WITH(foldOn(base(), Text),
                    Catch::Contains("more than the platform holds"));
}

TEST_CASE("InForce only rises, and keeps what it has when offered nonsense",
          "[note]") {
  InForce Releases;
  auto One = base();
  auto Two = foldOn(One, "against: 1\nwithdrawn: {}\n");
  CHECK(Releases.offer(toYaml(Two)));
  CHECK_FALSE(Releases.offer(toYaml(One)));
  CHECK_FALSE(Releases.offer(toYaml(Two)));
  CHECK_THROWS_AS(Releases.offer("revision: many"), SourceError);
  CHECK(Releases.revision() == Revision(2));
}

TEST_CASE("CompiledRelease knows what a request may reach", "[note]") {
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
