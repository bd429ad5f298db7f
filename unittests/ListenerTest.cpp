#include "OwnAddress.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>

#include <ctime>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <vector>

using namespace limpetdrum;

namespace {

void runFor(EventLoop &Loop, Milliseconds Time) {
  auto End = Loop.after(Time, [&Loop]() { Loop.stop(); });
  Loop.run();
}

/// Takes all descriptors that this process may still open.
class NoDescriptors {
public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &this->Usual);
    auto Low = this->Usual;
    Low.rlim_cur = 256;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &Low) == 0);
    for (int File = 0; (File = open("/dev/null", O_RDONLY)) >= 0;)
      this->Files.push_back(File);
  }
  ~NoDescriptors() {
    for (int File : this->Files)
      close(File);
    setrlimit(RLIMIT_NOFILE, &this->Usual);
  }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Usual{};
  std::vector<int> Files;
};

} // namespace

TEST_CASE("HttpServer without a free descriptor does not spin, and accepts "
          "what waited",
          "[http]") {
  EventLoop Loop;
  Endpoint Local{test::ownAddress(), 21101};
  std::size_t Errors = 0;
  std::size_t Requests = 0;
  HttpServerOptions Options;
  Options.OnAcceptError = [&](const std::string &) { ++Errors; };
  HttpServer Server(
      Loop, Local,
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        ++Requests;
        Exchange->reply(200, {}, "");
      },
      Options);
  int Client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Address = toSocketAddress(Local);
  const std::string Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  bool IsConnected = false;
  bool IsSent = false;
  std::clock_t Used = 0;
  std::size_t RequestsMeanwhile = 0;
  {
    // UBSan needs a descriptor for the checks of Catch2, so they come later.
    NoDescriptors Exhausted;
    IsConnected = connect(Client, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0;
    IsSent = send(Client, Request.data(), Request.size(), 0) > 0;
    auto Start = std::clock();
    runFor(Loop, Milliseconds(1500));
    Used = std::clock() - Start;
    RequestsMeanwhile = Requests;
  }
  REQUIRE(IsConnected);
  REQUIRE(IsSent);
  CHECK(Used < CLOCKS_PER_SEC / 5);
  CHECK(Errors >= 1);
  CHECK(Errors <= 2);
  CHECK(RequestsMeanwhile == 0);
  runFor(Loop, Milliseconds(300));
  CHECK(Requests == 1);
  close(Client);
}
