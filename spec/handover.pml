/*
 * handover.pml - checks who may open the flows of a bucket while rosters change.
 *
 * Protocol: docs/design/flow-protocol.md, sections "Home of a bucket",
 * "Placement" and "Drain and leave".
 *
 * The model contains
 *   - one service, one bucket, and one flow of the bucket;
 *   - members 0..MEMBER_COUNT-1, each with its own state: epoch of its roster,
 *     set of expired members, directory;
 *   - a fixed history of up to three rosters, selected by SCENARIO.  Each member
 *     receives them late, at different times, and may skip some;
 *   - up to MAX_EXPIRIES (-DMAX_EXPIRIES=n) members whose leases expire for good,
 *     at any moment and without the member noticing.  That an expired member
 *     holds no lease is the result of lease.pml; the set `expired` stands for it
 *     here.
 *
 * A message is a bit that is set when it is sent and never cleared.  Its receiver
 * may act on it at any later moment, any number of times, or never.  So each
 * message may be lost, late, duplicated and reordered.
 */

#ifndef MAX_EXPIRIES
#define MAX_EXPIRIES 1
#endif
#define MEMBER_COUNT 4
#define NO_MEMBER 7
#define A 0
#define B 1
#define C 2
#define D 3

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define by_epoch(e, first, second, third) \
  ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

#define BC 6
#define ABC 7
#define ABCD 15

/*
 * The rosters of epochs 1, 2 and 3.
 *   home, deputy           of the bucket
 *   home_since             epoch of the last change of the bucket's home
 *   deputy_since           epoch of the last change of the bucket's deputy
 *   members, draining      sets of members
 */
#if SCENARIO == 1 /* chain: the bucket moves A -> B -> C */
#define LAST_EPOCH 3
#define members(e) ABC
#define home(e) by_epoch(e, A, B, C)
#define deputy(e) by_epoch(e, B, C, A)
#define home_since(e) (e)
#define deputy_since(e) (e)
#define draining(e) 0
#elif SCENARIO == 2 /* back: the bucket moves A -> B -> A */
#define LAST_EPOCH 3
#define members(e) ABC
#define home(e) by_epoch(e, A, B, A)
#define deputy(e) C
#define home_since(e) (e)
#define deputy_since(e) 1
#define draining(e) 0
#elif SCENARIO == 3 /* join: D joins and becomes home of the bucket at once */
#define LAST_EPOCH 2
#define members(e) by_epoch(e, ABC, ABCD, ABCD)
#define home(e) by_epoch(e, A, D, D)
#define deputy(e) C
#define home_since(e) (e)
#define deputy_since(e) 1
#define draining(e) 0
#elif SCENARIO == 4 /* drain: C drains, then serves again */
#define LAST_EPOCH 3
#define members(e) ABC
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#define draining(e) by_epoch(e, 0, bit(C), 0)
#elif SCENARIO == 5 /* takeover: only the deputy changes, B -> C -> B */
#define LAST_EPOCH 3
#define members(e) ABC
#define home(e) A
#define deputy(e) by_epoch(e, B, C, B)
#define home_since(e) 1
#define deputy_since(e) (e)
#define draining(e) 0
#elif SCENARIO == 6 /* leave: A drains, then is removed */
#define LAST_EPOCH 3
#define members(e) by_epoch(e, ABC, ABC, BC)
#define home(e) by_epoch(e, A, B, B)
#define deputy(e) by_epoch(e, B, C, C)
#define home_since(e) by_epoch(e, 1, 2, 2)
#define deputy_since(e) by_epoch(e, 1, 2, 2)
#define draining(e) by_epoch(e, 0, bit(A), 0)
#elif SCENARIO == 7 /* drain: C drains and keeps draining */
#define LAST_EPOCH 2
#define members(e) ABC
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#define draining(e) by_epoch(e, 0, bit(C), bit(C))
#endif

