#include "limpetdrum/process/Duties.h"

#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr const char *DutyKey = "duties";

bool mayHoldDuties(const Member &Value) {
  return Value.Health == Health::Alive &&
         Value.Target != TargetState::Draining &&
         Value.Target != TargetState::Left;
}

} // namespace

std::vector<NodeId> dutyOrder(const Membership &Members,
                              const FailureDomain &Domain, std::size_t Count) {
  std::vector<NodeId> Candidates;
  auto Add = [&](const Member &M) {
    if (M.FailureDomain == Domain && mayHoldDuties(M))
      Candidates.push_back(M.Node);
  };
  Add(Members.self());
  for (const auto &Entry : Members.others())
    Add(Entry.second);
  return rankByHash(DutyKey, std::move(Candidates), Count);
}

bool holdsDuties(const Membership &Members, std::size_t Count) {
  const auto &Self = Members.self();
  auto Holders = dutyOrder(Members, Self.FailureDomain, Count);
  return std::find(Holders.begin(), Holders.end(), Self.Node) != Holders.end();
}

} // namespace limpetdrum
