#include "limpetdrum/connection/BuffereventStream.h"

#include "limpetdrum/Config.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>

namespace limpetdrum {

namespace {

TimePoint readClock() {
  return std::chrono::time_point_cast<Microseconds>(
      std::chrono::steady_clock::now());
}

} // namespace

BuffereventStream::BuffereventStream(bufferevent *Event) : Event(Event) {
  auto Pair = kj::newPromiseAndFulfiller<void>();
  this->DisconnectFulfiller = kj::mv(Pair.fulfiller);
  this->Disconnect = Pair.promise.fork();
  this->LastRead = readClock();
  bufferevent_setcb(Event, &BuffereventStream::onReadable, nullptr,
                    &BuffereventStream::onEvent, this);
  bufferevent_setwatermark(Event, EV_READ, 0, MaxConnectionBacklogBytes);
  bufferevent_enable(Event, EV_READ | EV_WRITE);
}

BuffereventStream::~BuffereventStream() noexcept(false) {
  bufferevent_free(this->Event);
}

kj::Promise<size_t> BuffereventStream::tryRead(void *Buffer, size_t MinBytes,
                                               size_t MaxBytes) {
  auto Pair = kj::newPromiseAndFulfiller<size_t>();
  this->PendingRead = kj::mv(Pair.fulfiller);
  this->ReadBuffer = Buffer;
  this->ReadMin = MinBytes;
  this->ReadMax = MaxBytes;
  this->fulfillRead();
  return kj::mv(Pair.promise);
}

void BuffereventStream::fulfillRead() {
  if (this->PendingRead.get() == nullptr)
    return;
  if (!this->PendingRead->isWaiting()) {
    this->PendingRead = nullptr;
    return;
  }
  evbuffer *Input = bufferevent_get_input(this->Event);
  if (evbuffer_get_length(Input) < this->ReadMin && !this->Closed)
    return;
  int Count = evbuffer_remove(Input, this->ReadBuffer, this->ReadMax);
  auto Fulfiller = kj::mv(this->PendingRead);
  Fulfiller->fulfill(Count > 0 ? static_cast<size_t>(Count) : 0);
}

kj::Promise<void> BuffereventStream::finishWrite() {
  evbuffer *Output = bufferevent_get_output(this->Event);
  if (evbuffer_get_length(Output) > MaxConnectionBacklogBytes)
    this->fail("send backlog exceeds its limit: the peer does not read");
  if (this->Closed)
    return this->disconnectedException();
  return kj::READY_NOW;
}

kj::Promise<void> BuffereventStream::write(const void *Buffer, size_t Size) {
  if (!this->Closed)
    bufferevent_write(this->Event, Buffer, Size);
  return this->finishWrite();
}

kj::Promise<void> BuffereventStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) {
  if (!this->Closed)
    for (auto Piece : Pieces)
      bufferevent_write(this->Event, Piece.begin(), Piece.size());
  return this->finishWrite();
}

kj::Promise<void> BuffereventStream::whenWriteDisconnected() {
  return this->Disconnect.addBranch();
}

void BuffereventStream::shutdownWrite() {
  bufferevent_flush(this->Event, EV_WRITE, BEV_FINISHED);
}

void BuffereventStream::abortRead() {
  bufferevent_disable(this->Event, EV_READ);
}

void BuffereventStream::fail(const char *Reason) {
  if (this->Closed)
    return;
  this->Closed = true;
  this->Reason = Reason;
  bufferevent_disable(this->Event, EV_READ | EV_WRITE);
  this->DisconnectFulfiller->fulfill();
  if (this->PendingRead.get() == nullptr)
    return;
  auto Fulfiller = kj::mv(this->PendingRead);
  Fulfiller->reject(this->disconnectedException());
}

kj::Exception BuffereventStream::disconnectedException() const {
  return KJ_EXCEPTION(DISCONNECTED, this->Reason);
}

void BuffereventStream::onReadable(bufferevent * /*Event*/, void *Context) {
  auto *Self = static_cast<BuffereventStream *>(Context);
  Self->LastRead = readClock();
  Self->fulfillRead();
}

void BuffereventStream::onEvent(bufferevent * /*Event*/, short Events,
                                void *Context) {
  auto *Self = static_cast<BuffereventStream *>(Context);
  if ((Events & BEV_EVENT_CONNECTED) != 0) {
    Self->Connected = true;
    Self->LastRead = readClock();
    return;
  }
  if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    Self->fail(Self->Connected ? "closed by the peer" : "connection refused");
}

} // namespace limpetdrum
