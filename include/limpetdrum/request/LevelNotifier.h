#ifndef LIMPETDRUM_REQUEST_LEVELNOTIFIER_H
#define LIMPETDRUM_REQUEST_LEVELNOTIFIER_H

#include "limpetdrum/request/Reply.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Levels as told to the callers that watch them.
struct LevelNotice {
  std::uint64_t Number = 0; ///< rises with each notice of a node's life
  std::vector<LevelReport> Levels;
};

/// \brief Tells callers of moved levels at once, not only with replies.
///
/// A caller parks a watch, which ends with the first notice that it has not
/// seen; then it parks the next. Notices come out only when a level has moved
/// by more than a tenth, and the further apart the more callers watch, so that
/// a busy node spends little on them.
/// \code
///   LevelNotifier Notifier;
///   Notifier.watch(0, [](const LevelNotice &News) { use(News.Levels); },
///                  []() { return true; });
///   Notifier.tick([]() { return levelsNow(); }, now());
/// \endcode
class LevelNotifier {
public:
  using Deliver = std::function<void(const LevelNotice &)>;
  using IsWaiting = std::function<bool()>;
  using ReadLevels = std::function<std::vector<LevelReport>()>;

  /// \param Seen the number of the last notice that the caller had, or 0.
  /// \param StillWaits whether the caller has not hung up; see sweep().
  /// \returns false if too many watch already.
  [[nodiscard]] bool watch(std::uint64_t Seen, Deliver OnNotice,
                           IsWaiting StillWaits);
  /// \brief Forgets watches whose callers have hung up.
  void sweep();
  /// \param Read is called only when a notice may go out.
  void tick(const ReadLevels &Read, TimePoint Now);
  [[nodiscard]] std::size_t watchers() const noexcept {
    return this->Watchers.size();
  }

private:
  struct Watcher {
    Deliver OnNotice;
    IsWaiting StillWaits;
  };

  [[nodiscard]] bool hasMoved(const std::vector<LevelReport> &Levels) const;
  void publish(std::vector<LevelReport> Levels);

  LevelNotice Last;
  std::unordered_map<ServiceName, float> Told;
  std::vector<Watcher> Watchers;
  TimePoint NextNotice{};
};

} // namespace limpetdrum

#endif
