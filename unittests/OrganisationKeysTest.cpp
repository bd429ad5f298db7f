#include "ForwarderFixture.h"
#include "limpetdrum/request/RequestFingerprint.h"

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Values = std::vector<std::string>;

const std::string Key = HeaderNames().OrganisationKey;
const std::string Name = HeaderNames().Organisation;

OrganisationPolicy owner(const std::string &Name, std::vector<std::string> Keys,
                         std::optional<ClassRank> Rank = std::nullopt) {
  OrganisationPolicy Policy;
  Policy.Name = Organisation(Name);
  Policy.Keys = std::move(Keys);
  Policy.Rank = Rank;
  return Policy;
}

} // namespace

TEST_CASE("A target gets the organisation's name, never a key") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"}), owner("other", {"secret-2"})});
  F.request("r1", "/orders/1",
            {{"Api-Nothing", "x"},
             {"LIMPETDRUM-KEY", "secret-1"},
             {Name, "other"},
             {"Limpetdrum-Organisation", "third"}});
  REQUIRE(F.Local.SentCalls.size() == 1);
  CHECK(F.sent(0, Key).empty());
  CHECK(F.sent(0, Name) == Values{"acme"});
  CHECK(F.sent(0, "Api-Nothing") == Values{"x"});
}

TEST_CASE("An unknown key is answered with 401 and not logged") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"})});
  auto Headers = GENERATE_REF(
      values<HttpHeaders>({{},
                           {{Key, "secret-9"}},
                           {{Key, ""}},
                           {{Key, "secret-1"}, {Key, "secret-1"}},
                           // Only the node says whose request it is.
                           {{Name, "acme"}}}));
  F.request("r1", "/orders/1", Headers);
  CHECK(F.Local.SentCalls.empty());
  CHECK_FALSE(F.Exchanges.front()->isOpen());
  auto Text = F.logged();
  CHECK(Text.find("\"unauthorized\"") != std::string::npos);
  CHECK(Text.find("\"orders\"") != std::string::npos);
  CHECK(Text.find("secret") == std::string::npos);
  CHECK(F.Counters.text().find("outcome=\"unauthorized\"") !=
        std::string::npos);
  CHECK(F.Counters.text().find("secret") == std::string::npos);
}

TEST_CASE("An open route needs no key, and passes none on") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"})});
  F.request("r1", "/open/1", {{Name, "acme"}});
  F.request("r2", "/open/1", {{Key, "secret-9"}});
  F.request("r3", "/open/1", {{Key, "secret-1"}});
  REQUIRE(F.Local.SentCalls.size() == 3);
  CHECK(F.sent(0, Name).empty());
  CHECK(F.sent(1, Name).empty());
  CHECK(F.sent(2, Name) == Values{"acme"});
  CHECK(F.sent(1, Key).empty());
  CHECK(F.sent(2, Key).empty());
}

TEST_CASE("Without organisations only a false name is removed") {
  ForwarderFixture F;
  F.setPolicy({});
  F.request("r1", "/orders/1", {{Key, "the application's"}, {Name, "acme"}});
  REQUIRE(F.Local.SentCalls.size() == 1);
  CHECK(F.sent(0, Key) == Values{"the application's"});
  CHECK(F.sent(0, Name).empty());
}

TEST_CASE("A call of the target bears the organisation of its run") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"}), owner("other", {"secret-2"})});
  F.request("r1", "/orders/1", {{Key, "secret-1"}});
  F.request("r2", "/open/1");
  F.request("r1/a", "/orders/2", {{Name, "other"}});
  F.request("r1/a/b", "/open/2", {{Key, "secret-2"}});
  F.request("r2/a", "/orders/3");
  // It may have begun before this process.
  F.request("gone/a", "/orders/4", {{Name, "other"}});
  REQUIRE(F.Local.SentCalls.size() == 6);
  CHECK(F.sent(2, Name) == Values{"acme"});
  CHECK(F.sent(3, Name) == Values{"acme"});
  CHECK(F.sent(3, Key).empty());
  CHECK(F.sent(4, Name).empty());
  CHECK(F.sent(5, Name).empty());
}

