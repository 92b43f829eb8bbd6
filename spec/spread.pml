/*
 * spread.pml - versions reach two balancers unevenly and never go back; a
 * packet reaches no process of another service when an address is used again.
 *
 * Protocol: docs/design/flow-protocol.md, "Parts" (envelopes), invariants 2, 6.
 *
 * What the model holds
 *   - the platform, with versions 1..3 of the configuration;
 *   - two balancers that get watch events: lost, late, twice, out of order; and
 *     that read the object again from time to time;
 *   - one address: orders has it up to version 2, photos from version 3 on.
 *     The process behind it changes at any time after version 3 was written;
 *   - envelopes to that address, late and duplicated.
 */

#define BALANCERS 2
#define LAST 3
#define ORDERS 1
#define PHOTOS 2

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define service_at(v) ((v) < LAST -> ORDERS : PHOTOS)

byte version = 1;
byte events[BALANCERS];  /* watch events under way: a set of versions */
byte held[BALANCERS];    /* version in force */
byte highest[BALANCERS]; /* newest version that ever was in force */
byte envelopes;          /* under way: a set of services named in them */
byte arrived[3];         /* by process: services whose envelope it let through */
byte process = ORDERS;   /* the process behind the address */

hidden byte never_reverts;
hidden byte right_service;
hidden byte newest_in_force;
hidden byte new_service_reached;
hidden byte uneven_unreachable;

/* Rule: a balancer takes a version only if it is newer than its own. */
inline take(me, v)
{
  held[me] = v;
  never_reverts = (held[me] >= highest[me]);
  assert(never_reverts);
  highest[me] = v;
#ifdef REACH_UNEVEN
  uneven_unreachable = !(held[0] == 1 && held[1] == LAST);
  assert(uneven_unreachable);
#endif
}
#ifdef MUTANT_TAKE_ANY
#define newer(me, v) ((v) != held[me])
#else
#define newer(me, v) ((v) > held[me])
#endif

proctype platform()
{
end:
  do
  :: d_step {
       version < LAST ->
       version++;
       events[0] = events[0] | bit(version);
       events[1] = events[1] | bit(version)
     }
  /* The address is given to the other service. */
  :: d_step { version == LAST && process == ORDERS -> process = PHOTOS }
  od
}

proctype balancer(byte me)
{
end:
  do
  /* A watch event; it may come again. */
  :: d_step { in(2, events[me]) && newer(me, 2) -> take(me, 2) }
  :: d_step { in(3, events[me]) && newer(me, 3) -> take(me, 3) }
  /* An event is lost. */
  :: d_step { in(2, events[me]) -> events[me] = events[me] & ~bit(2) }
  :: d_step { in(3, events[me]) -> events[me] = events[me] & ~bit(3) }
#ifndef MUTANT_NEVER_READ_AGAIN
  /* It reads the object again. */
  :: d_step { held[me] < version -> take(me, version) }
#endif
  /* It sends a packet to the address, in an envelope that names the service. */
  :: d_step {
       !in(service_at(held[me]), envelopes) ->
       envelopes = envelopes | bit(service_at(held[me]))
     }
  od
}

/* An envelope arrives: the process checks the service that it names. */
#ifdef MUTANT_NO_IDENTITY_CHECK
#define passes(s) true
#elif defined(MUTANT_DROP_ALL)
#define passes(s) false
#else
#define passes(s) ((s) == process)
#endif
inline let_through(s)
{
  arrived[process] = arrived[process] | bit(s);
  right_service = (process == s);
  assert(right_service)
}
#define newly_arrives(s) \
  (in(s, envelopes) && passes(s) && !in(s, arrived[process]))

proctype agent()
{
end:
  do
  :: d_step { newly_arrives(ORDERS) -> let_through(ORDERS) }
  :: d_step { newly_arrives(PHOTOS) -> let_through(PHOTOS) }
  od
}

/* Progress: when nothing is left to happen, the newest version is in force on
 * both balancers, and an envelope of the new service got through. */
proctype quiescence()
{
  timeout;
  newest_in_force = (held[0] == LAST && held[1] == LAST);
  assert(newest_in_force);
  new_service_reached = in(PHOTOS, arrived[PHOTOS]);
  assert(new_service_reached)
}

init
{
  atomic {
    held[0] = 1;
    held[1] = 1;
    highest[0] = 1;
    highest[1] = 1;
    run platform();
    run balancer(0);
    run balancer(1);
    run agent();
    run quiescence()
  }
}
