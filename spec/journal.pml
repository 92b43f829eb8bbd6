/*
 * journal.pml - a non-idempotent request runs once at most, and `did_not_run`
 * is true for ever.
 *
 * Protocol: docs/design/flow-protocol.md, section "At most once".
 *
 * What the model holds
 *   - one bucket, one flow, one request; copies of the request reach any
 *     member at any time, as often as they like;
 *   - members A, B, C with their own knowledge: epoch, lapses, directory;
 *   - up to three rosters, chosen by SCENARIO, learnt late and unevenly;
 *   - up to LAPSES members lapse unaware: what such a member decided before, it
 *     may still do much later (a paused process).
 * Who opens, and that a lapsed member does not, are the results of
 * handover.pml and lease.pml; they are taken over here in short form.
 *
 * Messages may be lost, late, duplicated and reordered: a step that needs one
 * may come at any later time, or never.
 */

#ifndef LAPSES
#define LAPSES 2
#endif
#define MEMBERS (LAST_MEMBER + 1)
#define NOBODY 7
#define A 0
#define B 1
#define C 2
#define D 3
#ifndef FIRST_OWNER
#define FIRST_OWNER A
#endif

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define pick(e, first, second, third) ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

#if SCENARIO == 1 /* one roster */
#define LAST 1
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#elif SCENARIO == 2 /* the deputy changes, and changes back */
#define LAST 3
#define home(e) A
#define deputy(e) pick(e, B, C, B)
#define home_since(e) 1
#define deputy_since(e) (e)
#elif SCENARIO == 3 /* the home moves */
#define LAST 2
#define home(e) pick(e, A, B, B)
#define deputy(e) pick(e, B, C, C)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 4 /* the home moves, twice */
#define LAST 3
#define home(e) pick(e, A, B, C)
#define deputy(e) pick(e, B, C, A)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 5 /* home and deputy are lost at once; the platform names others */
#define LAST 2
#define LAST_MEMBER D
#define home(e) pick(e, A, C, C)
#define deputy(e) pick(e, B, D, D)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 6 /* lost while it records its entries at a new partner */
/* B was the partner in epoch 1, another member, which left, in epoch 2. */
#define LAST 3
#define FIRST_EPOCH 3
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 3
#endif

#ifndef FIRST_EPOCH
#define FIRST_EPOCH 1
#endif

#if SCENARIO == 5 /* the platform names others because both were lost */
#define sheds false
#undef LAPSES
#define LAPSES 0
#else
#define sheds true
#endif

#ifndef LAST_MEMBER
#define LAST_MEMBER C
#endif
#define ALL (bit(MEMBERS) - 1)

/* What a member's journal says of the request. */
#define NONE 0
#define PENDING 1      /* own: not passed on, waits for the partner's ack */
#define PASSED 2       /* own: passed on to the upstream */
#define REFUSING 3     /* own: will never be passed on; not yet said */
#define REFUSED 4      /* own: `did_not_run` was said */
#define HELD 5         /* of another owner: it may have run */
#define HELD_REFUSED 6 /* of another owner: it did not run and never will */

typedef member_state {
  byte epoch;
  byte lapsed;       /* members it knows as lapsed */
  bool complete;     /* directory of the bucket */
  byte answered;     /* members that answered its query */
  byte owner;        /* its directory: owner of the flow */
  bool owns;         /* it owns the flow */
  bool quarantined;  /* it opened the flow without the records of a lapsed member */
  byte entry;        /* its journal */
  byte from;         /* the owner that decided, if the entry is held */
  bool held_acked;   /* its partner of today acked the entry as held */
  bool refused_acked; /* its partner of today acked the entry as refused */
  byte marks[MEMBERS]; /* epoch at which it got `all live entries of that member
                          are with you`, or 0 */
};
member_state s[MEMBERS];

byte gone;      /* members that have lapsed, known to them or not */
byte runs;      /* runs of the request at any upstream */
bool said_not_run;

#define effective_home(e, lapsed_set)               \
  (!in(home(e), lapsed_set) -> home(e) :            \
   (!in(deputy(e), lapsed_set) -> deputy(e) : NOBODY))
#define is_home(m) (effective_home(s[m].epoch, s[m].lapsed) == (m))
#define is_opener(m) (is_home(m) && s[m].complete && !in(m, gone))

/* The partner of an owner: the first other member that is not lapsed, in the
 * order home, deputy, rest of the roster. */
#define can_be_partner(x, m) ((x) != (m) && !in(x, s[m].lapsed))
#define named_partner(m, otherwise)                                       \
  (can_be_partner(home(s[m].epoch), m) -> home(s[m].epoch) :              \
   (can_be_partner(deputy(s[m].epoch), m) -> deputy(s[m].epoch) : otherwise))
