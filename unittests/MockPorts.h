#ifndef LIMPETDRUM_UNITTESTS_MOCKPORTS_H
#define LIMPETDRUM_UNITTESTS_MOCKPORTS_H

#include "limpetdrum/daemon/calls/Ports.h"

// trompeloeil reports violations through the macros of Catch2, so Catch2 comes
// first.
#include <catch2/catch.hpp>

#include <catch2/trompeloeil.hpp>

namespace limpetdrum::test {

/// \brief Mock of the connection to the local target.
class MockTarget : public TargetPort {
public:
  MAKE_MOCK2(send, std::uint64_t(const HttpCall &, HttpClient::Callback),
             override);
  MAKE_MOCK1(cancel, void(std::uint64_t), override);
  MAKE_MOCK1(checkEnded, void(std::function<void(bool)>), override);
};

/// \brief Mock of the connections to other nodes.
class MockPeers : public PeerPort {
public:
  MAKE_MOCK3(execute, void(const Member &, const AttemptSpec &, Done),
             override);
  MAKE_MOCK2(cancel, void(const Member &, AttemptId), override);
};

} // namespace limpetdrum::test

#endif
