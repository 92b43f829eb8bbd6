/*
 * lease.pml - checks that a member which others consider expired never holds its
 * lease.
 *
 * Protocol: docs/design/flow-protocol.md, section "Lease".  The numbers of rules
 * below are those of that section.
 *
 * The model contains
 *   - the member M, whose lease is checked; three other members 0..2, which are
 *     its watchers at different epochs; an observer, which counts their expiry
 *     promises, as a deputy does before it takes over;
 *   - a fixed history of watcher sets, selected by SCENARIO.  M, the watchers and
 *     the observer receive each set late and at different times;
 *   - time in ticks.  A tick may pass at any moment and no step is ever forced,
 *     so every process may be paused and every message may be late.  All clocks
 *     tick together: clock drift is not modelled, nor is the margin for it;
 *   - heartbeats and acks, with one slot for each watcher and direction.  A
 *     message may be lost (never read, or overwritten), late (aged) or duplicated
 *     (read again).
 */

#define WATCHER_COUNT 3
#define LEASE_TICKS 2
#define SOLE_LEASE_TICKS 3 /* lease of a member without watchers */
#define MAX_AGE 3          /* ages and timers saturate here */
#define NO_MESSAGE 7

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define by_epoch(e, first, second, third) \
  ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

/* Watchers of M by epoch. */
#if SCENARIO == 1 /* a watcher is added */
#define LAST_EPOCH 2
#define watchers(e) by_epoch(e, 1, 3, 3)
#elif SCENARIO == 2 /* a watcher is replaced */
#define LAST_EPOCH 2
#define watchers(e) by_epoch(e, 3, 5, 5)
#elif SCENARIO == 3 /* a watcher is removed without replacement */
#define LAST_EPOCH 2
#define watchers(e) by_epoch(e, 3, 1, 1)
#elif SCENARIO == 4 /* both watchers are replaced at once */
#define LAST_EPOCH 2
#define watchers(e) by_epoch(e, 3, 4, 4)
#elif SCENARIO == 5 /* a member without watchers gets one, then another one */
#define LAST_EPOCH 3
#define watchers(e) by_epoch(e, 0, 1, 2)
#elif SCENARIO == 6 /* a watcher is added, then the first one is removed */
#define LAST_EPOCH 3
#define watchers(e) by_epoch(e, 1, 3, 2)
#endif

/* The member M. */
byte m_epoch = 1;
byte previously_counted;            /* watchers that counted in the previous epoch */
byte confirmed;                     /* watchers that acked a heartbeat of this epoch */
byte age[WATCHER_COUNT];            /* by watcher: of the newest heartbeat that it acked */
byte confirmed_read_age = MAX_AGE;  /* of the newest read that the platform confirmed */
byte pending_read_age = NO_MESSAGE; /* of the read in progress */
bool read_confirmed;

/* Messages: age since the heartbeat was sent, and the epoch that it carried. */
byte heartbeat[WATCHER_COUNT];
byte heartbeat_epoch[WATCHER_COUNT];
byte ack[WATCHER_COUNT];
byte ack_epoch[WATCHER_COUNT];

/* The watchers. */
byte watcher_epoch[WATCHER_COUNT];
byte timer[WATCHER_COUNT];    /* since the last ack, or since it became a watcher */
byte promised[WATCHER_COUNT]; /* epoch of its expiry promise, 0: none */
byte ever_acked;
byte stopped;                 /* watchers that have expired or left and do nothing more */

byte observer_epoch = 1;
byte written_epoch = 1; /* epoch of the newest roster in the platform */

/* Rules 1 and 4: whose acks M counts.  The remaining watchers of the previous
 * epoch count at once; new watchers count after all remaining ones have confirmed
 * the epoch.  If none remains, M does not continue this incarnation. */
#define remaining_watchers (previously_counted & watchers(m_epoch))
#ifdef MUTANT_COUNT_UNCONFIRMED
#define counts_new_watchers true
#elif defined(MUTANT_CONTINUE_UNDER_NEW_WATCHERS)
#define counts_new_watchers ((remaining_watchers & ~confirmed) == 0)
#else
#define counts_new_watchers                  \
  ((remaining_watchers & ~confirmed) == 0 && \
   (remaining_watchers != 0 || watchers(m_epoch - 1) == 0))