#ifdef MUTANT_NO_SPARE_PARTNER
/* Home and deputy only: a deputy that took over has no partner. */
#define partner(m) named_partner(m, NOBODY)
#else
#define partner(m)                                                        \
  named_partner(m,                                                        \
    (can_be_partner(A, m) -> A :                                          \
     (can_be_partner(B, m) -> B :                                         \
      (can_be_partner(C, m) -> C :                                        \
       (LAST_MEMBER == D && can_be_partner(D, m) -> D : NOBODY)))))
#endif

/* A mark holds as long as the roster fields that choose the partner stay. */
#ifdef MUTANT_MARK_OF_ANY_EPOCH
#define mark_valid(x, y) (s[x].marks[y] != 0)
#else
#define mark_valid(x, y)                               \
  (s[x].marks[y] != 0 &&                               \
   home_since(s[x].epoch) <= s[x].marks[y] &&          \
   deputy_since(s[x].epoch) <= s[x].marks[y])
#endif
#define lacks(x, y) ((x) != (y) && in(y, s[x].lapsed) && !mark_valid(x, y))
#ifdef MUTANT_NO_QUARANTINE
#define lacks_records(x) false
#else
#define lacks_records(x) (lacks(x, A) || lacks(x, B) || lacks(x, C))  /* D never lapses */
#endif

hidden byte runs_once;
hidden byte not_run_is_true;
hidden byte request_settled;
hidden byte run_after_takeover_unreachable;
hidden byte refusal_unreachable;

inline check_safety()
{
  runs_once = (runs <= 1);
  assert(runs_once);
  not_run_is_true = !(said_not_run && runs > 0);
  assert(not_run_is_true);
#ifdef REACH_RUN_AFTER_TAKEOVER
  run_after_takeover_unreachable = !(in(A, gone) && s[B].entry == PASSED && runs == 1);
  assert(run_after_takeover_unreachable);
#endif
#ifdef REACH_REFUSAL
  refusal_unreachable = !(s[B].entry == REFUSED && in(A, gone));
  assert(refusal_unreachable);
#endif
}

inline forget_acks(m)
{
  s[m].held_acked = false;
  s[m].refused_acked = false
}

inline adopt_epoch(m, e)
{
  if
  :: s[m].complete && effective_home(e, s[m].lapsed) == m &&
     home_since(e) <= s[m].epoch &&
     (home(e) == m || deputy_since(e) <= s[m].epoch) -> skip
  :: else ->
     s[m].complete = false;
     s[m].owner = NOBODY
  fi;
  s[m].answered = 0;
  s[m].epoch = e;
  forget_acks(m)
}

/* Takes over lapses heard from another member; a new partner acked nothing. */
inline merge_lapses(m, set)
{
  if
  :: (set & ~s[m].lapsed) != 0 ->
     s[m].lapsed = s[m].lapsed | (set);
     forget_acks(m)
  :: else
  fi
}

#define as_held(e) \
  ((e) == NONE -> NONE : (((e) == REFUSED || (e) == HELD_REFUSED) -> HELD_REFUSED : HELD))

/* Owner whose decision the entry of `m` tells. */
#define decided_by(m) \
  ((s[m].entry == HELD || s[m].entry == HELD_REFUSED) -> s[m].from : (m))

/* Entries that `m` records at its partner: its own, and, once it is the home,
 * those that it took over. */
#define has_held(m)                                         \
  (s[m].entry == PENDING || s[m].entry == PASSED ||         \
   (s[m].entry == HELD && is_home(m) && s[m].complete))
#define has_refused(m)                                      \
  (s[m].entry == REFUSING || s[m].entry == REFUSED ||       \
   (s[m].entry == HELD_REFUSED && is_home(m) && s[m].complete))

/* The partner `peer` stores `kind` for `m`.  If it knows a decision of another
 * owner on the same request, it answers with that: `m` lets its own go. */
inline record_at(m, peer, kind)
{
  if
  :: s[peer].entry == NONE ->
     s[peer].from = decided_by(m);
     s[peer].entry = kind
  :: s[peer].entry == HELD && s[peer].from == decided_by(m) -> s[peer].entry = kind
#ifndef MUTANT_IGNORE_CONFLICT
  :: s[peer].entry != NONE && decided_by(peer) != decided_by(m) &&
     (s[m].entry == PENDING || s[m].entry == REFUSING) ->
     s[m].from = decided_by(peer);
     s[m].entry = as_held(s[peer].entry)
#endif
  :: else
  fi
}

