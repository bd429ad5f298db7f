#ifndef LIMPETDRUM_VERSION_ORGANISATIONS_H
#define LIMPETDRUM_VERSION_ORGANISATIONS_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief What the traffic policy says of an organisation.
struct OrganisationPolicy {
  limpetdrum::Organisation Name;
  std::vector<std::string> Keys;
  /// Goes before the ranks of routes; none if the policy has none.
  std::optional<ClassRank> Rank;
  /// Requests per second over all nodes together; 0 if unlimited.
  double RatePerSecond = 0;
  double Burst = 0; ///< requests beyond the rate
};

/// \brief The organisations of one policy, found by key or by name.
///
/// Looking up a key takes the same time for any number of keys.
class Organisations {
public:
  Organisations() = default;
  /// \throws ValueError if two organisations have the same name or key.
  explicit Organisations(std::vector<OrganisationPolicy> Entries);

  /// \brief Returns true if requests need no key.
  [[nodiscard]] bool empty() const noexcept { return this->Entries.empty(); }
  [[nodiscard]] const std::vector<OrganisationPolicy> &
  entries() const noexcept {
    return this->Entries;
  }
  /// \returns nullptr if no organisation has the key.
  [[nodiscard]] const OrganisationPolicy *
  findByKey(const std::string &Key) const;
  /// \returns nullptr if there is no such organisation.
  [[nodiscard]] const OrganisationPolicy *find(const Organisation &Name) const;

private:
  std::vector<OrganisationPolicy> Entries;
  /// Indexes into Entries.
  std::unordered_map<std::string, std::size_t> ByKey;
  std::unordered_map<Organisation, std::size_t> ByName;
};

} // namespace limpetdrum

#endif