/* State of a member. */
typedef member_state {
  byte epoch;                      /* of its roster; 0: has not joined yet */
  byte known_expired;              /* members that it considers expired */
  bool complete;                   /* whether its directory of the bucket is complete */
  byte answered;                   /* members whose answer to its query has arrived */
  byte reported;                   /* the answered members that own the flow */
  byte owner;                      /* owner of the flow in its directory */
  bool owns;                       /* whether it owns the flow itself */
  byte placed[MEMBER_COUNT];       /* by receiver: epochs of the placements sent */
  byte sent_expired[MEMBER_COUNT]; /* by receiver: known_expired sent with the placement */
  byte denied[MEMBER_COUNT];       /* by receiver: epochs of the denials returned */
};
member_state s[MEMBER_COUNT];

byte expired; /* members that have expired, whether others noticed it or not */
bool expiries_done;

#define effective_home(e, expired_set)    \
  (!in(home(e), expired_set) -> home(e) : \
   (!in(deputy(e), expired_set) -> deputy(e) : NO_MEMBER))

#define is_home(m) \
  (s[m].epoch > 0 && effective_home(s[m].epoch, s[m].known_expired) == (m))

/* Rule: a home opens flows only with a lease and a complete directory. */
#define is_opener(m) (is_home(m) && s[m].complete && !in(m, expired))

/* Rule: an owner serves a flow only with a lease. */
#ifdef MUTANT_SERVE_WITHOUT_LEASE
#define serves(m) (s[m].owns)
#else
#define serves(m) (s[m].owns && !in(m, expired))
#endif

#define openers (is_opener(A) + is_opener(B) + is_opener(C) + is_opener(D))
#define owners (serves(A) + serves(B) + serves(C) + serves(D))

/* Named results, so that a failed assertion shows its property. */
hidden byte one_opener;
hidden byte one_owner;
hidden byte not_draining;
hidden byte home_opens_eventually;
hidden byte flow_owned_eventually;
hidden byte takeover_unreachable;

inline check_safety()
{
  one_opener = (openers <= 1);
  assert(one_opener);
  one_owner = (owners <= 1);
  assert(one_owner);
#ifdef REACH_TAKEOVER
  /* Must fail: a deputy can open flows in place of an expired home. */
  takeover_unreachable = !(in(home(1), expired) && is_opener(deputy(1)) &&
                           s[deputy(1)].epoch == 1 && s[deputy(1)].owns);
  assert(takeover_unreachable);
#endif
}

/* Rule: a directory stays complete in a new epoch only if no roster since the old
 * one, received or skipped, gave the bucket to another member. */
inline adopt_epoch(m, e)
{
  if
#ifdef MUTANT_IGNORE_SINCE
  :: s[m].complete && effective_home(e, s[m].known_expired) == m -> skip
#else
  :: s[m].complete && effective_home(e, s[m].known_expired) == m &&
     home_since(e) <= s[m].epoch &&
     (home(e) == m || deputy_since(e) <= s[m].epoch) -> skip
#endif
  :: else ->
     s[m].complete = false;
     s[m].owner = NO_MEMBER
  fi;
  s[m].answered = 0;
  s[m].reported = 0;
  s[m].epoch = e
}

/* Members whose answers the home `m` needs. */
#define all_others(m) (members(s[m].epoch) & ~bit(m) & ~s[m].known_expired)
#ifdef MUTANT_ASK_OLD_HOME_ONLY
/* After a planned change, waits only for the home of the previous roster. */
#define needed_answers(m)                                \
  (home(s[m].epoch) == (m) && s[m].epoch > 1 &&          \
           !in(home(s[m].epoch - 1), s[m].known_expired) \
       -> (bit(home(s[m].epoch - 1)) & ~bit(m))          \
       : all_others(m))
#elif defined(MUTANT_ASK_EXPIRED)
#define needed_answers(m) (members(s[m].epoch) & ~bit(m))
#else
#define needed_answers(m) all_others(m)
#endif

