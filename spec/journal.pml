/*
 * journal.pml - checks that a non-idempotent request runs at most once, and that
 * a reported `did_not_run` stays true for ever.
 *
 * Protocol: docs/design/flow-protocol.md, section "At most once".
 *
 * The model contains
 *   - one bucket, one flow, one request.  Retransmissions of the request reach
 *     any member at any time, any number of times;
 *   - members A, B, C with their own state: epoch, expired members, directory;
 *   - up to three rosters, selected by SCENARIO, which members receive late and
 *     at different times;
 *   - up to MAX_EXPIRIES members that expire without noticing it.  Such a member
 *     may still do much later what it decided before (a paused process).
 * Who opens flows, and that an expired member does not, are the results of
 * handover.pml and lease.pml; both are modelled here in short form.
 *
 * Messages may be lost, late, duplicated and reordered: a step that needs a
 * message may be taken at any later time, or never.
 */

#ifndef MAX_EXPIRIES
#define MAX_EXPIRIES 2
#endif
#define MEMBER_COUNT (LAST_MEMBER + 1)
#define NO_MEMBER 7
#define A 0
#define B 1
#define C 2
#define D 3
#ifndef FIRST_OWNER
#define FIRST_OWNER A
#endif

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)
#define by_epoch(e, first, second, third) \
  ((e) == 1 -> (first) : ((e) == 2 -> (second) : (third)))

#if SCENARIO == 1 /* one roster */
#define LAST_EPOCH 1
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 1
#elif SCENARIO == 2 /* the deputy changes, and changes back */
#define LAST_EPOCH 3
#define home(e) A
#define deputy(e) by_epoch(e, B, C, B)
#define home_since(e) 1
#define deputy_since(e) (e)
#elif SCENARIO == 3 /* the home moves */
#define LAST_EPOCH 2
#define home(e) by_epoch(e, A, B, B)
#define deputy(e) by_epoch(e, B, C, C)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 4 /* the home moves twice */
#define LAST_EPOCH 3
#define home(e) by_epoch(e, A, B, C)
#define deputy(e) by_epoch(e, B, C, A)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 5 /* home and deputy fail at once; the platform appoints others */
#define LAST_EPOCH 2
#define LAST_MEMBER D
#define home(e) by_epoch(e, A, C, C)
#define deputy(e) by_epoch(e, B, D, D)
#define home_since(e) (e)
#define deputy_since(e) (e)
#elif SCENARIO == 6 /* A may fail while it records its entries at a new backup */
/* B was the backup in epoch 1; in epoch 2 it was a member that has left since. */
#define LAST_EPOCH 3
#define FIRST_EPOCH 3
#define home(e) A
#define deputy(e) B
#define home_since(e) 1
#define deputy_since(e) 3
#endif

#ifndef FIRST_EPOCH
#define FIRST_EPOCH 1
#endif

#if SCENARIO == 5 /* the platform appoints others because both failed */
#define shedding_enabled false
#undef MAX_EXPIRIES
#define MAX_EXPIRIES 0
#else
#define shedding_enabled true
#endif

#ifndef LAST_MEMBER
#define LAST_MEMBER C
#endif
#define ALL (bit(MEMBER_COUNT) - 1)

/* State of the request in a member's journal. */
#define NONE 0
#define PENDING 1        /* own: not sent to the upstream, waits for the backup's ack */
#define FORWARDED 2      /* own: sent to the upstream */
#define REFUSING 3       /* own: will never be sent to the upstream; not yet reported */
#define REFUSED 4        /* own: `did_not_run` was reported */
#define STORED 5         /* of another owner: it may have run */
#define STORED_REFUSED 6 /* of another owner: it did not run and never will */

