#ifndef LIMPETDRUM_REQUEST_LEVELNOTIFIER_H
#define LIMPETDRUM_REQUEST_LEVELNOTIFIER_H

#include "limpetdrum/request/Reply.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Levels sent to the callers that watch them.
struct LevelNotice {
  std::uint64_t Number = 0; ///< increases with each notice of an incarnation
  std::vector<LevelReport> Levels;
};

/// \brief Notifies callers of changed levels at once, not only with replies.
///
/// A caller registers a watch, which ends with the first notice that the caller
/// has not seen; then it registers the next one. A notice is sent only if a
/// level has changed by more than a tenth. The pause between notices grows with
/// the number of watchers, which bounds the cost at a busy node.
/// \code
///   LevelNotifier Notifier;
///   Notifier.watch(0, [](const LevelNotice &Notice) { use(Notice.Levels); },
///                  []() { return true; });
///   Notifier.tick([]() { return currentLevels(); }, now());
/// \endcode
class LevelNotifier {
public:
  using NoticeHandler = std::function<void(const LevelNotice &)>;
  using ConnectionCheck = std::function<bool()>;
  using LevelSource = std::function<std::vector<LevelReport>()>;

  /// \brief Registers a watch, or calls \p OnNotice at once if the caller has
  ///   missed a notice.
  /// \param LastSeen number of the last notice that the caller received, or 0.
  /// \param IsConnected returns false if the caller has disconnected; see
  ///   sweep().
  /// \returns false if the maximum number of watches is reached.
  [[nodiscard]] bool watch(std::uint64_t LastSeen, NoticeHandler OnNotice,
                           ConnectionCheck IsConnected);
  /// \brief Removes the watches of callers that have disconnected.
  void sweep();
  /// \brief Sends a notice if a level has changed and the pause has passed.
  /// \param Source is called only if a notice may be sent.
  void tick(const LevelSource &Source, TimePoint Now);
  [[nodiscard]] std::size_t watchers() const noexcept {
    return this->Watchers.size();
  }

private:
  struct Watcher {
    NoticeHandler OnNotice;
    ConnectionCheck IsConnected;
  };

  [[nodiscard]] bool hasChanged(const std::vector<LevelReport> &Levels) const;
  void publish(std::vector<LevelReport> Levels);

  LevelNotice LastNotice;
  std::unordered_map<ServiceName, float> LastSent;
  std::vector<Watcher> Watchers;
  TimePoint NextNotice{};
};

} // namespace limpetdrum

#endif