#endif
#define counts_acks_of(w)      \
  (in(w, watchers(m_epoch)) && \
   (m_epoch == 1 || in(w, previously_counted) || counts_new_watchers))
/* A watcher of the previous epoch whose acks never counted is still a new one. */
#ifdef MUTANT_COUNT_UNCONFIRMED_AS_OLD
#define counted_watchers watchers(m_epoch)
#else
#define counted_watchers                                         \
  ((counts_acks_of(0) -> 1 : 0) | (counts_acks_of(1) -> 2 : 0) | \
   (counts_acks_of(2) -> 4 : 0))
#endif
#define holds_by(w) (counts_acks_of(w) && age[w] < LEASE_TICKS)
#define holds_sole (watchers(m_epoch) == 0 && confirmed_read_age < SOLE_LEASE_TICKS)
#define m_holds (holds_by(0) || holds_by(1) || holds_by(2) || holds_sole)

/* Rule 3: the observer considers M expired when all watchers of its roster have
 * given an expiry promise under this set of watchers, and its roster is at least
 * as new as each promise. */
#ifdef MUTANT_COUNT_NEWER_PROMISE
#define counts_promise_of(w) (promised[w] >= observer_epoch)
#elif defined(MUTANT_COUNT_OLD_PROMISE)
#define counts_promise_of(w) (promised[w] != 0 && promised[w] <= observer_epoch)
#else
#define counts_promise_of(w) (promised[w] == observer_epoch)
#endif
#define agrees(w) (!in(w, watchers(observer_epoch)) || counts_promise_of(w))
#define m_expired \
  (watchers(observer_epoch) != 0 && agrees(0) && agrees(1) && agrees(2))

/* Rules 2 and 5: how long a watcher waits before it gives its expiry promise. */
#ifdef MUTANT_PROMISE_EARLY
#define promise_wait(w) (LEASE_TICKS - 1)
#elif SCENARIO == 5 && !defined(MUTANT_IGNORE_SOLE_LEASE)
#define promise_wait(w) (in(w, ever_acked) -> LEASE_TICKS : SOLE_LEASE_TICKS)
#else
#define promise_wait(w) LEASE_TICKS
#endif

hidden byte expired_holds_no_lease;
hidden byte takeover_unreachable;
hidden byte new_watcher_unreachable;

inline check_safety()
{
  expired_holds_no_lease = !(m_holds && m_expired);
  assert(expired_holds_no_lease);
#ifdef REACH_TAKEOVER
  takeover_unreachable = !(m_expired && observer_epoch == REACH_TAKEOVER);
  assert(takeover_unreachable);
#endif
#ifdef REACH_NEW_WATCHER
  new_watcher_unreachable = !(holds_by(REACH_NEW_WATCHER) && m_epoch == LAST_EPOCH);
  assert(new_watcher_unreachable);
#endif
}

#define next_age(a) ((a) < MAX_AGE -> (a) + 1 : MAX_AGE)
#define next_message_age(a) ((a) + 1 < LEASE_TICKS -> (a) + 1 : NO_MESSAGE)
#define next_read_age(a) ((a) + 1 < SOLE_LEASE_TICKS -> (a) + 1 : NO_MESSAGE)

/* Time, the platform, and the observer. */
proctype environment()
{
  byte w;
end:
  do
  :: d_step {
       true ->
       for (w : 0 .. WATCHER_COUNT - 1) {
         age[w] = next_age(age[w]);
         timer[w] = next_age(timer[w]);
         heartbeat[w] = next_message_age(heartbeat[w]);
         ack[w] = next_message_age(ack[w])
       }
       w = 0;
       confirmed_read_age = next_age(confirmed_read_age);
       pending_read_age = next_read_age(pending_read_age)
     }

  /* Rule 4: a watcher is removed only after it has stopped. */
  :: d_step {
#ifndef MUTANT_REPLACE_LIVE_WATCHER
       (watchers(written_epoch) & ~watchers(written_epoch + 1) & ~stopped) == 0 &&
#endif
       written_epoch < LAST_EPOCH ->
       written_epoch++
     }

  :: d_step {
       observer_epoch < written_epoch -> observer_epoch++;
       check_safety()
     }
  od
}

