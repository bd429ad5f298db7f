#ifndef LIMPETDRUM_REQUEST_CRASHHISTORY_H
#define LIMPETDRUM_REQUEST_CRASHHISTORY_H

#include "limpetdrum/request/RequestFingerprint.h"

#include <cstddef>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Number of targets that have to end under a request before it is
///   suspected. One is the usual fate of a request beside another's crash.
inline constexpr unsigned SuspectCrashes = 2;

/// \brief Number of targets that have to end under a request on trial before it
///   is taken for the cause, whatever ran beside it.
inline constexpr unsigned CertainCrashes = 4;

/// \brief Time for which a crash is remembered.
inline constexpr std::chrono::minutes CrashRetention{20};

/// \brief Report that a target's process ended while it ran a request.
struct CrashReport {
  RequestFingerprint Request;
  std::uint64_t Target = 0; ///< hash that identifies the target's process
  /// True if the request was the only suspect at the target, which proves that
  /// it crashes targets.
  bool Alone = false;
  Milliseconds Age{0}; ///< time since the target ended
};

/// \brief What nodes tell each other about requests and crashed targets.
struct CrashNews {
  std::vector<CrashReport> Reports;
  /// Suspected requests that a target has answered.
  std::vector<RequestFingerprint> Sound;

  [[nodiscard]] bool empty() const noexcept {
    return this->Reports.empty() && this->Sound.empty();
  }
};

/// \brief Remembers under which requests targets ended, to keep a request that
///   crashes its targets from further ones.
///
/// A target ends with all requests that it runs, and the others among them are
/// often repeated at the target that the culprit crashes next. So being there
/// at several crashes only makes a request a suspect. Suspects run one at a
/// time at each target: the one that is answered is sound, the one under which
/// the target ends is proven to crash targets and is refused for a while. It is
/// not proven if a request ran beside it that was at one crash, as that may be
/// the culprit: that one is a suspect then. A request under which
/// CertainCrashes targets have ended is proven by the next.
///
/// All nodes hold the same history and exchange it as CrashNews. Its size is
/// bounded, and a report is new to a node only once, so that nodes which pass
/// on what is new to them stop. Performs no I/O.
class CrashHistory {
public:
  enum class Verdict : std::uint8_t {
    None,     ///< nothing is held against the request
    Suspect,  ///< runs only while no other suspect runs at the target
    Crashing, ///< proven to crash targets: refused
  };

  [[nodiscard]] Verdict verdict(RequestFingerprint Request,
                                TimePoint Now) const;
  /// \brief Returns the number of targets that are known to have ended under a
  ///   request, at most CertainCrashes; 0 once it was answered.
  [[nodiscard]] unsigned crashes(RequestFingerprint Request,
                                 TimePoint Now) const;
  /// \brief Returns the time until a crashing request may run again.
  [[nodiscard]] Milliseconds retryAfter(RequestFingerprint Request,
                                        TimePoint Now) const;
  /// \brief Adds what another node or the local target has reported.
  /// \returns the part of it that was new.
  CrashNews merge(const CrashNews &News, TimePoint Now);
  /// \brief Returns the suspects and the crashing requests, for a node that may
  ///   not know them; if there are many, those with the most against them.
  [[nodiscard]] CrashNews known(TimePoint Now) const;
  /// \brief Removes what has expired.
  void sweep(TimePoint Now);

  [[nodiscard]] bool empty() const noexcept { return this->Entries.empty(); }
  [[nodiscard]] std::size_t size() const noexcept {
    return this->Entries.size();
  }

private:
  struct Entry {
    std::vector<std::uint64_t> Targets; ///< that ended, each once; bounded
    bool Alone = false;                 ///< one of the reports is a proof
    bool IsSound = false;               ///< answered after it was suspected
    TimePoint LastAt{};                 ///< of the last crash or answer
  };

  bool add(const CrashReport &Report, TimePoint Now);
  bool markSound(RequestFingerprint Request, TimePoint Now);
  /// What an entry has against it, by which weak ones give way: a proof, the
  /// number of targets, the time of the last crash.
  using Strength = std::tuple<bool, std::size_t, TimePoint>;

  [[nodiscard]] static Strength strengthOf(const Entry &Value);
  /// Makes room for another entry by removing weaker and older ones.
  /// \returns false if there are none.
  bool makeRoom(const Strength &Incoming);
  [[nodiscard]] Verdict verdictOf(const Entry &Found, TimePoint Now) const;

  std::unordered_map<RequestFingerprint, Entry> Entries;
  /// Strength of the weakest entry while the history is full; unset if it is
  /// not, or an entry has become weaker since.
  std::optional<Strength> WeakestWhenFull;
};

} // namespace limpetdrum

#endif
