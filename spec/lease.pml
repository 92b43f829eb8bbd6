/*
 * lease.pml - a member that others hold for lapsed never holds its lease.
 *
 * Protocol: docs/design/flow-protocol.md, section "Lease".
 *
 * What the model holds
 *   - the member M, whose lease it is; three other members 0..2 that are its
 *     watchers by turns; an observer that counts their promises, as a deputy
 *     does before it takes over;
 *   - a fixed history of watcher sets, chosen by SCENARIO, that M, the watchers
 *     and the observer learn late and unevenly;
 *   - time in ticks.  A tick may pass at any moment and no step is ever urgent:
 *     so every process may be paused and every message late.  All clocks tick
 *     together: drift is left out, and the margin for it with it;
 *   - heartbeats and acks: one slot for each watcher and direction.  A message
 *     may be lost (never read, or overwritten), late (aged), duplicated (read
 *     again).
 */

#define WATCHERS 3
#define LENGTH 2      /* ticks of a lease */
#define SOLE_LENGTH 3 /* ticks of a sole member's lease */
#define OLD 3         /* ages and timers stop here */
#define NO_MESSAGE 7

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define pick(e, first, second, third) ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

/* Watchers of M by epoch. */
#if SCENARIO == 1 /* a watcher is added */
#define LAST 2
#define watchers(e) pick(e, 1, 3, 3)
#elif SCENARIO == 2 /* a watcher is replaced */
#define LAST 2
#define watchers(e) pick(e, 3, 5, 5)
#elif SCENARIO == 3 /* a watcher is removed, none takes its place */
#define LAST 2
#define watchers(e) pick(e, 3, 1, 1)
#elif SCENARIO == 4 /* both watchers are gone at once */
#define LAST 2
#define watchers(e) pick(e, 3, 4, 4)
#elif SCENARIO == 5 /* a sole member gets its first watcher, then another one */
#define LAST 3
#define watchers(e) pick(e, 0, 1, 2)
#elif SCENARIO == 6 /* a watcher is added, then the first one is removed */
#define LAST 3
#define watchers(e) pick(e, 1, 3, 2)
#endif

/* M */
byte m_epoch = 1;
byte m_previous;          /* watchers whose acks it counted in the epoch before */
byte confirmed;           /* watchers that acked a heartbeat of this epoch */
byte age[WATCHERS];       /* of the newest heartbeat that each watcher acked */
byte sole_age = OLD;      /* of the newest read that the platform confirmed */
byte read_age = NO_MESSAGE; /* of the read under way */
bool read_served;

/* Messages: age since the heartbeat was sent, and the epoch it carried. */
byte heartbeat[WATCHERS];
byte heartbeat_epoch[WATCHERS];
byte ack[WATCHERS];
byte ack_epoch[WATCHERS];

/* Watchers */
byte w_epoch[WATCHERS];
byte timer[WATCHERS];    /* since the last ack, or since it learnt its duty */
byte promised[WATCHERS]; /* epoch of its promise, 0: none */
byte ever_acked;
byte stopped;            /* lapsed or left: they act no more */

byte observer_epoch = 1;
byte written = 1;        /* newest roster in the platform */

/* Rule 1 and rule 4: whose acks M counts.  The old watchers that stay count at
 * once; new ones after all of these have confirmed the epoch.  If none stays, M
 * does not go on under this incarnation. */
#define stays (m_previous & watchers(m_epoch))
#ifdef MUTANT_COUNT_UNCONFIRMED
#define new_ones_count true
#elif defined(MUTANT_GO_ON_UNDER_NEW_WATCHERS)
#define new_ones_count ((stays & ~confirmed) == 0)
#else
#define new_ones_count \
  ((stays & ~confirmed) == 0 && (stays != 0 || watchers(m_epoch - 1) == 0))
#endif
#define counts(w) \
  (in(w, watchers(m_epoch)) && (m_epoch == 1 || in(w, m_previous) || new_ones_count))
/* A watcher of the epoch before that never came to count is a new one still. */
#ifdef MUTANT_UNCONFIRMED_IS_OLD
#define counted_set watchers(m_epoch)
#else
#define counted_set \
  ((counts(0) -> 1 : 0) | (counts(1) -> 2 : 0) | (counts(2) -> 4 : 0))
#endif
#define holds_by(w) (counts(w) && age[w] < LENGTH)
#define holds_sole (watchers(m_epoch) == 0 && sole_age < SOLE_LENGTH)
#define m_holds (holds_by(0) || holds_by(1) || holds_by(2) || holds_sole)

/* Rule 3: the observer holds M for lapsed when all watchers of its roster have
 * promised, under this set of watchers, and its roster is at least as new as
 * each promise. */
#ifdef MUTANT_COUNT_NEWER_PROMISE
#define counted(w) (promised[w] >= observer_epoch)
#elif defined(MUTANT_COUNT_OLD_PROMISE)
#define counted(w) (promised[w] != 0 && promised[w] <= observer_epoch)
#else
#define counted(w) (promised[w] == observer_epoch)
#endif
#define agrees(w) (!in(w, watchers(observer_epoch)) || counted(w))
#define m_lapsed \
  (watchers(observer_epoch) != 0 && agrees(0) && agrees(1) && agrees(2))

