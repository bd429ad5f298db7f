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

TEST_CASE("AnswerMemory gives up long answers of unknown length first") {
  constexpr std::size_t Kilobyte = 1024;
  AnswerMemory Memory(1000 * Kilobyte);
  Answer Announced(Memory);
  Answer Endless(Memory);
  Announced.Receipt.setAnnounced();
  CHECK(Announced.Receipt.take(700 * Kilobyte));
  CHECK_FALSE(Endless.Receipt.take(400 * Kilobyte));
  CHECK(Memory.used() == 700 * Kilobyte);
  Answer Unknown(Memory);
  CHECK(Unknown.Receipt.take(300 * Kilobyte));
  CHECK(Announced.Receipt.take(300 * Kilobyte));
  CHECK(Unknown.IsGivenUp);
}

// Guards against requests that fail for want of memory before their answers
// begin, although they hold none.
TEST_CASE("AnswerMemory gives up no short answer for announced long ones") {
  AnswerMemory Memory(100);
  Answer Waiting(Memory);
  Answer Long(Memory);
  Answer Next(Memory);
  Long.Receipt.setAnnounced();
  Next.Receipt.setAnnounced();
  CHECK(Long.Receipt.take(90));
  CHECK(Next.Receipt.take(20));
  CHECK(Long.IsGivenUp);
  CHECK_FALSE(Waiting.IsGivenUp);
  CHECK(Waiting.Receipt.take(10));
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
