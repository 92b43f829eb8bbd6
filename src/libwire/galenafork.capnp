# Datagrams between balancers and agents. The C++ beside this file is committed;
# this command, run in src/libwire, generates it:
#   capnp compile -oc++ galenafork.capnp
# src/include/galenafork/messages.h documents each message. Some names differ
# there: `InstanceLife` is `instance_incarnation`, `lapsed` is
# `expired_members_`, `lapsePromise` is `expiry_promise` and `JournalMark` is
# `complete_journal_copy`.

@0xb7c3a5d1e94f2086;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafork::pvt::schema");

# An address is sent as two 64-bit integers: `addressLow` has bytes 0-7 and
# `addressHigh` bytes 8-15, each read in little-endian order. Other addresses
# and trace ids are split in the same way.
struct Endpoint {
  addressLow @0 :UInt64;
  addressHigh @1 :UInt64;
  port @2 :UInt16;
}

struct FlowKey {
  callerLow @0 :UInt64;
  callerHigh @1 :UInt64;
  serviceLow @2 :UInt64;
  serviceHigh @3 :UInt64;
  callerPort @4 :UInt16;
  servicePort @5 :UInt16;
}

struct InstanceLife {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct TraceContext {
  traceIdLow @0 :UInt64;
  traceIdHigh @1 :UInt64;
  spanId @2 :UInt64;
  sampled @3 :Bool;
}

struct ForwardedPacket {
  service @0 :Text;
  target @1 :InstanceLife;
  epoch @2 :UInt64;
  role @3 :UInt8;
  hops @4 :UInt8;
  flow @5 :FlowKey;
  balancer @6 :Endpoint;
  fabric @7 :Endpoint;
  trace @8 :TraceContext;
  payload @9 :Data;
  rulesVersion @10 :UInt64;
  establishedOnly @11 :Bool;
  sender @12 :InstanceLife;  # Null if a balancer sent the packet.
  placement @13 :UInt64;
  lapsed @14 :List(InstanceLife);
}

struct PeerHeader {
  service @0 :Text;
  sender @1 :InstanceLife;
  target @2 :InstanceLife;
  epoch @3 :UInt64;
  lapsed @4 :List(InstanceLife);
}

struct LoadReport {
  inFlight @0 :UInt32;
  slots @1 :UInt32;
  reportedPermille @2 :UInt32;
  cold @3 :Bool;
}

struct Heartbeat {
  sequence @0 :UInt64;
  load @1 :LoadReport;
}

struct HeartbeatAck {
  sequence @0 :UInt64;
  load @1 :LoadReport;
  grants @2 :Bool;
}

struct FlowClosed {
  flow @0 :FlowKey;
  placement @1 :UInt64;
}

struct OwnershipQuery {
  query @0 :UInt64;
  buckets @1 :List(UInt16);
}

struct JournalEntry {
  flow @0 :FlowKey;
  messageId @1 :UInt16;
  token @2 :Data;
  owner @3 :InstanceLife;
  state @4 :UInt8;
  answer @5 :Data;
}

struct JournalMark {
  bucket @0 :UInt16;
  home @1 :InstanceLife;
}

struct JournalGap {
  bucket @0 :UInt16;
  remainingMicroseconds @1 :Int64;
}

struct OwnershipReply {
  query @0 :UInt64;
  index @1 :UInt16;
  count @2 :UInt16;
  flows @3 :List(FlowKey);
  entries @4 :List(JournalEntry);
  marks @5 :List(JournalMark);
  gaps @6 :List(JournalGap);
}

struct JournalSync {
  sync @0 :UInt64;
  index @1 :UInt16;
  count @2 :UInt16;
  buckets @3 :List(UInt16);
  entries @4 :List(JournalEntry);
  lapsed @5 :List(InstanceLife);
}

struct JournalSyncAck {
  sync @0 :UInt64;
  index @1 :UInt16;
}

struct PeerMessage {
  header @0 :PeerHeader;
  union {
    heartbeat @1 :Heartbeat;
    heartbeatAck @2 :HeartbeatAck;
    lapsePromise @3 :InstanceLife;
    ownershipQuery @4 :OwnershipQuery;
    ownershipReply @5 :OwnershipReply;
    flowClosed @6 :FlowClosed;
    journalRecord @7 :JournalEntry;
    journalAck @8 :JournalEntry;
    journalSync @9 :JournalSync;
    journalSyncAck @10 :JournalSyncAck;
  }
}

struct StaleNotice {
  service @0 :Text;
  epoch @1 :UInt64;
  lapsed @2 :List(InstanceLife);
  reason @3 :UInt8;
}

struct Datagram {
  union {
    forwarded @0 :ForwardedPacket;
    peer @1 :PeerMessage;
    stale @2 :StaleNotice;
  }
}
