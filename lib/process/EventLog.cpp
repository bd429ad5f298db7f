#include "limpetdrum/process/EventLog.h"

#include <fcntl.h>
#include <unistd.h>

namespace limpetdrum {

namespace {

/// Four times the request rate of a node at the design load.
constexpr std::size_t MaxRequestLinesPerSecond = 2000;
constexpr std::size_t FlushBytes = 16U * 1024U;
/// Limits the memory used while the reader is slow.
constexpr std::size_t MaxBufferBytes = 256U * 1024U;

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

EventLog::EventLog(int Descriptor) : Descriptor(Descriptor) {
  int Flags = fcntl(Descriptor, F_GETFL, 0);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

EventLog::~EventLog() { this->flush(); }

void EventLog::request(const char *Event, Fields Values) {
  auto Now = unixMillis() / 1000;
  if (Now != this->CurrentSecond) {
    this->CurrentSecond = Now;
    this->LinesThisSecond = 0;
  }
  if (++this->LinesThisSecond > MaxRequestLinesPerSecond) {
    ++this->DroppedSinceLastLine;
    ++this->DroppedTotal;
    return;
  }
  this->add(Event, Values);
}

void EventLog::state(const char *Event, Fields Values) {
  this->add(Event, Values);
}

void EventLog::add(const char *Event, Fields &Values) {
  if (this->Buffer.size() > MaxBufferBytes) {
    ++this->DroppedSinceLastLine;
    ++this->DroppedTotal;
    return;
  }
  Fields Line = {{"time", unixMillis()}, {"event", Event}};
  if (this->DroppedSinceLastLine > 0)
    Line["lines_dropped"] = std::exchange(this->DroppedSinceLastLine, 0);
  if (!Values.is_null())
    Line.update(Values);
  this->Buffer +=
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  this->Buffer += '\n';
  if (this->Buffer.size() >= FlushBytes)
    this->flush();
}

void EventLog::flush() {
  while (!this->Buffer.empty()) {
    auto Written =
        write(this->Descriptor, this->Buffer.data(), this->Buffer.size());
    // A full pipe is retried at the next flush.
    if (Written <= 0)
      return;
    this->Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace limpetdrum
