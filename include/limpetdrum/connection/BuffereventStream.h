#ifndef LIMPETDRUM_CONNECTION_BUFFEREVENTSTREAM_H
#define LIMPETDRUM_CONNECTION_BUFFEREVENTSTREAM_H

#include "limpetdrum/process/Types.h"

#include <kj/async-io.h>

struct bufferevent;

namespace limpetdrum {

/// \brief A byte stream for Cap'n Proto over a bufferevent of libevent.
///
/// Writes are taken over at once; a connection that would hold more than
/// MaxConnectionBacklogBytes unsent is given up as dead.
class BuffereventStream final : public kj::AsyncIoStream {
public:
  /// \param Event the bufferevent, which this object then owns.
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

  /// \brief Whether the peer has ever accepted the connection.
  [[nodiscard]] bool wasConnected() const noexcept { return this->Connected; }
  /// \brief Says so for a connection that was accepted here.
  void markConnected() noexcept { this->Connected = true; }
  [[nodiscard]] bool isClosed() const noexcept { return this->Closed; }
  /// \brief When bytes last came in, in readings of the monotonic clock.
  [[nodiscard]] TimePoint lastRead() const noexcept { return this->LastRead; }
  /// \brief Ends the connection; pending reads fail as disconnected.
  void fail(const char *Why);

private:
  static void onReadable(bufferevent *Event, void *Context);
  static void onEvent(bufferevent *Event, short What, void *Context);
  kj::Promise<void> accept();
  void serveRead();
  [[nodiscard]] kj::Exception disconnected() const;

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