proctype lease_holder()
{
end:
  do
  :: d_step {
       m_epoch < written_epoch ->
       previously_counted = counted_watchers;
       m_epoch++;
       confirmed = 0;
       check_safety()
     }
  /* A member without watchers reads its roster; the platform confirms the read
   * only while that roster is the newest one. */
  :: d_step { watchers(m_epoch) == 0 -> pending_read_age = 0; read_confirmed = false }
  :: d_step {
       pending_read_age != NO_MESSAGE && written_epoch == 1 -> read_confirmed = true
     }
  :: d_step {
       pending_read_age != NO_MESSAGE && read_confirmed &&
       pending_read_age < confirmed_read_age ->
       confirmed_read_age = pending_read_age;
       check_safety()
     }
  od
}

/* A watcher `w`, and the messages between it and M. */
proctype watcher(byte w)
{
end:
  do
  /* M sends a heartbeat. */
  :: d_step {
       in(w, watchers(m_epoch)) ->
       heartbeat[w] = 0;
       heartbeat_epoch[w] = m_epoch
     }

  /* The watcher acks the heartbeat, unless it has stopped, has given its expiry
   * promise, or has an older roster than the heartbeat. */
  :: d_step {
#ifndef MUTANT_ACK_AFTER_STOP
       !in(w, stopped) &&
#endif
#ifndef MUTANT_ACK_AFTER_PROMISE
       promised[w] == 0 &&
#endif
#ifndef MUTANT_ACK_AT_OLD_EPOCH
       watcher_epoch[w] >= heartbeat_epoch[w] &&
#endif
       heartbeat[w] != NO_MESSAGE && in(w, watchers(watcher_epoch[w])) ->
       ack[w] = heartbeat[w];
       ack_epoch[w] = heartbeat_epoch[w];
       timer[w] = 0;
       ever_acked = ever_acked | bit(w)
     }

  /* M receives the ack. */
  :: d_step {
       ack[w] != NO_MESSAGE &&
       (ack[w] < age[w] || (ack_epoch[w] == m_epoch && !in(w, confirmed))) ->
       age[w] = (ack[w] < age[w] -> ack[w] : age[w]);
       confirmed = confirmed | (ack_epoch[w] == m_epoch -> bit(w) : 0);
       check_safety()
     }

  /* The watcher gives its expiry promise: it will never ack this incarnation of M
   * again. */
  :: d_step {
       !in(w, stopped) && in(w, watchers(watcher_epoch[w])) &&
       promised[w] < watcher_epoch[w] && timer[w] >= promise_wait(w) ->
       promised[w] = watcher_epoch[w];
       check_safety()
     }

  /* The watcher receives a newer set of watchers and restarts the wait before its
   * expiry promise. */
  :: d_step {
       !in(w, stopped) && watcher_epoch[w] < written_epoch ->
       watcher_epoch[w]++;
#ifndef MUTANT_KEEP_TIMER
       timer[w] = 0
#endif
     }

  /* The watcher expires or leaves. */
  :: d_step { !in(w, stopped) -> stopped = stopped | bit(w) }
  od
}

init
{
  byte w;
  atomic {
    for (w : 0 .. WATCHER_COUNT - 1) {
      age[w] = MAX_AGE;
      heartbeat[w] = NO_MESSAGE;
      ack[w] = NO_MESSAGE;
      watcher_epoch[w] = 1
    }
    run environment();
    run lease_holder();
    for (w : 0 .. WATCHER_COUNT - 1) {
      if
      :: in(w, watchers(1) | watchers(2) | watchers(3)) -> run watcher(w)
      :: else
      fi
    }
  }
}
