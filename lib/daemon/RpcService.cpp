#include "NodeState.h"

#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <kj/debug.h>

namespace limpetdrum {

namespace {

/// Reply to a call that completes after its handler has returned.
template <typename Context> class DeferredReply {
public:
  explicit DeferredReply(Context CallContext)
      : CallContext(CallContext), Pair(kj::newPromiseAndFulfiller<void>()) {}

  /// Returns the promise for the handler to return. To be called once.
  kj::Promise<void> promise() { return kj::mv(this->Pair.promise); }

  /// Returns false if the caller has disconnected.
  bool isWaiting() { return this->Pair.fulfiller->isWaiting(); }

  /// Sends the reply; does nothing if the caller has disconnected.
  template <typename Writer> void fulfill(const Writer &Write) {
    if (!this->isWaiting())
      return;
    Write(this->CallContext.getResults());
    this->Pair.fulfiller->fulfill();
  }

private:
  Context CallContext;
  kj::PromiseFulfillerPair<void> Pair;
};

/// Server of the interface in Node.capnp.
class RpcService final : public rpc::Node::Server {
public:
  explicit RpcService(Node::State &State) : State(State) {}

protected:
  kj::Promise<void> execute(ExecuteContext Context) override {
    AttemptSpec Spec;
    try {
      Spec = codec::read(Context.getParams().getAttempt());
    } catch (const ValueError &E) {
      this->State.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    Context.releaseParams();
    auto Deferred = std::make_shared<DeferredReply<ExecuteContext>>(Context);
    this->State.Keyed.execute(Spec, [Deferred](const Reply &Value) {
      Deferred->fulfill(
          [&Value](auto Results) { codec::write(Results.initReply(), Value); });
    });
    return Deferred->promise();
  }

  kj::Promise<void> cancel(CancelContext Context) override {
    auto Params = Context.getParams();
    bool NotRun = this->State.LocalExecutor.cancel(
        codec::read(Params.getId()), Incarnation(Params.getIncarnation()));
    Context.getResults().setNotRun(NotRun);
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext Context) override {
    Context.getResults().setIncarnation(
        this->State.Members.self().Incarnation.value());
    return kj::READY_NOW;
  }

  kj::Promise<void> release(ReleaseContext Context) override {
    auto Current = this->State.Releases.current();
    bool Newer = Current &&
                 Current->revision() > Revision(Context.getParams().getAbove());
    Context.getResults().setState(Newer ? Current->text() : "");
    return kj::READY_NOW;
  }

  kj::Promise<void> synchronize(SynchronizeContext Context) override {
    std::vector<Member> PeerMembers;
    try {
      for (auto Record : Context.getParams().getMembers())
        PeerMembers.push_back(codec::read(Record));
    } catch (const ValueError &E) {
      this->State.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    this->State.perform(
        this->State.Members.merge(PeerMembers, this->State.Now()));
    auto LocalMembers = this->State.Members.list();
    auto List = Context.getResults().initMembers(
        static_cast<unsigned>(LocalMembers.size()));
    for (unsigned I = 0; I < List.size(); ++I)
      codec::write(List[I], LocalMembers[I]);
    return kj::READY_NOW;
  }

  kj::Promise<void> handOver(HandOverContext Context) override {
    std::vector<std::pair<IdempotencyKey, KeyRecord>> Records;
    try {
      for (auto Record : Context.getParams().getRecords())
        Records.push_back(codec::read(Record, this->State.Now()));
    } catch (const ValueError &E) {
      this->State.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    this->State.Keyed.adopt(Records);
    return kj::READY_NOW;
  }

  kj::Promise<void> watchLevels(WatchLevelsContext Context) override {
    auto Seen = Context.getParams().getSeen();
    Context.releaseParams();
    // Otherwise the call would keep waiting after its caller has disconnected.
    Context.allowCancellation();
    auto Deferred =
        std::make_shared<DeferredReply<WatchLevelsContext>>(Context);
    auto Deliver = [Deferred](const LevelNotice &Notice) {
      Deferred->fulfill([&Notice](auto Results) {
        Results.setNumber(Notice.Number);
        codec::write(
            Results.initLevels(static_cast<unsigned>(Notice.Levels.size())),
            Notice.Levels);
      });
    };
    auto IsWaiting = [Deferred]() { return Deferred->isWaiting(); };
    if (!this->State.Notifier.watch(Seen, Deliver, IsWaiting))
      return KJ_EXCEPTION(
          OVERLOADED,
          "this node has no room for another level watcher; watch again later");
    return Deferred->promise();
  }

private:
  Node::State &State;
};

} // namespace

rpc::Node::Client makeRpcService(Node::State &State) {
  return kj::heap<RpcService>(State);
}

} // namespace limpetdrum
