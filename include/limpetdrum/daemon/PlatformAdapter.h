#ifndef LIMPETDRUM_DAEMON_PLATFORMADAPTER_H
#define LIMPETDRUM_DAEMON_PLATFORMADAPTER_H

#include "limpetdrum/daemon/HeaderNames.h"
#include "limpetdrum/daemon/LocalTarget.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <memory>
#include <optional>
#include <string>

namespace limpetdrum {

/// \brief What a target says of itself in one call.
struct TargetMessage {
  enum class Kind : std::uint8_t { Report, Leave, Other };
  TargetMessage::Kind Kind = Kind::Other;
  LocalTarget::Report Report; ///< for Report
  std::string Id;             ///< for Leave
};

/// \brief Names and formats of the platform that a sidecar runs on.
///
/// An implementation translates; it decides nothing and keeps no state.
class PlatformAdapter {
public:
  virtual ~PlatformAdapter() = default;

  [[nodiscard]] virtual const HeaderNames &headers() const = 0;
  /// \brief Where the operator's traffic policy lies in the store.
  [[nodiscard]] virtual const std::string &policyKind() const = 0;
  [[nodiscard]] virtual const std::string &policyName() const = 0;
  /// \param Text as the store holds it.
  /// \throws ValueError if it is no policy.
  [[nodiscard]] virtual std::shared_ptr<const TrafficPolicy>
  decodePolicy(const std::string &Text) const = 0;
  /// \throws ValueError if a report names no target that can be used.
  [[nodiscard]] virtual TargetMessage
  decodeTargetMessage(const HttpExchange &From) const = 0;
  /// \brief The request whose run makes a call, as far as the call's id tells.
  ///
  /// Only a hint: ids may take another form.
  [[nodiscard]] virtual std::optional<std::string>
  parentRequestId(const std::string &RequestId) const = 0;
  /// \brief The body that acknowledges a message of the target.
  [[nodiscard]] virtual std::string acknowledgement() const = 0;
};

} // namespace limpetdrum

#endif
