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

/// \brief What a target has announced of itself.
enum class TargetState : std::uint8_t { Starting, Ready, Draining, Left };

/// \brief What the fleet believes of a node's process.
enum class Health : std::uint8_t { Alive, Suspect, Dead };

[[nodiscard]] const char *toString(TargetState Value) noexcept;
[[nodiscard]] const char *toString(Health Value) noexcept;

/// \brief One node and its target, as spread through the fleet.
struct Member {
  NodeId Node;
  limpetdrum::Incarnation Incarnation;
  /// Raised by the node itself at each change and refutation.
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

/// \brief Whether \p New says more recent things of a node than \p Old.
[[nodiscard]] bool supersedes(const Member &New, const Member &Old) noexcept;

enum class GossipKind : std::uint8_t { Ping, Ack, PingRequest, Rumor };

/// \brief A datagram of the membership protocol.
struct GossipMessage {
  GossipKind Kind = GossipKind::Rumor;
  NodeId From;
  std::uint32_t Sequence = 0;
  /// PingRequest: whom to ping; Ack: who answered.
  NodeId Subject;
  limpetdrum::Revision Revision; ///< in force at the sender
  std::uint64_t Digest = 0;      ///< of the sender's list of members
  std::vector<Member> Updates;
};

struct MembershipOptions {
  Milliseconds Period{1000};     ///< between two probes
  Milliseconds FlushPeriod{100}; ///< between two rounds of news
  std::size_t Fanout = 3;        ///< nodes told in a round
  std::size_t Helpers = 3;       ///< nodes asked to probe in our stead
  std::size_t UpdatesPerMessage = 12;
  Milliseconds SyncPause{10000}; ///< between two whole exchanges
  std::chrono::minutes KeepDead{10};
};

/// \brief Who is in the fleet: SWIM, with suspicion and incarnations.
///
/// A node that is slow itself trusts its own probes less and waits longer
/// (Lifeguard). News goes out in rounds at once, not with the probes, so that
/// a drain is known within seconds at any size. Datagrams and the time go in,
/// datagrams and events come out.
class Membership {
public:
  struct Outgoing {
    Endpoint To;
    GossipMessage Message;
  };
  struct Output {
    std::vector<Outgoing> Send;
    std::vector<Member> Changed;
    /// A node whose release is newer than ours.
    std::optional<NodeId> NewerReleaseAt;
    /// A node whose list of members differs lastingly.
    std::optional<NodeId> SyncWith;
  };

  /// \param Seed for all random choices.
  Membership(Member Self, MembershipOptions Options, std::uint64_t Seed);

  /// \brief Changes what this node says of its target.
  void announce(const ServiceName &Service, Slots Slots, TargetState Target);
  void setRevision(Revision InForce);

  [[nodiscard]] Output tick(TimePoint Now);
  [[nodiscard]] Output receive(const GossipMessage &Message, TimePoint Now);
  /// \brief Asks every member which release it has in force.
  [[nodiscard]] Output pingAll();
  /// \brief Takes in another node's whole list.
  [[nodiscard]] Output merge(const std::vector<Member> &Members, TimePoint Now);

  [[nodiscard]] const Member &self() const noexcept { return this->Self; }
  /// \brief All members but this one, the dead included.
  [[nodiscard]] const std::map<NodeId, Member> &others() const noexcept {
    return this->Others;
  }
  [[nodiscard]] const Member *find(const NodeId &Node) const;
  /// \brief This node and all others, for a whole exchange.
  [[nodiscard]] std::vector<Member> list() const;
  /// \brief Whether another process runs under this node's name, and later.
  [[nodiscard]] bool isSuperseded() const noexcept { return this->Superseded; }
  /// \brief How often anything that is known of a member has changed.
  [[nodiscard]] std::uint64_t changes() const noexcept { return this->Changes; }
  /// \brief A hash of all members, to compare lists by.
  [[nodiscard]] std::uint64_t digest() const noexcept;

private:
  struct News {
    NodeId About;
    unsigned RoundsLeft;
  };
  struct Probe {
    NodeId Subject;
    std::uint32_t Sequence = 0;
    TimePoint AskHelpersAt;
    TimePoint SuspectAt;
    bool HelpersAsked = false;
  };
  struct Relay {
    NodeId Requester;
    std::uint32_t Sequence;
    TimePoint Expiry;
  };

  bool apply(const Member &Update, TimePoint Now, Output &Out);
  void applyAboutSelf(const Member &Update);
  void checkPause(TimePoint Now);
  void advanceProbe(TimePoint Now, Output &Out);
  void beginProbe(TimePoint Now, Output &Out);
  void expireSuspects(TimePoint Now, Output &Out);
  void flushNews(TimePoint Now, Output &Out);
  void knockAtDead(Output &Out);
  void spread(const NodeId &About);
  void mark(const NodeId &Node, Health How, TimePoint Now, Output &Out);
  void answerPing(const GossipMessage &Message, Output &Out);
  void answerAck(const GossipMessage &Message, Output &Out);
  void relayPing(const GossipMessage &Message, TimePoint Now, Output &Out);
  void compareDigest(const GossipMessage &Message, TimePoint Now, Output &Out);
  [[nodiscard]] GossipMessage message(GossipKind Kind, std::uint32_t Sequence);
  void send(const NodeId &To, GossipMessage Message, Output &Out);
  [[nodiscard]] std::vector<NodeId> choose(std::size_t Count,
                                           const NodeId &Except);
  [[nodiscard]] std::optional<NodeId> nextToProbe();
  [[nodiscard]] Microseconds patience() const;
  [[nodiscard]] Microseconds suspicionTime() const;

  Member Self;
  MembershipOptions Options;
  std::mt19937_64 Random;
  limpetdrum::Revision InForce;
  std::map<NodeId, Member> Others;
  std::uint64_t Changes = 1;
  std::uint64_t OthersDigest = 0; ///< of Others, kept as they change
  std::unordered_map<NodeId, TimePoint> Suspects;
  std::unordered_map<NodeId, TimePoint> DeadSince;
  std::vector<News> Pending;
  unsigned RevisionRounds = 0;
  std::vector<NodeId> ProbeOrder;
  std::optional<Probe> Current;
  std::unordered_map<std::uint32_t, Relay> Relays;
  TimePoint LastTick{};
  TimePoint NextProbe{};
  TimePoint NextFlush{};
  TimePoint NextSync{};
  std::uint32_t LastSequence = 0;
  unsigned Distrust = 0; ///< of our own timeliness, in periods
  unsigned PeriodsToKnock = 0;
  bool Superseded = false;
};

} // namespace limpetdrum

#endif
