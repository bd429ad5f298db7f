#include "limpetdrum/version/TrafficPolicy.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <cctype>

namespace limpetdrum {

namespace {

/// Removes the port and converts to lower case, for comparing host names.
std::string normalizedHost(const std::string &Host) {
  std::string Name = Host.substr(0, Host.find(':'));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Name;
}

} // namespace

TrafficPolicy::TrafficPolicy(Revision Version, std::vector<TrafficRoute> Routes,
                             std::map<ServiceName, ServicePolicy> Services,
                             ClientLimits Limits, std::string Text,
                             limpetdrum::Organisations Organisations)
    : Version(Version), Routes(std::move(Routes)),
      Services(std::move(Services)), Limits(Limits), Text(std::move(Text)),
      KeyHolders(std::move(Organisations)) {
  for (std::size_t I = 0; I < this->Routes.size(); ++I) {
    const auto &Route = this->Routes[I];
    if (Route.Services.empty())
      throw ValueError("the route '" + Route.Name +
                           "' has no service: expected at least one",
                       "name one service, or several with weights above 0");
    this->ByHost[normalizedHost(Route.Host)][Route.Prefix] = I;
  }
  std::vector<ClassRank> RouteRanks;
  for (const auto &Route : this->Routes)
    RouteRanks.push_back(Route.Rank);
  this->Ranks = RankOrder(this->KeyHolders, RouteRanks);
}

const TrafficRoute *TrafficPolicy::find(const std::string &Host,
                                        const std::string &Path) const {
  auto Found = this->ByHost.find(normalizedHost(Host));
  if (Found == this->ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only whole segments of the path can match.
  for (auto End = Path.rfind('/'); End != std::string::npos;
       End = End == 0 ? std::string::npos : Path.rfind('/', End - 1)) {
    auto Match = Found->second.find(Path.substr(0, End + 1));
    if (Match != Found->second.end())
      return &this->Routes[Match->second];
  }
  return nullptr;
}

const ServicePolicy *TrafficPolicy::service(const ServiceName &Name) const {
  auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

} // namespace limpetdrum
