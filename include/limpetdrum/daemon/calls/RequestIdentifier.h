#ifndef LIMPETDRUM_DAEMON_CALLS_REQUESTIDENTIFIER_H
#define LIMPETDRUM_DAEMON_CALLS_REQUESTIDENTIFIER_H

#include "limpetdrum/daemon/calls/LocalTarget.h"
#include "limpetdrum/request/Identification.h"

#include <functional>

namespace limpetdrum {

/// \brief Finds out whose request it is: of which organisation, and of which
///   run of the local target if it is a call.
class RequestIdentifier {
public:
  /// Returns the id of the request whose run makes a call, if it can be
  /// derived from the id of the call.
  using FindParentId =
      std::function<std::optional<std::string>(const std::string &RequestId)>;

  struct Result {
    Identification Identity;
    /// Run of the local target that makes the call, if it is known, and the id
    /// of its request.
    std::optional<CallContext> Run;
    std::string ParentId;
    bool HasKey = false;
    /// True if the id is that of a call and the request shows no key.
    bool IsCall = false;
    /// A call whose run is not known, although organisations are.
    bool IsOfUnknownRun = false;
  };

  /// \param Started when this process did.
  RequestIdentifier(HeaderNames Names, FindParentId ParentId,
                    const LocalTarget &Target, TimePoint Started);

  /// \brief Identifies a request, and removes its key and the organisation that
  ///   it names, which targets must not get from a client.
  /// \param Policy owns the entry of the organisation in the result.
  [[nodiscard]] Result identify(HttpRequest &Message,
                                const std::string &RequestId,
                                const TrafficPolicy &Policy,
                                const TrafficRoute &Route, TimePoint Now) const;

private:
  /// Returns true while a run may go on that began before this process did.
  [[nodiscard]] bool mayPrecedeProcess(const TrafficPolicy &Policy,
                                       TimePoint Now) const;

  HeaderNames Names;
  FindParentId ParentId;
  const LocalTarget &Target;
  TimePoint Started;
};

} // namespace limpetdrum

#endif
