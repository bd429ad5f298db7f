#ifndef LIMPETDRUM_REQUEST_IDENTIFICATION_H
#define LIMPETDRUM_REQUEST_IDENTIFICATION_H

#include "limpetdrum/request/CallContext.h"
#include "limpetdrum/version/TrafficPolicy.h"

namespace limpetdrum {

/// \brief What a request shows of the organisation that it belongs to.
struct Credentials {
  const std::string *Key = nullptr; ///< as sent; nullptr if there is none
  bool IsRepeated = false;          ///< more than one key was sent
  /// True if the id of the request is that of a call of a target.
  bool IsCall = false;
  /// Run of the local target that makes the call; nullptr if it is unknown.
  const CallContext *Run = nullptr;
  /// True while a run may go on that began before this process did.
  bool MayPrecedeProcess = false;
};

/// \brief Whether a request may go on to admission.
enum class IdentityVerdict : std::uint8_t {
  Accepted,
  UnknownKey, ///< the route needs a known key
  /// A call of a run that has ended, or a client's request that poses as a
  /// call.
  UnknownRun,
};

/// \brief Organisation that a request belongs to.
struct Identification {
  IdentityVerdict Verdict = IdentityVerdict::Accepted;
  /// Entry of the organisation in the policy; nullptr if the request is
  /// nobody's, or if the policy no longer has the organisation.
  const OrganisationPolicy *Owner = nullptr;
  limpetdrum::Organisation Name; ///< empty if the request is nobody's
};

/// \brief Decides which organisation a request belongs to.
///
/// A request of a client belongs to the organisation of its key. A call has no
/// key and belongs to the organisation of the run that makes it. While runs may
/// go on that began before this process did, a call of an unknown run is
/// nobody's; later it is accepted on open routes only, or else clients without
/// a key could pose as targets. Each request is looked up in the policy in
/// force, so a key that was taken away stops on open connections too.
/// \param Policy the policy in force, which owns the result's entry.
/// \param Route of the request; nobody's requests are accepted if it is open.
[[nodiscard]] Identification identify(const TrafficPolicy &Policy,
                                      const TrafficRoute &Route,
                                      const Credentials &Shown);

} // namespace limpetdrum

#endif
