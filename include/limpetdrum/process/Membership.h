#ifndef LIMPETDRUM_PROCESS_MEMBERSHIP_H
#define LIMPETDRUM_PROCESS_MEMBERSHIP_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief State of a target as announced in the fleet.
enum class TargetState : std::uint8_t { Starting, Ready, Draining, Left };

/// \brief Health of a node's process in the membership protocol.
enum class Health : std::uint8_t { Alive, Suspect, Dead };

[[nodiscard]] const char *toString(TargetState Value) noexcept;
[[nodiscard]] const char *toString(Health Value) noexcept;

/// \brief A node and its target, as disseminated through the fleet.
struct Member {
  NodeId Node;
  limpetdrum::Incarnation Incarnation;
  /// Incremented by the node itself with each change and refutation.
  std::uint32_t Version = 0;
  ServiceName Service;
  limpetdrum::FailureDomain FailureDomain;
  limpetdrum::Region Region;
  Endpoint Rpc;
  Endpoint Gossip;
  limpetdrum::Slots Slots;
  TargetState Target = TargetState::Starting;
  limpetdrum::Health Health = Health::Alive;
};

/// \brief Returns true if the node's process has ended, as far as is known.
[[nodiscard]] bool isGone(const Member &Value) noexcept;

/// \brief Returns true if \p New overrides \p Old: the later incarnation wins,
///   then the higher version, then the worse health.
[[nodiscard]] bool supersedes(const Member &New, const Member &Old) noexcept;

enum class GossipKind : std::uint8_t {
  Ping,
  Ack,
  PingRequest,
  Rumor,
  /// Asks for all members that the receiver knows, as rumors.
  ListRequest,
};

/// \brief A datagram of the membership protocol.
struct GossipMessage {
  GossipKind Kind = GossipKind::Rumor;
  NodeId Sender;
  std::uint32_t Sequence = 0;
  /// PingRequest: the node to ping; Ack: the node that answered.
  NodeId Subject;
  limpetdrum::Revision Revision; ///< in force at the sender
  std::uint64_t Digest = 0;      ///< of the sender's member list
  std::vector<Member> Updates;
};

/// \brief Periods and sizes of the membership protocol.
struct MembershipOptions {
  Milliseconds Period{1000};             ///< between two probes
  Milliseconds DisseminationPeriod{100}; ///< between two rounds of updates
  std::size_t Fanout = 3;                ///< receivers of a round of updates
  std::size_t IndirectProbes = 3;        ///< helpers for an indirect probe
  std::size_t UpdatesPerMessage = 12;
  Milliseconds MinSyncInterval{10000}; ///< between two full exchanges
  /// Time until a member that is dead or has left is removed.
  std::chrono::minutes DeadRetention{10};
  /// A later incarnation under this node's name is an earlier process of the
  /// node, whose clock was ahead: the node continues with a higher one. If
  /// false, it is another process, which supersedes this one.
  bool OwnsName = false;
};

/// \brief Group membership by the SWIM protocol, with suspicion and
///   incarnations.
///
/// A node that is slow itself extends its probe timeout by its local health
/// score (Lifeguard). Updates are sent in rounds of their own that do not wait
/// for probes, so that a drain is known to all nodes within seconds at any
/// fleet size. Performs no I/O: datagrams and the time are inputs, datagrams
/// and events are outputs.
class Membership {
public:
  struct Outgoing {
    Endpoint Destination;
    GossipMessage Message;
  };
  struct Output {
    std::vector<Outgoing> Send;
    std::vector<Member> Changed;
    /// A node that has a newer release than this one.
    std::optional<NodeId> NewerReleaseAt;
    /// A node whose member list differs although no updates are pending.
    std::optional<NodeId> SyncWith;
  };

  /// \param Seed for all random choices.
  Membership(Member Self, MembershipOptions Options, std::uint64_t Seed);

  /// \brief Sets the state of this node's target, and disseminates it if it
  ///   has changed.
  void announce(const ServiceName &Service, Slots Slots, TargetState Target);
  /// \brief Disseminates this node's record, for nodes that do not know this
  ///   incarnation yet.
  void disseminateSelf() { this->enqueueUpdate(this->Self.Node); }
  void setRevision(Revision InForce);

