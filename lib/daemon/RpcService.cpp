#include "NodeState.h"

#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <kj/debug.h>

namespace limpetdrum {

namespace {

/// The answer to a call that ends later than its handler.
template <typename Context> class LateAnswer {
public:
  explicit LateAnswer(Context Call)
      : Call(Call), Pair(kj::newPromiseAndFulfiller<void>()) {}

  /// To be returned by the handler; once only.
  kj::Promise<void> promise() { return kj::mv(this->Pair.promise); }

  bool isWaiting() { return this->Pair.fulfiller->isWaiting(); }

  /// Does nothing if the caller has hung up.
  template <typename Writer> void give(const Writer &Write) {
    if (!this->isWaiting())
      return;
    Write(this->Call.getResults());
    this->Pair.fulfiller->fulfill();
  }

private:
  Context Call;
  kj::PromiseFulfillerPair<void> Pair;
};

/// The node's side of the interface in Node.capnp.
class RpcService final : public rpc::Node::Server {
public:
  explicit RpcService(Node::State &Of) : Of(Of) {}

protected:
  kj::Promise<void> execute(ExecuteContext Context) override {
    AttemptSpec Spec;
    try {
      Spec = codec::read(Context.getParams().getAttempt());
    } catch (const ValueError &E) {
      this->Of.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    Context.releaseParams();
    auto Late = std::make_shared<LateAnswer<ExecuteContext>>(Context);
    this->Of.Keyed.execute(Spec, [Late](const Reply &Value) {
      Late->give(
          [&Value](auto Results) { codec::write(Results.initReply(), Value); });
    });
    return Late->promise();
  }

  kj::Promise<void> cancel(CancelContext Context) override {
    auto Params = Context.getParams();
    bool NotRun = this->Of.Own.cancel(codec::read(Params.getId()),
                                      Incarnation(Params.getIncarnation()));
    Context.getResults().setNotRun(NotRun);
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext Context) override {
    Context.getResults().setIncarnation(
        this->Of.Members.self().Incarnation.value());
    return kj::READY_NOW;
  }

  kj::Promise<void> release(ReleaseContext Context) override {
    auto Current = this->Of.Releases.current();
    bool Newer = Current &&
                 Current->revision() > Revision(Context.getParams().getAbove());
    Context.getResults().setState(Newer ? Current->text() : "");
    return kj::READY_NOW;
  }

  kj::Promise<void> synchronize(SynchronizeContext Context) override {
    std::vector<Member> Theirs;
    try {
      for (auto Record : Context.getParams().getMembers())
        Theirs.push_back(codec::read(Record));
    } catch (const ValueError &E) {
      this->Of.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    this->Of.perform(this->Of.Members.merge(Theirs, this->Of.Now()));
    auto Mine = this->Of.Members.list();
    auto List =
        Context.getResults().initMembers(static_cast<unsigned>(Mine.size()));
    for (unsigned I = 0; I < List.size(); ++I)
      codec::write(List[I], Mine[I]);
    return kj::READY_NOW;
  }

  kj::Promise<void> handOver(HandOverContext Context) override {
    std::vector<std::pair<IdempotencyKey, KeyRecord>> Records;
    try {
      for (auto Record : Context.getParams().getRecords())
        Records.push_back(codec::read(Record, this->Of.Now()));
    } catch (const ValueError &E) {
      this->Of.Counters.count("rpc_malformed");
      return KJ_EXCEPTION(FAILED, E.what());
    }
    this->Of.Keyed.adopt(Records);
    return kj::READY_NOW;
  }

  kj::Promise<void> watchLevels(WatchLevelsContext Context) override {
    auto Seen = Context.getParams().getSeen();
    Context.releaseParams();
    // Without this the call would wait on when its caller has hung up.
    Context.allowCancellation();
    auto Late = std::make_shared<LateAnswer<WatchLevelsContext>>(Context);
    auto Deliver = [Late](const LevelNotice &News) {
      Late->give([&News](auto Results) {
        Results.setNumber(News.Number);
        codec::write(
            Results.initLevels(static_cast<unsigned>(News.Levels.size())),
            News.Levels);
      });
    };
    auto StillWaits = [Late]() { return Late->isWaiting(); };
    if (!this->Of.Board.watch(Seen, Deliver, StillWaits))
      return KJ_EXCEPTION(OVERLOADED, "too many watch the levels of this node");
    return Late->promise();
  }

private:
  Node::State &Of;
};

} // namespace

rpc::Node::Client makeRpcService(Node::State &Of) {
  return kj::heap<RpcService>(Of);
}

} // namespace limpetdrum
