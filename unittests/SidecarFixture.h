#ifndef LIMPETDRUM_UNITTESTS_SIDECARFIXTURE_H
#define LIMPETDRUM_UNITTESTS_SIDECARFIXTURE_H

#include "MemoryStore.h"
#include "OwnAddress.h"
#include "limpetdrum/daemon/Sidecar.h"
#include "limpetdrum/daemon/fleet/Mesh.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>

namespace limpetdrum::test {

/// \brief Adapter of a platform whose reports name a target and its state in
///   the path: `/ID/STATE`, where the state is ready, draining or left.
class PathAdapter final : public PlatformAdapter {
public:
  [[nodiscard]] const HeaderNames &headers() const override {
    return this->Names;
  }
  [[nodiscard]] const std::string &policyKind() const override {
    return this->Policy;
  }
  [[nodiscard]] const std::string &policyName() const override {
    return this->Policy;
  }
  [[nodiscard]] std::shared_ptr<const TrafficPolicy>
  decodePolicy(const std::string &Text) const override {
    TrafficRoute Route;
    Route.Name = "orders";
    Route.Host = "shop.example";
    Route.Prefix = "/orders/";
    Route.Timeout = Milliseconds(5000);
    Route.LatencyTarget = Milliseconds(1000);
    Route.MaxAttempts = 2;
    Route.Services = {{ServiceName("ordering"), 1}};
    ClientLimits Limits;
    Limits.MaxHeaderBytes = 16'384;
    Limits.MaxBodyBytes = 67'108'864;
    Limits.HeaderTimeout = Milliseconds(5000);
    Limits.IdleTimeout = Milliseconds(30'000);
    auto PeerRoute = Route;
    PeerRoute.Name = "catalogue";
    PeerRoute.Prefix = "/catalogue/";
    PeerRoute.Services = {{ServiceName("catalogue"), 1}};
    return std::make_shared<const TrafficPolicy>(
        Revision(1), std::vector<TrafficRoute>{Route, PeerRoute},
        std::map<ServiceName, ServicePolicy>(), Limits, Text, Organisations());
  }
  [[nodiscard]] TargetMessage
  decodeTargetMessage(const HttpExchange &Exchange) const override {
    TargetMessage Message;
    auto Slash = Exchange.path().rfind('/');
    Message.Id = Exchange.path().substr(1, Slash - 1);
    if (Exchange.path().substr(Slash) == "/left") {
      Message.Kind = TargetMessage::Kind::Leave;
      return Message;
    }
    Message.Kind = TargetMessage::Kind::Report;
    auto &Target = Message.Report.Target;
    Target.Id = Message.Id;
    Target.Started = Message.Id == "t1" ? 1000 : 2000;
    Target.Sequence = Exchange.path().substr(Slash) == "/draining" ? 3 : 2;
    Target.Service = ServiceName("ordering");
    Target.Slots = Slots(20);
    Target.State = Exchange.path().substr(Slash) == "/draining"
                       ? TargetState::Draining
                       : TargetState::Ready;
    return Message;
  }
  [[nodiscard]] std::optional<std::string>
  parentRequestId(const std::string &RequestId) const override {
    auto Dot = RequestId.find('.');
    if (Dot == std::string::npos)
      return std::nullopt;
    return RequestId.substr(0, Dot);
  }
  [[nodiscard]] std::string acknowledgement() const override { return "{}"; }

private:
  HeaderNames Names;
  std::string Policy = "policy";
};

/// \brief A sidecar `ordering-1` beside a target of its own and linked to
///   another node with a target of the service `catalogue`, all on one event
///   loop.
struct SidecarFixture {
  static Endpoint local(std::uint16_t Port) { return {ownAddress(), Port}; }

  static constexpr std::uint16_t TargetPort = 21001;
  static constexpr std::uint16_t OutboundPort = 21002;
  static constexpr std::uint16_t ReadinessPort = 21003;
  static constexpr std::uint16_t ReportsPort = 21004;
  static constexpr std::uint16_t LinkPort = 21005;
  static constexpr std::uint16_t MetricsPort = 21006;
  static constexpr std::uint16_t PeerPort = 21007;

