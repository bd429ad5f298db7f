#ifndef LIMPETDRUM_REVIEW_STANDINS_3_TARGETPROCESS_H
#define LIMPETDRUM_REVIEW_STANDINS_3_TARGETPROCESS_H

#include "Deployment.h"

namespace review {

/// \brief Process of a target whose reports and leave the trial sends.
class TargetProcess {
public:
  using OnRun = std::function<void(const std::string &Id)>;

  /// \param Handler called for each request that begins to run.
  /// \param Ahead time by which the machine's time of day is ahead as the
  ///   process starts.
  TargetProcess(Place Where, OnRun Handler,
                std::chrono::milliseconds Ahead = std::chrono::milliseconds(0),
                std::string Id = "")
      : Where(std::move(Where)),
        Id(Id.empty() ? "i-" + this->Where.Name : std::move(Id)),
        Handler(std::move(Handler)),
        Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch() + Ahead)
                 .count()),
        Listening(this->Where.target(),
                  [this](Connection &Client) { this->serve(Client); }) {}

  [[nodiscard]] const std::string &id() const noexcept { return this->Id; }

  /// \brief Returns the report that the process makes now.
  [[nodiscard]] std::string makeReport() {
    return nlohmann::json(
               {{"address",
                 "127.0.0.1:" + std::to_string(this->Where.target())},
                {"born", this->Born},
                {"server-info",
                 {{"service", this->Where.Service},
                  {"version", "v1"},
                  {"zone", this->Where.Zone},
                  {"slots", 90}}},
                {"status",
                 {{"state", "ready"},
                  {"sequence", ++this->Sequence},
                  {"cold-remaining", "0ms"}}}})
        .dump();
  }

  /// \brief Sends a report (PUT) or a leave (DELETE) to the node.
  /// \returns the status of its answer; 0 if there is none.
  int call(const std::string &Method, const std::string &Body) {
    this->IsLeaving = this->IsLeaving || Method == "DELETE";
    auto Link = Connection::open(this->Where.control());
    if (!Link || !Link->write(Method + " /-/instances/" + this->id() +
                              " HTTP/1.1\r\nHost: node\r\n"
                              "Content-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(Body.size()) + "\r\n\r\n" + Body))
      return 0;
    auto Answer = Link->read(std::chrono::seconds(1));
    return Answer ? std::stoi(Answer->Start.substr(9, 3)) : 0;
  }

private:
  void serve(Connection &Client) {
    while (auto Request = Client.read(std::chrono::seconds(100))) {
      // The answer to a status check.
      auto Answer = std::string(this->IsLeaving ? "HTTP/1.1 503 Leaving"
                                                : "HTTP/1.1 200 OK") +
                    "\r\nX-Limpetdrum-Instance-Id: " + this->id() +
                    "\r\nContent-Length: 0\r\n\r\n";
      if (Request->header("X-Limpetdrum-Expected-Instance") == this->id()) {
        auto Id = Request->header("X-Limpetdrum-Attempt-Id");
        this->Handler(Id);
        sleepFor(std::chrono::milliseconds(20));
        Answer = "HTTP/1.1 200 OK\r\nX-Limpetdrum-Attempt-Id: " + Id +
                 "\r\nX-Limpetdrum-Response-Signature: s-" + Id +
                 "\r\nContent-Length: 8\r\n\r\naccepted";
      } else if (Request->Start.find(" /health ") == std::string::npos) {
        Answer = "HTTP/1.1 421 Misdirected Request\r\n"
                 "Content-Length: 0\r\n\r\n";
      }
      if (!Client.write(Answer))
        return;
    }
  }

  Place Where;
  std::string Id;
  OnRun Handler;
  std::int64_t Born;
  unsigned Sequence = 0;
  std::atomic<bool> IsLeaving{false};
  Server Listening;
};

} // namespace review

#endif
