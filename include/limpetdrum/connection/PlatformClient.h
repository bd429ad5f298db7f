#ifndef LIMPETDRUM_CONNECTION_PLATFORMCLIENT_H
#define LIMPETDRUM_CONNECTION_PLATFORMCLIENT_H

#include "limpetdrum/connection/Http.h"

#include <functional>
#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Result of reading or watching an object.
struct PlatformObject {
  bool HasUsableAnswer = false;     ///< status 200, 304 or 404 received
  std::optional<std::string> Value; ///< nullopt: no such object, or unchanged
  std::string Version;              ///< opaque; empty without a value
};

/// \brief Outcome of a conditional write.
enum class PlatformWrite : std::uint8_t {
  Done,
  Conflict, ///< the stored version is another one
  Lost,     ///< no usable answer: the write may have taken effect
};

/// \brief Client of the platform's object API, which has versions, conditional
/// updates and watches.
class PlatformClient {
public:
  using ReadDone = std::function<void(PlatformObject)>;
  using WriteDone = std::function<void(PlatformWrite)>;

  PlatformClient(EventLoop &Loop, Endpoint Platform);

  void read(const std::string &Name, ReadDone Done);
  /// \brief Waits until the object's version differs from \p Version.
  /// \param Limit how long the platform may hold the call open.
  void watch(const std::string &Name, const std::string &Version,
             Milliseconds Limit, ReadDone Done);
  /// \brief Writes an object if its stored version is \p Version.
  /// \param Version the version to replace; empty: the object must not exist.
  void write(const std::string &Name, const std::string &Value,
             const std::string &Version, WriteDone Done);
  /// \brief Returns the number of calls made, including watches.
  [[nodiscard]] std::uint64_t calls() const noexcept { return this->Calls; }

private:
  HttpClient Client;
  std::uint64_t Calls = 0;
};

} // namespace limpetdrum

#endif
