#ifndef LIMPETDRUM_UNITTESTS_EVENLOADCHOOSERS_H
#define LIMPETDRUM_UNITTESTS_EVENLOADCHOOSERS_H

#include "EvenLoadFleet.h"

#include <cmath>

namespace limpetdrum::test {

/// \brief The choice of the product.
class ProductChooser : public Chooser {
public:
  ProductChooser(const FailureDomain &Domain, std::uint64_t Seed)
      : Choice(Domain, Seed) {}
  std::optional<NodeId> pick(const std::vector<PlacementCandidate> &Candidates,
                             const std::vector<NodeId> &Excluded,
                             TimePoint Now) override {
    return this->Choice.pick(Candidates, Excluded, Now);
  }
  void end(const NodeId &Node, CallResult Result, TimePoint Now) override {
    this->Choice.end(Node, Result, Now);
  }
  void onReport(const NodeId &Node, TimePoint Now) override {
    this->Choice.onReport(Node, Now);
  }

private:
  Placement Choice;
};

/// \brief A choice that was weighed, put together from the parts in which they
///   differ. Prefers the own failure domain by the step at 0.9.
class WeighedChooser : public Chooser {
public:
  struct Parts {
    std::size_t Drawn = 0;    ///< candidates drawn at random; 0 for all
    double Noise = 0;         ///< added to each load
    bool ByFreeRoom = false;  ///< drawn in proportion to free room
    bool CorrectsAge = false; ///< old news decays to the mean
    bool WeighsPace = false;  ///< load x pace
    /// Share of the free room that a report reserves for its receiver until
    /// the next one; 0 for none.
    double Reserved = 0;
  };

  WeighedChooser(Parts Chosen, FailureDomain Domain, std::uint64_t Seed)
      : Chosen(Chosen), Domain(std::move(Domain)), Random(Seed) {}

  std::optional<NodeId> pick(const std::vector<PlacementCandidate> &Candidates,
                             const std::vector<NodeId> &Excluded,
                             TimePoint Now) override {
    std::vector<std::pair<double, const PlacementCandidate *>> Own;
    std::vector<std::pair<double, const PlacementCandidate *>> All;
    double Mean = 0;
    for (const auto &C : Candidates)
      Mean += static_cast<double>(C.Outstanding) / C.Limit /
              static_cast<double>(Candidates.size());
    std::uniform_real_distribution<double> Noise(0, this->Chosen.Noise);
    for (const auto &C : Candidates) {
      if (std::find(Excluded.begin(), Excluded.end(), C.Node) != Excluded.end())
        continue;
      auto Load = this->load(C, Mean, Now) +
                  (this->Chosen.Noise > 0 ? Noise(this->Random) : 0);
      bool IsOwn = C.FailureDomain == this->Domain;
      All.emplace_back(Load + (IsOwn ? 0 : 0.05), &C);
      if (IsOwn && Load < 0.9)
        Own.emplace_back(Load, &C);
    }
    auto &Pool = Own.empty() ? All : Own;
    if (Pool.empty())
      return std::nullopt;
    const auto *Node = this->draw(Pool);
    ++this->ByNode[Node->Node].InFlight;
    return Node->Node;
  }
  void end(const NodeId &Node, CallResult, TimePoint) override {
    auto &S = this->ByNode[Node];
    S.InFlight -= std::min<std::size_t>(1, S.InFlight);
    S.AtReport = std::min(S.AtReport, S.InFlight);
  }
  void onReport(const NodeId &Node, TimePoint Now) override {
    auto &S = this->ByNode[Node];
    S.AtReport = S.InFlight;
    S.ReportedAt = Now;
  }

private:
  struct Stats {
    std::size_t InFlight = 0;
    std::size_t AtReport = 0;
    TimePoint ReportedAt;
  };

  double load(const PlacementCandidate &C, double Mean, TimePoint Now) {
    const auto &S = this->ByNode[C.Node];
    auto Reported = static_cast<double>(C.Outstanding);
    if (this->Chosen.CorrectsAge) {
      auto RunTime = std::max(0.001, C.ServiceTime.count() / 1e6);
      auto Age = std::chrono::duration<double>(Now - S.ReportedAt).count();
      auto Weight = std::exp(-Age / RunTime);
      Reported = Weight * Reported + (1 - Weight) * Mean * C.Limit;
    }
    auto Sent = static_cast<double>(S.InFlight - S.AtReport);
    if (this->Chosen.Reserved > 0 &&
        Sent < this->Chosen.Reserved * (C.Limit - Reported))
      return 0; // what was reserved is free for certain
    auto Load = (Reported + Sent + 1) / C.Limit;
    return this->Chosen.WeighsPace ? Load * C.Pace / 100 : Load;
  }

  const PlacementCandidate *
  draw(std::vector<std::pair<double, const PlacementCandidate *>> &Pool) {
    if (this->Chosen.ByFreeRoom) {
      std::vector<double> Room;
      Room.reserve(Pool.size());
      for (const auto &[Load, C] : Pool)
        Room.push_back(std::max(0.01, 1 - Load) * C->Limit);
      std::discrete_distribution<std::size_t> Pick(Room.begin(), Room.end());
      return Pool[Pick(this->Random)].second;
    }
    if (this->Chosen.Drawn > 0 && this->Chosen.Drawn < Pool.size()) {
      std::shuffle(Pool.begin(), Pool.end(), this->Random);
      Pool.resize(this->Chosen.Drawn);
    }
    return std::min_element(Pool.begin(), Pool.end())->second;
  }

  Parts Chosen;
  FailureDomain Domain;
  std::mt19937_64 Random;
  std::unordered_map<NodeId, Stats> ByNode;
};

} // namespace limpetdrum::test

#endif
