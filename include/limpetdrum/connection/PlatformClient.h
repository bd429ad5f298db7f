#ifndef LIMPETDRUM_CONNECTION_PLATFORMCLIENT_H
#define LIMPETDRUM_CONNECTION_PLATFORMCLIENT_H

#include "limpetdrum/connection/Http.h"

#include <functional>
#include <optional>
#include <string>

namespace limpetdrum {

/// \brief What a read or watch of an object gave.
struct PlatformObject {
  bool Reached = false;             ///< false: no answer came
  std::optional<std::string> Value; ///< nothing: there is no such object
  std::string Version;              ///< opaque; empty if there is no object
};

enum class PlatformWrite : std::uint8_t {
  Done,
  Conflict, ///< the version had moved on
  Lost,     ///< no answer: the write may have happened
};

/// \brief The platform's object API: versions, conditional updates, watches.
class PlatformClient {
public:
  using ReadDone = std::function<void(PlatformObject)>;
  using WriteDone = std::function<void(PlatformWrite)>;

  PlatformClient(EventLoop &Loop, Endpoint Platform);

  void read(const std::string &Name, ReadDone Done);
  /// \brief Waits until the object has another version than \p Version.
  /// \param Limit how long the platform may hold the answer.
  void watch(const std::string &Name, const std::string &Version,
             Milliseconds Limit, ReadDone Done);
  /// \param Version what is replaced; empty if there may be no object.
  void write(const std::string &Name, const std::string &Value,
             const std::string &Version, WriteDone Done);
  /// \brief How many calls have been made, watches included.
  [[nodiscard]] std::uint64_t calls() const noexcept { return this->Calls; }

private:
  HttpClient Client;
  std::uint64_t Calls = 0;
};

} // namespace limpetdrum

#endif
