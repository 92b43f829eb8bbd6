/*
 * store.pml - conditional writes to the platform whose answers get lost.
 *
 * Protocol: docs/design/flow-protocol.md, "Parts" (write ids).
 *
 * What the model holds
 *   - the platform: one object, its version, the write ids of all its writes so
 *     far; it may take a write at any time after it was sent (late), try it
 *     again (duplicated), or not take it for ever (lost, outage);
 *   - two writers, each with one change, which try again after a conflict.
 * Reads are one step: what a writer concludes from one stays true, so a late
 * answer to a read changes nothing.
 */

#define WRITERS 2
#define ATTEMPTS 2 /* of each writer: the second after a conflict */

#define LAST 5     /* versions end here; only mutations come so far */

#define bit(x) (1 << (x))
#define in(x, set) (((set) >> (x)) & 1)

/* What a writer says of its change at the end. */
#define OPEN 0
#define ACCEPTED 1
#define NOT_ACCEPTED 2

/* Platform */
byte version = 1;
byte id_of[LAST + 1]; /* version -> write id; 0: none */
byte times_taken[WRITERS]; /* how often the change of a writer took effect */

/* Writers.  The write id is the writer's number plus one, the same for each
 * attempt of its change. */
byte expected[WRITERS]; /* version named in If-Match, 0: nothing sent */
byte sent[WRITERS];     /* set of expected versions under which it was sent */
byte answer[WRITERS];   /* of the newest attempt: OPEN is none */
byte said[WRITERS];
byte tries[WRITERS];
#if defined(MUTANT_LAST_ID_ONLY)
#define id_seen(w) (id_of[version] == (w) + 1)
#else
#define id_seen(w) \
  (id_of[2] == (w) + 1 || id_of[3] == (w) + 1 || id_of[4] == (w) + 1 || id_of[5] == (w) + 1)
#endif

#ifdef MUTANT_NO_READ_BACK
#define reads_back false
#else
#define reads_back true
#endif

hidden byte taken_once;
hidden byte said_is_true;
hidden byte writer_knows;
hidden byte both_accepted_unreachable;

inline check_safety()
{
  taken_once = (times_taken[0] <= 1 && times_taken[1] <= 1);
  assert(taken_once);
  said_is_true =
    (!(said[0] == ACCEPTED && times_taken[0] == 0) &&
     !(said[0] == NOT_ACCEPTED && times_taken[0] != 0) &&
     !(said[1] == ACCEPTED && times_taken[1] == 0) &&
     !(said[1] == NOT_ACCEPTED && times_taken[1] != 0));
  assert(said_is_true);
#ifdef REACH_BOTH_ACCEPTED
  both_accepted_unreachable = !(said[0] == ACCEPTED && said[1] == ACCEPTED);
  assert(both_accepted_unreachable);
#endif
}

proctype writer(byte me)
{
end:
  do
  /* It reads the object and sends its change on top of what it read. */
  :: d_step {
       said[me] == OPEN && expected[me] == 0 && tries[me] < ATTEMPTS ->
       expected[me] = version;
       sent[me] = sent[me] | bit(version);
       answer[me] = OPEN;
       tries[me]++
     }

  /* The platform takes the write: the first time, or a copy of it. */
  :: d_step {
       in(version, sent[me]) && version < LAST ->
       version++;
       id_of[version] = me + 1;
       times_taken[me]++;
       answer[me] = (expected[me] + 1 == version -> ACCEPTED : answer[me]);
       check_safety()
     }
#ifdef MUTANT_UNCONDITIONAL_WRITE
  :: d_step {
       sent[me] != 0 && version < LAST ->
       version++;
       id_of[version] = me + 1;
       times_taken[me]++;
       check_safety()
     }
#endif

  /* The answer arrives. */
  :: d_step {
       said[me] == OPEN && answer[me] == ACCEPTED ->
       said[me] = ACCEPTED;
       check_safety()
     }

  /* The answer is lost. */
  :: d_step { answer[me] == ACCEPTED -> answer[me] = OPEN }

  /* No answer, or a conflict: it reads the object back.  Its id is there. */
  :: d_step {
       reads_back && said[me] == OPEN && expected[me] != 0 && id_seen(me) ->
       said[me] = ACCEPTED;
       check_safety()
     }
  /* Its id is not there and the version has passed the one it named: that
   * write can take effect no more, and it may try again or give up. */
  :: d_step {
#ifndef MUTANT_TRUST_OLD_READ
       version > expected[me] &&
#endif
       said[me] == OPEN && expected[me] != 0 && !id_seen(me) ->
       expected[me] = 0
     }
  :: d_step {
       said[me] == OPEN && expected[me] == 0 && tries[me] == ATTEMPTS ->
       said[me] = NOT_ACCEPTED;
       check_safety()
     }
  od
}

/* Progress: in the end each writer knows what became of its change, and the
 * change that came first was accepted. */
proctype quiescence()
{
  timeout;
  writer_knows = (said[0] != OPEN && said[1] != OPEN &&
                  (said[0] == ACCEPTED || said[1] == ACCEPTED));
  assert(writer_knows)
}

init
{
  atomic {
    run quiescence();
    run writer(0);
    run writer(1)
  }
}
