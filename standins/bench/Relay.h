#ifndef LIMPETDRUM_STANDINS_BENCH_RELAY_H
#define LIMPETDRUM_STANDINS_BENCH_RELAY_H

#include "limpetdrum/connection/EventLoop.h"

#include <memory>

namespace limpetdrum::bench {

/// \brief TCP relay that injects faults into the connections through it.
class Relay {
public:
  /// \param Server the address that accepted connections are relayed to.
  /// \throws NetworkError if \p Listen cannot be bound.
  Relay(EventLoop &Loop, Endpoint Listen, Endpoint Server);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// \brief Accepts connections again after stopListening().
  /// \throws NetworkError if the address cannot be bound.
  void listen();
  /// \brief Refuses new connections, as the address of a process that has ended
  ///   does. Open ones are relayed on.
  void stopListening();
  /// \brief Stops relaying on all current connections without closing them, so
  ///   that neither end is notified. New connections work.
  /// \returns the number of connections cut.
  std::size_t cutSilently();

  enum class Direction : std::uint8_t { None, ToServer, ToClient, Both };
  /// \brief Stops relaying in the direction \p Blocked, on all connections
  ///   including new ones, until the next call.
  void block(Direction Blocked);
  /// \brief Resets all connections at both ends.
  void reset();
  /// \brief Delays all bytes that are read from now on by \p Delay.
  void delay(Milliseconds Delay);

private:
  struct Pair;
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum::bench

#endif
