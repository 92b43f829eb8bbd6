@0xf49e22309f32b708;

# RPC interfaces of the daemons' control threads, for other daemons and for
# operators' tools.
# src/libdaemon/generate.sh makes control.capnp.h and control.capnp.c++.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafork::rpc");

interface Control {
  # Information for operators.

  status @0 () -> (json :Text);
  # Returns the same JSON as the HTTP page /status.

  explain @1 (caller :Text, service :Text) -> (json :Text);
  # Returns where a packet from `caller` to the service address `service` goes,
  # and why. Both have the form `IP:PORT`; fails otherwise.
}

interface Subscriber {
  push @0 (updates :List(Update)) -> ();
  # Applies `updates`. Updates may arrive late, twice or out of order.

  ended @1 () -> ();
  # Notifies the subscriber that the sender has stopped being a relay and will
  # push no more updates.
}

interface Balancer extends(Control, Subscriber) {
  # Replication of rules, rosters and expired members among balancers. Any
  # balancer may push updates to any other.

  digest @0 (caller :Endpoint) -> (digest :Digest, ready :Bool,
                                   peers :List(Endpoint));
  # Returns the digest of this balancer's state, whether the balancer is ready,
  # and the addresses of some of its peers. `caller` is the address at which the
  # caller accepts calls; port 0 if it accepts none.

  pull @1 (have :Versions) -> (updates :List(Update));
  # Returns the updates that this balancer's state has beyond `have`.

  subscribe @2 (subscriber :Subscriber) -> ();
  # Pushes every later update to `subscriber`, until a push fails or this
  # balancer stops being a relay. Fails if this balancer is not a relay.
}

struct Digest {
  rulesVersion @0 :UInt64;
  groups @1 :List(UInt64);
  # For each group of services, a hash of its rosters' epochs and expired
  # members.
}

struct Versions {
  rulesVersion @0 :UInt64;
  groups @1 :List(UInt16);
  # Groups of services to which the updates are limited.
  services @2 :List(ServiceVersion);
  # Versions of all services of these groups that the caller has.
}

struct ServiceVersion {
  service @0 :Text;
  epoch @1 :UInt64;
  lapsed @2 :UInt32;
  # Number of members of that roster that have expired.
}

struct Life {
  # One incarnation of an instance.
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
  # Rule file of the retired rules: they have been removed, but their
  # established flows continue.
}

struct RulesChange {
  # Delta of the rules from `version` - 1 to `version`.
  version @0 :UInt64;
  firstLine @1 :UInt32;
  removed @2 :List(Text);
  added @3 :List(Text);
}

struct Roster {
  json @0 :Text;
  # The JSON form that is stored in the platform.
}

struct Change {
  # Delta of a roster from `epoch` - 1 to `epoch`.
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
  # Watchers are left out, because the receiver assigns them when it applies
  # the delta.
}

struct Endpoint {
  address @0 :Data;
  # 16 bytes; IPv4 addresses are in v4-mapped form.
  port @1 :UInt16;
}

struct Lapsed {
  # Members of a service whose leases have expired for good.
  service @0 :Text;
  lives @1 :List(Life);
}
