#include "limpetdrum/daemon/calls/RequestIdentifier.h"

#include <algorithm>
#include <strings.h>

namespace limpetdrum {

namespace {

/// Returns the key that a request shows.
Credentials readKey(const HttpHeaders &Headers, const std::string &Name) {
  Credentials Shown;
  for (const auto &[Key, Value] : Headers) {
    if (strcasecmp(Key.c_str(), Name.c_str()) != 0)
      continue;
    Shown.IsRepeated = Shown.Key != nullptr;
    Shown.Key = &Value;
  }
  return Shown;
}

} // namespace

RequestIdentifier::RequestIdentifier(HeaderNames Names, FindParentId ParentId,
                                     const LocalTarget &Target,
                                     TimePoint Started)
    : Names(std::move(Names)), ParentId(std::move(ParentId)), Target(Target),
      Started(Started) {}

RequestIdentifier::Result
RequestIdentifier::identify(HttpRequest &Message, const std::string &RequestId,
                            const TrafficPolicy &Policy,
                            const TrafficRoute &Route, TimePoint Now) const {
  Result Found;
  bool HasOrganisations = !Policy.organisations().empty();
  auto Shown = readKey(Message.Headers, this->Names.OrganisationKey);
  Found.HasKey = Shown.Key != nullptr;
  auto Parent = this->ParentId(RequestId);
  // Targets get no keys, so whoever sends one is a client, whatever its id.
  if (Found.HasKey && HasOrganisations)
    Parent.reset();
  Found.IsCall = Parent.has_value();
  if (Parent)
    Found.Run = this->Target.callContext(*Parent);
  if (Found.Run)
    Found.ParentId = *Parent;
  Found.IsOfUnknownRun = HasOrganisations && Found.IsCall && !Found.Run;
  Shown.IsCall = Found.IsCall;
  Shown.Run = Found.Run ? &*Found.Run : nullptr;
  Shown.MayPrecedeProcess =
      Found.IsOfUnknownRun && this->mayPrecedeProcess(Policy, Now);
  Found.Identity = limpetdrum::identify(Policy, Route, Shown);
  // Without organisations the header is the application's.
  if (HasOrganisations)
    removeHeader(Message.Headers, this->Names.OrganisationKey);
  removeHeader(Message.Headers, this->Names.Organisation);
  return Found;
}

bool RequestIdentifier::mayPrecedeProcess(const TrafficPolicy &Policy,
                                          TimePoint Now) const {
  auto Age = Now - this->Started;
  return std::any_of(
      Policy.routes().begin(), Policy.routes().end(),
      [Age](const TrafficRoute &Route) { return Age < Route.Timeout; });
}

} // namespace limpetdrum
