#ifndef LIMPETDRUM_CONNECTION_OBJECTSTORE_H
#define LIMPETDRUM_CONNECTION_OBJECTSTORE_H

#include "limpetdrum/process/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief An object of the platform's store.
struct StoredObject {
  std::string Name;
  std::uint64_t Revision = 0; ///< of its last change
  std::string Value;          ///< JSON text
};

enum class StoreOutcome : std::uint8_t {
  Done,
  Conflict,        ///< it exists already, or has changed
  RevisionExpired, ///< a watch cannot go on from its revision
  Refused,         ///< the store did nothing
  Lost,            ///< no answer: a write may have happened or happen later
};

[[nodiscard]] const char *toString(StoreOutcome Value) noexcept;

/// \brief The objects of a kind, or what has changed among them.
struct StoreListing {
  StoreOutcome Outcome = StoreOutcome::Lost;
  std::vector<StoredObject> Objects;
  std::vector<std::string> Deleted; ///< names; for watches
  std::uint64_t Revision = 0;       ///< of the store, to watch from
};

/// \brief The platform's object store, as much of it as the nodes use.
class ObjectStore {
public:
  using ListDone = std::function<void(const StoreListing &)>;
  using WriteDone = std::function<void(StoreOutcome)>;

  virtual ~ObjectStore() = default;
  /// \param AllowStale whether an answer may be seconds old; it is cheaper.
  /// \param Purpose what the call is made for, in metrics and logs.
  virtual void list(const std::string &Kind, bool AllowStale,
                    const char *Purpose, ListDone OnDone) = 0;
  /// \brief Waits for changes after a revision.
  virtual void watch(const std::string &Kind, std::uint64_t After,
                     Milliseconds Limit, const char *Purpose,
                     ListDone OnDone) = 0;
  /// \brief Creates an object, or replaces it if it exists.
  virtual void put(const std::string &Kind, const StoredObject &Object,
                   const char *Purpose, WriteDone OnDone) = 0;
  virtual void remove(const std::string &Kind, const std::string &Name,
                      const char *Purpose, WriteDone OnDone) = 0;
};

} // namespace limpetdrum

#endif
