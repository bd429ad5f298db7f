#include "HttpObjectStore.h"
#include "OwnAddress.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
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
    std::string Text = {}; ///< sent in place of Body unless it is empty
  };
  EventLoop Loop;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
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
        Exchange->reply(200, Headers,
                        Answer.Text.empty() ? Answer.Body.dump() : Answer.Text);
      }};
  platform::HttpObjectStore Store{Loop, Address, Log, Counters};

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

// Guards against one odd object of another writer that ends each process which
// reads the list, or keeps it from the others.
TEST_CASE("HttpObjectStore reads the objects beside an odd one", "[http]") {
  StoreFixture F;
  auto Object = [](const std::string &Name, const std::string &Value) {
    return R"({"metadata":{"name":")" + Name +
           R"(","revision":3},"specification":)" + Value + "}";
  };
  auto Deep = std::string(200'000, '[') + std::string(200'000, ']');
  auto DeepMap = std::string();
  for (int I = 0; I < 100'000; ++I)
    DeepMap += R"({"a":)";
  DeepMap += "1" + std::string(100'000, '}');
  const std::vector<std::string> OddObjects = {
      Object("odd", Deep),
      Object("odd", DeepMap),
      Object("odd", "1e999"),
      Object("odd", "-1e99999999999999999999"),
      Object("odd", std::string(5000, '9')),
      Object("odd", R"({"link":"10.0.0.1:99999999999999999999"})"),
      Object("odd", "\"\xff\xfe\""),
      Object("\xc3", "{}"),
      std::string(R"({"metadata":{"name":7,"revision":3},"specification":{}})"),
      std::string(R"({"metadata":{"name":"odd","revision":1e999}})"),
      std::string(R"({"metadata":[]})"),
      std::string("[]"),
      std::string("7"),
      std::string("1e999"),
      std::string("null"),
      Deep};
  auto Odd = OddObjects[GENERATE(range(0U, 16U))];
  REQUIRE(OddObjects.size() == 16);
  auto Place = GENERATE(0, 1, 2);
  std::vector<std::string> Items = {Object("a", "{}"), Object("b", "{}")};
  Items.insert(Items.begin() + Place, Odd);
  std::string Text;
  for (const auto &Item : Items)
    Text += (Text.empty() ? "" : ",") + Item;
  F.Answers = {{{}, "", R"({"items":[)" + Text + R"(],"more":false,"at":9})"}};
  auto Listing = F.list();
  CHECK(Listing.Outcome == StoreOutcome::Done);
  CHECK(Listing.Revision == 9);
  std::vector<std::string> Names;
  for (const auto &Each : Listing.Objects)
    if (Each.Name != "odd")
      Names.push_back(Each.Name);
  CHECK(Names == std::vector<std::string>{"a", "b"});
}

TEST_CASE("HttpObjectStore follows a watch beside an odd object", "[http]") {
  StoreFixture F;
  auto Deep = std::string(200'000, '[') + std::string(200'000, ']');
  auto Odd = GENERATE(true, false) ? Deep : std::string("1e999");
  F.Answers = {
      {{},
       "1",
       R"({"at":8,"events":[{"object":{"metadata":{"name":"odd","revision":8},)"
       R"("specification":)" +
           Odd +
           R"(},"deleted":false},{"object":{"metadata":{"name":"b",)"
           R"("revision":8},"specification":{}},"deleted":true}]})"}};
  auto Listing = F.watch(StoreEra(1));
  CHECK(Listing.Outcome == StoreOutcome::Done);
  CHECK(Listing.Revision == 8);
  CHECK(Listing.Deleted == std::vector<std::string>{"b"});
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