/* Rule: a member is removed only after it has expired, or by itself when it drains
 * and owns no flows any more. */
#if SCENARIO == 6 && !defined(MUTANT_REMOVE_EARLY)
#define epoch_3_written (in(A, expired) || (s[A].epoch == 2 && !s[A].owns))
#else
#define epoch_3_written true
#endif

/* Steps that a member takes alone. */
proctype member(byte me)
{
end:
  do
  /* The member receives a newer roster; it may skip one. */
  :: d_step { s[me].epoch < 2 && in(me, members(2)) -> adopt_epoch(me, 2) }
#if LAST_EPOCH == 3
  :: d_step {
       epoch_3_written && s[me].epoch < 3 && in(me, members(3)) -> adopt_epoch(me, 3)
     }
#endif

#if SCENARIO == 6
  /* A flow of a draining member ends. */
  :: d_step { s[me].owns && in(me, draining(s[me].epoch)) -> s[me].owns = false }
#endif

  /* All answers have arrived: the directory is complete. */
  :: d_step {
       is_home(me) && !s[me].complete && (needed_answers(me) & ~s[me].answered) == 0 ->
       s[me].complete = true;
       s[me].reported = s[me].reported & ~s[me].known_expired;
       s[me].owner = (s[me].owns -> me :
                      (in(A, s[me].reported) -> A :
                       (in(B, s[me].reported) -> B :
                        (in(C, s[me].reported) -> C :
                         (in(D, s[me].reported) -> D : NO_MEMBER)))));
       check_safety()
     }

  /* A packet of the unknown flow arrives: the home places the flow on itself. */
  :: d_step {
       is_opener(me) && s[me].owner == NO_MEMBER &&
       !in(me, draining(s[me].epoch)) ->
       s[me].owner = me;
       s[me].owns = true;
       check_safety()
     }
  od
}

