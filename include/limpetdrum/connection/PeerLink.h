#ifndef LIMPETDRUM_CONNECTION_PEERLINK_H
#define LIMPETDRUM_CONNECTION_PEERLINK_H

#include "limpetdrum/connection/EventLoop.h"

#include "Mesh.capnp.h"

#include <capnp/serialize.h>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace limpetdrum {

/// \brief A message as it goes over a link, its length in front.
[[nodiscard]] std::string toBytes(capnp::MessageBuilder &Message);

/// \brief One connection between two nodes that carries framed messages.
///
/// The end that connects says in its first byte whether both compress.
class PeerLink {
public:
  enum class Format : std::uint8_t { Plain, Compressed };
  struct Events {
    std::function<void()> OnConnected;
    std::function<void(mesh::Frame::Reader)> OnFrame;
    /// The connection ended; the link may be destroyed in the call.
    std::function<void(bool WasConnected)> OnClosed;
  };

  /// \brief Begins to connect.
  PeerLink(EventLoop &Loop, Endpoint Peer, Events Callbacks,
           Format Chosen = Format::Plain);
  /// \brief Takes over an accepted socket.
  PeerLink(EventLoop &Loop, int Socket, Events Callbacks);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// \brief Sends a message, or closes the link if the peer takes none.
  void send(const std::string &Bytes);
  /// \brief Closes the link; no callback is called any more.
  void stop() noexcept;
  /// \brief When bytes last came in, or the link was made.
  [[nodiscard]] TimePoint lastRead() const noexcept;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

/// \brief Stops a link and frees it later: it may be in a callback now.
void destroyLater(EventLoop &Loop, std::unique_ptr<PeerLink> Old);

/// \brief Accepts links of other nodes.
class PeerListener {
public:
  using OnAccept = std::function<void(int Socket)>;

  /// \throws NetworkError if \p Where cannot be bound.
  PeerListener(EventLoop &Loop, Endpoint Where, OnAccept Accept);
  ~PeerListener();
  PeerListener(const PeerListener &) = delete;
  PeerListener &operator=(const PeerListener &) = delete;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