TEST_CASE("A call of a run that has ended is not run, and nobody poses as a "
          "target") {
  ForwarderFixture F;
  auto IsClosed = GENERATE(true, false);
  F.setPolicy({owner("acme", {"secret-1"})}, Milliseconds(20));
  auto Wait = F.Loop.after(Milliseconds(25), [&F]() { F.Loop.stop(); });
  F.Loop.run();
  F.request("gone/a", IsClosed ? "/orders/4" : "/open/4");
  CHECK(F.Local.SentCalls.size() == (IsClosed ? 0 : 1));
  auto Text = F.logged();
  CHECK(Text.find("\"call_of_unknown_run\"") != std::string::npos);
  CHECK((Text.find("\"refused\"") != std::string::npos) == IsClosed);
  CHECK(Text.find("\"unauthorized\"") == std::string::npos);
}

TEST_CASE("A repeated request bears its organisation again") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"})});
  F.request("r1", "/orders/1", {{Key, "secret-1"}});
  REQUIRE(F.Local.SentCallbacks.size() == 1);
  // The key is taken away while the request runs.
  F.setPolicy({owner("acme", {"secret-2"})});
  F.Local.SentCallbacks[0](
      LocalTargetFixture::answer(503, {{HeaderNames().NotExecuted, "1"}}));
  REQUIRE(F.Local.SentCalls.size() == 2);
  CHECK(F.sent(1, Name) == Values{"acme"});
  CHECK(F.sent(1, Key).empty());
  CHECK(F.logged().find("secret") == std::string::npos);
}

TEST_CASE("A key counts by the policy in force at each request") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", {"secret-1"})});
  F.request("r1", "/orders/1", {{Key, "secret-1"}});
  F.request("r2", "/orders/1", {{Key, "secret-2"}});
  CHECK(F.Local.SentCalls.size() == 1);
  F.setPolicy({owner("acme", {"secret-2"})});
  F.request("r3", "/orders/1", {{Key, "secret-1"}});
  CHECK(F.Local.SentCalls.size() == 1);
  F.request("r4", "/orders/1", {{Key, "secret-2"}});
  REQUIRE(F.Local.SentCalls.size() == 2);
  CHECK(F.sent(1, Name) == Values{"acme"});
}

TEST_CASE("A crashing request is the same under two keys") {
  ForwarderFixture F;
  F.setPolicy(
      {owner("acme", {"secret-1", "secret-2"}), owner("other", {"secret-3"})});
  auto IsSame = GENERATE(true, false);
  for (const auto *Value : {"secret-1", "secret-2", "secret-3"})
    F.request(std::string("r-") + Value,
              std::string("/orders/") + (IsSame ? "" : Value), {{Key, Value}});
  REQUIRE(F.Local.SentCalls.size() == 3);
  HttpResponse Broken;
  Broken.Outcome = HttpOutcome::Broken;
  for (std::size_t I = 0; I < 3; ++I)
    F.Local.SentCallbacks[I](Broken);
  F.Local.finishEndChecks(true);
  REQUIRE_FALSE(F.Local.News.empty());
  // Each request is reported once for each target that ended.
  CHECK(F.Local.News.front().Reports.size() == (IsSame ? 1 : 3));
}

TEST_CASE("An organisation's rank goes before its route's") {
  ForwarderFixture F;
  F.setPolicy({owner("first", {"secret-1"}, ClassRank(0)),
               owner("second", {"secret-2"}, ClassRank(1))});
  F.request("r1", "/orders/1", {{Key, "secret-1"}});
  F.request("r2", "/orders/1", {{Key, "secret-2"}});
  F.request("r2/a", "/orders/1");
  auto RankOf = [&F](const std::string &Id) {
    return F.Local.Target.callContext(Id)->Rank;
  };
  CHECK(RankOf("r1") < RankOf("r2"));
  CHECK(RankOf("r2/a") == RankOf("r2"));
}
