#include "limpetdrum/process/Membership.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Microseconds Step{50'000};

/// Nodes on a network that delays, drops and duplicates datagrams and can be
/// partitioned.
class Network {
public:
  Network(std::size_t Count, std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      this->add(I, 1);
  }

  void add(std::size_t Index, std::uint64_t Process) {
    Member M;
    M.Node = NodeId("n" + std::to_string(Index));
    M.Incarnation = Incarnation(Process);
    M.Service = ServiceName("s");
    M.Target = TargetState::Ready;
    M.Gossip = {1, static_cast<std::uint16_t>(Index + 1)};
    auto NewNode =
        std::make_unique<Membership>(M, MembershipOptions{}, this->Random());
    if (Index < this->Nodes.size()) {
      this->Nodes[Index] = std::move(NewNode);
      this->Down.erase(Index);
    } else {
      this->Nodes.push_back(std::move(NewNode));
    }
    if (Index > 0)
      this->synchronize(Index, 0);
  }

  void run(Milliseconds Span) {
    for (Microseconds Passed{0}; Passed < Span; Passed += Step) {
      this->deliver();
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (this->Down.count(I) == 0)
          this->perform(I, this->Nodes[I]->tick(this->Clock.now()));
      this->Clock.advance(Step);
    }
  }

  /// \returns the time until \p Condition holds at all running nodes but one;
  ///   \p Limit if it does not hold by then.
  Milliseconds until(const std::function<bool(const Membership &)> &Condition,
                     std::size_t Excluded, Milliseconds Limit) {
    Milliseconds Passed{0};
    auto All = [&]() {
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (I != Excluded && this->Down.count(I) == 0 &&
            !Condition(*this->Nodes[I]))
          return false;
      return true;
    };
    while (Passed < Limit && !All()) {
      this->run(std::chrono::duration_cast<Milliseconds>(Step));
      Passed += std::chrono::duration_cast<Milliseconds>(Step);
    }
    return Passed;
  }

  /// \returns true if all other running nodes list a node with this health.
  bool allReport(std::size_t Subject, Health Expected) {
    auto Name = NodeId("n" + std::to_string(Subject));
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      if (I == Subject || this->Down.count(I) != 0)
        continue;
      const auto *M = this->Nodes[I]->find(Name);
      if (M == nullptr || M->Health != Expected)
        return false;
    }
    return true;
  }

  Membership &operator[](std::size_t Index) { return *this->Nodes[Index]; }

  FakeClock Clock;
  std::set<std::size_t> Down;
  double LossRate = 0;
  double DuplicationRate = 0;
  std::function<bool(std::size_t, std::size_t)> Partition;
  std::vector<std::uint64_t> Revisions = std::vector<std::uint64_t>(1000, 0);
  std::size_t Reversions = 0;
  std::size_t Datagrams = 0;

private:
  struct Datagram {
    TimePoint DeliveryTime;
    std::size_t Sender;
    std::size_t Receiver;
    GossipMessage Message;
  };

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) <
           Probability;
  }

  bool isPartitioned(std::size_t A, std::size_t B) const {
    return this->Partition && this->Partition(A, B);
  }

  void synchronize(std::size_t A, std::size_t B) {
    if (this->isPartitioned(A, B) ||
        this->Down.count(A) + this->Down.count(B) > 0)
      return;
    auto Members = this->Nodes[B]->list();
    this->perform(
        B, this->Nodes[B]->merge(this->Nodes[A]->list(), this->Clock.now()));
    this->perform(A, this->Nodes[A]->merge(Members, this->Clock.now()));
  }

  /// A node fetches the release of a peer that has a newer one.
  void fetch(std::size_t Node, std::size_t Peer) {
    if (this->isPartitioned(Node, Peer) || this->Down.count(Peer) != 0)
      return;
    this->Reversions += this->Revisions[Peer] < this->Revisions[Node] ? 1 : 0;
    this->Revisions[Node] =
        std::max(this->Revisions[Node], this->Revisions[Peer]);
    this->Nodes[Node]->setRevision(Revision(this->Revisions[Node]));
  }

  static std::size_t indexOf(const NodeId &Node) {
    return std::stoul(Node.value().substr(1));
  }

  void perform(std::size_t Node, const Membership::Output &Out) {
    for (const auto &Outgoing : Out.Send) {
      ++this->Datagrams;
      std::size_t Receiver = Outgoing.Destination.Port - 1U;
      for (int Copies = this->chance(this->DuplicationRate) ? 2 : 1; Copies > 0;
           --Copies)
        if (!this->chance(this->LossRate) &&
            !this->isPartitioned(Node, Receiver))
          this->InFlight.push_back(
              {this->Clock.now() + Milliseconds(this->Random() % 60), Node,
               Receiver, Outgoing.Message});
    }
    if (Out.NewerReleaseAt)
      this->fetch(Node, indexOf(*Out.NewerReleaseAt));
    if (Out.SyncWith)
      this->synchronize(Node, indexOf(*Out.SyncWith));
  }

  void deliver() {
    std::deque<Datagram> Remaining;
    std::deque<Datagram> Due;
    for (auto &D : this->InFlight)
      (D.DeliveryTime <= this->Clock.now() ? Due : Remaining)
          .push_back(std::move(D));
    this->InFlight = std::move(Remaining);
    for (const auto &D : Due)
      if (this->Down.count(D.Receiver) == 0)
        this->perform(D.Receiver, this->Nodes[D.Receiver]->receive(
                                      D.Message, this->Clock.now()));
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Membership>> Nodes;
  std::deque<Datagram> InFlight;
};

} // namespace

