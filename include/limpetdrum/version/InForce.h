#ifndef LIMPETDRUM_VERSION_INFORCE_H
#define LIMPETDRUM_VERSION_INFORCE_H

#include "limpetdrum/version/Release.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief A route and the data that requests need, computed once.
struct CompiledRoute {
  Route Declared;
  ServiceName Service;
  ClassRank Rank;
  /// All services that a request may reach, its own first.
  std::vector<ServiceName> Reaches;
  /// Length of the longest declared chain of calls; 0 without calls.
  unsigned CallDepth = 0;
};

/// \brief An immutable release with precomputed routes, reach and ranks.
class CompiledRelease {
public:
  /// \throws SourceError if \p Text is not a release.
  explicit CompiledRelease(std::string Text);

  [[nodiscard]] limpetdrum::Revision revision() const noexcept {
    return this->Value.Revision;
  }
  [[nodiscard]] const Release &release() const noexcept { return this->Value; }
  [[nodiscard]] const std::string &text() const noexcept { return this->Text; }
  /// \brief Looks up a route by its path.
  /// \returns nullptr if no service has the path.
  [[nodiscard]] const CompiledRoute *route(const std::string &Path) const;
  /// \brief Returns all services that a service's routes may reach, including
  ///   itself.
  [[nodiscard]] const std::vector<ServiceName> &
  reachedFrom(const ServiceName &Service) const;
  /// \brief Returns the number of ranks: one for each importance in use.
  [[nodiscard]] std::size_t rankCount() const noexcept {
    return this->RankCount;
  }
  /// \brief Returns the classes of a rank for display, as `a/b`.
  /// \returns `none` if there is no such rank.
  [[nodiscard]] std::string rankName(ClassRank Rank) const;

private:
  std::string Text;
  Release Value;
  std::unordered_map<std::string, CompiledRoute> Routes;
  std::unordered_map<ServiceName, std::vector<ServiceName>> Reached;
  std::vector<std::string> RankNames;
  std::size_t RankCount = 0;
};

/// \brief The release in force at this node; its revision never decreases.
class InForce {
public:
  /// \brief Puts a release in force if it is newer than the current one.
  /// \param Text the release as received from the platform or a peer.
  /// \returns true if the release is now in force.
  /// \throws SourceError if \p Text is not a release; the current release
  ///   stays in force.
  bool offer(const std::string &Text);

  [[nodiscard]] Revision revision() const noexcept;
  /// \returns the release in force; nullptr before the first one.
  [[nodiscard]] std::shared_ptr<const CompiledRelease> current() const {
    return this->Current;
  }

private:
  std::shared_ptr<const CompiledRelease> Current;
};

} // namespace limpetdrum

#endif
