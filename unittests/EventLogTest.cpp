#include "limpetdrum/process/EventLog.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace limpetdrum;

namespace {

struct Pipe {
  int Ends[2] = {-1, -1};
  Pipe() { REQUIRE(pipe(this->Ends) == 0); }
  ~Pipe() {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    char Bytes[4096];
    for (;;) {
      auto Count = ::read(this->Ends[0], Bytes, sizeof(Bytes));
      if (Count <= 0)
        return Text;
      Text.append(Bytes, static_cast<std::size_t>(Count));
    }
  }
};

} // namespace

TEST_CASE("EventLog writes one JSON object per line, with or without fields") {
  Pipe Out;
  EventLog Log(Out.Ends[1]);
  Log.state("stop", {});
  Log.request("refused", {{"id", "r\"1\xff"}, {"queued", 3}});
  Log.flush();
  auto Text = Out.read();
  auto End = Text.find('\n');
  auto First = nlohmann::json::parse(Text.substr(0, End));
  auto Second = nlohmann::json::parse(Text.substr(End + 1));
  CHECK(First["event"] == "stop");
  CHECK(Second["queued"] == 3);
}

TEST_CASE("EventLog does not block on a full pipe and counts dropped lines") {
  Pipe Out;
  EventLog Log(Out.Ends[1]);
  std::string Long(1000, 'x');
  for (int I = 0; I < 1500; ++I)
    Log.state("change", {{"text", Long}});
  Log.flush();
  CHECK(Log.dropped() > 0);
  for (int Round = 0; Round < 10; ++Round) {
    (void)Out.read();
    Log.flush();
  }
  (void)Out.read();
  Log.state("change", {});
  Log.flush();
  CHECK(Out.read().find("\"lines_dropped\":") != std::string::npos);
}

TEST_CASE("EventLog limits the rate of request lines") {
  Pipe Out;
  EventLog Log(Out.Ends[1]);
  for (int I = 0; I < 5000; ++I)
    Log.request("refused", {{"id", I}});
  CHECK(Log.dropped() >= 1000);
}