/* Messages between two members: `me` queries or places, `peer` answers. */
proctype exchange(byte me; byte peer)
{
end:
  do
  /* `me` notices that `peer` has expired. */
  :: d_step {
       s[me].epoch > 0 && in(peer, expired) && !in(peer, s[me].known_expired) ->
       s[me].known_expired = s[me].known_expired | bit(peer)
     }

  /* Query of the home `me`: `peer` answers with the flow if it owns it, at an
   * epoch at least as new.  Query and answer carry the expired members of their
   * sender: two members may report the flow, and the expired one is ignored. */
  :: d_step {
       is_home(me) && !s[me].complete && in(peer, all_others(me)) &&
#ifndef MUTANT_ANSWER_AT_ANY_EPOCH
       s[peer].epoch >= s[me].epoch &&
#endif
       !in(peer, s[me].answered) ->
#ifndef MUTANT_QUERY_WITHOUT_EXPIRED
       s[peer].known_expired = s[peer].known_expired | s[me].known_expired;
#endif
#ifndef MUTANT_ANSWER_WITHOUT_EXPIRED
       s[me].known_expired = s[me].known_expired | s[peer].known_expired;
#endif
       s[me].answered = s[me].answered | bit(peer);
       s[me].reported = s[me].reported | (s[peer].owns -> bit(peer) : 0)
     }

  /* A packet of the unknown flow arrives: the home places the flow on `peer`. */
  :: d_step {
       is_opener(me) && s[me].owner == NO_MEMBER &&
       in(peer, members(s[me].epoch) & ~s[me].known_expired & ~draining(s[me].epoch)) &&
       !in(s[me].epoch, s[me].denied[peer]) ->
       s[me].owner = peer;
       s[me].sent_expired[peer] = s[me].known_expired;
       s[me].placed[peer] = s[me].placed[peer] | bit(s[me].epoch)
     }

  /* A later packet of a placed flow is sent to `peer` under the current epoch. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
       !in(s[me].epoch, s[me].placed[peer]) ->
       s[me].placed[peer] = s[me].placed[peer] | bit(s[me].epoch)
     }

  /* `peer` receives a placement and owns the flow, unless the placement is fenced. */
  :: d_step {
#ifdef MUTANT_NO_EPOCH_FENCE
       s[me].placed[peer] != 0 &&
#else
       in(s[peer].epoch, s[me].placed[peer]) &&
#endif
#ifndef MUTANT_NO_EXPIRY_FENCE
       !in(me, s[peer].known_expired) &&
#endif
#ifndef MUTANT_OPEN_WHILE_DRAINING
       !in(peer, draining(s[peer].epoch)) &&
#endif
       !s[peer].owns ->
       s[peer].owns = true;
#ifndef MUTANT_PLACE_WITHOUT_EXPIRED
       s[peer].known_expired = s[peer].known_expired | s[me].sent_expired[peer];
#endif
       not_draining = !in(peer, draining(s[peer].epoch));
       assert(not_draining);
       check_safety()
     }

  /* `peer` will never accept the placement of epoch `e` and returns a denial. */
#ifdef MUTANT_NO_DENIAL
#define denials_enabled false
#else
#define denials_enabled true
#endif
#define denies_placement(e)                                 \
  (denials_enabled && in(e, s[me].placed[peer]) &&          \
   !in(e, s[me].denied[peer]) && !s[peer].owns &&           \
   (s[peer].epoch > (e) || in(me, s[peer].known_expired) || \
    (s[peer].epoch == (e) && in(peer, draining(e)))))
  :: d_step { denies_placement(1) -> s[me].denied[peer] = s[me].denied[peer] | bit(1) }
  :: d_step { denies_placement(2) -> s[me].denied[peer] = s[me].denied[peer] | bit(2) }
#if LAST_EPOCH == 3
  :: d_step { denies_placement(3) -> s[me].denied[peer] = s[me].denied[peer] | bit(3) }
#endif

  /* The home receives the denial of its newest placement and may place the flow
   * again. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
#ifdef MUTANT_ANY_DENIAL
       s[me].denied[peer] != 0 ->
#else
       in(s[me].epoch, s[me].denied[peer]) ->
#endif
       s[me].owner = NO_MEMBER
     }

  /* According to the home's state the owner has expired or left, so that no member
   * owns the flow. */
  :: d_step {
       is_opener(me) && s[me].owner == peer &&
       (in(peer, s[me].known_expired) || !in(peer, members(s[me].epoch))) ->
       s[me].owner = NO_MEMBER
     }
  od
}

/* Members expire at any moment. */
proctype expire_members()
{
  byte count = 0;
  do
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(A); count++ }
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(B); count++ }
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(C); count++ }
#if SCENARIO == 3
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(D); count++ }
#endif
  :: break
  od;
  expiries_done = true
}

/* Progress: when no step is left, one home opens flows of the bucket and the flow
 * has an owner. */
proctype quiescence()
{
  timeout;
  assert(expiries_done);
  home_opens_eventually =
    (effective_home(LAST_EPOCH, expired) == NO_MEMBER || openers == 1);
  assert(home_opens_eventually);
  flow_owned_eventually =
    (effective_home(LAST_EPOCH, expired) == NO_MEMBER || owners == 1);
  assert(flow_owned_eventually)
}

#define init_member(m)    \
  s[m].owner = NO_MEMBER; \
  s[m].epoch = (in(m, members(1)) -> 1 : 0)

init
{
  byte i;
  byte j;
  atomic {
    init_member(A);
    init_member(B);
    init_member(C);
    init_member(D);
    run expire_members();
    run quiescence();
    for (i : 0 .. MEMBER_COUNT - 1) {
      if
      :: in(i, members(1) | members(LAST_EPOCH)) ->
         run member(i);
         for (j : 0 .. MEMBER_COUNT - 1) {
           if
           :: i != j && in(j, members(1) | members(LAST_EPOCH)) -> run exchange(i, j)
           :: else
           fi
         }
      :: else
      fi
    }
  }
}
