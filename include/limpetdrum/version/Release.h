#ifndef LIMPETDRUM_VERSION_RELEASE_H
#define LIMPETDRUM_VERSION_RELEASE_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief A class of requests, by how much it earns.
struct RequestClass {
  std::string Name;
  /// Classes of importance 1 are shed last.
  std::uint8_t Importance = 1;

  friend bool operator==(const RequestClass &A, const RequestClass &B) {
    return A.Name == B.Name && A.Importance == B.Importance;
  }
};

/// \brief Whether a request may run again after an unknown outcome.
enum class RunSemantics : std::uint8_t { Once, Idempotent };

/// \brief One entry point of a service and the limits on its requests.
struct Route {
  std::string Path; ///< `/service/name`; unique in the call graph
  std::string Method = "POST";
  std::string Class;
  RunSemantics Runs = RunSemantics::Idempotent;
  /// Retries for one whole request, over all of its chain.
  std::uint16_t Retries = 2;
  /// Runs that a client may ask for again under one idempotency key.
  std::uint16_t ClientRetries = 5;
  Milliseconds Deadline{2000};
  std::vector<std::string> Calls; ///< paths that this route calls

  friend bool operator==(const Route &A, const Route &B) {
    return A.Path == B.Path && A.Method == B.Method && A.Class == B.Class &&
           A.Runs == B.Runs && A.Retries == B.Retries &&
           A.ClientRetries == B.ClientRetries && A.Deadline == B.Deadline &&
           A.Calls == B.Calls;
  }
};

/// \brief A service and its routes.
struct Service {
  ServiceName Name;
  std::vector<Route> Routes;

  friend bool operator==(const Service &A, const Service &B) {
    return A.Name == B.Name && A.Routes == B.Routes;
  }
};

/// \brief What made a revision: its id and the revision it became.
struct PublicationRecord {
  std::string Id;
  limpetdrum::Revision Revision;
};

/// \brief All that is in force: the notes so far, folded together.
struct Release {
  limpetdrum::Revision Revision;
  std::map<std::string, RequestClass> Classes;
  std::map<std::string, Service> Services;
  std::vector<PublicationRecord> Publications; ///< the latest, oldest first
};

/// \brief The service that a path belongs to: its first segment.
[[nodiscard]] ServiceName serviceOf(const std::string &Path);

/// \brief Writes a release as the YAML that the platform holds.
[[nodiscard]] std::string toYaml(const Release &Value);

/// \brief Reads what toYaml() wrote.
/// \throws SourceError if it is malformed.
[[nodiscard]] Release parseRelease(const std::string &Text,
                                   const std::string &File);

/// \brief Looks up a route.
/// \returns nullptr if no service has it.
[[nodiscard]] const Route *findRoute(const Release &Value,
                                     const std::string &Path);

/// \brief A line for each class or service that differs: `+`, `-` or `~`.
[[nodiscard]] std::vector<std::string> difference(const Release &Old,
                                                  const Release &New);

} // namespace limpetdrum

#endif
