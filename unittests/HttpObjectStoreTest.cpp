#include "HttpObjectStore.h"
#include "OwnAddress.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace limpetdrum;

namespace {

using nlohmann::json;

const Endpoint Address{test::ownAddress(), 20995};

/// Store that answers each call with the next of the prepared answers.
struct StoreFixture {
  struct Answer {
    json Body;
    std::string Era;
  };
  EventLoop Loop;
  Metrics Counters;
  std::vector<Answer> Answers;
  std::vector<std::string> Targets; ///< paths and queries of the calls
  HttpServer Server{
      Loop, Address, [this](const auto &Exchange) {
        this->Targets.push_back(Exchange->request().Target);
        auto Next = std::min(this->Targets.size(), this->Answers.size()) - 1;
        const auto &Answer = this->Answers[Next];
        HttpHeaders Headers;
        if (!Answer.Era.empty())
          Headers.emplace_back("Store-Era", Answer.Era);
        Exchange->reply(200, Headers, Answer.Body.dump());
      }};
  platform::HttpObjectStore Store{Loop, Address, Counters};

  static json page(const std::vector<std::string> &Names, bool More) {
    json Result = {{"items", json::array()}, {"more", More}, {"at", 7}};
    for (const auto &Name : Names)
      Result["items"].push_back(
          {{"metadata", {{"name", Name}, {"revision", 3}}},
           {"specification", json::object()}});
    return Result;
  }

  StoreListing list() {
    std::optional<StoreListing> Result;
    this->Store.list("kind", false, "test", [&](const StoreListing &Value) {
      Result = Value;
      this->Loop.stop();
    });
    this->Loop.run();
    return *Result;
  }

  StoreListing watch(StoreEra Era) {
    std::optional<StoreListing> Result;
    this->Store.watch("kind", 5, Era, Milliseconds(100), "test",
                      [&](const StoreListing &Value) {
                        Result = Value;
                        this->Loop.stop();
                      });
    this->Loop.run();
    return *Result;
  }
};

} // namespace

TEST_CASE("HttpObjectStore lists all pages and their era", "[http]") {
  StoreFixture F;
  F.Answers = {{F.page({"a", "b"}, true), "2"}, {F.page({"c"}, false), "2"}};
  auto Listing = F.list();
  CHECK(Listing.Outcome == StoreOutcome::Done);
  CHECK(Listing.Objects.size() == 3);
  CHECK(Listing.Era == StoreEra(2));
  REQUIRE(F.Targets.size() == 2);
  CHECK(F.Targets[1] == "/-/objects/kind?after=b");
}

TEST_CASE("HttpObjectStore does not join pages of two eras", "[http]") {
  StoreFixture F;
  F.Answers = {{F.page({"a", "b"}, true), "2"}, {F.page({"c"}, false), "3"}};
  CHECK(F.list().Outcome != StoreOutcome::Done);
}

TEST_CASE("HttpObjectStore ends a list whose pages add nothing", "[http]") {
  StoreFixture F;
  F.Answers = {{F.page({"a"}, true), ""}, {F.page({}, true), ""}};
  CHECK(F.list().Outcome == StoreOutcome::Lost);
  CHECK(F.Targets.size() == 2);
}

// After a restoration the store assigns revisions again, so that the watched
// one may exist but mean something else.
TEST_CASE("HttpObjectStore ends a watch that another era answers", "[http]") {
  StoreFixture F;
  F.Answers = {{{{"events", json::array()}, {"at", 7}}, "1"}};
  CHECK(F.watch(StoreEra(1)).Outcome == StoreOutcome::Done);
  auto Listing = F.watch(StoreEra(0));
  CHECK(Listing.Outcome == StoreOutcome::RevisionExpired);
  CHECK(Listing.Era == StoreEra(1));
}

TEST_CASE("HttpObjectStore refuses to write a value that is no JSON",
          "[http]") {
  StoreFixture F;
  std::optional<StoreOutcome> Outcome;
  F.Store.put("kind", {"name", 0, "{"}, "test",
              [&](StoreOutcome Value) { Outcome = Value; });
  CHECK(Outcome == StoreOutcome::Refused);
  CHECK(F.Targets.empty());
}
