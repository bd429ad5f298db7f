#include "limpetdrum/daemon/ServiceDirectory.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

Member member(const std::string &Name, const std::string &Service) {
  Member M;
  M.Node = NodeId(Name);
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain("a");
  M.Service = ServiceName(Service);
  M.Target = TargetState::Ready;
  return M;
}

} // namespace

TEST_CASE("ServiceDirectory reflects every change of the membership",
          "[directory]") {
  FakeClock Clock;
  Membership Members(member("self", "planning"), {}, 1);
  ServiceDirectory Directory(Members);
  ServiceName Planning("planning");
  auto Merge = [&](Member M) {
    static_cast<void>(Members.merge({M}, Clock.now()));
    return Directory.routeCandidates(Planning).size();
  };
  CHECK(Directory.routeCandidates(Planning).size() == 1);
  auto Other = member("other", "planning");
  CHECK(Merge(Other) == 2);
  CHECK(Merge(member("third", "ordering")) == 2);
  SECTION("a member dies") {
    Other.Health = Health::Dead;
    CHECK(Merge(Other) == 1);
  }
  SECTION("a member drains") {
    Other.Target = TargetState::Draining;
    ++Other.Version;
    CHECK(Merge(Other) == 1);
    CHECK(Directory.keyCandidates(Planning).size() == 1);
  }
  SECTION("this node drains") {
    Members.announce(Planning, Slots(1), TargetState::Draining);
    CHECK(Directory.routeCandidates(Planning).size() == 1);
  }
}

TEST_CASE("ServiceDirectory limits route candidates but not key candidates",
          "[directory]") {
  FakeClock Clock;
  Membership Members(member("self", "ordering"), {}, 1);
  std::vector<Member> Many;
  for (int I = 0; I < 40; ++I)
    Many.push_back(member("node-" + std::to_string(I), "planning"));
  static_cast<void>(Members.merge(Many, Clock.now()));
  ServiceDirectory Directory(Members);
  CHECK(Directory.routeCandidates(ServiceName("planning")).size() == 12);
  CHECK(Directory.keyCandidates(ServiceName("planning")).size() == 40);
}
