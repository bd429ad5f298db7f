#ifndef LIMPETDRUM_UNITTESTS_FORWARDERFIXTURE_H
#define LIMPETDRUM_UNITTESTS_FORWARDERFIXTURE_H

#include "LocalTargetFixture.h"
#include "limpetdrum/daemon/calls/Forwarder.h"

#include <cstdlib>
#include <unistd.h>

namespace limpetdrum::test {

/// \brief A forwarder whose only node is its own, with a mock target.
///
/// The id of a call is that of its parent, extended by a slash and a suffix.
struct ForwarderFixture {
  EventLoop Loop;
  LocalTargetFixture Local;
  std::FILE *LogFile = std::tmpfile();
  EventLog Log{dup(fileno(this->LogFile))};
  Metrics Counters;
  Mesh Peers{this->Loop, Contact{NodeId("n1"), {}, FailureDomain("a")},
             Incarnation(7), this->Log, this->Counters};
  TargetSelector Targets{{NodeId("n1"), FailureDomain("a"), 1,
                          [](const ServiceName &, const std::vector<NodeId> &) {
                            return std::optional<Contact>();
                          }},
                         this->Loop,
                         this->Peers,
                         this->Local.Target,
                         this->Log,
                         this->Counters};
  RepeatBudget Repeats{0.2, Milliseconds(10'000), 1};
  OverloadControl Overload{1};
  Allowances Parts{1};
  LeavePlan Leaving{Milliseconds(6000)};
  std::shared_ptr<const TrafficPolicy> Policy;
  Forwarder Entry{{NodeId("n1"), Incarnation(7), ServiceName("ordering"), 1,
                   [](const std::string &Id) -> std::optional<std::string> {
                     auto End = Id.rfind('/');
                     if (End == std::string::npos)
                       return std::nullopt;
                     return Id.substr(0, End);
                   }},
                  HeaderNames{},
                  this->Loop,
                  this->Peers,
                  this->Local.Target,
                  this->Targets,
                  this->Repeats,
                  this->Local.Crashes,
                  this->Overload,
                  this->Parts,
                  this->Leaving,
                  [this]() { return this->Policy; },
                  this->Log,
                  this->Counters};

  ForwarderFixture() {
    this->Repeats.setSlack(100);
    (void)this->Local.Target.onReport(
        LocalTargetFixture::report("t1", 1000, 1));
  }
  ~ForwarderFixture() { std::fclose(this->LogFile); }
  ForwarderFixture(const ForwarderFixture &) = delete;
  ForwarderFixture &operator=(const ForwarderFixture &) = delete;

  static TrafficRoute route(const std::string &Name, bool IsOpen = false) {
    TrafficRoute Route;
    Route.Name = Name;
    Route.Host = "shop.example";
    Route.Prefix = "/" + Name + "/";
    Route.Idempotent = true;
    Route.Timeout = Milliseconds(5000);
    Route.LatencyTarget = Milliseconds(1000);
    Route.MaxAttempts = 2;
    Route.Services = {{ServiceName("ordering"), 1}};
    Route.IsOpen = IsOpen;
    return Route;
  }

  /// Puts a policy with the routes `orders` and `open` in force.
  void setPolicy(std::vector<OrganisationPolicy> Owners,
                 Milliseconds Timeout = Milliseconds(5000)) {
    auto Closed = route("orders");
    auto Open = route("open", true);
    Closed.Timeout = Timeout;
    Open.Timeout = Timeout;
    this->Policy = std::make_shared<const TrafficPolicy>(
        Revision(++this->LastVersion), std::vector<TrafficRoute>{Closed, Open},
        std::map<ServiceName, ServicePolicy>(), ClientLimits(), "",
        Organisations(std::move(Owners)));
  }

  /// Sends a request of a client or of the target.
  void request(const std::string &Id, const std::string &Path,
               HttpHeaders Headers = {}) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers = std::move(Headers);
    Request.Headers.emplace_back("Host", "shop.example");
    Request.Headers.emplace_back(HeaderNames().RequestId, Id);
    Request.Started = this->Loop.now();
    this->Exchanges.push_back(std::make_shared<HttpExchange>(
        Request, std::weak_ptr<HttpServerConnection>()));
    this->Entry.onRequest(this->Exchanges.back());
  }

  /// Returns all values of a header that the target received with a request.
  [[nodiscard]] std::vector<std::string> sent(std::size_t Index,
                                              const std::string &Name) const {
    std::vector<std::string> Values;
    for (const auto &[Key, Value] : this->Local.SentCalls.at(Index).Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        Values.push_back(Value);
    return Values;
  }

  /// Returns what the forwarder has logged.
  [[nodiscard]] std::string logged() {
    this->Log.flush();
    std::rewind(this->LogFile);
    std::string Text;
    for (int C = std::fgetc(this->LogFile); C != EOF;
         C = std::fgetc(this->LogFile))
      Text.push_back(static_cast<char>(C));
    return Text;
  }

  std::uint64_t LastVersion = 0;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
};

} // namespace limpetdrum::test

#endif
