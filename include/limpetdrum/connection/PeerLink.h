#ifndef LIMPETDRUM_CONNECTION_PEERLINK_H
#define LIMPETDRUM_CONNECTION_PEERLINK_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/LinkMemory.h"
#include "limpetdrum/connection/Listener.h"
#include "limpetdrum/process/Body.h"

#include "Mesh.capnp.h"

#include <capnp/serialize.h>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace limpetdrum {

/// \brief Encodes a message for a link: packed, preceded by its length.
[[nodiscard]] std::string encodeFrame(capnp::MessageBuilder &Message);

/// \brief Body that arrived in parts after its message.
struct FrameBody {
  Body Content;
  /// The body was not received: it is not needed, or there is no memory for it.
  bool IsMissing = false;
  bool ExceedsMemory = false;
  Microseconds Duration{0}; ///< from the message to the end of its body
};

/// \brief Connection between two nodes that carries framed messages.
///
/// The connecting side's first byte is the Format that both sides use. Long
/// bodies follow their messages in parts, which are sent as fast as the peer
/// reads them and leave room for other messages.
class PeerLink {
public:
  enum class Format : std::uint8_t { Plain, Compressed };
  struct Events {
    std::function<void()> OnConnected;
    std::function<void(mesh::Frame::Reader, FrameBody)> OnFrame;
    /// Returns false if a message whose body follows needs no body; may be
    /// unset.
    std::function<bool(mesh::Frame::Reader)> NeedsBody;
    /// Called when the connection ends; may destroy the link.
    std::function<void(bool WasConnected)> OnClosed;
  };

  /// \brief Starts to connect to \p Peer.
  PeerLink(EventLoop &Loop, Endpoint Peer, Events Callbacks,
           Format WireFormat = Format::Plain, LinkMemory Memory = {});
  /// \brief Takes ownership of an accepted socket.
  PeerLink(EventLoop &Loop, int Socket, Events Callbacks,
           LinkMemory Memory = {});
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// \brief Sends a message encoded by encodeFrame().
  ///
  /// Closes the link if more than MaxConnectionBacklogBytes are unsent.
  void send(const std::string &Bytes);
  /// \brief Limits the messages of a peer that has not said who it is.
  /// \param MaxBytes length of a message.
  /// \param Memory for incomplete messages.
  void limitFrames(std::size_t MaxBytes, AnswerMemory &Memory) noexcept;
  /// \brief Lifts limitFrames().
  void unlimitFrames() noexcept;
  /// \brief Sets whether the peer takes bodies in parts, as its hello says.
  void setTakesParts(bool Value) noexcept;
  /// \brief Returns true if a body is to be sent after its message, by
  ///   sendBody(), and not within it.
  [[nodiscard]] bool sendsInParts(std::size_t BodyBytes) const noexcept;
  /// \brief Returns false if an encoded message is longer than a peer accepts,
  ///   which would close the link.
  [[nodiscard]] static bool canSend(const std::string &Bytes) noexcept;
  /// \brief Sends the body of a message that was sent before.
  void sendBody(std::uint64_t Call, Body Content);
  /// \brief Stops to send the body of a call and to receive one for it.
  void cancelBody(std::uint64_t Call);
  /// \brief Frees bodies of attempts whose time is over.
  void dropOverdueBodies();
  /// \brief Returns the number of bytes that wait to be written to the socket.
  [[nodiscard]] std::size_t unsentBytes() const noexcept;
  /// \brief Closes the link; no callback is called afterwards.
  void stop() noexcept;
  /// \brief Returns the time at which bytes were last received; until then, the
  /// time at which the link was created or connected.
  [[nodiscard]] TimePoint lastRead() const noexcept;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

/// \brief Stops a link now and destroys it from the loop, because one of its
/// callbacks may be running.
void destroyLater(EventLoop &Loop, std::unique_ptr<PeerLink> Old);

/// \brief Accepts links from other nodes.
class PeerListener {
public:
  using OnAccept = Listener::AcceptHandler;

  /// \throws NetworkError if \p Local cannot be bound.
  PeerListener(EventLoop &Loop, Endpoint Local, OnAccept Accept,
               Listener::ErrorHandler OnError = nullptr)
      : Socket(Loop, Local, std::move(Accept), std::move(OnError)) {}

private:
  Listener Socket;
};

} // namespace limpetdrum

#endif