typedef member_state {
  byte epoch;
  byte known_expired; /* members that it considers expired */
  bool complete;      /* whether its directory of the bucket is complete */
  byte answered;      /* members that answered its query */
  byte owner;         /* owner of the flow in its directory */
  bool owns;          /* whether it owns the flow itself */
  bool quarantined;   /* opened the flow without all records of expired members */
  byte entry;         /* state of the request in its journal */
  byte decider;       /* owner that decided, if the entry is not its own */
  bool stored_acked;  /* its current backup acked STORED */
  bool refused_acked; /* its current backup acked STORED_REFUSED */
  /* By owner: epoch at which this member held all live entries of the owner's
   * journal (a complete journal copy), 0: none. */
  byte copy_epoch[MEMBER_COUNT];
};
member_state s[MEMBER_COUNT];

byte expired; /* members that have expired, whether others noticed it or not */
byte runs;    /* runs of the request at any upstream */
bool reported_not_run;

#define effective_home(e, expired_set)    \
  (!in(home(e), expired_set) -> home(e) : \
   (!in(deputy(e), expired_set) -> deputy(e) : NO_MEMBER))
#define is_home(m) (effective_home(s[m].epoch, s[m].known_expired) == (m))
#define is_opener(m) (is_home(m) && s[m].complete && !in(m, expired))

/* The backup of an owner: the first other member that is not expired, in the
 * order home, deputy, rest of the roster. */
#define can_be_backup(x, m) ((x) != (m) && !in(x, s[m].known_expired))
#define named_backup(m, otherwise)                          \
  (can_be_backup(home(s[m].epoch), m) -> home(s[m].epoch) : \
   (can_be_backup(deputy(s[m].epoch), m) -> deputy(s[m].epoch) : otherwise))
#ifdef MUTANT_NO_SPARE_BACKUP
/* Home and deputy only: a deputy that took over has no backup. */
#define backup(m) named_backup(m, NO_MEMBER)
#else
#define backup(m)                 \
  named_backup(m,                 \
    (can_be_backup(A, m) -> A :   \
     (can_be_backup(B, m) -> B :  \
      (can_be_backup(C, m) -> C : \
       (LAST_MEMBER == D && can_be_backup(D, m) -> D : NO_MEMBER)))))
#endif

/* A complete journal copy stays valid as long as the roster fields that select
 * the backup do not change. */
#ifdef MUTANT_COPY_OF_ANY_EPOCH
#define copy_valid(x, y) (s[x].copy_epoch[y] != 0)
#else
#define copy_valid(x, y)                           \
  (s[x].copy_epoch[y] != 0 &&                      \
   home_since(s[x].epoch) <= s[x].copy_epoch[y] && \
   deputy_since(s[x].epoch) <= s[x].copy_epoch[y])
#endif
#define lacks_copy(x, y) ((x) != (y) && in(y, s[x].known_expired) && !copy_valid(x, y))
#ifdef MUTANT_NO_QUARANTINE
#define lacks_records(x) false
#else
/* D never expires. */
#define lacks_records(x) (lacks_copy(x, A) || lacks_copy(x, B) || lacks_copy(x, C))
#endif

hidden byte runs_once;
hidden byte not_run_is_true;
hidden byte request_decided;
hidden byte run_after_takeover_unreachable;
hidden byte refusal_unreachable;

inline check_safety()
{
  runs_once = (runs <= 1);
  assert(runs_once);
  not_run_is_true = !(reported_not_run && runs > 0);
  assert(not_run_is_true);
#ifdef REACH_RUN_AFTER_TAKEOVER
  run_after_takeover_unreachable =
    !(in(A, expired) && s[B].entry == FORWARDED && runs == 1);
  assert(run_after_takeover_unreachable);
#endif
#ifdef REACH_REFUSAL
  refusal_unreachable = !(s[B].entry == REFUSED && in(A, expired));
  assert(refusal_unreachable);
#endif
}

inline reset_acks(m)
{
  s[m].stored_acked = false;
  s[m].refused_acked = false
}

