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

/// Nodes on a network that delays, drops, doubles and cuts datagrams.
class Network {
public:
  Network(std::size_t Count, std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      this->add(I, 1);
  }

  void add(std::size_t Index, std::uint64_t Life) {
    Member M;
    M.Node = NodeId("n" + std::to_string(Index));
    M.Incarnation = Incarnation(Life);
    M.Service = ServiceName("s");
    M.Target = TargetState::Ready;
    M.Gossip = {1, static_cast<std::uint16_t>(Index + 1)};
    auto Made =
        std::make_unique<Membership>(M, MembershipOptions{}, this->Random());
    if (Index < this->Nodes.size()) {
      this->Nodes[Index] = std::move(Made);
      this->Down.erase(Index);
    } else {
      this->Nodes.push_back(std::move(Made));
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

  /// \returns how long it took until \p Holds at all running nodes but one.
  Milliseconds until(const std::function<bool(const Membership &)> &Holds,
                     std::size_t Except, Milliseconds Limit) {
    Milliseconds Passed{0};
    auto All = [&]() {
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (I != Except && this->Down.count(I) == 0 && !Holds(*this->Nodes[I]))
          return false;
      return true;
    };
    while (Passed < Limit && !All()) {
      this->run(std::chrono::duration_cast<Milliseconds>(Step));
      Passed += std::chrono::duration_cast<Milliseconds>(Step);
    }
    return Passed;
  }

  bool allSee(std::size_t About, Health How) {
    auto Name = NodeId("n" + std::to_string(About));
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      if (I == About || this->Down.count(I) != 0)
        continue;
      const auto *M = this->Nodes[I]->find(Name);
      if (M == nullptr || M->Health != How)
        return false;
    }
    return true;
  }

  Membership &operator[](std::size_t Index) { return *this->Nodes[Index]; }

  FakeClock Clock;
  std::set<std::size_t> Down;
  double Loss = 0;
  double Doubling = 0;
  std::function<bool(std::size_t, std::size_t)> Cut;
  std::vector<std::uint64_t> Revisions = std::vector<std::uint64_t>(1000, 0);
  std::size_t Reversions = 0;
  std::size_t Datagrams = 0;

private:
  struct Flight {
    TimePoint At;
    std::size_t From;
    std::size_t To;
    GossipMessage Message;
  };

  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
  }

  bool isCut(std::size_t A, std::size_t B) const {
    return this->Cut && this->Cut(A, B);
  }

  void synchronize(std::size_t A, std::size_t B) {
    if (this->isCut(A, B) || this->Down.count(A) + this->Down.count(B) > 0)
      return;
    auto Theirs = this->Nodes[B]->list();
    this->perform(
        B, this->Nodes[B]->merge(this->Nodes[A]->list(), this->Clock.now()));
    this->perform(A, this->Nodes[A]->merge(Theirs, this->Clock.now()));
  }

  /// A node takes the release of a peer that has a newer one.
  void fetch(std::size_t To, std::size_t From) {
    if (this->isCut(To, From) || this->Down.count(From) != 0)
      return;
    this->Reversions += this->Revisions[From] < this->Revisions[To] ? 1 : 0;
    this->Revisions[To] = std::max(this->Revisions[To], this->Revisions[From]);
    this->Nodes[To]->setRevision(Revision(this->Revisions[To]));
  }

  static std::size_t indexOf(const NodeId &Node) {
    return std::stoul(Node.value().substr(1));
  }

  void perform(std::size_t At, const Membership::Output &Out) {
    for (const auto &Sent : Out.Send) {
      ++this->Datagrams;
      std::size_t To = Sent.To.Port - 1U;
      for (int Copies = this->chance(this->Doubling) ? 2 : 1; Copies > 0;
           --Copies)
        if (!this->chance(this->Loss) && !this->isCut(At, To))
          this->InFlight.push_back(
              {this->Clock.now() + Milliseconds(this->Random() % 60), At, To,
               Sent.Message});
    }
    if (Out.NewerReleaseAt)
      this->fetch(At, indexOf(*Out.NewerReleaseAt));
    if (Out.SyncWith)
      this->synchronize(At, indexOf(*Out.SyncWith));
  }