proctype member(byte me)
{
end:
  do
#if LAST >= 2
  :: d_step { s[me].epoch < 2 -> adopt_epoch(me, 2) }
#endif
#if LAST >= 3
  :: d_step { s[me].epoch < 3 -> adopt_epoch(me, 3) }
#endif

  /* All answers are in. */
  :: d_step {
       is_home(me) && !s[me].complete &&
       (ALL & ~bit(me) & ~s[me].lapsed & ~s[me].answered) == 0 ->
       s[me].complete = true;
       if
       :: s[me].owns -> s[me].owner = me
       :: else
       fi
     }

  /* A packet of the unknown flow: the home owns it.  Quarantine is decided
   * here: does the home hold the records of every lapsed member? */
  :: d_step {
       is_opener(me) && s[me].owner == NOBODY ->
       s[me].owner = me;
       s[me].owns = true;
       s[me].quarantined = lacks_records(me)
     }

  /* A copy of the request reaches the owner: accepted ... */
  :: d_step {
       s[me].owns && !in(me, gone) && !s[me].quarantined && s[me].entry == NONE ->
       s[me].entry = PENDING
     }
  /* ... or shed, which is a refusal like any other ... */
  :: d_step {
       sheds && s[me].owns && !in(me, gone) && !s[me].quarantined && s[me].entry == NONE ->
       s[me].entry = REFUSING
     }
  /* ... or known from an owner before: the stored refusal is said again. */
  :: d_step {
       s[me].owns && !in(me, gone) && s[me].entry == HELD_REFUSED && !said_not_run ->
       said_not_run = true;
       check_safety()
     }

  /* The partner has the record: the request is passed on.  No look at the
   * lease here: a pause may lie between any look and the act. */
  :: d_step {
#ifndef MUTANT_PASS_BEFORE_ACK
       s[me].held_acked &&
#endif
       s[me].entry == PENDING ->
       s[me].entry = PASSED;
       runs++;
       check_safety()
     }

  /* No ack by the deadline: it will never be passed on. */
  :: d_step { sheds && s[me].entry == PENDING -> s[me].entry = REFUSING }

  /* `did_not_run` is said only after the partner has the refusal. */
  :: d_step {
#ifndef MUTANT_REFUSE_WITHOUT_RECORD
       s[me].refused_acked &&
#endif
       s[me].entry == REFUSING ->
       s[me].entry = REFUSED;
       said_not_run = true;
       check_safety()
     }

#ifdef MUTANT_LATE_ACK_PASSES
  /* An ack after the deadline passes the request on all the same. */
  :: d_step {
       (s[me].entry == REFUSING || s[me].entry == REFUSED) && s[me].held_acked ->
       s[me].entry = PASSED;
       runs++;
       check_safety()
     }
#endif

#ifdef MUTANT_INCOMPLETE_HOME_REFUSES
  /* Hold time over: a home with an incomplete directory says `did_not_run`. */
  :: d_step {
       is_home(me) && !s[me].complete && !in(me, gone) && !said_not_run ->
       said_not_run = true;
       check_safety()
     }
#endif
  od
}

