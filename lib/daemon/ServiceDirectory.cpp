#include "limpetdrum/daemon/ServiceDirectory.h"

namespace limpetdrum {

namespace {

/// Maximum number of nodes of one service that a node calls.
constexpr std::size_t MaxSubsetNodes = 12;

} // namespace

bool takesRequests(const Member &Value) noexcept {
  return Value.Target == TargetState::Ready && Value.Health != Health::Dead;
}

const std::vector<RouteCandidate> &
ServiceDirectory::routeCandidates(const ServiceName &Service) {
  return this->entry(Service).Routes;
}

const std::vector<KeyCandidate> &
ServiceDirectory::keyCandidates(const ServiceName &Service) {
  return this->entry(Service).KeyCandidates;
}

const ServiceDirectory::Entry &
ServiceDirectory::entry(const ServiceName &Service) {
  if (this->IndexedChanges != this->Members.changes()) {
    this->Entries.clear();
    this->IndexedChanges = this->Members.changes();
  }
  auto Found = this->Entries.find(Service);
  if (Found == this->Entries.end())
    Found = this->Entries.emplace(Service, this->build(Service)).first;
  return Found->second;
}

ServiceDirectory::Entry
ServiceDirectory::build(const ServiceName &Service) const {
  Entry Result;
  auto Add = [&](const Member &M) {
    if (M.Service != Service || !takesRequests(M))
      return;
    Result.Routes.push_back({M.Node, M.FailureDomain, M.Region});
    Result.KeyCandidates.push_back({M.Node, M.FailureDomain});
  };
  const auto &Self = this->Members.self();
  Add(Self);
  for (const auto &Other : this->Members.others())
    Add(Other.second);
  Result.Routes = subset(std::move(Result.Routes), Self.Node,
                         Self.FailureDomain, Self.Region, MaxSubsetNodes);
  return Result;
}

} // namespace limpetdrum
