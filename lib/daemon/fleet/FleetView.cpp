#include "limpetdrum/daemon/fleet/FleetView.h"

#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Duties.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds TickPeriod{100};

MembershipOptions membershipOptions() {
  MembershipOptions Options;
  Options.OwnsName = true;
  return Options;
}

} // namespace

FleetView::FleetView(EventLoop &Loop, ObjectStore &Store, Member Self,
                     EventLog &Log, Metrics &Counters, std::uint64_t Seed)
    : Loop(Loop), Log(Log), Counters(Counters),
      Members(Self, membershipOptions(), Seed),
      Registry(Loop, Store, std::move(Self), Log, Seed + 1) {}

void FleetView::listen() {
  this->Gossip = std::make_unique<DatagramSocket>(
      this->Loop, this->Members.self().Gossip,
      [this](const std::string &Bytes) { this->onDatagram(Bytes); });
}

void FleetView::start(ContactRegistry::Start Kind) {
  // The nodes that are running know an earlier incarnation of this one, or
  // none. In a fleet that starts, all read this one from the store.
  if (Kind == ContactRegistry::Start::Alone)
    this->Members.disseminateSelf();
  ContactRegistry::Handlers Handlers;
  Handlers.OnFound = [this](const auto &Found) { this->onFound(Found); };
  Handlers.MayRefresh = [this]() {
    return this->Members.others().empty() || holdsDuties(this->Members, 1);
  };
  this->Registry.start(Kind, std::move(Handlers));
  this->Ticker = this->Loop.every(TickPeriod, [this]() {
    this->perform(this->Members.tick(this->Loop.now()));
  });
}

void FleetView::onFound(const std::vector<Member> &Found) {
  this->perform(this->Members.learn(Found, this->Loop.now()));
}

void FleetView::announce(TargetState Target) {
  const auto &Self = this->Members.self();
  this->Members.announce(Self.Service, Self.Slots, Target);
}

void FleetView::onDatagram(const std::string &Bytes) {
  this->Counters.count("gossip_bytes_received", "", "", Bytes.size());
  auto Message = codec::decode(Bytes);
  if (!Message) {
    this->Counters.count("gossip_malformed");
    return;
  }
  this->perform(this->Members.receive(*Message, this->Loop.now()));
}

void FleetView::perform(const Membership::Output &Out) {
  for (const auto &Outgoing : Out.Send) {
    auto Bytes = codec::encode(Outgoing.Message);
    this->Counters.count("gossip_datagrams_sent");
    this->Counters.count("gossip_bytes_sent", "", "", Bytes.size());
    this->Gossip->send(Outgoing.Destination, Bytes);
  }
  for (const auto &M : Out.Changed)
    this->Log.state("member", {{"node", M.Node.value()},
                               {"incarnation", M.Incarnation.value()},
                               {"state", toString(M.Target)},
                               {"health", toString(M.Health)}});
  if (Out.SyncWith)
    if (const Member *Peer = this->Members.find(*Out.SyncWith)) {
      this->Counters.count("member_synchronizations");
      this->perform(this->Members.exchangeLists(Peer->Gossip));
    }
}

} // namespace limpetdrum
