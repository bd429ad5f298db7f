#include "limpetdrum/daemon/PeerPool.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <map>

namespace limpetdrum {

namespace {

constexpr std::chrono::seconds IdleLimit{120};
/// The levels of a node are watched so long after the last call to it.
constexpr std::chrono::seconds WatchLimit{10};
constexpr std::size_t RecordsPerMessage = 200;

} // namespace

/// One other node: its connection and the calls that wait on it.
struct PeerPool::Peer {
  Endpoint Where;
  std::unique_ptr<RpcClient> Client;
  std::uint64_t Generation = 0;     ///< counts the clients of this peer
  std::unique_ptr<RpcClient> Fresh; ///< made to probe a silent node
  Liveness Live;
  std::map<std::uint64_t, Done> Waiting;
  TimePoint OldestSend;
  TimePoint LastUse;
  NodeId Node;                  ///< as of the last call
  std::uint64_t SeenNotice = 0; ///< of levels, by the present client
  bool WatchesLevels = false;

  void onNewClient() {
    ++this->Generation;
    this->WatchesLevels = false;
    this->SeenNotice = 0;
  }
  [[nodiscard]] TimePoint lastRead() const {
    return std::max(this->Client->lastRead(), this->OldestSend);
  }
};

PeerPool::PeerPool(EventLoop &Loop, Metrics &Counters)
    : Loop(Loop), Counters(Counters), Tasks(*this) {}

PeerPool::~PeerPool() noexcept(false) = default;

void PeerPool::taskFailed(kj::Exception && /*E*/) {
  this->Counters.count("peer_task_failures");
}

std::shared_ptr<PeerPool::Peer> PeerPool::peer(Endpoint Where) {
  auto &Found = this->Peers[Where];
  if (!Found) {
    Found = std::make_shared<Peer>();
    Found->Where = Where;
  }
  // What is sent on a closed connection would count as handed over.
  if (Found->Client && Found->Client->isClosed())
    this->retire(std::move(Found->Client), "closed");
  if (!Found->Client) {
    Found->Client = std::make_unique<RpcClient>(this->Loop, Where);
    Found->onNewClient();
    this->Counters.count("peer_connections");
  }
  Found->LastUse = this->Loop.now();
  return Found;
}

void PeerPool::dropClient(Peer &Of, std::uint64_t Generation) {
  if (Of.Generation == Generation && Of.Client)
    this->retire(std::move(Of.Client), "the peer is gone");
}

void PeerPool::execute(const Member &To, const AttemptSpec &Attempt,
                       Done OnResult) {
  auto Shared = this->peer(To.Rpc);
  Shared->Node = To.Node;
  if (this->Listener && !Shared->WatchesLevels)
    this->watchLevels(Shared);
  auto Call = ++this->LastCall;
  auto Generation = Shared->Generation;
  if (Shared->Waiting.empty())
    Shared->OldestSend = this->Loop.now();
  Shared->Waiting.emplace(Call, std::move(OnResult));
  auto Finish = [Shared, Call](const PeerResult &Result) {
    auto Found = Shared->Waiting.find(Call);
    if (Found == Shared->Waiting.end())
      return;
    auto OnResult = std::move(Found->second);
    Shared->Waiting.erase(Found);
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
        // A client that was replaced had accepted before it fell silent.
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
  Request.setSeen(Watched->SeenNotice);
  this->Tasks.add(Request.send().then(
      [this, Watched,
       Generation](capnp::Response<rpc::Node::WatchLevelsResults> &&Response) {
        if (Watched->Generation != Generation || !Watched->Client)
          return;
        Watched->WatchesLevels = false;
        Watched->SeenNotice = Response.getNumber();
        this->Counters.count("level_notices");
        try {
          this->Listener(Watched->Node, codec::read(Response.getLevels()));
        } catch (const ValueError &) {
          this->Counters.count("rpc_malformed");
          return;
        }
        if (this->Loop.now() - Watched->LastUse < WatchLimit)
          this->watchLevels(Watched);
      },
      [Watched, Generation](kj::Exception &&) {
        // The next call watches again.
        if (Watched->Generation == Generation)
          Watched->WatchesLevels = false;
      }));
}

void PeerPool::cancel(const Member &To, AttemptId Id) {
  auto Request = this->peer(To.Rpc)->Client->node().cancelRequest();
  codec::write(Request.initId(), Id);
  Request.setIncarnation(To.Incarnation.value());
  this->Tasks.add(Request.send().ignoreResult());
}

void PeerPool::fetchRelease(Endpoint From, Revision Above,
                            std::function<void(std::string)> OnText) {
  auto Shared = this->peer(From);
  auto Generation = Shared->Generation;
  auto Request = Shared->Client->node().releaseRequest();
  Request.setAbove(Above.value());
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
    Endpoint With, const std::vector<Member> &Mine,
    std::function<void(std::optional<std::vector<Member>>)> OnDone) {
  auto Shared = this->peer(With);
  auto Generation = Shared->Generation;
  auto Request = Shared->Client->node().synchronizeRequest();
  auto List = Request.initMembers(static_cast<unsigned>(Mine.size()));
  for (unsigned I = 0; I < List.size(); ++I)
    codec::write(List[I], Mine[I]);
  this->Tasks.add(Request.send().then(
      [OnDone](capnp::Response<rpc::Node::SynchronizeResults> &&Response) {
        std::vector<Member> Theirs;
        try {
          for (auto Record : Response.getMembers())
            Theirs.push_back(codec::read(Record));
        } catch (const ValueError &) {
          OnDone(std::nullopt);
          return;
        }
        OnDone(std::move(Theirs));
      },
      [this, OnDone, Shared, Generation](kj::Exception &&) {
        this->dropClient(*Shared, Generation);
        OnDone(std::nullopt);
      }));
}

void PeerPool::handOver(
    Endpoint To,
    const std::vector<std::pair<IdempotencyKey, KeyRecord>> &Records,
    std::function<void(bool)> OnDone) {
  auto Shared = this->peer(To);
  auto Failed = std::make_shared<bool>(false);
  auto Batches = std::make_shared<std::size_t>(
      (Records.size() + RecordsPerMessage - 1) / RecordsPerMessage);
  auto Finish = [OnDone, Failed, Batches](bool Ok) {
    *Failed = *Failed || !Ok;
    if (--*Batches == 0)
      OnDone(!*Failed);
  };
  for (std::size_t At = 0; At < Records.size(); At += RecordsPerMessage) {
    auto Count = std::min(RecordsPerMessage, Records.size() - At);
    auto Request = Shared->Client->node().handOverRequest();
    auto List = Request.initRecords(static_cast<unsigned>(Count));
    for (unsigned I = 0; I < Count; ++I)
      codec::write(List[I], Records[At + I].first, Records[At + I].second,
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
  std::vector<std::shared_ptr<Peer>> All;
  for (const auto &Entry : this->Peers)
    All.push_back(Entry.second);
  for (const auto &P : All) {
    if (!P->Client)
      continue;
    switch (P->Live.tick(!P->Waiting.empty(), P->lastRead(), Now)) {
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
    if (P->Waiting.empty() && Now - P->LastUse > IdleLimit) {
      this->retire(std::move(P->Client), "idle");
      this->Peers.erase(P->Where);
    }
  }
}

void PeerPool::probeBoth(Peer &Silent) {
  this->Counters.count("peer_probes");
  this->Tasks.add(Silent.Client->node().probeRequest().send().ignoreResult());
  if (Silent.Fresh)
    this->retire(std::move(Silent.Fresh), "superseded");
  Silent.Fresh = std::make_unique<RpcClient>(this->Loop, Silent.Where);
  std::weak_ptr<Peer> Weak = this->Peers[Silent.Where];
  auto *Probed = Silent.Fresh.get();
  this->Tasks.add(Silent.Fresh->node().probeRequest().send().then(
      [Weak, Probed](capnp::Response<rpc::Node::ProbeResults> &&) {
        auto P = Weak.lock();
        if (P && P->Fresh.get() == Probed)
          P->Live.onFreshAnswer();
      }));
}

void PeerPool::replace(Peer &Silent) {
  this->Counters.count("peer_connections_replaced");
  auto Old = std::move(Silent.Client);
  Silent.Client = std::move(Silent.Fresh);
  Silent.onNewClient();
  Silent.OldestSend = this->Loop.now();
  // Its calls end as lost, and their owners send them again.
  this->retire(std::move(Old), "silent while a new connection answers");
}

void PeerPool::suspect(Peer &Silent) {
  this->Counters.count("peer_suspicions");
  std::vector<Done> Waiting;
  for (const auto &Entry : Silent.Waiting)
    Waiting.push_back(Entry.second);
  PeerResult Result;
  Result.Kind = PeerResult::Kind::Suspected;
  for (const auto &OnResult : Waiting)
    OnResult(Result);
}

void PeerPool::retire(std::unique_ptr<RpcClient> Old, const char *Why) {
  std::shared_ptr<RpcClient> Shared = std::move(Old);
  Shared->fail(Why);
  // The stream may be in the middle of a callback.
  this->Loop.post([Shared]() {});
}

} // namespace limpetdrum
