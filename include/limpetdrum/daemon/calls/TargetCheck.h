#ifndef LIMPETDRUM_DAEMON_CALLS_TARGETCHECK_H
#define LIMPETDRUM_DAEMON_CALLS_TARGETCHECK_H

#include "limpetdrum/daemon/calls/LocalTarget.h"
#include "limpetdrum/version/TrafficPolicy.h"

namespace limpetdrum {

/// \brief Asks a target that was running before this process started who it is.
class TargetCheck {
public:
  TargetCheck(ServiceName Service, HeaderNames Names, TargetPort &Port,
              LocalTarget &Target, EventLog &Log, Metrics &Counters);

  /// \brief Sends one request to the target's health path, unless the target
  ///   is known already.
  void run(const TrafficPolicy &Policy);

private:
  void onAnswer(const HttpResponse &Answer);

  ServiceName Service;
  HeaderNames Names;
  TargetPort &Port;
  LocalTarget &Target;
  EventLog &Log;
  Metrics &Counters;
};

} // namespace limpetdrum

#endif
