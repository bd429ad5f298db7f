#include "limpetdrum/daemon/fleet/ContactRegistry.h"
#include "MockStore.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace limpetdrum;
using namespace limpetdrum::test;
using trompeloeil::_;

// Guards against one odd entry of another writer that ends the processes which
// read the contacts, or keeps them from the others.
TEST_CASE("ContactRegistry finds the contacts beside an odd one") {
  EventLoop Loop;
  EventLog Log(open("/dev/null", O_WRONLY));
  MockStore Store;
  auto Contact = [](const std::string &Link, const std::string &Incarnation) {
    return R"({"link":")" + Link +
           R"(","gossip":"10.0.0.1:7","failure-domain":"a","region":"r",)"
           R"("service":"s","incarnation":)" +
           Incarnation + "}";
  };
  const std::vector<std::string> OddValues = {
      Contact("10.0.0.1:65536", "1"),
      Contact("10.0.0.1:0", "1"),
      Contact("10.0.0.1:-7", "1"),
      Contact("10.0.0.1:99999999999999999999", "1"),
      Contact("10.0.0.256:7", "1"),
      Contact("", "1"),
      Contact("10.0.0.1:7", "1e300"),
      Contact("10.0.0.1:7", "-1"),
      Contact("10.0.0.1:7", "99999999999999999999999"),
      Contact("10.0.0.1:7", "\"1\""),
      Contact("10.0.0.1:7", "[[[[[[[[[1]]]]]]]]]"),
      "{}",
      "[]",
      "null",
      "7",
      "{"};
  StoreListing Listing;
  Listing.Outcome = StoreOutcome::Done;
  Listing.Objects.push_back({"n1", 1, Contact("10.0.0.2:7", "5")});
  for (std::size_t I = 0; I < OddValues.size(); ++I)
    Listing.Objects.push_back({"odd" + std::to_string(I), 1, OddValues[I]});
  Listing.Objects.push_back({"n2", 1, Contact("10.0.0.3:7", "6")});
  ALLOW_CALL(Store, put(_, _, _, _));
  ALLOW_CALL(Store, list(_, _, _, _)).LR_SIDE_EFFECT(_4(Listing));
  Member Self;
  Self.Node = NodeId("n0");
  ContactRegistry Registry(Loop, Store, Self, Log, 1);
  std::vector<NodeId> Found;
  ContactRegistry::Handlers Handlers;
  Handlers.OnFound = [&](const std::vector<Member> &Members) {
    for (const auto &Each : Members)
      Found.push_back(Each.Node);
  };
  Handlers.MayRefresh = []() { return false; };
  Registry.start(ContactRegistry::Start::Alone, std::move(Handlers));
  CHECK(Found == std::vector<NodeId>{NodeId("n1"), NodeId("n2")});
}
