#include "limpetdrum/request/Identification.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

using Verdict = IdentityVerdict;

const std::string KnownKey = "k-1";
const std::string OtherKey = "k-2";
const std::string UnknownKey = "k-9";

TrafficRoute route(bool IsOpen) {
  TrafficRoute Route;
  Route.Name = IsOpen ? "open" : "closed";
  Route.Host = "shop.example";
  Route.Prefix = "/" + Route.Name + "/";
  Route.Services = {{ServiceName("one"), 1}};
  Route.IsOpen = IsOpen;
  return Route;
}

OrganisationPolicy owner(const std::string &Name,
                         std::vector<std::string> Keys) {
  OrganisationPolicy Policy;
  Policy.Name = Organisation(Name);
  Policy.Keys = std::move(Keys);
  return Policy;
}

TrafficPolicy policy(std::vector<OrganisationPolicy> Owners) {
  return {Revision(3), {route(false), route(true)},     {}, {},
          "",          Organisations(std::move(Owners))};
}

const TrafficPolicy TwoOwners =
    policy({owner("a", {KnownKey}), owner("b", {OtherKey, "k-3"})});

Identification identifyKey(const TrafficPolicy &Policy, const std::string *Key,
                           bool IsOpen = false) {
  Credentials Shown;
  Shown.Key = Key;
  return identify(Policy, route(IsOpen), Shown);
}

CallContext runOf(const std::string &Name) {
  CallContext Run;
  Run.Organisation = Organisation(Name);
  return Run;
}

} // namespace

TEST_CASE("A request belongs to the organisation of its key") {
  auto IsOpen = GENERATE(false, true);
  auto First = identifyKey(TwoOwners, &KnownKey, IsOpen);
  CHECK(First.Verdict == Verdict::Accepted);
  CHECK(First.Name == Organisation("a"));
  CHECK(First.Owner == TwoOwners.organisations().find(Organisation("a")));
  auto Second = identifyKey(TwoOwners, &OtherKey, IsOpen);
  CHECK(Second.Verdict == Verdict::Accepted);
  CHECK(Second.Name == Organisation("b"));
}

TEST_CASE("A request without a known key is accepted on open routes only") {
  const std::string Prefix = KnownKey.substr(0, 2);
  const std::string Padded = KnownKey + " ";
  const std::string Empty;
  const auto *Key = GENERATE_REF(values<const std::string *>(
      {nullptr, &UnknownKey, &Prefix, &Padded, &Empty}));
  CHECK(identifyKey(TwoOwners, Key).Verdict == Verdict::UnknownKey);
  auto OnOpenRoute = identifyKey(TwoOwners, Key, true);
  CHECK(OnOpenRoute.Verdict == Verdict::Accepted);
  CHECK(OnOpenRoute.Owner == nullptr);
  CHECK(OnOpenRoute.Name == Organisation(""));
}

TEST_CASE("A request with two keys has none") {
  Credentials Shown;
  Shown.Key = &KnownKey;
  Shown.IsRepeated = true;
  CHECK(identify(TwoOwners, route(false), Shown).Verdict ==
        Verdict::UnknownKey);
  CHECK(identify(TwoOwners, route(true), Shown).Name == Organisation(""));
}

TEST_CASE("No key is needed if the policy has no organisations") {
  auto Policy = policy({});
  const auto *Key =
      GENERATE(values<const std::string *>({nullptr, &UnknownKey}));
  auto Result = identifyKey(Policy, Key);
  CHECK(Result.Verdict == Verdict::Accepted);
  CHECK(Result.Owner == nullptr);
  auto Run = runOf("a");
  CHECK(identify(Policy, route(false), {nullptr, false, true, &Run}).Name ==
        Organisation(""));
}

TEST_CASE("A call belongs to the organisation of its run") {
  auto Run = runOf("b");
  auto Result = identify(TwoOwners, route(false), {nullptr, false, true, &Run});
  CHECK(Result.Verdict == Verdict::Accepted);
  CHECK(Result.Name == Organisation("b"));
  CHECK(Result.Owner == TwoOwners.organisations().find(Organisation("b")));
  // A target might send a key of its own, or of another organisation.
  CHECK(
      identify(TwoOwners, route(false), {&KnownKey, false, true, &Run}).Name ==
      Organisation("b"));
}

TEST_CASE("A call of nobody's run is nobody's, and accepted") {
  auto Run = runOf("");
  auto Result = identify(TwoOwners, route(false), {nullptr, false, true, &Run});
  CHECK(Result.Verdict == Verdict::Accepted);
  CHECK(Result.Owner == nullptr);
  CHECK(Result.Name == Organisation(""));
}

TEST_CASE("A call goes on if its organisation was taken away during the run") {
  auto Run = runOf("c");
  auto Result = identify(TwoOwners, route(false), {nullptr, false, true, &Run});
  CHECK(Result.Verdict == Verdict::Accepted);
  CHECK(Result.Owner == nullptr);
  CHECK(Result.Name == Organisation("c"));
}

TEST_CASE("A call of an unknown run is nobody's while it may have begun before "
          "this process") {
  auto MayPrecede = GENERATE(true, false);
  Credentials Shown{nullptr, false, true, nullptr, MayPrecede};
  auto Result = identify(TwoOwners, route(false), Shown);
  CHECK(Result.Verdict ==
        (MayPrecede ? Verdict::Accepted : Verdict::UnknownRun));
  CHECK(Result.Name == Organisation(""));
  CHECK(identify(TwoOwners, route(true), Shown).Verdict == Verdict::Accepted);
  // Calls have no key, so this is a client's request.
  Shown.Key = &UnknownKey;
  CHECK(identify(TwoOwners, route(false), Shown).Verdict ==
        Verdict::UnknownKey);
  Shown.Key = &KnownKey;
  CHECK(identify(TwoOwners, route(false), Shown).Name == Organisation("a"));
}

TEST_CASE("A key counts by the policy in force") {
  auto Without = policy({owner("b", {OtherKey})});
  auto Moved = policy({owner("b", {OtherKey, KnownKey})});
  CHECK(identifyKey(TwoOwners, &KnownKey).Name == Organisation("a"));
  CHECK(identifyKey(Without, &KnownKey).Verdict == Verdict::UnknownKey);
  CHECK(identifyKey(Moved, &KnownKey).Name == Organisation("b"));
}
