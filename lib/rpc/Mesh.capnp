@0xb7d2a8c5e1f04936;
# Messages between the nodes of a mesh. Each is sent as a framed message.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("limpetdrum::mesh");

struct Target {
  id @0 :Text;             # empty: no known target
  started @1 :Int64;       # start time, Unix time in milliseconds; 0: unknown
  sequence @2 :UInt64;     # sequence number of the target's report
  service @3 :Text;
  slots @4 :UInt32;
  state @5 :UInt8;         # starting, ready, draining, left
  requestRate @6 :Float64 = -1; # requests per second; negative: no limit
}

struct Contact {
  node @0 :Text;
  address @1 :UInt32;
  port @2 :UInt16;
  failureDomain @3 :Text;
}

struct Status {            # status that a node publishes about itself
  contact @0 :Contact;
  incarnation @1 :UInt64;
  version @2 :UInt64;      # incremented with each change
  leaving @3 :Bool;
  policy @4 :UInt64;       # version of the traffic policy in force
  target @5 :Target;
  running @6 :UInt32;      # requests running at the target
  queued @7 :UInt32;       # requests queued for the target
  limit @8 :UInt32;        # concurrency limit of the target
  threshold @9 :Float32;   # admission threshold
  serviceMicros @10 :UInt32; # typical service time, microseconds
  storeLost @11 :Bool;     # the last call to the store failed
  pace @12 :UInt16;        # percent of the usual time that work takes; 0: unknown
  refusesRuns @13 :Bool;   # the target is given no further runs by this process
  takesBodyParts @14 :Bool; # bodies may follow their messages in parts
}

struct Header { name @0 :Text; value @1 :Text; }

struct Attempt {
  call @0 :UInt64;         # unique within an incarnation of the caller
  requestId @1 :Text;
  method @2 :Text;
  path @3 :Text;           # path and query
  headers @4 :List(Header);
  body @5 :Data;
  timeLeft @6 :UInt32;     # milliseconds
  targetId @7 :Text;
  targetStarted @8 :Int64;
  callerService @9 :Text;
  rank @10 :UInt8;
  cohort @11 :Float32;
  acknowledged @12 :List(UInt64); # calls whose replies need not be kept
  route @13 :Text;
  waitLimit @14 :UInt32;   # longest time in the queue, milliseconds
  targetsEnded @15 :UInt8; # targets that ended while they ran the request
  organisation @16 :Text;  # whose request it is; empty: nobody's
}

struct Reply {
  call @0 :UInt64;
  outcome @1 :UInt8;       # answered, notRun, unknown
  reason @2 :UInt8;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
  retryAfter @6 :UInt32;   # milliseconds
  running @7 :UInt32;      # load of the target as in Status
  queued @8 :UInt32;
  limit @9 :UInt32;
  serviceMicros @10 :UInt32;
  pace @11 :UInt16;
}

struct RouteCalls {        # calls made by one run of a route
  route @0 :Text;
  perRun @1 :Float32;
}

struct RouteUse {
  route @0 :Text;
  arrivals @1 :Float32;    # requests per second by this node's clients and target
  runs @2 :Float32;        # runs per second at this node's target
  slotMicros @3 :UInt32;   # time that a run occupies a slot, microseconds
  calls @4 :List(RouteCalls);
}

struct Usage {             # usage of one node, or a sum
  node @0 :Text;           # empty for a sum
  service @1 :Text;        # service of the targets
  routes @2 :List(RouteUse);
  failureDomain @3 :Text;  # set for the sum of a failure domain, else empty
  nodes @4 :UInt32;        # number of nodes in the sum
  scope @5 :UInt8;         # node, failure domain, fleet
}

struct Load {              # fields of Status that change frequently
  policy @0 :UInt64;
  running @1 :UInt32;
  queued @2 :UInt32;
  limit @3 :UInt32;
  serviceMicros @4 :UInt32;
  storeLost @5 :Bool;
  pace @6 :UInt16;
}

struct OrganisationUse {
  organisation @0 :Text;
  asked @1 :Float32;       # requests per second that arrived
}

struct OrganisationUsage { # usage of one node, or a sum
  node @0 :Text;           # empty for a sum
  failureDomain @1 :Text;  # set for the sum of a failure domain, else empty
  scope @2 :UInt8;         # as in Usage
  nodes @3 :UInt32;        # number of nodes in the sum
  organisations @4 :List(OrganisationUse);
}

struct Hello {
  status @0 :Status;
  yourTarget @1 :Target;   # last known target of the receiving node
}

struct Crash {             # a target that ended while it ran a request
  request @0 :UInt64;      # fingerprint of the request
  target @1 :UInt64;       # hash that identifies the target's process
  alone @2 :Bool;          # the request was the only suspect there
  ageMillis @3 :UInt32;    # time since the target ended
}

struct Crashes {
  reports @0 :List(Crash);
  sound @1 :List(UInt64);  # suspected requests that were answered
}

struct Part {              # part of the body of an attempt or reply
  call @0 :UInt64;
  data @1 :Data;
}

struct Frame {
  union {
    hello @0 :Hello;
    status @1 :Status;
    attempt @2 :Attempt;
    reply @3 :Reply;
    cancel @4 :UInt64;     # call id; the caller no longer needs the reply
    policy @5 :Text;       # text of a traffic policy as published
    acknowledged @6 :List(UInt64);
    usage @7 :Usage;
    load @8 :Load;
    ask @9 :Void;          # requests an immediate Load message
    askPolicy @10 :Void;   # requests the text of the policy in force
    crashes @11 :Crashes;
    organisations @12 :OrganisationUsage;
    part @13 :Part;
  }
  bodyCall @14 :UInt64;    # call whose body follows this message in parts; 0: none
  bodyBytes @15 :UInt64;   # length of that body
}
