#ifndef LIMPETDRUM_CONNECTION_OBJECTSTORE_H
#define LIMPETDRUM_CONNECTION_OBJECTSTORE_H

#include "limpetdrum/process/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief Period between two restorations of the store from an older copy.
///
/// Revisions only compare within one era: after a restoration, they are
/// assigned again.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;

/// \brief Object in the platform's store.
struct StoredObject {
  std::string Name;
  std::uint64_t Revision = 0; ///< revision of its last change
  std::string Value;          ///< JSON text
};

enum class StoreOutcome : std::uint8_t {
  Done,
  Conflict, ///< the object already exists or has changed
  /// The history since the watched revision is gone, or the store has been
  /// restored from a copy, so that the revision may mean something else now.
  RevisionExpired,
  Refused, ///< the store rejected the call and changed nothing
  Lost,    ///< no answer: a write may take effect now or later
};

[[nodiscard]] const char *toString(StoreOutcome Value) noexcept;

/// \brief Objects of one kind, or the changes among them.
struct StoreListing {
  StoreOutcome Outcome = StoreOutcome::Lost;
  std::vector<StoredObject> Objects;
  std::vector<std::string> Deleted; ///< names; watches only
  std::uint64_t Revision = 0; ///< revision of the store from which to watch
  StoreEra Era;
};

/// \brief Operations on the platform's object store that the nodes use.
class ObjectStore {
public:
  using ListDone = std::function<void(const StoreListing &)>;
  using WriteDone = std::function<void(StoreOutcome)>;

  virtual ~ObjectStore() = default;
  /// \brief Lists all objects of a kind.
  /// \param AllowStale true if the answer may be seconds old, which costs the
  ///   store less.
  /// \param Purpose the purpose of the call as named in metrics and logs.
  virtual void list(const std::string &Kind, bool AllowStale,
                    const char *Purpose, ListDone OnDone) = 0;
  /// \brief Reads one object.
  /// \param OnDone called with the object, or without one if there is none.
  virtual void get(const std::string &Kind, const std::string &Name,
                   const char *Purpose, ListDone OnDone) = 0;
  /// \brief Waits for changes after the revision \p After.
  /// \param Limit how long the store may hold the call open without a change.
  /// \param Era in which \p After was read; the watch ends with RevisionExpired
  ///   if the store is in another one.
  virtual void watch(const std::string &Kind, std::uint64_t After, StoreEra Era,
                     Milliseconds Limit, const char *Purpose,
                     ListDone OnDone) = 0;
  /// \brief Creates an object or replaces an existing one.
  virtual void put(const std::string &Kind, const StoredObject &Object,
                   const char *Purpose, WriteDone OnDone) = 0;
  /// \brief Removes an object.
  /// \param Revision removes it only if this is its revision; 0: in any case.
  virtual void remove(const std::string &Kind, const std::string &Name,
                      std::uint64_t Revision, const char *Purpose,
                      WriteDone OnDone) = 0;
};

} // namespace limpetdrum

#endif