  static SidecarSettings settings() {
    SidecarSettings Value;
    Value.Node = NodeId("ordering-1");
    Value.FailureDomain = FailureDomain("a");
    Value.Service = ServiceName("ordering");
    Value.Target = local(TargetPort);
    Value.FirstStart = true;
    Value.Outbound = local(OutboundPort);
    Value.Readiness = local(ReadinessPort);
    Value.Reports = local(ReportsPort);
    Value.Link = local(LinkPort);
    Value.AdvertisedLink = Value.Link;
    Value.Metrics = local(MetricsPort);
    return Value;
  }

  static HttpServerOptions targetOptions() {
    HttpServerOptions Options;
    Options.MaxBodyBytes = 67'108'864;
    return Options;
  }

  static Contact peerContact() {
    return {NodeId("catalogue-1"), local(PeerPort), FailureDomain("b")};
  }

  EventLoop Loop;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  PathAdapter Adapter;
  MemoryStore Store{this->Loop};
  Milliseconds RunTime{150};
  std::string Body = "done"; ///< of the target's answers
  std::vector<Timer> Runs;
  std::size_t StartedRuns = 0;
  std::size_t ReceivedBytes = 0; ///< in the bodies of the runs
  HttpServer Target{this->Loop, local(TargetPort),
                    [this](const std::shared_ptr<HttpExchange> &Exchange) {
                      this->run(Exchange);
                    },
                    targetOptions()};
  Milliseconds PeerRunTime{150};
  std::size_t StartedPeerRuns = 0;
  bool PeerLostStore = false;
  std::uint64_t LastIncarnation = 8; ///< of the other node
  std::unique_ptr<Mesh> Peer = this->makePeer();
  bool HasLeft = false;
  std::unique_ptr<Sidecar> Process = this->makeProcess(true);

  SidecarFixture() {
    (void)this->report("/t1/ready");
    this->waitUntil([this]() {
      return this->status() != nullptr && this->status()->Policy == Revision(1);
    });
  }

  std::unique_ptr<Sidecar> makeProcess(bool IsFirstStart) {
    auto Values = settings();
    Values.FirstStart = IsFirstStart;
    return std::make_unique<Sidecar>(this->Loop, Values, this->Adapter,
                                     this->Store, this->Log, this->Counters,
                                     [this]() { this->onLeft(); });
  }

  std::unique_ptr<Mesh> makePeer() {
    auto Result = std::make_unique<Mesh>(this->Loop, peerContact(),
                                         Incarnation(++this->LastIncarnation),
                                         this->Log, this->Counters);
    Mesh::Handlers Handlers;
    Handlers.OnAttempt = [this](const NodeId &, Incarnation Caller,
                                const MeshAttempt &Attempt) {
      this->runAtPeer(Caller, Attempt);
    };
    Handlers.IsKnown = [](Incarnation, std::uint64_t) { return false; };
    Handlers.OnCancel = [](Incarnation, std::uint64_t) {};
    Handlers.OnAcknowledged = [](Incarnation, std::uint64_t) {};
    Handlers.OnStatus = [](const NodeId &) {};
    Handlers.OnRemoved = [](const NodeId &) {};
    Handlers.OnCrashNews = [](const CrashNews &) {};
    Handlers.OnPolicy = [](const std::string &) {};
    Handlers.OnUsage = [](const MeshUsage &) {};
    Handlers.OnOrganisationUsage = [](const MeshOrganisationUsage &) {};
    Handlers.KnownCrashes = []() { return CrashNews(); };
    Handlers.OnRecordFromPeer = [](const TargetRecord &) {};
    Handlers.LocalStatus = [this,
                            Current = Incarnation(this->LastIncarnation)]() {
      NodeStatus Status;
      Status.StoreLost = this->PeerLostStore;
      Status.Self = peerContact();
      Status.Incarnation = Current;
      Status.Policy = Revision(1);
      Status.Target.Id = "p1";
      Status.Target.Service = ServiceName("catalogue");
      Status.Target.Slots = Slots(20);
      Status.Target.State = TargetState::Ready;
      Status.Limit = 20;
      return Status;
    };
    Handlers.PolicyText = []() { return std::string("policy"); };
    Result->start(std::move(Handlers), peerContact().Link);
    Result->add({NodeId("ordering-1"), local(LinkPort), FailureDomain("a")});
    return Result;
  }

  /// Ends the processes of both nodes at once, and starts them again.
  void restartAll() {
    this->Process.reset();
    this->Peer.reset();
    this->Store.dropCalls();
    this->wait(Milliseconds(20));
    this->Process = this->makeProcess(false);
    this->Peer = this->makePeer();
  }

