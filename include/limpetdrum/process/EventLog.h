#ifndef LIMPETDRUM_PROCESS_EVENTLOG_H
#define LIMPETDRUM_PROCESS_EVENTLOG_H

#include "limpetdrum/process/Types.h"

#include <nlohmann/json.hpp>
#include <string>

namespace limpetdrum {

/// \brief Structured log with one JSON object per line.
///
/// Lines are buffered and written in batches. Writing never blocks on a slow
/// reader: lines that do not fit into the buffer are dropped, and the next
/// line contains the number of dropped lines.
class EventLog {
public:
  using Fields = nlohmann::ordered_json;

  /// \param Descriptor the file descriptor to write to; set to non-blocking.
  explicit EventLog(int Descriptor);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// \brief Adds a line about one request, up to a limit per second.
  /// \param Event the event name, a constant for each kind of line.
  void request(const char *Event, Fields Values);
  /// \brief Adds a line about the state of the process; not subject to the
  ///   limit per second.
  void state(const char *Event, Fields Values);
  /// \brief Writes the buffered lines; to be called about every 100 ms.
  void flush();

  [[nodiscard]] std::uint64_t dropped() const noexcept {
    return this->DroppedTotal;
  }

private:
  void add(const char *Event, Fields &Values);

  int Descriptor;
  std::string Buffer;
  std::int64_t CurrentSecond = 0; ///< Unix time that LinesThisSecond refers to
  std::size_t LinesThisSecond = 0;
  std::uint64_t DroppedSinceLastLine = 0; ///< not yet reported by a line
  std::uint64_t DroppedTotal = 0;
};

} // namespace limpetdrum

#endif
