#include "limpetdrum/process/AnswerMemory.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

/// Answer that is being received.
struct Answer {
  explicit Answer(AnswerMemory &Memory)
      : Receipt(Memory, [this]() { this->IsGivenUp = true; }) {}
  AnswerMemory::Receipt Receipt;
  bool IsGivenUp = false;
};

} // namespace

TEST_CASE("AnswerMemory never gives more than its limit") {
  AnswerMemory Memory(100);
  Answer First(Memory);
  Answer Second(Memory);
  CHECK(First.Receipt.take(60));
  CHECK(Second.Receipt.take(40));
  CHECK(Memory.used() == 100);
  CHECK_FALSE(First.Receipt.take(1));
  CHECK(Memory.used() == 40);
  CHECK_FALSE(First.Receipt.take(1));
  CHECK(Memory.givenUp() == 1);
  CHECK(Second.Receipt.take(60));
}

TEST_CASE(
    "AnswerMemory gives up the longest unfinished answer for a short one") {
  AnswerMemory Memory(100);
  Answer Endless(Memory);
  Answer Other(Memory);
  Answer Short(Memory);
  CHECK(Endless.Receipt.take(60));
  CHECK(Other.Receipt.take(40));
  CHECK(Short.Receipt.take(10));
  CHECK(Endless.IsGivenUp);
  CHECK_FALSE(Other.IsGivenUp);
  CHECK_FALSE(Endless.Receipt.take(1));
  CHECK(Memory.used() == 50);
}

TEST_CASE("AnswerMemory gives up answers of unknown length first") {
  AnswerMemory Memory(100);
  Answer Announced(Memory);
  Answer Endless(Memory);
  Announced.Receipt.setAnnounced();
  CHECK(Announced.Receipt.take(70));
  CHECK_FALSE(Endless.Receipt.take(40));
  CHECK(Memory.used() == 70);
  Answer Short(Memory);
  CHECK(Short.Receipt.take(30));
  CHECK(Announced.Receipt.take(30));
  CHECK(Short.IsGivenUp);
}

TEST_CASE("AnswerMemory keeps complete answers until they are delivered") {
  AnswerMemory Memory(100);
  MemoryBudget::Share Complete;
  {
    Answer Long(Memory);
    CHECK(Long.Receipt.take(75));
    CHECK_FALSE(Memory.isScarce());
    Complete = Long.Receipt.complete();
  }
  CHECK_FALSE(Memory.isScarce());
  {
    Answer Short(Memory);
    CHECK(Short.Receipt.take(1));
    auto Delivered = Short.Receipt.complete();
    CHECK(Memory.isScarce());
  }
  Answer Next(Memory);
  CHECK_FALSE(Next.Receipt.take(26));
  CHECK(Memory.used() == 75);
  Complete = {};
  CHECK(Memory.used() == 0);
}

TEST_CASE("AnswerMemory frees the memory of an answer that ends early") {
  AnswerMemory Memory(100);
  {
    Answer Cut(Memory);
    CHECK(Cut.Receipt.take(100));
  }
  CHECK(Memory.used() == 0);
  CHECK(Memory.givenUp() == 0);
}
