#ifndef LIMPETDRUM_DAEMON_FLEET_FLEETVIEW_H
#define LIMPETDRUM_DAEMON_FLEET_FLEETVIEW_H

#include "limpetdrum/connection/Datagram.h"
#include "limpetdrum/daemon/fleet/ContactRegistry.h"
#include "limpetdrum/process/Metrics.h"

namespace limpetdrum {

/// \brief What a sidecar knows about all nodes of the fleet, whether it is
///   linked to them or not.
///
/// The object store lists the nodes at the start. From then on, the membership
/// protocol spreads their changes over datagrams.
class FleetView {
public:
  FleetView(EventLoop &Loop, ObjectStore &Store, Member Self, EventLog &Log,
            Metrics &Counters, std::uint64_t Seed);

  /// \brief Binds the gossip address.
  /// \throws NetworkError if it cannot be bound.
  void listen();
  /// \brief Starts to gossip and to read the contacts, after listen().
  void start(ContactRegistry::Start Kind);
  /// \brief Spreads a change of this node: whether it takes requests.
  void announce(TargetState Target);

  [[nodiscard]] const Membership &members() const noexcept {
    return this->Members;
  }
  /// \brief Returns true once the list of all nodes has been read.
  [[nodiscard]] bool isComplete() const noexcept {
    return this->Registry.hasReadContacts();
  }
  [[nodiscard]] ContactRegistry &registry() noexcept { return this->Registry; }

private:
  void onFound(const std::vector<Member> &Found);
  void onDatagram(const std::string &Bytes);
  void perform(const Membership::Output &Out);

  EventLoop &Loop;
  EventLog &Log;
  Metrics &Counters;
  Membership Members;
  ContactRegistry Registry;
  std::unique_ptr<DatagramSocket> Gossip;
  Timer Ticker;
};

} // namespace limpetdrum

#endif
