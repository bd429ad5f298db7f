#include "limpetdrum/request/UsageExchange.h"

namespace limpetdrum {

UsageExchange::UsageExchange(NodeId Self, FailureDomain LocalDomain)
    : Self(std::move(Self)), LocalDomain(std::move(LocalDomain)) {}

void UsageExchange::clear() { this->Nodes.clear(); }

void UsageExchange::add(const NodeId &Node, const FailureDomain &Domain) {
  this->Nodes[Domain].insert(Node);
}

bool UsageExchange::isRepresentative() const {
  auto Found = this->Nodes.find(this->LocalDomain);
  return Found == this->Nodes.end() || this->Self < *Found->second.begin();
}

std::vector<NodeId> UsageExchange::neighbours() const {
  auto Found = this->Nodes.find(this->LocalDomain);
  if (Found == this->Nodes.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

std::vector<NodeId> UsageExchange::representatives() const {
  std::vector<NodeId> Result;
  for (const auto &[Domain, Members] : this->Nodes)
    if (Domain != this->LocalDomain)
      Result.push_back(*Members.begin());
  return Result;
}

} // namespace limpetdrum