  void deliver() {
    std::deque<Flight> Later;
    std::deque<Flight> Due;
    for (auto &F : this->InFlight)
      (F.At <= this->Clock.now() ? Due : Later).push_back(std::move(F));
    this->InFlight = std::move(Later);
    for (const auto &F : Due)
      if (this->Down.count(F.To) == 0)
        this->perform(F.To,
                      this->Nodes[F.To]->receive(F.Message, this->Clock.now()));
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Membership>> Nodes;
  std::deque<Flight> InFlight;
};

} // namespace

TEST_CASE("Membership knows of a drain everywhere within 3 seconds",
          "[membership]") {
  for (std::size_t Count : {10, 50, 200}) {
    Network N(Count, Count);
    N.Loss = 0.05;
    N.run(Milliseconds(3000));
    N[3].announce(ServiceName("s"), Slots(1), TargetState::Draining);
    auto Took = N.until(
        [](const Membership &M) {
          return M.find(NodeId("n3"))->Target == TargetState::Draining;
        },
        3, Milliseconds(10000));
    INFO(Count << " nodes took " << Took.count() << " ms");
    CHECK(Took <= Milliseconds(3000));
  }
}

TEST_CASE("Membership spreads a revision within 5 seconds and never back",
          "[membership][property]") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    Network N(60, Seed);
    N.Loss = 0.1;
    N.Doubling = 0.1;
    N.run(Milliseconds(2000));
    for (std::uint64_t Next = 1; Next <= 5; ++Next) {
      // Any node may be the one that the platform told.
      auto At = (Seed * 7 + Next * 13) % 60;
      N.Revisions[At] = Next;
      N[At].setRevision(Revision(Next));
      N.run(Milliseconds(5000));
      INFO("seed " << Seed << " revision " << Next);
      for (std::size_t I = 0; I < 60; ++I)
        REQUIRE(N.Revisions[I] == Next);
    }
    CHECK(N.Reversions == 0);
  }
}

TEST_CASE("Membership finds a crash, and the next life of the node",
          "[membership]") {
  Network N(30, 5);
  N.run(Milliseconds(3000));
  N.Down.insert(4);
  N.run(Milliseconds(20000));
  CHECK(N.allSee(4, Health::Dead));
  N.add(4, 2);
  N.run(Milliseconds(3000));
  CHECK(N.allSee(4, Health::Alive));
}

TEST_CASE("Membership suspects nobody for its own pause", "[membership]") {
  Network N(20, 6);
  N.run(Milliseconds(3000));
  N.Down.insert(2);
  N.run(Milliseconds(20000));
  REQUIRE(N.allSee(2, Health::Dead));
  // The sleeper wakes: it refutes its death, and blames no one.
  N.Down.erase(2);
  N.run(Milliseconds(15000));
  CHECK(N.allSee(2, Health::Alive));
  for (std::size_t I = 0; I < 20; ++I)
    CHECK(N.allSee(I, Health::Alive));
}

TEST_CASE("Membership heals a partition between regions without a storm",
          "[membership]") {
  Network N(40, 7);
  N.run(Milliseconds(3000));
  auto Before = N.Datagrams;
  N.run(Milliseconds(10000));
  auto Quiet = N.Datagrams - Before;
  N.Cut = [](std::size_t A, std::size_t B) { return (A < 20) != (B < 20); };
  N.run(Milliseconds(60000));
  CHECK(N[1].find(NodeId("n30"))->Health == Health::Dead);
  N.Cut = nullptr;
  Before = N.Datagrams;
  N.run(Milliseconds(60000));
  for (std::size_t I = 0; I < 40; ++I)
    CHECK(N.allSee(I, Health::Alive));
  // Six times as long, and at most twice the traffic of a quiet time.
  CHECK(N.Datagrams - Before <= Quiet * 6 * 2);
}

TEST_CASE("Membership notices a later process under its name", "[membership]") {
  Network N(3, 8);
  auto Twin = N[1].self();
  Twin.Incarnation = Incarnation(9);
  static_cast<void>(N[1].merge({Twin}, N.Clock.now()));
  CHECK(N[1].isSuperseded());
}
