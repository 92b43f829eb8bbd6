/*
 * handover.pml - who opens the flows of one bucket while rosters change.
 *
 * Protocol: docs/design/flow-protocol.md, sections "Home of a bucket",
 * "Placement" and "Drain and leave".
 *
 * What the model holds
 *   - one service, one bucket, one flow of it;
 *   - members 0..MEMBERS-1, each with its own knowledge: epoch of its roster,
 *     set of lapsed members, directory;
 *   - a fixed history of up to three rosters, chosen by SCENARIO; each member
 *     learns them late, unevenly, and may skip some;
 *   - up to LAPSES (-DLAPSES=n) members lapse at any moment, unaware of it.  That a
 *     lapsed member holds no lease is the result of lease.pml; here the set
 *     `gone` stands for it.
 *
 * Messages.  A message is a bit that is set when it is sent and never cleared.
 * Its receiver may act on it at any later moment, any number of times, or
 * never.  So each message may be lost, late, duplicated and reordered.
 */

#ifndef LAPSES
#define LAPSES 1
#endif
#define MEMBERS 4
#define NOBODY 7
#define A 0
#define B 1
#define C 2
#define D 3

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define pick(e, first, second, third) ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

#define BC 6
#define ABC 7
#define ABCD 15

/*
 * The rosters of epochs 1, 2 and 3.
 *   home, deputy           of the bucket
 *   home_since             epoch of the last change of its home
 *   deputy_since           epoch of the last change of its deputy
 *   members, draining      sets
 */
#if SCENARIO == 1 /* chain: the bucket moves A -> B -> C */
#define LAST 3
#define members(e) ABC
#define home(e) pick(e, A, B, C)
#define deputy(e) pick(e, B, C, A)
#define home_since(e) (e)
#define deputy_since(e) (e)
#define draining(e) 0
#elif SCENARIO == 2 /* back: the bucket moves A -> B -> A */
#define LAST 3
#define members(e) ABC
#define home(e) pick(e, A, B, A)
#define deputy(e) C
#define home_since(e) (e)
#define deputy_since(e) 1
#define draining(e) 0
#elif SCENARIO == 3 /* join: D joins and gets the bucket at once */
#define LAST 2
#define members(e) pick(e, ABC, ABCD, ABCD)
#define home(e) pick(e, A, D, D)
#define deputy(e) C
#define home_since(e) (e)
#define deputy_since(e) 1
#define draining(e) 0
#elif SCENARIO == 4 /* drain: C drains, then serves again */
#define LAST 3
#define members(e) ABC
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#define draining(e) pick(e, 0, bit(C), 0)
#elif SCENARIO == 5 /* takeover: only the deputy changes, B -> C -> B */
#define LAST 3
#define members(e) ABC
#define home(e) A
#define deputy(e) pick(e, B, C, B)
#define home_since(e) 1
#define deputy_since(e) (e)
#define draining(e) 0
#elif SCENARIO == 6 /* leave: A drains, then is removed */
#define LAST 3
#define members(e) pick(e, ABC, ABC, BC)
#define home(e) pick(e, A, B, B)
#define deputy(e) pick(e, B, C, C)
#define home_since(e) pick(e, 1, 2, 2)
#define deputy_since(e) pick(e, 1, 2, 2)
#define draining(e) pick(e, 0, bit(A), 0)
#elif SCENARIO == 7 /* drain: C drains and stays so */
#define LAST 2
#define members(e) ABC
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#define draining(e) pick(e, 0, bit(C), bit(C))
#endif

/* Knowledge of one member. */
typedef member_state {
  byte epoch;          /* of its roster; 0: has not joined yet */
  byte lapsed;         /* members it knows as lapsed */
  bool complete;       /* its directory of the bucket is complete */
  byte answered;       /* members whose answer to its query has arrived */
  byte reported;       /* those of them that own the flow */
  byte owner;          /* its directory: owner of the flow */
  bool owns;           /* it owns the flow itself */
  byte placed[MEMBERS]; /* per receiver: epochs under which it sent a placement */
  byte told[MEMBERS];  /* per receiver: lapses named in its first placement */
  byte denied[MEMBERS]; /* per receiver: epochs for which a denial came back */
};
member_state s[MEMBERS];

byte gone; /* members that have lapsed, known to them or not */
bool lapses_over;

#define effective_home(e, lapsed_set)               \
  (!in(home(e), lapsed_set) -> home(e) :            \
   (!in(deputy(e), lapsed_set) -> deputy(e) : NOBODY))

#define is_home(m) \
  (s[m].epoch > 0 && effective_home(s[m].epoch, s[m].lapsed) == (m))

/* Rule: a home opens only with a lease and a complete directory. */
#define is_opener(m) (is_home(m) && s[m].complete && !in(m, gone))

/* Rule: an owner serves only with a lease. */
#ifdef MUTANT_SERVE_WITHOUT_LEASE
#define serves(m) (s[m].owns)
#else
#define serves(m) (s[m].owns && !in(m, gone))
#endif