  [[nodiscard]] Output tick(TimePoint Now);
  [[nodiscard]] Output receive(const GossipMessage &Message, TimePoint Now);
  /// \brief Pings every member; their acks contain the revision in force.
  [[nodiscard]] Output pingAll();
  /// \brief Merges the full member list of another node.
  [[nodiscard]] Output merge(const std::vector<Member> &Members, TimePoint Now);
  /// \brief Merges members that all nodes read from the same source, so that
  ///   they need not be disseminated.
  [[nodiscard]] Output learn(const std::vector<Member> &Members, TimePoint Now);
  /// \brief Exchanges the full member lists with another node by datagrams.
  ///
  /// Lost datagrams are made up for by the next exchange, since the digests
  /// still differ then.
  [[nodiscard]] Output exchangeLists(Endpoint Gossip);

  [[nodiscard]] const Member &self() const noexcept { return this->Self; }
  /// \brief Returns all members except this node, including dead ones.
  [[nodiscard]] const std::map<NodeId, Member> &others() const noexcept {
    return this->Peers;
  }
  [[nodiscard]] const Member *find(const NodeId &Node) const;
  /// \brief Returns this node and all others, for a full exchange.
  [[nodiscard]] std::vector<Member> list() const;
  /// \brief Returns true if a later process runs under this node's name.
  [[nodiscard]] bool isSuperseded() const noexcept { return this->Superseded; }
  /// \brief Returns a counter that increases with each change of a member.
  [[nodiscard]] std::uint64_t changes() const noexcept { return this->Changes; }
  /// \brief Returns a hash of all members that are not gone, for comparing
  ///   member lists.
  [[nodiscard]] std::uint64_t digest() const noexcept;

private:
  struct PendingUpdate {
    NodeId Node;
    unsigned RoundsLeft;
  };
  struct Probe {
    NodeId Subject;
    std::uint32_t Sequence = 0;
    TimePoint IndirectProbeAt;
    TimePoint SuspectAt;
    bool IndirectProbeSent = false;
  };
  struct Relay {
    NodeId Requester;
    std::uint32_t Sequence;
    TimePoint Expiry;
  };

  bool apply(const Member &Update, TimePoint Now, Output &Out);
  void applyToSelf(const Member &Update);
  void checkPause(TimePoint Now);
  void advanceProbe(TimePoint Now, Output &Out);
  void beginProbe(TimePoint Now, Output &Out);
  void expireSuspects(TimePoint Now, Output &Out);
  void disseminate(TimePoint Now, Output &Out);
  void pingDeadMember(Output &Out);
  void enqueueUpdate(const NodeId &Node);
  void setHealth(const NodeId &Node, Health Value, TimePoint Now, Output &Out);
  void handlePing(const GossipMessage &Message, Output &Out);
  /// Sends all members as rumors.
  void sendList(Endpoint Receiver, Output &Out);
  void handleAck(const GossipMessage &Message, Output &Out);
  void relayPing(const GossipMessage &Message, TimePoint Now, Output &Out);
  void compareDigest(const GossipMessage &Message, TimePoint Now, Output &Out);
  [[nodiscard]] GossipMessage message(GossipKind Kind, std::uint32_t Sequence);
  void send(const NodeId &Receiver, GossipMessage Message, Output &Out);
  [[nodiscard]] std::vector<NodeId> randomMembers(std::size_t Count,
                                                  const NodeId &Excluded);
  [[nodiscard]] std::optional<NodeId> nextToProbe();
  [[nodiscard]] Microseconds probeTimeout() const;
  [[nodiscard]] Microseconds suspicionTimeout() const;

  Member Self;
  MembershipOptions Options;
  std::mt19937_64 Random;
  limpetdrum::Revision InForce;
  std::map<NodeId, Member> Peers;
  std::uint64_t Changes = 1;
  std::uint64_t PeersDigest = 0; ///< XOR of the digests of Peers
  std::unordered_map<NodeId, TimePoint> Suspects;
  std::unordered_map<NodeId, TimePoint> GoneSince;
  std::vector<PendingUpdate> PendingUpdates;
  unsigned RevisionRounds = 0;
  std::vector<NodeId> ProbeOrder;
  std::optional<Probe> CurrentProbe;
  std::unordered_map<std::uint32_t, Relay> Relays;
  TimePoint LastTick{};
  TimePoint NextProbe{};
  TimePoint NextDissemination{};
  TimePoint NextSync{};
  std::uint32_t LastSequence = 0;
  /// Periods that the probe timeout is extended by; 0 if acks arrive in time.
  unsigned LocalHealthScore = 0;
  unsigned PeriodsUntilDeadPing = 0;
  bool Superseded = false;
};

} // namespace limpetdrum

#endif
