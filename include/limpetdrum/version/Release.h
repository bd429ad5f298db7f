#ifndef LIMPETDRUM_VERSION_RELEASE_H
#define LIMPETDRUM_VERSION_RELEASE_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief A class of requests, ordered by what it earns.
struct RequestClass {
  std::string Name;
  /// Classes of importance 1 are shed last.
  std::uint8_t Importance = 1;

  friend bool operator==(const RequestClass &A, const RequestClass &B) {
    return A.Name == B.Name && A.Importance == B.Importance;
  }
};

/// \brief Declares if a request may run again after an unknown outcome.
enum class RunSemantics : std::uint8_t { Once, Idempotent };

/// \brief One entry point of a service and the limits on its requests.
struct Route {
  std::string Path; ///< `/service/name`; unique in the call graph
  std::string Method = "POST";
  std::string Class;
  RunSemantics Runs = RunSemantics::Idempotent;
  /// Retries of a whole request, over its entire chain of calls.
  std::uint16_t Retries = 2;
  /// Repeated runs that a client may request under one idempotency key.
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

/// \brief The id of a publication and the revision that it created.
struct PublicationRecord {
  std::string Id;
  limpetdrum::Revision Revision;
};

/// \brief The result of applying all accepted release notes in order.
struct Release {
  limpetdrum::Revision Revision;
  std::map<std::string, RequestClass> Classes;
  std::map<std::string, Service> Services;
  /// The most recent publications, oldest first.
  std::vector<PublicationRecord> Publications;
};

/// \brief Returns the service that a path belongs to: its first segment.
/// \returns an empty name if \p Path does not begin with a slash and a segment.
[[nodiscard]] ServiceName serviceOf(const std::string &Path);

/// \brief Formats a release as the YAML stored at the platform.
[[nodiscard]] std::string toYaml(const Release &Value);

/// \brief Parses the output of toYaml().
/// \param File the file name for errors.
/// \throws SourceError if \p Text is malformed.
[[nodiscard]] Release parseRelease(const std::string &Text,
                                   const std::string &File);

/// \brief Looks up a route by its path.
/// \returns nullptr if no service has the path.
[[nodiscard]] const Route *findRoute(const Release &Value,
                                     const std::string &Path);

/// \brief Returns a line for each class or service that was added (`+`),
///   removed (`-`) or changed (`~`).
[[nodiscard]] std::vector<std::string> difference(const Release &Old,
                                                  const Release &New);

} // namespace limpetdrum

#endif
