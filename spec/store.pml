/*
 * store.pml - checks conditional writes to the platform whose answers get lost.
 *
 * Protocol: docs/design/flow-protocol.md, "Parts" (write ids).
 *
 * The model contains
 *   - the platform: one object, its version, and the write ids of all its writes
 *     so far.  It may apply a write at any time after the write was sent (late),
 *     try to apply it again (duplicated), or never apply it (lost, outage);
 *   - two writers, each with one change, which a writer tries again after a
 *     conflict.
 * A read is one step: what a writer concludes from a read stays true, so a late
 * answer to a read makes no difference.
 */

#define WRITER_COUNT 2
#define MAX_ATTEMPTS 2 /* of each writer; the second one follows a conflict */
#define LAST_VERSION 5 /* end of the versions; only mutants get this far */

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)

/* What a writer reports about its change at the end. */
#define PENDING 0
#define ACCEPTED 1
#define NOT_ACCEPTED 2

/* The platform. */
byte version = 1;
byte write_id_of[LAST_VERSION + 1]; /* by version: write id, 0: none */
byte times_applied[WRITER_COUNT];   /* by writer: how often its change took effect */

/* The writers.  The write id is the writer's number plus one; it is the same for
 * all attempts of the writer's change. */
byte expected[WRITER_COUNT];      /* version in If-Match, 0: nothing sent */
byte sent_versions[WRITER_COUNT]; /* set of versions with which the write was sent */
byte answer[WRITER_COUNT];        /* to the newest attempt; PENDING: none */
byte reported[WRITER_COUNT];
byte attempts[WRITER_COUNT];
#if defined(MUTANT_LAST_ID_ONLY)
#define id_found(w) (write_id_of[version] == (w) + 1)
#else
#define id_found(w)                                          \
  (write_id_of[2] == (w) + 1 || write_id_of[3] == (w) + 1 || \
   write_id_of[4] == (w) + 1 || write_id_of[5] == (w) + 1)
#endif

#ifdef MUTANT_NO_READ_BACK
#define reads_back false
#else
#define reads_back true
#endif

hidden byte applied_once;
hidden byte report_is_true;
hidden byte writer_has_outcome;
hidden byte both_accepted_unreachable;

inline check_safety()
{
  applied_once = (times_applied[0] <= 1 && times_applied[1] <= 1);
  assert(applied_once);
  report_is_true =
    (!(reported[0] == ACCEPTED && times_applied[0] == 0) &&
     !(reported[0] == NOT_ACCEPTED && times_applied[0] != 0) &&
     !(reported[1] == ACCEPTED && times_applied[1] == 0) &&
     !(reported[1] == NOT_ACCEPTED && times_applied[1] != 0));
  assert(report_is_true);
#ifdef REACH_BOTH_ACCEPTED
  both_accepted_unreachable = !(reported[0] == ACCEPTED && reported[1] == ACCEPTED);
  assert(both_accepted_unreachable);
#endif
}

proctype writer(byte me)
{
end:
  do
  /* The writer reads the object and sends its change based on that version. */
  :: d_step {
       reported[me] == PENDING && expected[me] == 0 && attempts[me] < MAX_ATTEMPTS ->
       expected[me] = version;
       sent_versions[me] = sent_versions[me] | bit(version);
       answer[me] = PENDING;
       attempts[me]++
     }

  /* The platform applies the write or a duplicate of it. */
  :: d_step {
       in(version, sent_versions[me]) && version < LAST_VERSION ->
       version++;
       write_id_of[version] = me + 1;
       times_applied[me]++;
       answer[me] = (expected[me] + 1 == version -> ACCEPTED : answer[me]);
       check_safety()
     }
#ifdef MUTANT_UNCONDITIONAL_WRITE
  :: d_step {
       sent_versions[me] != 0 && version < LAST_VERSION ->
       version++;
       write_id_of[version] = me + 1;
       times_applied[me]++;
       check_safety()
     }
#endif

  /* The answer arrives. */
  :: d_step {
       reported[me] == PENDING && answer[me] == ACCEPTED ->
       reported[me] = ACCEPTED;
       check_safety()
     }

  /* The answer is lost. */
  :: d_step { answer[me] == ACCEPTED -> answer[me] = PENDING }

  /* Without an answer, or after a conflict, the writer reads the object back and
   * finds its write id. */
  :: d_step {
       reads_back && reported[me] == PENDING && expected[me] != 0 && id_found(me) ->
       reported[me] = ACCEPTED;
       check_safety()
     }
  /* The writer does not find its write id, and the object is past the version in
   * If-Match.  The write can no longer take effect, so the writer may try again
   * or give up. */
  :: d_step {
#ifndef MUTANT_TRUST_STALE_READ
       version > expected[me] &&
#endif
       reported[me] == PENDING && expected[me] != 0 && !id_found(me) ->
       expected[me] = 0
     }
  :: d_step {
       reported[me] == PENDING && expected[me] == 0 && attempts[me] == MAX_ATTEMPTS ->
       reported[me] = NOT_ACCEPTED;
       check_safety()
     }
  od
}

/* Progress: at the end each writer has the outcome of its change, and at least
 * one change was accepted. */
proctype quiescence()
{
  timeout;
  writer_has_outcome = (reported[0] != PENDING && reported[1] != PENDING &&
                  (reported[0] == ACCEPTED || reported[1] == ACCEPTED));
  assert(writer_has_outcome)
}

init
{
  atomic {
    run quiescence();
    run writer(0);
    run writer(1)
  }
}