inline adopt_epoch(m, e)
{
  if
  :: s[m].complete && effective_home(e, s[m].known_expired) == m &&
     home_since(e) <= s[m].epoch &&
     (home(e) == m || deputy_since(e) <= s[m].epoch) -> skip
  :: else ->
     s[m].complete = false;
     s[m].owner = NO_MEMBER
  fi;
  s[m].answered = 0;
  s[m].epoch = e;
  reset_acks(m)
}

/* Adds expired members that another member reported.  The backup may change, and
 * a new one has acked nothing. */
inline merge_expired(m, set)
{
  if
  :: (set & ~s[m].known_expired) != 0 ->
     s[m].known_expired = s[m].known_expired | (set);
     reset_acks(m)
  :: else
  fi
}

#define as_stored(e)     \
  ((e) == NONE -> NONE : \
   (((e) == REFUSED || (e) == STORED_REFUSED) -> STORED_REFUSED : STORED))

/* Owner that took the decision in the entry of `m`. */
#define decided_by(m) \
  ((s[m].entry == STORED || s[m].entry == STORED_REFUSED) -> s[m].decider : (m))

/* Entries that `m` records at its backup: its own, and, once it is the home, those
 * that it took over from other owners. */
#define must_store(m)                                  \
  (s[m].entry == PENDING || s[m].entry == FORWARDED || \
   (s[m].entry == STORED && is_home(m) && s[m].complete))
#define must_store_refused(m)                         \
  (s[m].entry == REFUSING || s[m].entry == REFUSED || \
   (s[m].entry == STORED_REFUSED && is_home(m) && s[m].complete))

/* The backup `peer` stores the entry of `m` as `kind`.  If it has a decision of
 * another owner on the same request, it answers with that decision, and `m` drops
 * its own. */
inline record_at(m, peer, kind)
{
  if
  :: s[peer].entry == NONE ->
     s[peer].decider = decided_by(m);
     s[peer].entry = kind
  :: s[peer].entry == STORED && s[peer].decider == decided_by(m) -> s[peer].entry = kind
#ifndef MUTANT_IGNORE_CONFLICT
  :: s[peer].entry != NONE && decided_by(peer) != decided_by(m) &&
     (s[m].entry == PENDING || s[m].entry == REFUSING) ->
     s[m].decider = decided_by(peer);
     s[m].entry = as_stored(s[peer].entry)
#endif
  :: else
  fi
}

proctype member(byte me)
{
end:
  do
#if LAST_EPOCH >= 2
  :: d_step { s[me].epoch < 2 -> adopt_epoch(me, 2) }
#endif
#if LAST_EPOCH >= 3
  :: d_step { s[me].epoch < 3 -> adopt_epoch(me, 3) }
#endif

  /* All answers have arrived. */
  :: d_step {
       is_home(me) && !s[me].complete &&
       (ALL & ~bit(me) & ~s[me].known_expired & ~s[me].answered) == 0 ->
       s[me].complete = true;
       if
       :: s[me].owns -> s[me].owner = me
       :: else
       fi
     }

  /* A packet of the unknown flow arrives: the home owns the flow.  It is in
   * quarantine for the flow unless it has the records of every expired member. */
  :: d_step {
       is_opener(me) && s[me].owner == NO_MEMBER ->
       s[me].owner = me;
       s[me].owns = true;
       s[me].quarantined = lacks_records(me)
     }

  /* The request reaches the owner, which accepts it ... */
  :: d_step {
       s[me].owns && !in(me, expired) && !s[me].quarantined && s[me].entry == NONE ->
       s[me].entry = PENDING
     }
  /* ... or sheds it, which is a refusal like any other ... */
  :: d_step {
       shedding_enabled && s[me].owns && !in(me, expired) && !s[me].quarantined &&
       s[me].entry == NONE ->
       s[me].entry = REFUSING
     }
  /* ... or finds the refusal of a previous owner and reports it again. */
  :: d_step {
       s[me].owns && !in(me, expired) && s[me].entry == STORED_REFUSED &&
       !reported_not_run ->
       reported_not_run = true;
       check_safety()
     }

  /* The backup has the record: the request is sent to the upstream.  The lease is
   * not checked here, because a pause may lie between any check and the send. */
  :: d_step {
#ifndef MUTANT_FORWARD_BEFORE_ACK
       s[me].stored_acked &&
#endif
       s[me].entry == PENDING ->
       s[me].entry = FORWARDED;
       runs++;
       check_safety()
     }

  /* No ack by the deadline: the request will never be sent to the upstream. */
  :: d_step { shedding_enabled && s[me].entry == PENDING -> s[me].entry = REFUSING }

  /* `did_not_run` is reported only after the backup has stored the refusal. */
  :: d_step {
#ifndef MUTANT_REFUSE_WITHOUT_RECORD
       s[me].refused_acked &&
#endif
       s[me].entry == REFUSING ->
       s[me].entry = REFUSED;
       reported_not_run = true;
       check_safety()
     }

#ifdef MUTANT_LATE_ACK_FORWARDS
  /* An ack after the deadline still sends the request to the upstream. */
  :: d_step {
       (s[me].entry == REFUSING || s[me].entry == REFUSED) && s[me].stored_acked ->
       s[me].entry = FORWARDED;
       runs++;
       check_safety()
     }
#endif

#ifdef MUTANT_INCOMPLETE_HOME_REFUSES
  /* After the hold time, a home with an incomplete directory reports
   * `did_not_run`. */
  :: d_step {
       is_home(me) && !s[me].complete && !in(me, expired) && !reported_not_run ->
       reported_not_run = true;
       check_safety()
     }
#endif
  od
}