/* Rule 2 and rule 5: how long a watcher waits before it promises. */
#ifdef MUTANT_PROMISE_EARLY
#define wait_of(w) (LENGTH - 1)
#elif SCENARIO == 5 && !defined(MUTANT_IGNORE_SOLE_LEASE)
#define wait_of(w) (in(w, ever_acked) -> LENGTH : SOLE_LENGTH)
#else
#define wait_of(w) LENGTH
#endif

hidden byte lapsed_holds_no_lease;
hidden byte takeover_unreachable;
hidden byte new_watcher_unreachable;

inline check_safety()
{
  lapsed_holds_no_lease = !(m_holds && m_lapsed);
  assert(lapsed_holds_no_lease);
#ifdef REACH_TAKEOVER
  takeover_unreachable = !(m_lapsed && observer_epoch == REACH_TAKEOVER);
  assert(takeover_unreachable);
#endif
#ifdef REACH_NEW_WATCHER
  new_watcher_unreachable = !(holds_by(REACH_NEW_WATCHER) && m_epoch == LAST);
  assert(new_watcher_unreachable);
#endif
}

#define older(a) ((a) < OLD -> (a) + 1 : OLD)
#define aged(a) ((a) + 1 < LENGTH -> (a) + 1 : NO_MESSAGE)
#define aged_read(a) ((a) + 1 < SOLE_LENGTH -> (a) + 1 : NO_MESSAGE)

/* Time, the platform, and the observer. */
proctype world()
{
  byte w;
end:
  do
  :: d_step {
       true ->
       for (w : 0 .. WATCHERS - 1) {
         age[w] = older(age[w]);
         timer[w] = older(timer[w]);
         heartbeat[w] = aged(heartbeat[w]);
         ack[w] = aged(ack[w])
       }
       w = 0;
       sole_age = older(sole_age);
       read_age = aged_read(read_age)
     }

  /* Rule 4: a watcher is taken out only after it has stopped. */
  :: d_step {
#ifndef MUTANT_REPLACE_LIVE_WATCHER
       (watchers(written) & ~watchers(written + 1) & ~stopped) == 0 &&
#endif
       written < LAST ->
       written++
     }

  :: d_step {
       observer_epoch < written -> observer_epoch++;
       check_safety()
     }
  od
}

proctype lessee()
{
end:
  do
  :: d_step {
       m_epoch < written ->
       m_previous = counted_set;
       m_epoch++;
       confirmed = 0;
       check_safety()
     }
  /* A sole member reads its roster; the platform confirms what still stands. */
  :: d_step { watchers(m_epoch) == 0 -> read_age = 0; read_served = false }
  :: d_step { read_age != NO_MESSAGE && written == 1 -> read_served = true }
  :: d_step {
       read_age != NO_MESSAGE && read_served && read_age < sole_age ->
       sole_age = read_age;
       check_safety()
     }
  od
}

/* One watcher `w`, and M's side of the messages between them. */
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

  /* The watcher acks it: not after it stopped, not after a promise, and only
   * when its roster is as new as the heartbeat. */
  :: d_step {
#ifndef MUTANT_ACK_AFTER_STOP
       !in(w, stopped) &&
#endif
#ifndef MUTANT_ACK_AFTER_PROMISE
       promised[w] == 0 &&
#endif
#ifndef MUTANT_ACK_AT_OLD_EPOCH
       w_epoch[w] >= heartbeat_epoch[w] &&
#endif
       heartbeat[w] != NO_MESSAGE && in(w, watchers(w_epoch[w])) ->
       ack[w] = heartbeat[w];
       ack_epoch[w] = heartbeat_epoch[w];
       timer[w] = 0;
       ever_acked = ever_acked | bit(w)
     }

  /* M gets the ack. */
  :: d_step {
       ack[w] != NO_MESSAGE &&
       (ack[w] < age[w] || (ack_epoch[w] == m_epoch && !in(w, confirmed))) ->
       age[w] = (ack[w] < age[w] -> ack[w] : age[w]);
       confirmed = confirmed | (ack_epoch[w] == m_epoch -> bit(w) : 0);
       check_safety()
     }

  /* The watcher promises that it acks this incarnation no more. */
  :: d_step {
       !in(w, stopped) && in(w, watchers(w_epoch[w])) &&
       promised[w] < w_epoch[w] && timer[w] >= wait_of(w) ->
       promised[w] = w_epoch[w];
       check_safety()
     }

  /* It learns a newer set of watchers: its time to wait starts anew. */
  :: d_step {
       !in(w, stopped) && w_epoch[w] < written ->
       w_epoch[w]++;
#ifndef MUTANT_KEEP_TIMER
       timer[w] = 0
#endif
     }

  /* It lapses or leaves. */
  :: d_step { !in(w, stopped) -> stopped = stopped | bit(w) }
  od
}

init
{
  byte w;
  atomic {
    for (w : 0 .. WATCHERS - 1) {
      age[w] = OLD;
      heartbeat[w] = NO_MESSAGE;
      ack[w] = NO_MESSAGE;
      w_epoch[w] = 1
    }
    run world();
    run lessee();
    for (w : 0 .. WATCHERS - 1) {
      if
      :: in(w, watchers(1) | watchers(2) | watchers(3)) -> run watcher(w)
      :: else
      fi
    }
  }
}
