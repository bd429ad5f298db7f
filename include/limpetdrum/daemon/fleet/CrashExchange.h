#ifndef LIMPETDRUM_DAEMON_FLEET_CRASHEXCHANGE_H
#define LIMPETDRUM_DAEMON_FLEET_CRASHEXCHANGE_H

#include "limpetdrum/daemon/fleet/CrashArchive.h"
#include "limpetdrum/daemon/fleet/LinkKeeper.h"
#include "limpetdrum/daemon/fleet/Mesh.h"

namespace limpetdrum {

/// \brief Exchanges with the other nodes what is known of requests that crash
///   targets.
class CrashExchange {
public:
  CrashExchange(FailureDomain Domain, CrashHistory &Crashes,
                CrashArchive &ProvenCrashes, const LinkKeeper &Links,
                Mesh &Peers, EventLog &Log, Metrics &Counters);

  /// \brief Tells the fleet what the local target adds to the history.
  void announce(const CrashNews &News);
  /// \brief Handles what another node or the store tells; duty holders pass on
  ///   what is new.
  void onNews(const CrashNews &News, TimePoint Now);

private:
  FailureDomain Domain;
  CrashHistory &Crashes;
  CrashArchive &ProvenCrashes;
  const LinkKeeper &Links;
  Mesh &Peers;
  EventLog &Log;
  Metrics &Counters;
};

} // namespace limpetdrum

#endif
