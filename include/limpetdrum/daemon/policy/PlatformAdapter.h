#ifndef LIMPETDRUM_DAEMON_POLICY_PLATFORMADAPTER_H
#define LIMPETDRUM_DAEMON_POLICY_PLATFORMADAPTER_H

#include "limpetdrum/daemon/calls/HeaderNames.h"
#include "limpetdrum/daemon/calls/LocalTarget.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <memory>
#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Message in which a target reports its state or leaves.
struct TargetMessage {
  enum class Kind : std::uint8_t { Report, Leave, Other };
  TargetMessage::Kind Kind = Kind::Other;
  LocalTarget::Report Report; ///< set for Kind::Report
  std::string Id;             ///< set for Kind::Leave
};

/// \brief Names and formats of the platform that a sidecar runs on.
///
/// An implementation only translates between formats and keeps no state.
class PlatformAdapter {
public:
  virtual ~PlatformAdapter() = default;

  [[nodiscard]] virtual const HeaderNames &headers() const = 0;
  /// \brief Returns the kind of the store object with the traffic policy.
  [[nodiscard]] virtual const std::string &policyKind() const = 0;
  /// \brief Returns the name of the store object with the traffic policy.
  [[nodiscard]] virtual const std::string &policyName() const = 0;
  /// \brief Decodes a traffic policy.
  /// \param Text policy in the format of the store.
  /// \throws ValueError if it is not a valid policy.
  [[nodiscard]] virtual std::shared_ptr<const TrafficPolicy>
  decodePolicy(const std::string &Text) const = 0;
  /// \brief Decodes a message from the target.
  /// \throws ValueError if a report does not describe a usable target.
  [[nodiscard]] virtual TargetMessage
  decodeTargetMessage(const HttpExchange &Exchange) const = 0;
  /// \brief Returns the id of the request whose run made a call, if the id of
  ///   the call contains it.
  ///
  /// The result is only a hint: ids may take another form.
  [[nodiscard]] virtual std::optional<std::string>
  parentRequestId(const std::string &RequestId) const = 0;
  /// \brief Returns the answer body that acknowledges a message of the target.
  [[nodiscard]] virtual std::string acknowledgement() const = 0;
};

} // namespace limpetdrum

#endif
