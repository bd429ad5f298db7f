@0xd0c1f6f0a4b35e21;
# Protocol between nodes: calls over RPC, membership over datagrams.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("limpetdrum::rpc");

struct AttemptId {
  caller @0 :UInt64;    # incarnation of the calling node
  sequence @1 :UInt64;
}

struct Attempt {
  id @0 :AttemptId;
  rootHigh @1 :UInt64;
  rootLow @2 :UInt64;
  incarnation @3 :UInt64;  # incarnation of the node that may execute it
  path @4 :Text;
  method @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  classRank @8 :UInt8;
  cohort @9 :Float32;
  tenant @10 :Text;
  timeLeft @11 :UInt32;    # microseconds
  retries @12 :UInt16;     # retries granted to this attempt and its nested calls
  key @13 :Text;           # idempotency key; empty if none
  role @14 :Role;
  enum Role { execute @0; witness @1; }
}

struct Level {
  service @0 :Text;
  threshold @1 :Float32;
}

struct Reply {
  outcome @0 :Outcome;
  enum Outcome { answered @0; notRun @1; unknown @2; }
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  reason @4 :UInt8;
  retryAfter @5 :UInt32;   # milliseconds
  retriesLeft @6 :UInt16;
  levels @7 :List(Level);
}

struct KeyRecord {
  key @0 :Text;
  holder @1 :Text;         # id of the node that may have executed it
  holderIncarnation @2 :UInt64;
  settled @3 :Bool;
  reply @4 :Reply;
  timeLeft @5 :UInt32;     # milliseconds until the record is removed
  runs @6 :UInt16;         # client retries counted so far
}

struct Endpoint { address @0 :UInt32; port @1 :UInt16; }

struct MemberRecord {
  node @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  service @3 :Text;
  failureDomain @4 :Text;
  region @5 :Text;
  rpc @6 :Endpoint;
  gossip @7 :Endpoint;
  slots @8 :UInt16;
  target @9 :UInt8;        # starting, ready, draining, left
  health @10 :UInt8;       # alive, suspect, dead
}

struct Datagram {
  kind @0 :Kind;
  enum Kind { ping @0; ack @1; pingRequest @2; rumor @3; listRequest @4; }
  from @1 :Text;
  sequence @2 :UInt32;
  subject @3 :Text;        # pingRequest: node to ping; ack: node that answered
  revision @4 :UInt64;     # revision of the sender's release in force
  digest @5 :UInt64;       # digest of the sender's member list
  incarnation @6 :UInt64;
  updates @7 :List(MemberRecord);
}

interface Node {
  execute @0 (attempt :Attempt) -> (reply :Reply);
  cancel @1 (id :AttemptId, incarnation :UInt64) -> (notRun :Bool);
  probe @2 () -> (incarnation :UInt64);
  release @3 (above :UInt64) -> (state :Text);
  synchronize @4 (members :List(MemberRecord)) -> (members :List(MemberRecord));
  handOver @5 (records :List(KeyRecord)) -> ();
  # Returns once there is a level notice with a number above `seen`.
  watchLevels @6 (seen :UInt64) -> (number :UInt64, levels :List(Level));
}