TEST_CASE("Membership disseminates a drain to all nodes within 3 seconds",
          "[membership]") {
  for (std::size_t Count : {10, 50, 200}) {
    Network N(Count, Count);
    N.LossRate = 0.05;
    N.run(Milliseconds(3000));
    N[3].announce(ServiceName("s"), Slots(1), TargetState::Draining);
    auto Duration = N.until(
        [](const Membership &M) {
          return M.find(NodeId("n3"))->Target == TargetState::Draining;
        },
        3, Milliseconds(10000));
    INFO(Count << " nodes took " << Duration.count() << " ms");
    CHECK(Duration <= Milliseconds(3000));
  }
}

TEST_CASE(
    "Membership disseminates a revision within 5 seconds and reverts none",
    "[membership][property]") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    Network N(60, Seed);
    N.LossRate = 0.1;
    N.DuplicationRate = 0.1;
    N.run(Milliseconds(2000));
    for (std::uint64_t Next = 1; Next <= 5; ++Next) {
      // Any node may be the first to receive the revision from the platform.
      auto Origin = (Seed * 7 + Next * 13) % 60;
      N.Revisions[Origin] = Next;
      N[Origin].setRevision(Revision(Next));
      N.run(Milliseconds(5000));
      INFO("seed " << Seed << " revision " << Next);
      for (std::size_t I = 0; I < 60; ++I)
        REQUIRE(N.Revisions[I] == Next);
    }
    CHECK(N.Reversions == 0);
  }
}

TEST_CASE("Membership detects a crash and the node's next incarnation",
          "[membership]") {
  Network N(30, 5);
  N.run(Milliseconds(3000));
  N.Down.insert(4);
  N.run(Milliseconds(20000));
  CHECK(N.allReport(4, Health::Dead));
  N.add(4, 2);
  N.run(Milliseconds(3000));
  CHECK(N.allReport(4, Health::Alive));
}

TEST_CASE("Membership does not suspect others after its own pause",
          "[membership]") {
  Network N(20, 6);
  N.run(Milliseconds(3000));
  N.Down.insert(2);
  N.run(Milliseconds(20000));
  REQUIRE(N.allReport(2, Health::Dead));
  // The paused node resumes: it refutes its death and must not suspect others
  // for the acks that it missed.
  N.Down.erase(2);
  N.run(Milliseconds(15000));
  CHECK(N.allReport(2, Health::Alive));
  for (std::size_t I = 0; I < 20; ++I)
    CHECK(N.allReport(I, Health::Alive));
}