#define openers (is_opener(A) + is_opener(B) + is_opener(C) + is_opener(D))
#define owners (serves(A) + serves(B) + serves(C) + serves(D))

/* Named results, so that a failed assert tells its property. */
hidden byte one_opener;
hidden byte one_owner;
hidden byte not_draining;
hidden byte home_opens_at_last;
hidden byte flow_owned_at_last;
hidden byte takeover_unreachable;

inline check_safety()
{
  one_opener = (openers <= 1);
  assert(one_opener);
  one_owner = (owners <= 1);
  assert(one_owner);
#ifdef REACH_TAKEOVER
  /* Must fail: a deputy can open in place of a lapsed home. */
  takeover_unreachable = !(in(home(1), gone) && is_opener(deputy(1)) &&
                           s[deputy(1)].epoch == 1 && s[deputy(1)].owns);
  assert(takeover_unreachable);
#endif
}

/* Rule: a directory stays complete over a new epoch only if no roster since
 * then, seen or skipped, gave the bucket to another member. */
inline adopt_epoch(m, e)
{
  if
#ifdef MUTANT_IGNORE_SINCE
  :: s[m].complete && effective_home(e, s[m].lapsed) == m -> skip
#else
  :: s[m].complete && effective_home(e, s[m].lapsed) == m &&
     home_since(e) <= s[m].epoch &&
     (home(e) == m || deputy_since(e) <= s[m].epoch) -> skip
#endif
  :: else ->
     s[m].complete = false;
     s[m].owner = NOBODY
  fi;
  s[m].answered = 0;
  s[m].reported = 0;
  s[m].epoch = e
}

/* Members whose answer the home `m` needs. */
#define all_others(m) (members(s[m].epoch) & ~bit(m) & ~s[m].lapsed)
#ifdef MUTANT_ASK_OLD_HOME_ONLY
/* A planned change waits for the home of the roster before, nobody else. */
#define needed(m)                                                    \
  (home(s[m].epoch) == (m) && s[m].epoch > 1 &&                      \
           !in(home(s[m].epoch - 1), s[m].lapsed)                    \
       -> (bit(home(s[m].epoch - 1)) & ~bit(m))                      \
       : all_others(m))
#elif defined(MUTANT_ASK_LAPSED)
#define needed(m) (members(s[m].epoch) & ~bit(m))
#else
#define needed(m) all_others(m)
#endif

/* Rule: a member is removed only after it lapsed, or by itself when it drains
 * and owns nothing more. */
#if SCENARIO == 6 && !defined(MUTANT_REMOVE_EARLY)
#define epoch_3_written (in(A, gone) || (s[A].epoch == 2 && !s[A].owns))
#else
#define epoch_3_written true
#endif

/* What one member does by itself. */
proctype member(byte me)
{
end:
  do
  /* It learns a newer roster; it may skip one. */
  :: d_step { s[me].epoch < 2 && in(me, members(2)) -> adopt_epoch(me, 2) }
#if LAST == 3
  :: d_step { epoch_3_written && s[me].epoch < 3 && in(me, members(3)) -> adopt_epoch(me, 3) }
#endif

#if SCENARIO == 6
  /* A flow of a draining member ends. */
  :: d_step { s[me].owns && in(me, draining(s[me].epoch)) -> s[me].owns = false }
#endif

  /* All answers are in: the directory is complete. */
  :: d_step {
       is_home(me) && !s[me].complete && (needed(me) & ~s[me].answered) == 0 ->
       s[me].complete = true;
       s[me].reported = s[me].reported & ~s[me].lapsed;
       s[me].owner = (s[me].owns -> me :
                      (in(A, s[me].reported) -> A :
                       (in(B, s[me].reported) -> B :
                        (in(C, s[me].reported) -> C :
                         (in(D, s[me].reported) -> D : NOBODY)))));
       check_safety()
     }

  /* A packet of the unknown flow arrives: the home owns it itself. */
  :: d_step {
       is_opener(me) && s[me].owner == NOBODY &&
       !in(me, draining(s[me].epoch)) ->
       s[me].owner = me;
       s[me].owns = true;
       check_safety()
     }
  od
}

