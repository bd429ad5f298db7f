#include "limpetdrum/connection/BodyParts.h"
#include "limpetdrum/process/Error.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

std::string text(std::size_t Size, unsigned Seed) {
  std::string Text(Size, '\0');
  for (std::size_t I = 0; I < Size; ++I)
    Text[I] = static_cast<char>((I * 31 + Seed) % 251);
  return Text;
}

} // namespace

TEST_CASE("BodySender lets a short body pass a long one") {
  BodySender Sender;
  Sender.add(1, text(1'000'000, 1));
  Sender.add(2, text(40'000, 2));
  CHECK(Sender.unsentBytes() == 1'040'000);
  std::size_t Parts = 0;
  std::map<std::uint64_t, std::string> Received;
  while (Received[2].size() < 40'000) {
    auto Part = Sender.next();
    Received[Part.Call].append(Part.Bytes);
    ++Parts;
  }
  CHECK(Parts <= 4);
  while (!Sender.empty()) {
    auto Part = Sender.next();
    Received[Part.Call].append(Part.Bytes);
  }
  CHECK(Received[1] == text(1'000'000, 1));
  CHECK(Received[2] == text(40'000, 2));
}

TEST_CASE("BodySender sends no part of a cancelled body") {
  BodySender Sender;
  Sender.add(1, text(100'000, 1));
  (void)Sender.next();
  Sender.cancel(1);
  Sender.cancel(7);
  CHECK(Sender.empty());
  CHECK(Sender.unsentBytes() == 0);
}

TEST_CASE("BodyReceiver returns a message once its body is complete") {
  TimePoint Start{Microseconds(1000)};
  MemoryBudget Budget(1000);
  BodyReceiver Receiver;
  Receiver.begin(5, 10, {1, 2, 3}, *Budget.take(10), Start);
  CHECK_FALSE(Receiver.append(5, "01234", Start + Milliseconds(3)));
  CHECK_FALSE(Receiver.append(6, "another", Start + Milliseconds(3)));
  auto Complete = Receiver.append(5, "56789", Start + Milliseconds(7));
  REQUIRE(Complete);
  CHECK(Complete->Message == std::vector<unsigned char>{1, 2, 3});
  CHECK(Complete->Content == "0123456789");
  CHECK(Complete->Duration == Milliseconds(7));
  CHECK(Receiver.empty());
  CHECK(Budget.used() == 10);
  Complete.reset();
  CHECK(Budget.used() == 0);
}

TEST_CASE("BodyReceiver rejects a body that is longer than announced") {
  BodyReceiver Receiver;
  Receiver.begin(5, 4, {}, {}, TimePoint());
  CHECK_FALSE(Receiver.append(5, "123", TimePoint()));
  CHECK_THROWS_AS(Receiver.append(5, "45", TimePoint()), ValueError);
}

TEST_CASE("BodyReceiver frees the memory of a body that is dropped") {
  MemoryBudget Budget(1000);
  BodyReceiver Receiver;
  Receiver.begin(5, 400, {}, *Budget.take(400), TimePoint());
  CHECK_FALSE(Receiver.append(5, "123", TimePoint()));
  Receiver.drop(5);
  CHECK(Budget.used() == 0);
  CHECK_FALSE(Receiver.append(5, "45", TimePoint()));
}

TEST_CASE("BodyReceiver takes memory as a body arrives") {
  constexpr std::size_t Length = 1'000'000;
  MemoryBudget Budget(500'000);
  BodyReceiver Receiver;
  REQUIRE(Receiver.begin(5, Length, {1, 2}, &Budget, TimePoint()));
  CHECK(Budget.used() < 1000);
  CHECK_FALSE(Receiver.append(5, text(300'000, 1), TimePoint()));
  CHECK(Budget.used() > 300'000);
  auto Refused = Receiver.append(5, text(300'000, 1), TimePoint());
  REQUIRE(Refused);
  CHECK(Refused->ExceedsMemory);
  CHECK(Refused->Content.empty());
  CHECK(Refused->Message == std::vector<unsigned char>{1, 2});
  Refused.reset();
  CHECK(Budget.used() == 0);
}

TEST_CASE("BodyReceiver frees a body at its deadline") {
  MemoryBudget Budget(500'000);
  BodyReceiver Receiver;
  TimePoint Start{Microseconds(1000)};
  REQUIRE(Receiver.begin(5, 10, {}, &Budget, Start, Start + Milliseconds(9)));
  Receiver.dropOverdue(Start + Milliseconds(9));
  CHECK_FALSE(Receiver.empty());
  Receiver.dropOverdue(Start + Milliseconds(10));
  CHECK(Receiver.empty());
  CHECK(Budget.used() == 0);
}
