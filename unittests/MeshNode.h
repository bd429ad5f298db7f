#ifndef LIMPETDRUM_UNITTESTS_MESHNODE_H
#define LIMPETDRUM_UNITTESTS_MESHNODE_H

#include "OwnAddress.h"
#include "limpetdrum/daemon/fleet/Mesh.h"

#include <fcntl.h>
#include <unistd.h>

namespace limpetdrum::test {

inline Endpoint local(std::uint16_t Port) { return {test::ownAddress(), Port}; }

inline Contact contact(const std::string &Name, std::uint16_t Port) {
  return {NodeId(Name), local(Port), FailureDomain("a")};
}

/// Node that replies to attempts with its name, at once or on answer().
struct MeshNode {
  EventLoop &Loop;
  std::string Name;
  Incarnation Current;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  MemoryBudget Memory{256U * 1024U * 1024U};
  AnswerMemory Answers{256U * 1024U * 1024U};
  AnswerMemory Frames{16U * 1024U * 1024U};
  Mesh Links;
  std::vector<MeshAttempt> Attempts;
  std::vector<Incarnation> Callers;
  std::size_t Acknowledged = 0; ///< replies that callers have received
  bool HoldsReplies = false;
  Body Answer; ///< empty: the name
  TargetRecord RecordFromPeer;
  TargetRecord Target;
  std::uint64_t Version = 0;
  std::uint32_t Running = 0;
  std::vector<MeshUsage> Usages;
  Revision Policy;
  std::vector<std::string> PoliciesReceived;
  std::vector<NodeId> Removed;
  CrashHistory Crashes;

  MeshNode(EventLoop &Loop, const std::string &Name, std::uint16_t Port,
           std::uint64_t IncarnationValue)
      : Loop(Loop), Name(Name), Current(IncarnationValue),
        Links(Loop, contact(Name, Port), Incarnation(IncarnationValue),
              this->Log, this->Counters,
              {&this->Memory, &this->Answers, &this->Frames}) {
    Mesh::Handlers Handlers;
    Handlers.OnAttempt = [this](const NodeId &, Incarnation Caller,
                                const MeshAttempt &Attempt) {
      this->Attempts.push_back(Attempt);
      this->Callers.push_back(Caller);
      if (!this->HoldsReplies)
        this->answer(this->Attempts.size() - 1);
    };
    Handlers.IsKnown = [](Incarnation, std::uint64_t) { return false; };
    Handlers.OnCancel = [](Incarnation, std::uint64_t) {};
    Handlers.OnAcknowledged = [this](Incarnation, std::uint64_t) {
      ++this->Acknowledged;
    };
    Handlers.OnStatus = [](const NodeId &) {};
    Handlers.OnRemoved = [this](const NodeId &Node) {
      this->Removed.push_back(Node);
    };
    Handlers.OnUsage = [this](MeshUsage Usage) {
      this->Usages.push_back(std::move(Usage));
    };
    Handlers.OnPolicy = [this](const std::string &Text) {
      this->PoliciesReceived.push_back(Text);
      this->Policy = Revision(std::stoull(Text));
    };
    Handlers.OnCrashNews = [this](const CrashNews &News) {
      (void)this->Crashes.merge(News, this->Loop.now());
    };
    Handlers.KnownCrashes = [this]() {
      return this->Crashes.known(this->Loop.now());
    };
    Handlers.OnRecordFromPeer = [this](const TargetRecord &Record) {
      if (!Record.Id.empty())
        this->RecordFromPeer = Record;
    };
    Handlers.LocalStatus = [this, Port]() {
      NodeStatus Status;
      Status.Self = contact(this->Name, Port);
      Status.Incarnation = this->Current;
      Status.Version = ++this->Version;
      Status.Target = this->Target;
      Status.Running = this->Running;
      Status.Policy = this->Policy;
      return Status;
    };
    Handlers.PolicyText = [this]() {
      return std::to_string(this->Policy.value());
    };
    this->Links.start(std::move(Handlers), local(Port));
  }

  void answer(std::size_t Index) {
    Reply Value;
    Value.Outcome = Outcome::Answered;
    Value.Status = 200;
    Value.Body = this->Answer.empty() ? Body(this->Name) : this->Answer;
    (void)this->Links.reply(this->Callers[Index], this->Attempts[Index].Call,
                            Value);
  }
};

struct CallResults {
  std::vector<MeshResult> All;
  Mesh::Done recorder() {
    return [this](const MeshResult &Result) { this->All.push_back(Result); };
  }
};

inline MeshAttempt attempt() {
  MeshAttempt Attempt;
  Attempt.RequestId = "r";
  Attempt.TimeLeft = Milliseconds(5000);
  return Attempt;
}

inline void wait(EventLoop &Loop, int Millis) {
  auto Timeout = Loop.after(Milliseconds(Millis), [&]() { Loop.stop(); });
  Loop.run();
}

/// Runs the loop until \p IsMet returns true, for at most five seconds.
template <typename Condition> void waitUntil(EventLoop &Loop, Condition IsMet) {
  constexpr Milliseconds Limit{5000};
  auto Start = Loop.now();
  while (!IsMet() && Loop.now() - Start < Limit)
    wait(Loop, 5);
}

inline bool reaches(const MeshNode &Node, const char *Peer) {
  auto Found = Node.Links.peers().find(NodeId(Peer));
  return Found != Node.Links.peers().end() && Found->second.IsReachable;
}

inline constexpr std::uint16_t PortA = 20981;
inline constexpr std::uint16_t PortB = 20982;
inline constexpr std::uint16_t PortC = 20983;

} // namespace limpetdrum::test

#endif
