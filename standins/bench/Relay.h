#ifndef LIMPETDRUM_STANDINS_BENCH_RELAY_H
#define LIMPETDRUM_STANDINS_BENCH_RELAY_H

#include "limpetdrum/connection/EventLoop.h"

#include <memory>

namespace limpetdrum::bench {

/// \brief A TCP relay that can lose track of its connections.
class Relay {
public:
  Relay(EventLoop &Loop, Endpoint Listen, Endpoint Behind);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// \brief Carries nothing more on the connections there are; neither end
  ///   is told. New connections work.
  /// \returns how many were cut.
  std::size_t cutSilently();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum::bench

#endif
