#ifndef LIMPETDRUM_PROCESS_SIDECARSETTINGS_H
#define LIMPETDRUM_PROCESS_SIDECARSETTINGS_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Start-up settings of a sidecar.
struct SidecarSettings {
  NodeId Node;
  limpetdrum::Region Region;
  limpetdrum::FailureDomain FailureDomain;
  ServiceName Service;     ///< of the sidecar's target
  Endpoint Target;         ///< HTTP, the target's server
  bool FirstStart = false; ///< true at the first start of the whole system
  Endpoint Outbound;       ///< HTTP, calls of local clients and the target
  Endpoint Readiness;      ///< HTTP, readiness for clients
  Endpoint Reports;        ///< HTTP, reports of the target
  Endpoint Link;           ///< connections from other nodes
  Endpoint AdvertisedLink; ///< Link as reached by other nodes; default: Link
  Endpoint Metrics;        ///< HTTP, counters and histograms
  Endpoint Store;          ///< HTTP, the platform's object store
  /// From the acknowledgement of a leave to the last request.
  Milliseconds DrainTimeout{2000};
  Milliseconds ExitLimit{6000}; ///< from SIGTERM to the end of the process
  /// Memory that the process may use; half of it holds bodies.
  std::size_t MemoryBytes = 256U * 1024U * 1024U;
  double RepeatRatio = 0.2; ///< repeats per request, over all nodes
  double RepeatSlack = 0;   ///< additional repeats per window
  Milliseconds RepeatWindow{10'000};
};

/// \brief Parses and validates the settings of a sidecar.
///
/// \code
///   node: ordering-1
///   region: trondelag
///   failure-domain: a
///   service: ordering
///   target: 10.0.0.7:8301
///   first-start: false
///   listen:
///     outbound: 10.0.0.7:8304
///     readiness: 10.0.0.7:8302
///     reports: 10.0.0.7:8306
///     link: 10.0.0.7:7620
///     advertised-link: 10.0.0.7:7620  # optional, behind a forwarded port
///     metrics: 10.0.0.7:9464
///   store: 10.0.0.2:8309
///   drain-timeout: 2s
///   exit-limit: 6s
///   memory-mb: 260                         # optional
///   repeats: {ratio: 0.2, slack: 48, window: 10s}
/// \endcode
/// \param Text the YAML document.
/// \param File the file name for errors.
/// \throws SourceError if a setting is invalid, with file, line, column and
///   remedy.
[[nodiscard]] SidecarSettings parseSidecarSettings(const std::string &Text,
                                                   const std::string &File);

/// \brief Parses an amount of memory.
/// \param Text whole number of megabytes.
/// \param Source where it was read, for errors.
/// \returns the amount in bytes.
/// \throws ValueError if it is no number, or too small for a sidecar.
[[nodiscard]] std::size_t parseMemoryMegabytes(const std::string &Text,
                                               const std::string &Source);

} // namespace limpetdrum

#endif