/* What passes between two members: `me` asks or places, `peer` answers. */
proctype exchange(byte me; byte peer)
{
end:
  do
  /* `me` learns that `peer` has lapsed. */
  :: d_step {
       s[me].epoch > 0 && in(peer, gone) && !in(peer, s[me].lapsed) ->
       s[me].lapsed = s[me].lapsed | bit(peer)
     }

  /* Query of the home `me`: `peer` answers with what it owns, at an epoch at
   * least as new.  Query and answer carry the lapses that their sender knows:
   * two members may report the flow, and the one that has lapsed is ignored. */
  :: d_step {
       is_home(me) && !s[me].complete && in(peer, all_others(me)) &&
#ifndef MUTANT_ANSWER_AT_ANY_EPOCH
       s[peer].epoch >= s[me].epoch &&
#endif
       !in(peer, s[me].answered) ->
#ifndef MUTANT_QUERY_WITHOUT_LAPSES
       s[peer].lapsed = s[peer].lapsed | s[me].lapsed;
#endif
#ifndef MUTANT_ANSWER_WITHOUT_LAPSES
       s[me].lapsed = s[me].lapsed | s[peer].lapsed;
#endif
       s[me].answered = s[me].answered | bit(peer);
       s[me].reported = s[me].reported | (s[peer].owns -> bit(peer) : 0)
     }

  /* A packet of the unknown flow arrives: the home places it on `peer`. */
  :: d_step {
       is_opener(me) && s[me].owner == NOBODY &&
       in(peer, members(s[me].epoch) & ~s[me].lapsed & ~draining(s[me].epoch)) &&
       !in(s[me].epoch, s[me].denied[peer]) ->
       s[me].owner = peer;
       s[me].told[peer] = s[me].lapsed;
       s[me].placed[peer] = s[me].placed[peer] | bit(s[me].epoch)
     }

  /* A later packet of a placed flow goes the same way, under today's epoch. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
       !in(s[me].epoch, s[me].placed[peer]) ->
       s[me].placed[peer] = s[me].placed[peer] | bit(s[me].epoch)
     }

  /* `peer` gets a placement and owns the flow, if the fence lets it pass. */
  :: d_step {
#ifdef MUTANT_NO_EPOCH_FENCE
       s[me].placed[peer] != 0 &&
#else
       in(s[peer].epoch, s[me].placed[peer]) &&
#endif
#ifndef MUTANT_NO_LAPSE_FENCE
       !in(me, s[peer].lapsed) &&
#endif
#ifndef MUTANT_OPEN_WHILE_DRAINING
       !in(peer, draining(s[peer].epoch)) &&
#endif
       !s[peer].owns ->
       s[peer].owns = true;
#ifndef MUTANT_PLACE_WITHOUT_LAPSES
       s[peer].lapsed = s[peer].lapsed | s[me].told[peer];
#endif
       not_draining = !in(peer, draining(s[peer].epoch));
       assert(not_draining);
       check_safety()
     }

  /* `peer` will never accept the placement of epoch `e`, and says so. */
#ifdef MUTANT_NO_DENIAL
#define denies false
#else
#define denies true
#endif
#define refuses(e)                                                    \
  (denies && in(e, s[me].placed[peer]) &&                             \
   !in(e, s[me].denied[peer]) && !s[peer].owns &&                     \
   (s[peer].epoch > (e) || in(me, s[peer].lapsed) ||                  \
    (s[peer].epoch == (e) && in(peer, draining(e)))))
  :: d_step { refuses(1) -> s[me].denied[peer] = s[me].denied[peer] | bit(1) }
  :: d_step { refuses(2) -> s[me].denied[peer] = s[me].denied[peer] | bit(2) }
#if LAST == 3
  :: d_step { refuses(3) -> s[me].denied[peer] = s[me].denied[peer] | bit(3) }
#endif

  /* The home hears the denial of its newest placement and may place anew. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
#ifdef MUTANT_ANY_DENIAL
       s[me].denied[peer] != 0 ->
#else
       in(s[me].epoch, s[me].denied[peer]) ->
#endif
       s[me].owner = NOBODY
     }

  /* The owner has lapsed or left, as the home knows: nobody owns the flow. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
       (in(peer, s[me].lapsed) || !in(peer, members(s[me].epoch))) ->
       s[me].owner = NOBODY
     }
  od
}

/* Lapses, at any moment. */
proctype faults()
{
  byte count = 0;
  do
  :: d_step { count < LAPSES -> gone = gone | bit(A); count++ }
  :: d_step { count < LAPSES -> gone = gone | bit(B); count++ }
  :: d_step { count < LAPSES -> gone = gone | bit(C); count++ }
#if SCENARIO == 3
  :: d_step { count < LAPSES -> gone = gone | bit(D); count++ }
#endif
  :: break
  od;
  lapses_over = true
}

/* Progress: when nothing is left to happen, the bucket has an opening home and
 * the flow has an owner. */
proctype quiescence()
{
  timeout;
  assert(lapses_over);
  home_opens_at_last = (effective_home(LAST, gone) == NOBODY || openers == 1);
  assert(home_opens_at_last);
  flow_owned_at_last = (effective_home(LAST, gone) == NOBODY || owners == 1);
  assert(flow_owned_at_last)
}

#define start(m)             \
  s[m].owner = NOBODY;       \
  s[m].epoch = (in(m, members(1)) -> 1 : 0)

init
{
  byte i;
  byte j;
  atomic {
    start(A);
    start(B);
    start(C);
    start(D);
    run faults();
    run quiescence();
    for (i : 0 .. MEMBERS - 1) {
      if
      :: in(i, members(1) | members(LAST)) ->
         run member(i);
         for (j : 0 .. MEMBERS - 1) {
           if
           :: i != j && in(j, members(1) | members(LAST)) -> run exchange(i, j)
           :: else
           fi
         }
      :: else
      fi
    }
  }
}
