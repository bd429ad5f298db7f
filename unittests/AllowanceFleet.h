#ifndef LIMPETDRUM_UNITTESTS_ALLOWANCEFLEET_H
#define LIMPETDRUM_UNITTESTS_ALLOWANCEFLEET_H

#include "limpetdrum/request/Allowances.h"
#include "limpetdrum/request/OrganisationUseSums.h"

#include <functional>
#include <memory>
#include <set>

namespace limpetdrum::test {

/// \brief Nodes in three failure domains that share allowances over messages
///   which are late, or lost.
class AllowanceFleet {
public:
  static constexpr Milliseconds Step{10};
  static constexpr std::size_t Domains = 3;
  static constexpr std::size_t Holders = 2; ///< in each failure domain

  /// \brief Requests of one organisation.
  struct Count {
    std::vector<int> Asked; ///< in each step
    std::vector<int> Granted;
    /// Those that one account for the whole fleet would have granted.
    std::vector<int> Owed;
    double Level = 0; ///< of that account
  };

  /// Delays of one hop, in steps, and share of messages that are lost.
  int MinDelay = 1;
  int MaxDelay = 10;
  double Loss = 0;
  bool HasExchange = true;
  /// Without it each node takes the whole allowance for its own.
  bool HasParts = true;
  /// Nodes that are cut off from all others, or do not run.
  std::set<std::size_t> Cut;
  std::set<std::size_t> Down;

  AllowanceFleet(std::vector<OrganisationPolicy> Entries, std::size_t Nodes,
                 std::uint64_t Seed)
      : Random(Seed), InForce(std::move(Entries)) {
    for (std::size_t I = 0; I < Nodes; ++I)
      this->Nodes.emplace_back();
    for (std::size_t I = 0; I < Nodes; ++I)
      this->restart(I);
    for (const auto &Entry : this->InForce.entries())
      this->Counts[Entry.Name].Level = Entry.Burst;
  }

  [[nodiscard]] std::size_t size() const { return this->Nodes.size(); }
  [[nodiscard]] TimePoint now() const { return this->Now; }
  [[nodiscard]] Allowances &node(std::size_t I) {
    return *this->Nodes[I].Parts;
  }
  [[nodiscard]] const Count &count(const std::string &Name) {
    return this->Counts[Organisation(Name)];
  }

  void restart(std::size_t I) {
    this->Nodes[I].Parts = std::make_unique<Allowances>(this->Random());
    this->Nodes[I].Parts->setFleetSize(this->HasParts ? this->Nodes.size() : 1);
    this->Nodes[I].Sums = OrganisationUseSums();
    this->Nodes[I].ReportAt = this->Now + this->random(0, 49) * Step;
    this->Nodes[I].ShareAt = this->Nodes[I].ReportAt;
  }

  void setPolicy(std::vector<OrganisationPolicy> Entries) {
    this->InForce = Organisations(std::move(Entries));
    for (auto &Node : this->Nodes)
      Node.Parts->setPolicy(this->InForce, this->Now);
    for (const auto &Entry : this->InForce.entries()) {
      auto &Level = this->Counts[Entry.Name].Level;
      Level = std::min(Level, Entry.Burst);
    }
  }

  /// \brief Requests per second of an organisation at a node.
  using Demand =
      std::function<double(const OrganisationPolicy &, std::size_t Node)>;

  void run(Milliseconds Span, const Demand &Rate) {
    for (auto End = this->Now + Span; this->Now < End; this->Now += Step) {
      for (const auto &Entry : this->InForce.entries())
        this->ask(Entry, Rate);
      if (this->HasExchange)
        this->exchange();
    }
  }

private:
  struct Member {
    std::unique_ptr<Allowances> Parts;
    OrganisationUseSums Sums;
    TimePoint ReportAt{};
    TimePoint ReportedAt{};
    TimePoint ShareAt{};
    TimePoint SharedAt{};
  };

  int random(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(this->Random);
  }