TEST_CASE("Membership heals a partition with at most twice the usual traffic",
          "[membership]") {
  Network N(40, 7);
  N.run(Milliseconds(3000));
  auto Before = N.Datagrams;
  N.run(Milliseconds(10000));
  auto Baseline = N.Datagrams - Before;
  N.Partition = [](std::size_t A, std::size_t B) {
    return (A < 20) != (B < 20);
  };
  N.run(Milliseconds(60000));
  CHECK(N[1].find(NodeId("n30"))->Health == Health::Dead);
  N.Partition = nullptr;
  Before = N.Datagrams;
  N.run(Milliseconds(60000));
  for (std::size_t I = 0; I < 40; ++I)
    CHECK(N.allReport(I, Health::Alive));
  // The baseline is from 10 s, this interval is 60 s long.
  CHECK(N.Datagrams - Before <= Baseline * 6 * 2);
}

TEST_CASE("Membership detects a later process under its own name",
          "[membership]") {
  Network N(3, 8);
  auto LaterProcess = N[1].self();
  LaterProcess.Incarnation = Incarnation(9);
  static_cast<void>(N[1].merge({LaterProcess}, N.Clock.now()));
  CHECK(N[1].isSuperseded());
}

// The clock of a node may have been set back when its process starts again.
TEST_CASE("Membership continues above the incarnation of an earlier process",
          "[membership]") {
  Member Self;
  Self.Node = NodeId("n");
  Self.Incarnation = Incarnation(5);
  MembershipOptions Options;
  Options.OwnsName = true;
  Membership Members(Self, Options, 1);
  auto Earlier = Self;
  Earlier.Incarnation = Incarnation(9);
  Earlier.Health = Health::Dead;
  static_cast<void>(Members.merge({Earlier}, TimePoint()));
  CHECK_FALSE(Members.isSuperseded());
  CHECK(supersedes(Members.self(), Earlier));
}

// Nodes remove dead members at different times. A member that one of them gets
// back from another would circulate for ever.
TEST_CASE("Membership does not add members that are gone", "[membership]") {
  Member Self;
  Self.Node = NodeId("n");
  Membership Members(Self, {}, 1);
  Membership Other(Self, {}, 1);
  Member Gone;
  Gone.Node = NodeId("gone");
  auto Modify = GENERATE(
      as<void (*)(Member &)>{}, [](Member &M) { M.Health = Health::Dead; },
      [](Member &M) { M.Target = TargetState::Left; });
  static_cast<void>(Other.merge({Gone}, TimePoint()));
  REQUIRE(Members.digest() != Other.digest());
  Modify(Gone);
  ++Gone.Version;
  static_cast<void>(Members.merge({Gone}, TimePoint()));
  static_cast<void>(Other.merge({Gone}, TimePoint()));
  CHECK(Members.others().empty());
  CHECK(Other.others().size() == 1);
  CHECK(Members.digest() == Other.digest());
}

TEST_CASE("Membership exchanges full lists by datagrams", "[membership]") {
  std::vector<Member> All;
  for (std::uint16_t I = 0; I < 50; ++I) {
    Member M;
    M.Node = NodeId("n" + std::to_string(I));
    M.Incarnation = Incarnation(1);
    M.Gossip = {1, static_cast<std::uint16_t>(I + 1)};
    All.push_back(M);
  }
  // The first node was restarted and knows no other, the second knows all.
  Membership First(All[0], {}, 1);
  Membership Second(All[1], {}, 1);
  static_cast<void>(Second.learn({All.begin() + 2, All.end()}, TimePoint()));
  auto Deliver = [&](const Membership::Output &Out, Membership &Receiver) {
    Membership::Output Replies;
    for (const auto &Sent : Out.Send)
      for (auto &Reply : Receiver.receive(Sent.Message, TimePoint()).Send)
        Replies.Send.push_back(std::move(Reply));
    return Replies;
  };
  auto Replies = Deliver(Second.exchangeLists(All[0].Gossip), First);
  CHECK(First.others().size() == 49);
  // The receiver's own list is addressed to the node that asked for it.
  REQUIRE_FALSE(Replies.Send.empty());
  CHECK(Replies.Send.back().Destination == All[1].Gossip);
  static_cast<void>(Deliver(Replies, Second));
  CHECK(Second.others().size() == 49);
  CHECK(First.digest() == Second.digest());
  // What all nodes read from the same source is not disseminated.
  Membership Third(All[2], {}, 1);
  static_cast<void>(Third.learn(All, TimePoint()));
  CHECK(Third.others().size() == 49);
  CHECK(Third.tick(TimePoint(std::chrono::hours(1))).Send.size() == 1);
}
