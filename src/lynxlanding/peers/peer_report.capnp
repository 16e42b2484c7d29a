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

struct LeavingEndpoint {
  # xxHash64 of the endpoint id.
  key @0 :UInt64;
  # Start of the endpoint's incarnation, in Unix milliseconds.
  startedMs @1 :Int64;
  # Time since the endpoint has said so, in milliseconds.
  ageMs @2 :UInt64;
}

struct ColdEndpoint {
  # xxHash64 of the endpoint id.
  key @0 :UInt64;
  # Start of the endpoint's incarnation, in Unix milliseconds.
  startedMs @1 :Int64;
  # For how long the endpoint is cold from the time of the statement on, in milliseconds.
  coldMs @2 :UInt32;
  # Time since the statement, in milliseconds.
  ageMs @3 :UInt64;
}

struct PartTime {
  # Key of a part of prompts.
  part @0 :UInt64;
  # Time since a request with it was sent, or since an answer on it began, in milliseconds.
  ageMs @1 :UInt64;
}

struct EndedEndpoint {
  # xxHash64 of the endpoint id.
  key @0 :UInt64;
  # Start of the endpoint's incarnation, in Unix milliseconds.
  startedMs @1 :Int64;
  # Time since its end, in milliseconds.
  ageMs @2 :UInt64;
  # Parts of the prompts that it was working on.
  parts @3 :List(PartTime);
  # Digests of the requests that it was working on, in the place of the keys of parts.
  requests @4 :List(PartTime);
}

struct Quarantine {
  # Keys of the parts of prompts; requests with all of them are refused.
  parts @0 :List(UInt64);
  # Times since the parts were named, the last end of an endpoint under them, the last request with
  # them, and the last trial, in milliseconds.
  namedAgeMs @1 :UInt64;
  endAgeMs @2 :UInt64;
  seenAgeMs @3 :UInt64;
  trialAgeMs @4 :UInt64;
  trials @5 :UInt16;
}

struct RequestQuarantine {
  # Digest of the request that is refused.
  request @0 :UInt64;
  # As in Quarantine.
  namedAgeMs @1 :UInt64;
  endAgeMs @2 :UInt64;
  seenAgeMs @3 :UInt64;
  trialAgeMs @4 :UInt64;
  trials @5 :UInt16;
}

struct EvacuationReading {
  # Whether the sender has read the evacuations from the store; the rest is meaningless if not.
  isKnown @0 :Bool;
  # Version of the store at which it has read them.
  era @1 :UInt64;
  revision @2 :UInt64;
  # Time since then, in milliseconds.
  ageMs @3 :UInt64;
  # All data centres that are evacuated at that version.
  dataCentres @4 :List(Text);
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
  # Ends of endpoints that the sender has seen.
  ends @12 :List(EndedEndpoint);
  # Parts of prompts on which the sender has got answers lately.
  harmless @13 :List(PartTime);
  quarantines @14 :List(Quarantine);
  # Port at which the sender takes callers' requests, at the host of its address; 0 if it differs.
  callersPort @15 :UInt16;
  # Whether the sender takes requests of nodes that reach no endpoint.
  takesRequests @16 :Bool;
  # Whether the sender itself reaches no endpoint.
  isCut @17 :Bool;
  # host:port at which the sender takes callers' requests, unless callersPort says it.
  callersAddress @18 :Text;
  # Endpoints that have said to the sender in responses that they are leaving.
  leavings @19 :List(LeavingEndpoint);
  # Version of the protocol between nodes that the sender speaks; 0 if it states none.
  protocolVersion @20 :UInt16;
  # xxHash32 of the ids of the nodes that gather this report, the one that sums it up first. Empty if
  # the sender reports to all nodes.
  gatherers @21 :List(UInt32);
  # Digests of requests on which the sender has got answers lately, in the place of keys of parts.
  harmlessRequests @22 :List(PartTime);
  requestQuarantines @23 :List(RequestQuarantine);
  # Endpoints that are cold as far as the sender itself can tell.
  cold @24 :List(ColdEndpoint);
  # What the sender itself has read about evacuations.
  evacuations @25 :EvacuationReading;
}
