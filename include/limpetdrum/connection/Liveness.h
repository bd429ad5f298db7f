#ifndef LIMPETDRUM_CONNECTION_LIVENESS_H
#define LIMPETDRUM_CONNECTION_LIVENESS_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum {

/// \brief Tells a dead connection from a dead peer.
///
/// While calls are outstanding and nothing comes in, a probe goes out on the
/// connection and one on a fresh connection. If only the fresh one is
/// answered, the old connection is dead; if neither, the peer is suspected.
/// Where fresh connections are dear, the old one is probed alone at first.
class Liveness {
public:
  struct Limits {
    Milliseconds SilenceTimeout{250}; ///< after which a probe goes out
    /// For the old connection alone; 0: skipped.
    Milliseconds ProbeCurrentTimeout{0};
    Milliseconds ProbeBothTimeout{250}; ///< for both
  };
  enum class Action : std::uint8_t {
    None,
    ProbeCurrent, ///< probe on the old connection
    ProbeBoth,    ///< probe on the old connection and on a fresh one
    Replace,      ///< the old connection is dead: use the fresh one
    Suspect,      ///< the peer answers on neither
  };

  explicit Liveness(const Limits &Chosen = defaults()) noexcept
      : Chosen(Chosen) {}

  /// \param Outstanding whether calls wait for an answer.
  /// \param LastRead when bytes last came in, or the oldest call went out.
  [[nodiscard]] Action tick(bool Outstanding, TimePoint LastRead,
                            TimePoint Now);
  /// \brief The fresh connection has answered.
  void onFreshAnswer() noexcept { this->FreshAnswered = true; }

private:
  enum class State : std::uint8_t { Quiet, Asking, Probing, Suspected };
  [[nodiscard]] static Limits defaults() noexcept { return {}; }
  Action beginProbing(TimePoint Now);

  Limits Chosen;
  Liveness::State Phase = State::Quiet;
  TimePoint ProbedAt{};
  bool FreshAnswered = false;
};

} // namespace limpetdrum

#endif
