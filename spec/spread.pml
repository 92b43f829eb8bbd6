/*
 * spread.pml - checks that versions which reach two balancers at different times
 * never go back, and that a packet never reaches a process of another service
 * when an address is reused.
 *
 * Protocol: docs/design/flow-protocol.md, "Parts" (envelopes), invariants 2, 6.
 *
 * The model contains
 *   - the platform, with versions 1..3 of the configuration;
 *   - two balancers that receive watch events, which may be lost, late,
 *     duplicated or reordered, and that read the object again at times;
 *   - one address, which belongs to the service orders up to version 2 and to
 *     photos from version 3 on.  The process behind the address changes at any
 *     time after version 3 was written;
 *   - envelopes (packets that name their service) to that address, which may be
 *     late and duplicated.
 */

#define BALANCER_COUNT 2
#define LAST_VERSION 3
#define ORDERS 1
#define PHOTOS 2

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define service_at(v) ((v) < LAST_VERSION -> ORDERS : PHOTOS)

byte version = 1;
byte watch_events[BALANCER_COUNT];    /* watch events in transit: a set of versions */
byte active_version[BALANCER_COUNT];  /* version that is active at the balancer */
byte highest_version[BALANCER_COUNT]; /* newest version that was ever active */
byte envelopes;                       /* services named by the envelopes in transit */
byte accepted[3];                     /* by process: services of the envelopes it accepted */
byte process = ORDERS;                /* the process behind the address */

hidden byte never_reverts;
hidden byte right_service;
hidden byte newest_active;
hidden byte new_service_reached;
hidden byte uneven_unreachable;

/* Rule: a balancer applies a version only if it is newer than its own. */
inline apply_version(me, v)
{
  active_version[me] = v;
  never_reverts = (active_version[me] >= highest_version[me]);
  assert(never_reverts);
  highest_version[me] = v;
#ifdef REACH_UNEVEN
  uneven_unreachable = !(active_version[0] == 1 && active_version[1] == LAST_VERSION);
  assert(uneven_unreachable);
#endif
}
#ifdef MUTANT_APPLY_ANY
#define newer(me, v) ((v) != active_version[me])
#else
#define newer(me, v) ((v) > active_version[me])
#endif

proctype platform()
{
end:
  do
  :: d_step {
       version < LAST_VERSION ->
       version++;
       watch_events[0] = watch_events[0] | bit(version);
       watch_events[1] = watch_events[1] | bit(version)
     }
  /* The address is given to the other service. */
  :: d_step { version == LAST_VERSION && process == ORDERS -> process = PHOTOS }
  od
}

proctype balancer(byte me)
{
end:
  do
  /* A watch event arrives; it may arrive again. */
  :: d_step { in(2, watch_events[me]) && newer(me, 2) -> apply_version(me, 2) }
  :: d_step { in(3, watch_events[me]) && newer(me, 3) -> apply_version(me, 3) }
  /* A watch event is lost. */
  :: d_step { in(2, watch_events[me]) -> watch_events[me] = watch_events[me] & ~bit(2) }
  :: d_step { in(3, watch_events[me]) -> watch_events[me] = watch_events[me] & ~bit(3) }
#ifndef MUTANT_NO_REREAD
  /* The balancer reads the object again. */
  :: d_step { active_version[me] < version -> apply_version(me, version) }
#endif
  /* The balancer sends a packet to the address, in an envelope that names the
   * service. */
  :: d_step {
       !in(service_at(active_version[me]), envelopes) ->
       envelopes = envelopes | bit(service_at(active_version[me]))
     }
  od
}

/* An envelope arrives: the process checks the service that it names. */
#ifdef MUTANT_NO_IDENTITY_CHECK
#define accepts(s) true
#elif defined(MUTANT_DROP_ALL)
#define accepts(s) false
#else
#define accepts(s) ((s) == process)
#endif
inline accept_envelope(s)
{
  accepted[process] = accepted[process] | bit(s);
  right_service = (process == s);
  assert(right_service)
}
#define newly_accepts(s) \
  (in(s, envelopes) && accepts(s) && !in(s, accepted[process]))

proctype agent()
{
end:
  do
  :: d_step { newly_accepts(ORDERS) -> accept_envelope(ORDERS) }
  :: d_step { newly_accepts(PHOTOS) -> accept_envelope(PHOTOS) }
  od
}

/* Progress: when no step is left, the newest version is active on both balancers,
 * and the new service has accepted an envelope. */
proctype quiescence()
{
  timeout;
  newest_active = (active_version[0] == LAST_VERSION &&
                   active_version[1] == LAST_VERSION);
  assert(newest_active);
  new_service_reached = in(PHOTOS, accepted[PHOTOS]);
  assert(new_service_reached)
}

init
{
  atomic {
    active_version[0] = 1;
    active_version[1] = 1;
    highest_version[0] = 1;
    highest_version[1] = 1;
    run platform();
    run balancer(0);
    run balancer(1);
    run agent();
    run quiescence()
  }
}