proctype exchange(byte me; byte peer)
{
end:
  do
  /* `me` notices that `peer` has expired. */
  :: d_step {
       in(peer, expired) && !in(peer, s[me].known_expired) ->
       merge_expired(me, bit(peer))
     }

  /* Query of the home `me`: `peer` answers with the flow if it owns it, its journal
   * entry, and its complete journal copies of expired members.  Both merge the
   * other's set of expired members. */
  :: d_step {
       is_home(me) && !s[me].complete && !in(peer, s[me].known_expired) &&
       !in(peer, s[me].answered) && s[peer].epoch >= s[me].epoch ->
       merge_expired(peer, s[me].known_expired);
       merge_expired(me, s[peer].known_expired);
       s[me].answered = s[me].answered | bit(peer);
       if
       :: s[peer].owns && !in(peer, s[me].known_expired) -> s[me].owner = peer
       :: else
       fi;
       if
       :: s[me].entry == NONE && s[peer].entry != NONE ->
          s[me].decider = decided_by(peer);
          s[me].entry = as_stored(s[peer].entry)
       :: else
       fi;
       if
       :: copy_valid(peer, A) && in(A, s[peer].known_expired) &&
          s[me].copy_epoch[A] == 0 ->
          s[me].copy_epoch[A] = s[peer].copy_epoch[A]
       :: else
       fi;
       if
       :: copy_valid(peer, B) && in(B, s[peer].known_expired) &&
          s[me].copy_epoch[B] == 0 ->
          s[me].copy_epoch[B] = s[peer].copy_epoch[B]
       :: else
       fi;
       if
       :: copy_valid(peer, C) && in(C, s[peer].known_expired) &&
          s[me].copy_epoch[C] == 0 ->
          s[me].copy_epoch[C] = s[peer].copy_epoch[C]
       :: else
       fi
     }

  /* According to the home's state the owner has expired, so that no member owns the
   * flow. */
  :: d_step {
       is_opener(me) && s[me].owner == peer && in(peer, s[me].known_expired) ->
       s[me].owner = NO_MEMBER
     }

  /* Record: the backup stores and acks the entry, unless it considers the sender
   * expired or is at another epoch. */
#define fence_accepts (s[peer].epoch == s[me].epoch && !in(me, s[peer].known_expired))
  :: d_step {
       backup(me) == peer && fence_accepts && !s[me].stored_acked && must_store(me) ->
       merge_expired(peer, s[me].known_expired);
       record_at(me, peer, STORED);
       s[me].stored_acked = true
     }
  :: d_step {
       backup(me) == peer && fence_accepts && !s[me].refused_acked &&
       must_store_refused(me) ->
       merge_expired(peer, s[me].known_expired);
       record_at(me, peer, STORED_REFUSED);
       s[me].refused_acked = true
     }

  /* Complete journal copy: every live entry of `me` is stored at its backup.  A
   * home also forwards the complete copies of expired members whose entries it has
   * taken over. */
#ifdef MUTANT_CONFIRM_COPY_BEFORE_RECORDS
#define all_stored true
#else
#define all_stored (s[me].entry == NONE || s[me].stored_acked || s[me].refused_acked)
#endif
  :: d_step {
       backup(me) == peer && fence_accepts && all_stored &&
       !copy_valid(peer, me) ->
       s[peer].copy_epoch[me] = s[me].epoch
     }
#define forwards_copy_of(y)                             \
  (backup(me) == peer && fence_accepts && all_stored && \
   y != peer && in(y, s[me].known_expired) && copy_valid(me, y) && !copy_valid(peer, y))
  :: d_step { forwards_copy_of(A) -> s[peer].copy_epoch[A] = s[me].epoch }
  :: d_step { forwards_copy_of(B) -> s[peer].copy_epoch[B] = s[me].epoch }
  :: d_step { forwards_copy_of(C) -> s[peer].copy_epoch[C] = s[me].epoch }
  od
}

