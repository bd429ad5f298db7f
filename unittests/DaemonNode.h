#ifndef LIMPETDRUM_UNITTESTS_DAEMONNODE_H
#define LIMPETDRUM_UNITTESTS_DAEMONNODE_H

#include "FakeClock.h"
#include "MockPorts.h"
#include "limpetdrum/daemon/Caller.h"
#include "limpetdrum/daemon/Executor.h"

namespace limpetdrum::test {

/// \brief Returns a member of the region `home` without a target.
inline Member makeMember(const std::string &Name, const std::string &Domain) {
  Member M;
  M.Node = NodeId(Name);
  // The incarnations are equal, as if all had started in the same microsecond.
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain(Domain);
  M.Region = Region("home");
  return M;
}

/// \brief Returns a member whose target serves `ordering`.
inline Member makeOrderingMember(const std::string &Name,
                                 const std::string &Domain) {
  auto M = makeMember(Name, Domain);
  M.Service = ServiceName("ordering");
  M.Target = TargetState::Ready;
  return M;
}

/// \brief The parts of a node that make and run calls, without I/O.
struct DaemonNode {
  FakeClock Clock;
  Metrics Counters;
  InForce Releases;
  LevelTable Levels;
  Membership Members;
  MockTarget Target;
  MockPeers Peers;
  limpetdrum::Clock Now = [this]() { return this->Clock.now(); };
  Router Routes{FailureDomain("a"), Region("home"), 1};
  Executor LocalExecutor{
      {Incarnation(1), true, 1}, Target, Releases, Levels, Counters, Now};
  ServiceDirectory Directory{Members};
  Caller Calls{Members,
               Directory,
               Routes,
               Levels,
               LocalExecutor,
               Peers,
               Counters,
               Now,
               [](Microseconds, std::function<void()>) { return Timer(); }};

  /// \param Other the only other node.
  DaemonNode(Member Self, const Member &Other)
      : Members(std::move(Self), {}, 1) {
    static_cast<void>(this->Members.merge({Other}, this->Clock.now()));
  }
};

} // namespace limpetdrum::test

#endif
