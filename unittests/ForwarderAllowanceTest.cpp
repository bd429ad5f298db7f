#include "ForwarderFixture.h"

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const std::string Key = HeaderNames().OrganisationKey;

OrganisationPolicy owner(const std::string &Name, double Rate) {
  OrganisationPolicy Policy;
  Policy.Name = Organisation(Name);
  Policy.Keys = {"key-of-" + Name};
  Policy.RatePerSecond = Rate;
  Policy.Burst = Rate;
  return Policy;
}

/// Sends requests until one is refused.
/// \returns the number of those that were sent on.
std::size_t exhaust(ForwarderFixture &F, const std::string &Name) {
  auto Before = F.Local.SentCalls.size();
  for (int I = 0; I < 50 && F.Counters.counter("allowance_refusals") == 0; ++I)
    F.request("r" + std::to_string(I), "/orders/1", {{Key, "key-of-" + Name}});
  return F.Local.SentCalls.size() - Before;
}

} // namespace

TEST_CASE("A request over the allowance is refused, and logged with the inputs "
          "of the decision") {
  ForwarderFixture F;
  F.Parts.setFleetSize(1);
  F.setPolicy({owner("acme", 2), owner("other", 0)});
  CHECK(exhaust(F, "acme") <= 3);
  auto Text = F.logged();
  for (const auto *Field :
       {"\"over_allowance\"", "\"organisation\":\"acme\"",
        "\"level\":", "\"part\":1", "\"fleet_asked\":", "\"news_age_ms\":-1",
        "\"retry_after_ms\":", "\"policy\":1"}) {
    INFO(Field);
    CHECK(Text.find(Field) != std::string::npos);
  }
  CHECK(Text.find("key-of-acme") == std::string::npos);
  CHECK(F.Counters.text().find("outcome=\"over-allowance\"") !=
        std::string::npos);
  // It counts for no service, and takes nothing from the others.
  auto Before = F.Local.SentCalls.size();
  F.request("r100", "/orders/1", {{Key, "key-of-other"}});
  CHECK(F.Local.SentCalls.size() == Before + 1);
}

TEST_CASE("A call of the target takes nothing out of the allowance") {
  ForwarderFixture F;
  F.Parts.setFleetSize(1);
  F.setPolicy({owner("acme", 2)});
  CHECK(exhaust(F, "acme") > 0);
  auto Before = F.Local.SentCalls.size();
  F.request("r0/1", "/orders/1");
  CHECK(F.Local.SentCalls.size() == Before + 1);
  // Nor does a client get more by an id that looks like that of a call.
  F.request("unknown/1", "/orders/1", {{Key, "key-of-acme"}});
  CHECK(F.Local.SentCalls.size() == Before + 1);
}

TEST_CASE("What was refused later without a run is given back") {
  ForwarderFixture F;
  F.Parts.setFleetSize(1);
  F.setPolicy({owner("acme", 2)});
  F.Leaving.begin(F.Loop.now());
  F.Leaving.close(F.Loop.now()); // from now on each request is refused with 503
  CHECK(exhaust(F, "acme") == 0);
  CHECK(F.Counters.counter("allowance_refusals") == 0);
  CHECK(F.logged().find("\"refused\"") != std::string::npos);
}

TEST_CASE("Without allowances the forwarder keeps no account") {
  ForwarderFixture F;
  F.setPolicy({owner("acme", 0)});
  CHECK(exhaust(F, "acme") > 5); // what the target has slots for
  CHECK(F.Counters.counter("allowance_refusals") == 0);
  CHECK(F.Parts.size() == 0);
}
