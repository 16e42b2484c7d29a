@0xb1d0c7a5e3f84216;
# Messages of a gossip exchange between two nodes.

struct NodeInfo {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  place @3 :Text;
  region @4 :Text;
}

struct Mark {
  number @0 :UInt64;
  digest @1 :Data;
  # Seconds since the store confirmed the revision; negative if it never has.
  ageS @2 :Float32;
}

struct Digest {
  # 48-bit tokens, and the compressed byte planes of the other columns; see digest_columns.py.
  tokens @0 :Data;
  columns @1 :Data;
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt32;
  isWide @3 :Bool;
}

struct NodeDelta {
  token @0 :UInt64;
  info @1 :NodeInfo;
  heartbeat @2 :UInt32;
  placeVersion @3 :UInt32;
  wideVersion @4 :UInt32;
  entries @5 :List(Entry);
}

struct Message {
  sender @0 :NodeInfo;
  isWide @1 :Bool;
  mark @2 :Mark;
  union {
    request :group {
      digest @3 :Digest;
    }
    response :group {
      newer @4 :Digest;
      deltas @5 :List(NodeDelta);
      wanted @6 :Digest;
    }
    push :group {
      deltas @7 :List(NodeDelta);
    }
  }
}