proctype exchange(byte me; byte peer)
{
end:
  do
  /* `me` learns that `peer` has lapsed. */
  :: d_step {
       in(peer, gone) && !in(peer, s[me].lapsed) -> merge_lapses(me, bit(peer))
     }

  /* The home `me` asks; `peer` answers with its flow, its journal, and the
   * marks it holds of lapsed members.  Both take over the other's lapses. */
  :: d_step {
       is_home(me) && !s[me].complete && !in(peer, s[me].lapsed) &&
       !in(peer, s[me].answered) && s[peer].epoch >= s[me].epoch ->
       merge_lapses(peer, s[me].lapsed);
       merge_lapses(me, s[peer].lapsed);
       s[me].answered = s[me].answered | bit(peer);
       if
       :: s[peer].owns && !in(peer, s[me].lapsed) -> s[me].owner = peer
       :: else
       fi;
       if
       :: s[me].entry == NONE && s[peer].entry != NONE ->
          s[me].from = decided_by(peer);
          s[me].entry = as_held(s[peer].entry)
       :: else
       fi;
       if
       :: mark_valid(peer, A) && in(A, s[peer].lapsed) && s[me].marks[A] == 0 -> s[me].marks[A] = s[peer].marks[A]
       :: else
       fi;
       if
       :: mark_valid(peer, B) && in(B, s[peer].lapsed) && s[me].marks[B] == 0 -> s[me].marks[B] = s[peer].marks[B]
       :: else
       fi;
       if
       :: mark_valid(peer, C) && in(C, s[peer].lapsed) && s[me].marks[C] == 0 -> s[me].marks[C] = s[peer].marks[C]
       :: else
       fi
     }

  /* The owner has lapsed, as the home knows: nobody owns the flow. */
  :: d_step {
       is_opener(me) && s[me].owner == peer && in(peer, s[me].lapsed) ->
       s[me].owner = NOBODY
     }

    /* Record: the partner stores and acks it, unless it knows the sender as
   * lapsed or the record comes under another epoch. */
#define fence_passes (s[peer].epoch == s[me].epoch && !in(me, s[peer].lapsed))
  :: d_step {
       partner(me) == peer && fence_passes && !s[me].held_acked && has_held(me) ->
       merge_lapses(peer, s[me].lapsed);
       record_at(me, peer, HELD);
       s[me].held_acked = true
     }
  :: d_step {
       partner(me) == peer && fence_passes && !s[me].refused_acked && has_refused(me) ->
       merge_lapses(peer, s[me].lapsed);
       record_at(me, peer, HELD_REFUSED);
       s[me].refused_acked = true
     }

  /* Mark: every live entry of `me` is with its partner.  A home also passes on
   * the marks of lapsed members whose entries it has taken over. */
#ifdef MUTANT_MARK_BEFORE_RECORDS
#define all_recorded true
#else
#define all_recorded (s[me].entry == NONE || s[me].held_acked || s[me].refused_acked)
#endif
  :: d_step {
       partner(me) == peer && fence_passes && all_recorded &&
       !mark_valid(peer, me) ->
       s[peer].marks[me] = s[me].epoch
     }
#define passes_mark_of(y)                                             \
  (partner(me) == peer && fence_passes && all_recorded &&             \
   y != peer && in(y, s[me].lapsed) && mark_valid(me, y) && !mark_valid(peer, y))
  :: d_step { passes_mark_of(A) -> s[peer].marks[A] = s[me].epoch }
  :: d_step { passes_mark_of(B) -> s[peer].marks[B] = s[me].epoch }
  :: d_step { passes_mark_of(C) -> s[peer].marks[C] = s[me].epoch }
  od
}

/* Scenario 5: a paused owner does, at any time, what it had decided before. */
proctype paused_owner(byte me)
{
  do
  :: d_step {
       s[me].entry == PENDING && s[me].held_acked ->
       s[me].entry = PASSED;
       runs++;
       check_safety()
     }
  :: break
  od
}

proctype faults()
{
  byte count = 0;
  do
  :: d_step { count < LAPSES -> gone = gone | bit(A); count++ }
  :: d_step { count < LAPSES -> gone = gone | bit(B); count++ }
  :: d_step { count < LAPSES -> gone = gone | bit(C); count++ }
  :: break
  od
}

/* Progress: in the end the owner has settled the request, unless no other
 * member is left or it is in quarantine. */
#define settled(m) \
  (!s[m].owns || in(m, gone) || s[m].quarantined || (ALL & ~bit(m) & ~gone) == 0 || \
   (s[m].entry != NONE && s[m].entry != PENDING && s[m].entry != REFUSING))

proctype quiescence()
{
  timeout;
  request_settled = (settled(A) && settled(B) && settled(C));
  assert(request_settled)
}

init
{
  byte i;
  byte j;
  atomic {
    for (i : 0 .. MEMBERS - 1) {
      s[i].epoch = FIRST_EPOCH;
      s[i].owner = NOBODY
    }
    /* The home of epoch 1 is complete and knows the owner. */
    s[A].complete = true;
    s[A].owner = FIRST_OWNER;
    s[FIRST_OWNER].owns = true;
#if SCENARIO == 6
    /* The request has run; the mark at B is of epoch 1, when B had all. */
    s[A].entry = PASSED;
    runs = 1;
    s[B].marks[A] = 1;
#elif SCENARIO == 5
    /* Both are lost, unaware, perhaps between the partner's ack and the run. */
    gone = bit(A) | bit(B);
    s[B].marks[A] = 1;
    if
    :: skip
    :: s[B].entry = HELD;
       s[B].from = A;
       s[A].entry = PENDING;
       s[A].held_acked = true
    fi;
#endif
    run faults();
    run quiescence();
#if SCENARIO == 5
    run paused_owner(A);
#define FIRST_RUNNING C
#else
#define FIRST_RUNNING A
#endif
    for (i : FIRST_RUNNING .. MEMBERS - 1) {
      run member(i);
      for (j : 0 .. MEMBERS - 1) {
        if
        :: i != j -> run exchange(i, j)
        :: else
        fi
      }
    }
  }
}