  void ask(const OrganisationPolicy &Entry, const Demand &Rate) {
    auto &Sum = this->Counts[Entry.Name];
    auto Seconds = std::chrono::duration<double>(Step).count();
    Sum.Level =
        std::min(Entry.Burst, Sum.Level + Entry.RatePerSecond * Seconds);
    int Asked = 0;
    int Granted = 0;
    int Owed = 0;
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      auto Mean = this->Down.count(I) != 0 ? 0 : Rate(Entry, I) * Seconds;
      if (Mean <= 0)
        continue;
      std::poisson_distribution<int> Arrivals(Mean);
      for (int Left = Arrivals(this->Random); Left > 0; --Left) {
        ++Asked;
        if (Sum.Level >= 1) {
          Sum.Level -= 1;
          ++Owed;
        }
        if (!this->Nodes[I].Parts->take(Entry, this->Now))
          ++Granted;
      }
    }
    Sum.Asked.push_back(Asked);
    Sum.Granted.push_back(Granted);
    Sum.Owed.push_back(Owed);
  }

  [[nodiscard]] bool isLinked(std::size_t From, std::size_t To) const {
    for (auto I : {From, To})
      if (this->Down.count(I) != 0 || (From != To && this->Cut.count(I) != 0))
        return false;
    return true;
  }

  void send(std::size_t From, std::size_t To,
            const std::function<void(Member &)> &Action) {
    std::uniform_real_distribution<double> Share(0, 1);
    if (From != To && Share(this->Random) < this->Loss)
      return;
    auto Due = From == To ? this->Now
                          : this->Now + this->random(MinDelay, MaxDelay) * Step;
    this->Messages.emplace(Due, [this, From, To, Action]() {
      if (this->isLinked(From, To))
        Action(this->Nodes[To]);
    });
  }

  /// Returns the nodes of the domain that hold its duties: the first that run.
  [[nodiscard]] std::vector<std::size_t> holders(std::size_t Domain) const {
    std::vector<std::size_t> Result;
    for (auto I = Domain; I < this->Nodes.size(); I += Domains)
      if (this->Down.count(I) == 0 && this->Cut.count(I) == 0 &&
          Result.size() < Holders)
        Result.push_back(I);
    return Result;
  }

  void exchange() {
    constexpr Milliseconds Period{500};
    constexpr Milliseconds MinPause{100};
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      auto &Node = this->Nodes[I];
      if (this->Down.count(I) != 0)
        continue;
      if (this->Now >= Node.ReportAt ||
          (this->Now - Node.ReportedAt >= MinPause &&
           Node.Parts->needsReport(this->Now))) {
        Node.ReportAt = this->Now + Period;
        Node.ReportedAt = this->Now;
        auto Uses = Node.Parts->report(this->Now);
        NodeId Name(std::to_string(I));
        for (auto Holder : this->holders(I % Domains))
          this->send(I, Holder, [this, Name, Uses, I, Holder](Member &Other) {
            if (I == Holder)
              Other.Sums.recordOwn(Uses, this->Now);
            else
              Other.Sums.record(Name, Uses, this->Now);
          });
      }
    }
    for (std::size_t Domain = 0; Domain < Domains; ++Domain)
      for (auto I : this->holders(Domain))
        this->share(I, Domain, Period, MinPause);
    while (!this->Messages.empty() && this->Messages.begin()->first <= Now) {
      auto Action = std::move(this->Messages.begin()->second);
      this->Messages.erase(this->Messages.begin());
      Action();
    }
  }

  void share(std::size_t I, std::size_t Domain, Milliseconds Period,
             Milliseconds MinPause) {
    auto &Node = this->Nodes[I];
    if (!Node.Sums.isSettled(this->Now))
      return;
    if (this->Now < Node.ShareAt &&
        (this->Now - Node.SharedAt < MinPause ||
         !Node.Sums.hasChanged(this->InForce, this->Now)))
      return;
    Node.ShareAt = this->Now + Period;
    Node.SharedAt = this->Now;
    auto Own = Node.Sums.domainSum(this->Now);
    auto All = Node.Sums.fleetSum(this->InForce, this->Now);
    FailureDomain Name(std::to_string(Domain));
    for (std::size_t Other = 0; Other < Domains; ++Other) {
      if (Other == Domain)
        continue;
      for (auto Holder : this->holders(Other))
        this->send(I, Holder, [this, Name, Own](Member &Node) {
          Node.Sums.recordDomain(Name, Own, this->Now);
        });
    }
    for (auto J = Domain; J < this->Nodes.size(); J += Domains)
      this->send(I, J, [this, All](Member &Node) {
        Node.Parts->onFleetUse(All.Uses, All.Nodes, this->Now);
      });
  }

  std::mt19937_64 Random;
  Organisations InForce;
  std::vector<Member> Nodes;
  std::map<Organisation, Count> Counts;
  std::multimap<TimePoint, std::function<void()>> Messages;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace limpetdrum::test

#endif
