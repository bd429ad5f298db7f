#ifndef LIMPETDRUM_CONNECTION_BUFFEREVENTSTREAM_H
#define LIMPETDRUM_CONNECTION_BUFFEREVENTSTREAM_H

#include "limpetdrum/process/Types.h"

#include <kj/async-io.h>

struct bufferevent;

namespace limpetdrum {

/// \brief Byte stream for Cap'n Proto over a libevent bufferevent.
///
/// Writes complete immediately because the bufferevent buffers them. A
/// connection whose peer leaves more than MaxConnectionBacklogBytes unsent is
/// considered dead and fails.
class BuffereventStream final : public kj::AsyncIoStream {
public:
  /// \param Event the bufferevent; this object takes ownership of it.
  explicit BuffereventStream(bufferevent *Event);
  ~BuffereventStream() noexcept(false);

  kj::Promise<size_t> tryRead(void *Buffer, size_t MinBytes,
                              size_t MaxBytes) override;
  kj::Promise<void> write(const void *Buffer, size_t Size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

  /// \brief Returns true if the connection was ever established.
  [[nodiscard]] bool wasConnected() const noexcept { return this->Connected; }
  /// \brief Marks a connection accepted by this process as established.
  void markConnected() noexcept { this->Connected = true; }
  [[nodiscard]] bool isClosed() const noexcept { return this->Closed; }
  /// \brief Returns the time at which bytes were last received, by the
  /// monotonic clock.
  [[nodiscard]] TimePoint lastRead() const noexcept { return this->LastRead; }
  /// \brief Ends the connection; pending reads and later writes fail as
  /// disconnected.
  /// \param Reason a string that outlives this object.
  void fail(const char *Reason);

private:
  static void onReadable(bufferevent *Event, void *Context);
  static void onEvent(bufferevent *Event, short Events, void *Context);
  kj::Promise<void> finishWrite();
  void fulfillRead();
  [[nodiscard]] kj::Exception disconnectedException() const;

  bufferevent *Event;
  bool Connected = false;
  bool Closed = false;
  const char *Reason = "closed by the peer";
  TimePoint LastRead;
  kj::Own<kj::PromiseFulfiller<size_t>> PendingRead;
  void *ReadBuffer = nullptr;
  size_t ReadMin = 0;
  size_t ReadMax = 0;
  kj::Own<kj::PromiseFulfiller<void>> DisconnectFulfiller;
  kj::ForkedPromise<void> Disconnect = nullptr;
};

} // namespace limpetdrum

#endif
