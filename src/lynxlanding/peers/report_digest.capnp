@0x9be1c3d45f0a7762;
# Digest of the reports of several nodes, which their gatherer sends to all nodes.

using Report = import "peer_report.capnp";

struct ForwardedReport {
  # A report as its sender has encoded it.
  report @0 :Data;
  # Time since it arrived at the gatherer, in milliseconds.
  ageMs @1 :UInt16;
}

struct ReportDigest {
  # The gatherer.
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  # Sequence number of the digest within the incarnation.
  sequence @2 :UInt32;

  # Nodes whose work is part of this digest, one entry each in the lists up to flags.
  # xxHash32 of the node id.
  memberKeys @3 :List(UInt32);
  # Sequence number of the last report that is part of this digest.
  memberSequences @4 :List(UInt32);
  # Lowest 8 bits of the incarnation's hash.
  memberTags @5 :List(UInt8);
  # Time since the last report, in units of 10 ms.
  memberAges @6 :List(UInt8);
  # Requests in flight.
  memberRequests @7 :List(UInt16);
  # Port at which the node takes callers' requests, at the host of its address, combined with
  # callersPort by exclusive or; callersPort itself if it is at another host.
  memberCallersPorts @8 :List(UInt16);
  # Bit 0: the store refuses or does not answer the node. Bit 1: it does not take requests of nodes
  # that reach no endpoint. Bit 2: it reaches no endpoint itself.
  memberFlags @9 :List(UInt8);

  # Other nodes that the gatherer has heard, and the time since, in units of 10 ms.
  heardKeys @10 :List(UInt32);
  heardAges @11 :List(UInt8);

  # Sums over the members.
  loadKeys @12 :List(UInt64);
  loadRequests @13 :List(UInt16);
  work @14 :List(Report.ModelWork);

  # Unions over the members.
  hasTraffic @15 :Bool;
  stalled @16 :List(UInt64);
  loading @17 :List(UInt64);
  limits @18 :List(Report.StatedLimit);
  leavings @19 :List(Report.LeavingEndpoint);

  # Reports with statements on prompts, which count for each sender.
  forwarded @20 :List(ForwardedReport);

  # Port at which most nodes take callers' requests; zeros do not take space in the lists.
  callersPort @21 :UInt16;

  # Union over the members.
  cold @22 :List(Report.ColdEndpoint);
  # The latest reading of a member.
  evacuations @23 :Report.EvacuationReading;

  # Newest version of the configuration in force at a member; 0 if there is none.
  configurationVersion @24 :UInt64;
  # Keys of members that have it, or of some of them.
  configurationHolders @25 :List(UInt32);
}
