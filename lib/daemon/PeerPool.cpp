#include "limpetdrum/daemon/PeerPool.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <map>

namespace limpetdrum {

namespace {

/// Time after the last call to a node until its connection is closed.
constexpr std::chrono::seconds IdleTimeout{120};
/// Time after the last call to a node during which its levels are watched.
constexpr std::chrono::seconds LevelWatchTimeout{10};
constexpr std::size_t MaxRecordsPerMessage = 200;

} // namespace

/// Another node, with its connection and its outstanding calls.
struct PeerPool::Peer {
  Endpoint Address;
  std::unique_ptr<RpcClient> Client;
  std::uint64_t Generation = 0; ///< number of clients made for this peer
  std::unique_ptr<RpcClient> ProbeClient; ///< probes a silent node
  Liveness Monitor;
  std::map<std::uint64_t, Done> OutstandingCalls;
  TimePoint OldestSendTime;
  TimePoint LastUse;
  NodeId Node;                  ///< receiver of the last call
  std::uint64_t LastNotice = 0; ///< number of the level notice seen last
  bool WatchesLevels = false;

  void onNewClient() {
    ++this->Generation;
    this->WatchesLevels = false;
    this->LastNotice = 0;
  }
  [[nodiscard]] TimePoint lastRead() const {
    return std::max(this->Client->lastRead(), this->OldestSendTime);
  }
};

PeerPool::PeerPool(EventLoop &Loop, Metrics &Counters)
    : Loop(Loop), Counters(Counters), Tasks(*this) {}

PeerPool::~PeerPool() noexcept(false) = default;

void PeerPool::taskFailed(kj::Exception && /*E*/) {
  this->Counters.count("peer_task_failures");
}

std::shared_ptr<PeerPool::Peer> PeerPool::peer(Endpoint Address) {
  auto &Found = this->Peers[Address];
  if (!Found) {
    Found = std::make_shared<Peer>();
    Found->Address = Address;
  }
  // A request sent on a closed connection would count as handed over.
  if (Found->Client && Found->Client->isClosed())
    this->retire(std::move(Found->Client), "closed");
  if (!Found->Client) {
    Found->Client = std::make_unique<RpcClient>(this->Loop, Address);
    Found->onNewClient();
    this->Counters.count("peer_connections");
  }
  Found->LastUse = this->Loop.now();
  return Found;
}

void PeerPool::dropClient(Peer &Owner, std::uint64_t Generation) {
  if (Owner.Generation == Generation && Owner.Client)
    this->retire(std::move(Owner.Client),
                 "the connection to the peer was lost");
}

void PeerPool::execute(const Member &Receiver, const AttemptSpec &Attempt,
                       Done OnResult) {
  auto Shared = this->peer(Receiver.Rpc);
  Shared->Node = Receiver.Node;
  if (this->LevelListener && !Shared->WatchesLevels)
    this->watchLevels(Shared);
  auto CallId = ++this->LastCall;
  auto Generation = Shared->Generation;
  if (Shared->OutstandingCalls.empty())
    Shared->OldestSendTime = this->Loop.now();
  Shared->OutstandingCalls.emplace(CallId, std::move(OnResult));
  auto Finish = [Shared, CallId](const PeerResult &Result) {
    auto Found = Shared->OutstandingCalls.find(CallId);
    if (Found == Shared->OutstandingCalls.end())
      return;
    auto OnResult = std::move(Found->second);
    Shared->OutstandingCalls.erase(Found);
    OnResult(Result);
  };
  auto Request = Shared->Client->node().executeRequest();
  codec::write(Request.initAttempt(), Attempt);
  this->Tasks.add(Request.send().then(
      [Finish](capnp::Response<rpc::Node::ExecuteResults> &&Response) {
        PeerResult Result;
        try {
          Result.Reply = codec::read(Response.getReply());
          Result.Kind = PeerResult::Kind::Replied;
        } catch (const ValueError &) {
          Result.Kind = PeerResult::Kind::Malformed;
        }
        Finish(Result);
      },
      [this, Finish, Shared, Generation](kj::Exception &&E) {
        PeerResult Result;
        bool Disconnected = E.getType() == kj::Exception::Type::DISCONNECTED;
        Result.Kind =
            Disconnected ? PeerResult::Kind::Lost : PeerResult::Kind::Malformed;
        // A replaced connection had been accepted before it became silent, so
        // HandedOver stays true.
        if (Shared->Generation == Generation && Shared->Client)
          Result.HandedOver = Shared->Client->wasConnected();
        if (Disconnected)
          this->dropClient(*Shared, Generation);
        Finish(Result);
      }));
}

void PeerPool::watchLevels(const std::shared_ptr<Peer> &Watched) {
  Watched->WatchesLevels = true;
  auto Generation = Watched->Generation;
  auto Request = Watched->Client->node().watchLevelsRequest();
  Request.setSeen(Watched->LastNotice);
  this->Tasks.add(Request.send().then(
      [this, Watched,
       Generation](capnp::Response<rpc::Node::WatchLevelsResults> &&Response) {
        if (Watched->Generation != Generation || !Watched->Client)
          return;
        Watched->WatchesLevels = false;
        Watched->LastNotice = Response.getNumber();
        this->Counters.count("level_notices");
        try {
          this->LevelListener(Watched->Node, codec::read(Response.getLevels()));
        } catch (const ValueError &) {
          this->Counters.count("rpc_malformed");
          return;
        }
        if (this->Loop.now() - Watched->LastUse < LevelWatchTimeout)
          this->watchLevels(Watched);
      },
      [Watched, Generation](kj::Exception &&) {
        // The next call watches again.
        if (Watched->Generation == Generation)
          Watched->WatchesLevels = false;
      }));
}

void PeerPool::cancel(const Member &Receiver, AttemptId Id) {
  auto Request = this->peer(Receiver.Rpc)->Client->node().cancelRequest();
  codec::write(Request.initId(), Id);
  Request.setIncarnation(Receiver.Incarnation.value());
  this->Tasks.add(Request.send().ignoreResult());
}

void PeerPool::fetchRelease(Endpoint Source, Revision Current,
                            std::function<void(std::string)> OnText) {
  auto Shared = this->peer(Source);
  auto Generation = Shared->Generation;
  auto Request = Shared->Client->node().releaseRequest();
  Request.setAbove(Current.value());
  this->Tasks.add(Request.send().then(
      [OnText](capnp::Response<rpc::Node::ReleaseResults> &&Response) {
        OnText(std::string(Response.getState().cStr()));
      },
      [this, Shared, Generation, OnText](kj::Exception &&) {
        this->dropClient(*Shared, Generation);
        OnText("");
      }));
}

void PeerPool::synchronize(
    Endpoint Peer, const std::vector<Member> &LocalMembers,
    std::function<void(std::optional<std::vector<Member>>)> OnDone) {
  auto Shared = this->peer(Peer);
  auto Generation = Shared->Generation;
  auto Request = Shared->Client->node().synchronizeRequest();
  auto List = Request.initMembers(static_cast<unsigned>(LocalMembers.size()));
  for (unsigned I = 0; I < List.size(); ++I)
    codec::write(List[I], LocalMembers[I]);
  this->Tasks.add(Request.send().then(
      [OnDone](capnp::Response<rpc::Node::SynchronizeResults> &&Response) {
        std::vector<Member> PeerMembers;
        try {
          for (auto Record : Response.getMembers())
            PeerMembers.push_back(codec::read(Record));
        } catch (const ValueError &) {
          OnDone(std::nullopt);
          return;
        }
        OnDone(std::move(PeerMembers));
      },
      [this, OnDone, Shared, Generation](kj::Exception &&) {
        this->dropClient(*Shared, Generation);
        OnDone(std::nullopt);
      }));
}

void PeerPool::handOver(
    Endpoint Receiver,
    const std::vector<std::pair<IdempotencyKey, KeyRecord>> &Records,
    std::function<void(bool)> OnDone) {
  auto Shared = this->peer(Receiver);
  auto Failed = std::make_shared<bool>(false);
  auto Batches = std::make_shared<std::size_t>(
      (Records.size() + MaxRecordsPerMessage - 1) / MaxRecordsPerMessage);
  auto Finish = [OnDone, Failed, Batches](bool Accepted) {
    *Failed = *Failed || !Accepted;
    if (--*Batches == 0)
      OnDone(!*Failed);
  };
  for (std::size_t Begin = 0; Begin < Records.size();
       Begin += MaxRecordsPerMessage) {
    auto Count = std::min(MaxRecordsPerMessage, Records.size() - Begin);
    auto Request = Shared->Client->node().handOverRequest();
    auto List = Request.initRecords(static_cast<unsigned>(Count));
    for (unsigned I = 0; I < Count; ++I)
      codec::write(List[I], Records[Begin + I].first, Records[Begin + I].second,
                   this->Loop.now());
    this->Tasks.add(Request.send().then(
        [Finish](capnp::Response<rpc::Node::HandOverResults> &&) {
          Finish(true);
        },
        [Finish](kj::Exception &&) { Finish(false); }));
  }
}

void PeerPool::tick() {
  auto Now = this->Loop.now();
  std::vector<std::shared_ptr<Peer>> Snapshot;
  for (const auto &Entry : this->Peers)
    Snapshot.push_back(Entry.second);
  for (const auto &P : Snapshot) {
    if (!P->Client)
      continue;
    switch (P->Monitor.tick(!P->OutstandingCalls.empty(), P->lastRead(), Now)) {
    case Liveness::Action::None:
    case Liveness::Action::ProbeCurrent:
      break;
    case Liveness::Action::ProbeBoth:
      this->probeBoth(*P);
      break;
    case Liveness::Action::Replace:
      this->replace(*P);
      break;
    case Liveness::Action::Suspect:
      this->suspect(*P);
      break;
    }
    if (P->OutstandingCalls.empty() && Now - P->LastUse > IdleTimeout) {
      this->retire(std::move(P->Client), "idle");
      this->Peers.erase(P->Address);
    }
  }
}

void PeerPool::probeBoth(Peer &SilentPeer) {
  this->Counters.count("peer_probes");
  this->Tasks.add(
      SilentPeer.Client->node().probeRequest().send().ignoreResult());
  if (SilentPeer.ProbeClient)
    this->retire(std::move(SilentPeer.ProbeClient), "superseded");
  SilentPeer.ProbeClient =
      std::make_unique<RpcClient>(this->Loop, SilentPeer.Address);
  std::weak_ptr<Peer> Weak = this->Peers[SilentPeer.Address];
  auto *ProbedClient = SilentPeer.ProbeClient.get();
  this->Tasks.add(SilentPeer.ProbeClient->node().probeRequest().send().then(
      [Weak, ProbedClient](capnp::Response<rpc::Node::ProbeResults> &&) {
        auto P = Weak.lock();
        if (P && P->ProbeClient.get() == ProbedClient)
          P->Monitor.onNewConnectionAnswer();
      }));
}

void PeerPool::replace(Peer &SilentPeer) {
  this->Counters.count("peer_connections_replaced");
  auto OldClient = std::move(SilentPeer.Client);
  SilentPeer.Client = std::move(SilentPeer.ProbeClient);
  SilentPeer.onNewClient();
  SilentPeer.OldestSendTime = this->Loop.now();
  // Outstanding calls on the old connection end as lost, and their callers send
  // them again.
  this->retire(std::move(OldClient), "silent while a new connection answers");
}

void PeerPool::suspect(Peer &SilentPeer) {
  this->Counters.count("peer_suspicions");
  std::vector<Done> Callbacks;
  for (const auto &Entry : SilentPeer.OutstandingCalls)
    Callbacks.push_back(Entry.second);
  PeerResult Result;
  Result.Kind = PeerResult::Kind::Suspected;
  for (const auto &OnResult : Callbacks)
    OnResult(Result);
}

void PeerPool::retire(std::unique_ptr<RpcClient> Client, const char *Cause) {
  std::shared_ptr<RpcClient> Shared = std::move(Client);
  Shared->fail(Cause);
  // The client may be executing a callback, so it is destroyed in a later turn
  // of the loop.
  this->Loop.post([Shared]() {});
}

} // namespace limpetdrum
