#include "limpetdrum/process/Body.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

TEST_CASE("MemoryBudget gives no more than its limit to requests") {
  MemoryBudget Budget(100);
  auto First = Budget.take(60);
  REQUIRE(First);
  CHECK_FALSE(Budget.take(41));
  auto Second = Budget.take(40);
  REQUIRE(Second);
  CHECK(Budget.used() == 100);
  CHECK_FALSE(Budget.take(0));
  Second.reset();
  CHECK(Budget.take(0));
  First.reset();
  CHECK(Budget.used() == 0);
}

TEST_CASE("MemoryBudget shares can be joined and moved") {
  MemoryBudget Budget(100);
  MemoryBudget::Share Joined;
  Joined.grow(*Budget.take(30));
  Joined.grow(*Budget.take(20));
  CHECK(Joined.bytes() == 50);
  auto Moved = std::move(Joined);
  CHECK(Moved.bytes() == 50);
  CHECK(Budget.used() == 50);
  Moved = MemoryBudget::Share();
  CHECK(Budget.used() == 0);
}

TEST_CASE("Body keeps its memory until the last copy is gone") {
  MemoryBudget Budget(100);
  Body Copy;
  {
    Body Original(std::string(40, 'a'), *Budget.take(40));
    Copy = Original;
    CHECK(&Copy.text() == &Original.text());
  }
  CHECK(Budget.used() == 40);
  CHECK(Copy.size() == 40);
  Copy = {};
  CHECK(Budget.used() == 0);
  CHECK(Copy.empty());
}
