#include "limpetdrum/request/Identification.h"

namespace limpetdrum {

namespace {

/// Returns the organisation of the run that makes a call.
Identification ownerOfRun(const Organisations &Owners, const CallContext &Run) {
  if (Run.Organisation.value().empty())
    return {};
  // The run goes on if its organisation is taken away, and so do its calls.
  return {IdentityVerdict::Accepted, Owners.find(Run.Organisation),
          Run.Organisation};
}

} // namespace

Identification identify(const TrafficPolicy &Policy, const TrafficRoute &Route,
                        const Credentials &Shown) {
  const auto &Owners = Policy.organisations();
  if (Owners.empty())
    return {};
  if (Shown.Run != nullptr)
    return ownerOfRun(Owners, *Shown.Run);
  if (Shown.Key != nullptr && !Shown.IsRepeated)
    if (const auto *Owner = Owners.findByKey(*Shown.Key))
      return {IdentityVerdict::Accepted, Owner, Owner->Name};
  bool IsCallOfUnknownRun = Shown.IsCall && Shown.Key == nullptr;
  if (Route.IsOpen || (IsCallOfUnknownRun && Shown.MayPrecedeProcess))
    return {};
  return {IsCallOfUnknownRun ? IdentityVerdict::UnknownRun
                             : IdentityVerdict::UnknownKey,
          nullptr,
          {}};
}

} // namespace limpetdrum
