#ifndef LIMPETDRUM_VERSION_TRAFFICPOLICY_H
#define LIMPETDRUM_VERSION_TRAFFICPOLICY_H

#include "limpetdrum/process/Types.h"
#include "limpetdrum/version/Organisations.h"
#include "limpetdrum/version/RankOrder.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief A service that receives a share of a route's requests.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 0;
};

/// \brief Handling of the requests with a given host and path prefix.
struct TrafficRoute {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash
  bool Idempotent = false;
  Milliseconds Timeout{0}; ///< from the first byte to the final answer
  /// Time within which an answer has its full value.
  Milliseconds LatencyTarget{0};
  ClassRank Rank; ///< 0 is shed last
  /// Number of targets that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<WeightedService> Services; ///< at least one, weights above 0
  bool IsOpen = false;                   ///< needs no key
};

/// \brief The operator's settings for a service.
struct ServicePolicy {
  std::string HealthPath;
  std::uint32_t MaxConnections = 0; ///< to each target; 0 if unlimited
};

/// \brief Limits on the requests and connections of clients.
struct ClientLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  Milliseconds HeaderTimeout{0};
  Milliseconds IdleTimeout{0};
};

/// \brief One version of the routes and services; immutable once in force.
class TrafficPolicy {
public:
  /// \param Text the policy as written by the operator, for other nodes.
  /// \throws ValueError if a route has no service.
  TrafficPolicy(Revision Version, std::vector<TrafficRoute> Routes,
                std::map<ServiceName, ServicePolicy> Services,
                ClientLimits Limits, std::string Text,
                limpetdrum::Organisations Organisations = {});

  [[nodiscard]] Revision version() const noexcept { return this->Version; }
  [[nodiscard]] const std::string &text() const noexcept { return this->Text; }
  [[nodiscard]] const limpetdrum::Organisations &
  organisations() const noexcept {
    return this->KeyHolders;
  }
  [[nodiscard]] const ClientLimits &limits() const noexcept {
    return this->Limits;
  }
  [[nodiscard]] const std::vector<TrafficRoute> &routes() const noexcept {
    return this->Routes;
  }
  /// \brief Returns the route with the longest prefix of \p Path.
  /// \returns nullptr if no route matches.
  [[nodiscard]] const TrafficRoute *find(const std::string &Host,
                                         const std::string &Path) const;
  /// \brief Returns the rank of an organisation's requests on a route.
  /// \param Owner nullptr if the request is nobody's.
  [[nodiscard]] ClassRank rank(const TrafficRoute &Route,
                               const OrganisationPolicy *Owner) const noexcept {
    return this->Ranks.combine(Owner, Route.Rank);
  }
  /// \returns nullptr if the policy has no settings for the service.
  [[nodiscard]] const ServicePolicy *service(const ServiceName &Name) const;

private:
  Revision Version;
  std::vector<TrafficRoute> Routes;
  std::map<ServiceName, ServicePolicy> Services;
  ClientLimits Limits;
  std::string Text;
  limpetdrum::Organisations KeyHolders;
  RankOrder Ranks;
  /// Indexes into Routes, by host and then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      ByHost;
};

} // namespace limpetdrum

#endif
