@0xd3a8f1c2b4e69705;
# Load report that a node sends to its peers several times a second.

struct EndpointLoad {
  # xxHash64 of the endpoint id.
  key @0 :UInt64;
  requests @1 :UInt16;
}

struct ModelWork {
  model @0 :Text;
  # Number of groups that the sender's requests keep busy.
  groups @1 :Float32;
}

struct StatedLimit {
  # xxHash64 of the endpoint id.
  key @0 :UInt64;
  # Start of the endpoint's incarnation, in Unix milliseconds.
  startedMs @1 :Int64;
  # Requests a second that the endpoint takes from all nodes together; meaningless if hasEnded.
  limitPerS @2 :Float64;
  # Whether the endpoint no longer states a limit.
  hasEnded @3 :Bool;
  # Time since the statement, in milliseconds.
  ageMs @4 :UInt64;
}

struct PeerReport {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  address @3 :Text;
  configurationVersion @4 :UInt64;
  loads @5 :List(EndpointLoad);
  hasTraffic @6 :Bool;
  # Hashes of the endpoints that the sender recently saw stalling.
  stalled @7 :List(UInt64);
  work @8 :List(ModelWork);
  # Hashes of the engines that are loading weights on the sender's orders.
  loading @9 :List(UInt64);
  # Whether the store refuses or does not answer the sender.
  isStoreUnavailable @10 :Bool;
  # What endpoints have stated to the sender about the rate of requests that they take.
  limits @11 :List(StatedLimit);
}
