# Datagrams between balancers and agents of passthrough flows. The C++ beside
# this file is committed; this command, run at the root, generates it:
#   capnp compile -oc++ src/libpass/pass.capnp
# src/include/galenafork/pass_messages.h documents each message. Some names
# differ there: `Moved` is `flow_owner_message`, `settled` is
# `candidates_exhausted_`, `earlier` is `earlier_agent_`, `held` is `queued_` and
# `busy` is `in_flight_`.

@0xd3b1f7c25a908e41;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafork::pvt::pass_schema");

struct Flow {
  callerHost @0 :UInt32;
  serviceHost @1 :UInt32;
  callerPort @2 :UInt16;
  servicePort @3 :UInt16;
}

struct Visit {
  host @0 :UInt32;
  backlog @1 :UInt16;  # Thousandths of a request per slot, at most 65535.
}

struct Place {
  packet @0 :Data;
  service @1 :Text;
  version @2 :UInt64;
  balancer @3 :UInt32;
  candidates @4 :List(UInt32);
  visits @5 :List(Visit);
  priority @6 :UInt8;
  idempotent @7 :Bool;
  settled @8 :Bool;
  ageMicros @9 :UInt32;
  targetMicros @10 :UInt32;
  earlier @11 :UInt32;
  forwards @12 :UInt8;
  coldPerSecondMillis @13 :UInt32;  # Thousandths of a request a second; zero for no limit.
  hedged @14 :Bool;  # False in messages of earlier versions.
  hedgeable @15 :Bool;  # False in messages of earlier versions.
}

struct Moved {
  flow @0 :Flow;
  owner @1 :UInt32;
  held @2 :Bool;
  sender @3 :UInt32;
  # The sender if it is undecided; `sender` is then zero. Balancers of earlier
  # versions take any message with an owner of zero for a denial by `sender`.
  undecidedSender @4 :UInt32;
  hedged @5 :Bool;  # The owner got the opening segment as a hedge.
}

struct Locate {
  packet @0 :Data;
  balancer @1 :UInt32;
  tentative @2 :Bool;  # False in messages of earlier versions.
  group @3 :List(UInt32);  # Agents that the receiver asks on behalf of the sender.
  relay @4 :UInt32;  # Gets denials instead of the sender; zero for none.
}

struct SearchResult {
  flow @0 :Flow;
  sender @1 :UInt32;
  denied @2 :List(UInt32);
  undecided @3 :List(UInt32);
}

struct Status {
  host @0 :UInt32;
  instance @1 :Text;
  service @2 :Text;
  dataCentre @3 :Text;
  started @4 :UInt64;
  state @5 :UInt8;
  accepting @6 :Bool;
  slots @7 :UInt16;
  busy @8 :UInt16;
  held @9 :UInt16;
  coldMicros @10 :UInt32;
  serviceMicros @11 :UInt32;
  expectedLoadMillis @12 :UInt32;  # Thousandths of the upstream's slots.
  ended @13 :Bool;
}

struct Hello {
  host @0 :UInt32;
  version @1 :UInt64;
  agents @2 :UInt16;
  leaving @3 :Bool;
  statusMillis @4 :UInt16;  # Zero in messages of earlier versions.
  probe @5 :Bool;
  evacuationEra @6 :UInt64;
  evacuationRevision @7 :UInt64;  # Zero if the sender has no list.
  evacuated @8 :List(Text);
  # Milliseconds, rounded up; zero for none and in messages of earlier versions.
  rulesReadAgeMillis @9 :UInt32;
  evacuationsReadAgeMillis @10 :UInt32;
}

struct Message {
  union {
    place @0 :Place;
    moved @1 :Moved;
    locate @2 :Locate;
    status @3 :Status;
    hello @4 :Hello;
    searchResult @5 :SearchResult;
  }
}

# Gives a balancer's rules and member lists to a balancer that cannot reach the
# platform.
interface Knowledge {
  rules @0 () -> (version :UInt64, text :Text);
  members @1 () -> (agents :List(UInt32), balancers :List(UInt32));
}
