#ifndef LIMPETDRUM_DAEMON_PORTS_H
#define LIMPETDRUM_DAEMON_PORTS_H

#include "limpetdrum/connection/Http.h"
#include "limpetdrum/process/Membership.h"
#include "limpetdrum/request/AttemptSpec.h"
#include "limpetdrum/request/KeyLedger.h"
#include "limpetdrum/request/Reply.h"

#include <functional>

namespace limpetdrum {

/// \brief Reads the monotonic clock; a test passes a fake one.
using Clock = std::function<TimePoint()>;

using ReplyDone = std::function<void(const Reply &)>;

/// \brief The way to the node's own target.
class TargetPort {
public:
  virtual ~TargetPort() = default;
  /// \returns a ticket for cancel().
  virtual std::uint64_t send(const HttpCall &Call,
                             HttpClient::Callback Done) = 0;
  /// \brief Ends a request at the target; its callback is not called.
  virtual void cancel(std::uint64_t Ticket) = 0;
};

/// \brief What became of an attempt that was sent to another node.
struct PeerResult {
  enum class Kind : std::uint8_t {
    Replied,
    Lost,      ///< the connection ended
    Suspected, ///< the node answers on no connection; the call goes on
    Malformed, ///< the node answered nonsense
  };
  PeerResult::Kind Kind = Kind::Lost;
  limpetdrum::Reply Reply;
  bool HandedOver = true; ///< for Lost: whether the peer ever accepted
};

/// \brief The way to other nodes.
class PeerPort {
public:
  using Done = std::function<void(const PeerResult &)>;

  virtual ~PeerPort() noexcept(false) = default;
  /// \param OnResult called once, or Suspected first and then once more.
  virtual void execute(const Member &To, const AttemptSpec &Attempt,
                       Done OnResult) = 0;
  /// \brief Tells a node that nobody waits for an attempt any more.
  virtual void cancel(const Member &To, AttemptId Id) = 0;
};

} // namespace limpetdrum

#endif
