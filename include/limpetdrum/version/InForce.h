#ifndef LIMPETDRUM_VERSION_INFORCE_H
#define LIMPETDRUM_VERSION_INFORCE_H

#include "limpetdrum/version/Release.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief A route with all that a request needs to know, worked out once.
struct CompiledRoute {
  Route Declared;
  ServiceName Service;
  ClassRank Rank;
  /// Every service that a request may reach, its own first.
  std::vector<ServiceName> Reaches;
  /// The longest chain of calls that the route declares; 0 if it calls nothing.
  unsigned CallDepth = 0;
};

/// \brief One release, compiled for use; immutable.
class CompiledRelease {
public:
  /// \throws SourceError if \p Text is no release.
  explicit CompiledRelease(std::string Text);

  [[nodiscard]] limpetdrum::Revision revision() const noexcept {
    return this->Value.Revision;
  }
  [[nodiscard]] const Release &release() const noexcept { return this->Value; }
  [[nodiscard]] const std::string &text() const noexcept { return this->Text; }
  /// \returns nullptr if no service has the path.
  [[nodiscard]] const CompiledRoute *route(const std::string &Path) const;
  /// \brief Every service that the routes of one may reach, itself included.
  [[nodiscard]] const std::vector<ServiceName> &
  reachedFrom(const ServiceName &Service) const;
  /// \brief How many ranks the classes make.
  [[nodiscard]] std::size_t rankCount() const noexcept {
    return this->RankCount;
  }
  /// \brief The classes of a rank, as `a/b`, for people.
  [[nodiscard]] std::string rankName(ClassRank Rank) const;

private:
  std::string Text;
  Release Value;
  std::unordered_map<std::string, CompiledRoute> Routes;
  std::unordered_map<ServiceName, std::vector<ServiceName>> Reached;
  std::vector<std::string> RankNames;
  std::size_t RankCount = 0;
};

/// \brief What is in force at this node; its revision only rises.
class InForce {
public:
  /// \brief Takes a release over if it is newer than the one in force.
  /// \param Text what the platform or a peer gave.
  /// \returns whether it is now in force.
  /// \throws SourceError if \p Text is no release; nothing changes then.
  bool offer(const std::string &Text);

  [[nodiscard]] Revision revision() const noexcept;
  /// \returns nullptr before the first release.
  [[nodiscard]] std::shared_ptr<const CompiledRelease> current() const {
    return this->Current;
  }

private:
  std::shared_ptr<const CompiledRelease> Current;
};

} // namespace limpetdrum

#endif
