#ifndef LIMPETDRUM_DAEMON_CALLS_PORTS_H
#define LIMPETDRUM_DAEMON_CALLS_PORTS_H

#include "limpetdrum/connection/Http.h"
#include "limpetdrum/process/Membership.h"
#include "limpetdrum/request/AttemptSpec.h"
#include "limpetdrum/request/KeyLedger.h"
#include "limpetdrum/request/Reply.h"

#include <functional>

namespace limpetdrum {

/// \brief Function that reads the monotonic clock; tests pass a fake clock.
using Clock = std::function<TimePoint()>;

/// \brief Callback for the reply to an attempt.
using ReplyCallback = std::function<void(const Reply &)>;

/// \brief Connection to the target of this node.
class TargetPort {
public:
  virtual ~TargetPort() = default;
  /// \brief Sends a request to the target.
  /// \returns a ticket for cancel().
  virtual std::uint64_t send(const HttpCall &Call,
                             HttpClient::Callback Done) = 0;
  /// \brief Cancels a request at the target; its callback is not called.
  virtual void cancel(std::uint64_t Ticket) = 0;
  /// \brief Finds out whether the target's process has ended.
  /// \param Done called once, from the loop, with true if the target's address
  ///   refuses connections; false if it accepts them or nothing is known.
  virtual void checkEnded(std::function<void(bool HasEnded)> Done) = 0;
};

/// \brief Result of an attempt that was sent to another node.
struct PeerResult {
  enum class Kind : std::uint8_t {
    Replied,
    Lost,      ///< the connection ended
    Suspected, ///< the node answers on no connection; the attempt continues
    /// The call failed at the node, or its answer could not be decoded.
    Malformed,
  };
  PeerResult::Kind Kind = Kind::Lost;
  limpetdrum::Reply Reply;
  /// For Lost: true if a connection to the peer was established, so that the
  /// attempt may have reached it.
  bool HandedOver = true;
};

/// \brief Connections to the other nodes.
class PeerPort {
public:
  using Done = std::function<void(const PeerResult &)>;

  virtual ~PeerPort() noexcept(false) = default;
  /// \brief Sends an attempt to a node.
  /// \param OnResult called once, or first with Suspected and then once more
  ///   with the final result.
  virtual void execute(const Member &Destination, const AttemptSpec &Attempt,
                       Done OnResult) = 0;
  /// \brief Notifies a node that the caller of an attempt no longer waits for
  ///   its reply.
  virtual void cancel(const Member &Destination, AttemptId Id) = 0;
};

} // namespace limpetdrum

#endif