  /// Returns the status of the sidecar as the other node knows it, once it has
  /// a target; else null.
  [[nodiscard]] const NodeStatus *status() const {
    auto Found = this->Peer->peers().find(NodeId("ordering-1"));
    if (Found == this->Peer->peers().end() || !Found->second.Status ||
        Found->second.Status->Target.Id.empty())
      return nullptr;
    return &*Found->second.Status;
  }

  /// Restarts both nodes so that the sidecar links to the other node, too.
  void linkPeer() {
    nlohmann::json Contact = {{"link", toString(peerContact().Link)},
                              {"gossip", toString(peerContact().Link)},
                              {"service", "catalogue"},
                              {"failure-domain", "b"},
                              {"region", "r"},
                              {"incarnation", this->LastIncarnation + 1}};
    this->Store.Kinds["limpetdrum-nodes"]["catalogue-1"] = {"catalogue-1", 0,
                                                            Contact.dump()};
    this->restartAll();
    (void)this->report("/t1/ready");
    this->waitUntil([this]() { return this->hasPeerTarget(); });
    this->StartedPeerRuns = 0;
  }

  /// Returns true if the sidecar can send requests to the other node's target.
  [[nodiscard]] bool hasPeerTarget() {
    HttpClient Client(this->Loop, local(OutboundPort));
    HttpCall Call;
    Call.Path = "/catalogue/0";
    Call.Headers = {{"Host", "shop.example"}, {HeaderNames().RequestId, "r0"}};
    std::optional<int> Status;
    (void)Client.send(
        Call, [&](const HttpResponse &Value) { Status = Value.Status; });
    this->waitUntil([&]() { return Status.has_value(); });
    return Status == 200;
  }

  /// Sends a message of the target.
  /// \returns the status of the answer.
  int report(const std::string &Path) {
    HttpClient Client(this->Loop, local(ReportsPort));
    HttpCall Call;
    Call.Method = "PUT";
    Call.Path = Path;
    Call.Timeout = Milliseconds(1000);
    std::optional<int> Status;
    (void)Client.send(
        Call, [&](const HttpResponse &Value) { Status = Value.Status; });
    this->waitUntil([&]() { return Status.has_value(); });
    return Status.value_or(0);
  }

  void run(const std::shared_ptr<HttpExchange> &Exchange) {
    ++this->StartedRuns;
    this->ReceivedBytes += Exchange->body().size();
    auto Id = Exchange->header(HeaderNames().RequestId);
    this->Runs.push_back(
        this->Loop.after(this->RunTime, [this, Exchange, Id]() {
          Exchange->reply(200, {{HeaderNames().RequestId, Id}}, this->Body);
        }));
  }

  static constexpr const char *StoppedBody = "stopped";
  /// Time in which an answer returns from the other node's target.
  static constexpr Milliseconds AnswerDelay{50};

  /// Runs an attempt at the other node's target, which stops its work with a
  /// failure at the time left that it is given.
  void runAtPeer(Incarnation Caller, const MeshAttempt &Attempt) {
    ++this->StartedPeerRuns;
    Reply Value;
    Value.Outcome = Outcome::Answered;
    Value.Status = Attempt.TimeLeft < this->PeerRunTime ? 504 : 200;
    Value.Body = Value.Status == 504 ? StoppedBody : "done";
    this->Runs.push_back(this->Loop.after(
        std::min(Attempt.TimeLeft + AnswerDelay, this->PeerRunTime),
        [this, Caller, Call = Attempt.Call, Value]() {
          (void)this->Peer->reply(Caller, Call, Value);
        }));
  }

  /// The process ends: all of its sockets are closed.
  void onLeft() {
    this->HasLeft = true;
    this->Loop.post([this]() {
      this->Process.reset();
      this->Store.dropCalls();
    });
  }

  void wait(Milliseconds Time) {
    auto Timeout = this->Loop.after(Time, [this]() { this->Loop.stop(); });
    this->Loop.run();
  }

  /// Runs the loop until \p IsMet returns true, for at most ten seconds.
  template <typename Condition> void waitUntil(Condition IsMet) {
    constexpr Milliseconds Limit{10'000};
    auto Start = this->Loop.now();
    while (!IsMet() && this->Loop.now() - Start < Limit)
      this->wait(Milliseconds(5));
  }
};

} // namespace limpetdrum::test

#endif
