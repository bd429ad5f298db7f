#ifndef LIMPETDRUM_CONNECTION_LIVENESS_H
#define LIMPETDRUM_CONNECTION_LIVENESS_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum {

/// \brief Distinguishes a dead connection from a dead peer.
///
/// If calls are outstanding and nothing is received, the current connection
/// and a new one are both probed. If only the new one answers, the current
/// connection is dead; if neither does, the peer is suspected. Where new
/// connections are expensive, the current one is probed alone first.
class Liveness {
public:
  struct Limits {
    Milliseconds SilenceTimeout{250}; ///< silence that triggers a probe
    /// Time for the current connection to answer while it is probed alone; 0:
    /// both are probed at once.
    Milliseconds ProbeCurrentTimeout{0};
    Milliseconds ProbeBothTimeout{250}; ///< time for either to answer
  };
  enum class Action : std::uint8_t {
    None,
    ProbeCurrent, ///< probe the current connection
    ProbeBoth,    ///< probe the current connection and a new one
    Replace,      ///< the current connection is dead: use the new one
    Suspect,      ///< neither connection answered: suspect the peer
  };

  explicit Liveness(const Limits &Config = defaults()) noexcept
      : Config(Config) {}

  /// \brief Advances the state to \p Now; call it periodically.
  /// \param Outstanding true if calls wait for an answer.
  /// \param LastRead the later of the last receipt of bytes and the sending of
  ///   the oldest outstanding call.
  /// \returns the action to take now.
  [[nodiscard]] Action tick(bool Outstanding, TimePoint LastRead,
                            TimePoint Now);
  /// \brief Records that the new connection answered its probe.
  void onNewConnectionAnswer() noexcept { this->NewConnectionAnswered = true; }

private:
  enum class State : std::uint8_t {
    Idle,
    ProbingCurrent,
    ProbingBoth,
    Suspected
  };
  [[nodiscard]] static Limits defaults() noexcept { return {}; }
  Action beginProbingBoth(TimePoint Now);

  Limits Config;
  Liveness::State Phase = State::Idle;
  TimePoint ProbedAt{};
  bool NewConnectionAnswered = false;
};

} // namespace limpetdrum

#endif