/* Scenario 5: a paused owner sends, at any time, what it had decided to send. */
proctype paused_owner(byte me)
{
  do
  :: d_step {
       s[me].entry == PENDING && s[me].stored_acked ->
       s[me].entry = FORWARDED;
       runs++;
       check_safety()
     }
  :: break
  od
}

proctype expire_members()
{
  byte count = 0;
  do
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(A); count++ }
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(B); count++ }
  :: d_step { count < MAX_EXPIRIES -> expired = expired | bit(C); count++ }
  :: break
  od
}

/* Progress: at the end the owner has decided the request, unless no other member
 * is left or the owner is in quarantine. */
#define decided(m)                                     \
  (!s[m].owns || in(m, expired) || s[m].quarantined || \
   (ALL & ~bit(m) & ~expired) == 0 ||                  \
   (s[m].entry != NONE && s[m].entry != PENDING && s[m].entry != REFUSING))

proctype quiescence()
{
  timeout;
  request_decided = (decided(A) && decided(B) && decided(C));
  assert(request_decided)
}

init
{
  byte i;
  byte j;
  atomic {
    for (i : 0 .. MEMBER_COUNT - 1) {
      s[i].epoch = FIRST_EPOCH;
      s[i].owner = NO_MEMBER
    }
    /* The directory of the home of epoch 1 is complete and has the owner. */
    s[A].complete = true;
    s[A].owner = FIRST_OWNER;
    s[FIRST_OWNER].owns = true;
#if SCENARIO == 6
    /* The request has run; the copy at B is of epoch 1, when B had all entries. */
    s[A].entry = FORWARDED;
    runs = 1;
    s[B].copy_epoch[A] = 1;
#elif SCENARIO == 5
    /* Both have failed without noticing, perhaps between the ack of the backup and
     * the run. */
    expired = bit(A) | bit(B);
    s[B].copy_epoch[A] = 1;
    if
    :: skip
    :: s[B].entry = STORED;
       s[B].decider = A;
       s[A].entry = PENDING;
       s[A].stored_acked = true
    fi;
#endif
    run expire_members();
    run quiescence();
#if SCENARIO == 5
    run paused_owner(A);
#define FIRST_RUNNING C
#else
#define FIRST_RUNNING A
#endif
    for (i : FIRST_RUNNING .. MEMBER_COUNT - 1) {
      run member(i);
      for (j : 0 .. MEMBER_COUNT - 1) {
        if
        :: i != j -> run exchange(i, j)
        :: else
        fi
      }
    }
  }
}
