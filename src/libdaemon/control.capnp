@0xf49e22309f32b708;

# RPC between the control threads of daemons, and from operators' tools.
# src/libdaemon/generate.sh makes control.capnp.h and control.capnp.c++.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafork::rpc");

interface Control {
  # Every daemon.

  status @0 () -> (json :Text);
  # What /status says.

  explain @1 (caller :Text, service :Text) -> (json :Text);
  # Where a packet from `caller` to the service address goes, and why.
}

interface Subscriber {
  push @0 (updates :List(Update)) -> ();
  # Old and repeated updates do no harm.

  ended @1 () -> ();
  # The sender is no relay any more and will push nothing.
}

interface Balancer extends(Control, Subscriber) {
  # Spread of rules and rosters among balancers. Any balancer may push news.

  digest @0 (caller :Endpoint) -> (digest :Digest, ready :Bool,
                                   peers :List(Endpoint));
  # What this balancer knows, in short, and some other balancers. `caller` is
  # where the caller takes calls; port 0 for one that takes none.

  pull @1 (have :Versions) -> (updates :List(Update));
  # What this balancer knows beyond `have`.

  subscribe @2 (subscriber :Subscriber) -> ();
  # Sends `subscriber` what is news here, until the connection breaks. Fails
  # if this balancer is no relay.
}

struct Digest {
  rulesVersion @0 :UInt64;
  groups @1 :List(UInt64);
  # Hash of the versions of all services of a group.
}

struct Versions {
  rulesVersion @0 :UInt64;
  groups @1 :List(UInt16);
  # The answer is limited to services of these groups.
  services @2 :List(ServiceVersion);
  # All that the caller knows in these groups.
}

struct ServiceVersion {
  service @0 :Text;
  epoch @1 :UInt64;
  lapsed @2 :UInt32;
  # Number of lapsed lives known.
}

struct Life {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Update {
  union {
    rules @0 :Rules;
    roster @1 :Roster;
    change @2 :Change;
    lapsed @3 :Lapsed;
    rulesChange @4 :RulesChange;
  }
}

struct Rules {
  version @0 :UInt64;
  text @1 :Text;
  retired @2 :Text;
  # Lines of removed rules whose established flows go on.
}

struct RulesChange {
  # One step of the rules, from `version` - 1 to `version`.
  version @0 :UInt64;
  firstLine @1 :UInt32;
  removed @2 :List(Text);
  added @3 :List(Text);
}

struct Roster {
  json @0 :Text;
  # The form kept in the platform.
}

struct Change {
  # One step of a roster, from `epoch` - 1 to `epoch`.
  service @0 :Text;
  epoch @1 :UInt64;
  kind @2 :UInt8;
  member @3 :Member;
  write @4 :Text;
}

struct Member {
  life @0 :Life;
  dataCentre @1 :Text;
  packets @2 :Endpoint;
  control @3 :Endpoint;
  slots @4 :UInt32;
  state @5 :UInt8;
  # Watchers are left out: the receiver works them out.
}

struct Endpoint {
  address @0 :Data;
  # 16 bytes.
  port @1 :UInt16;
}

struct Lapsed {
  service @0 :Text;
  lives @1 :List(Life);
}
