/* Change of the candidate list of one database (docs/design.md, section 5; OwnershipMachine).
 *
 * Two proxies contend. The list changes once, from the candidates {0, 1, 2} to {0, 1, 3}, so that
 * majorities of the two lists need not intersect. A swap takes effect at any time while its
 * expected revision is the record's, so it may follow a read-back that showed the old record, and
 * each proxy learns of any later record at any time. A candidate restarts RESTARTS times.
 *
 * There is no clock: a lease on one candidate may end at any moment, and a candidate promises the
 * database to another proxy only after that. This is what PROMISE_AFTER_START, SENT_TIME and
 * SINGLE_PROMISE guarantee, which ownership.pml checks, also for a candidate that has restarted.
 * A request, its answer and the lease are one step: a late grant only blocks a candidate. A
 * renewal that arrives after its sender stopped serving is not modelled.
 *
 * Asserted: two proxies never serve at once.
 */
// guard: EPOCH_CHECK
// guard: JOINT_MAJORITY
// guard: RECORD_AFTER_START
#define MAX_EPOCH 3
#define RESTARTS 2
#define REVISIONS 6

/* The record by revision; what no proxy can refer to any more is zero. */
byte revision = 1;
byte epoch[REVISIONS];
byte owner[REVISIONS];
bool changed[REVISIONS];  /* The list is {0, 1, 3}. */
bool joint[REVISIONS];    /* The list {0, 1, 2} is the previous list. */
bool changeSent;          /* The owner's swap for the present revision may take effect. */

/* Candidates. */
byte seen[4];
bool unread[4];           /* Has restarted and not yet read the record. */
byte restarts = RESTARTS;

/* Proxies: the revision that each knows, and the candidates whose promises it counts. */
byte known[2] = 1;
byte lease[2];

#define BIT(c) (1 << (c))
#define HAS(p, c) ((lease[p] >> (c)) & 1)
#define OLD_MAJORITY(p) (HAS(p, 0) + HAS(p, 1) + HAS(p, 2) >= 2)
#define NEW_MAJORITY(p) (HAS(p, 0) + HAS(p, 1) + HAS(p, 3) >= 2)
#ifdef NO_JOINT_MAJORITY
#define OLD_NEEDED(p) (!changed[known[p]])
#else
#define OLD_NEEDED(p) (!changed[known[p]] || joint[known[p]])
#endif
#define OWNS(p) (owner[known[p]] == (p))
#define SERVES(p) (OWNS(p) && (!OLD_NEEDED(p) || OLD_MAJORITY(p)) && (!changed[known[p]] || NEW_MAJORITY(p)))
#define PROMISER(p, c) ((c) < 2 || ((c) == 2 && OLD_NEEDED(p)) || ((c) == 3 && changed[known[p]]))
#ifdef NO_EPOCH_CHECK
#define NOT_OLD(p, c) true
#else
#define NOT_OLD(p, c) (epoch[known[p]] >= seen[c])
#endif
/* Until the record is read, only renewals are granted; they're from an owner that serves. */
#define GRANTS(p, c) (!HAS(1 - (p), c) && (unread[c] -> SERVES(p) : NOT_OLD(p, c)))

inline forgetOldRevisions()
{
    r = 1;
    do
    :: r < known[0] && r < known[1] -> epoch[r] = 0; owner[r] = 0; changed[r] = 0; joint[r] = 0; r++
    :: else -> break
    od;
    r = 0
}

inline write(newEpoch, newOwner, newChanged, newJoint)
{
    epoch[revision + 1] = newEpoch; owner[revision + 1] = newOwner;
    changed[revision + 1] = newChanged; joint[revision + 1] = newJoint;
    revision++;
    changeSent = false
}

active proctype Events()
{
    byte p, c, r;
    epoch[1] = 1;
    do
    :: atomic {
        if :: p = 0 :: p = 1 fi;
        if
        /* A takeover by p, or a handover by p, takes effect. */
        :: known[p] == revision && epoch[revision] < MAX_EPOCH && owner[revision] != p ->
            write(epoch[revision], p, changed[revision], joint[revision]);
            epoch[revision]++
        :: known[p] == revision && epoch[revision] < MAX_EPOCH && owner[revision] == p ->
            write(epoch[revision], 1 - p, changed[revision], joint[revision]);
            epoch[revision]++
        /* The serving owner sends a change of the list, or the record that it serves under both. */
        :: known[p] == revision && SERVES(p) && !changeSent &&
           (!changed[revision] || joint[revision]) -> changeSent = true
        /* p learns of a later record. */
        :: known[p] < revision ->
            r = known[p] + 1;
            do
            :: r < revision -> r++
            :: break
            od;
            if
            :: epoch[r] != epoch[known[p]] -> lease[p] = 0
            :: else
            fi;
            known[p] = r;
            forgetOldRevisions()
        :: else
        fi;
        p = 0; r = 0 }
    :: atomic {
        changeSent -> write(epoch[revision], owner[revision], true, !changed[revision]) }
    :: atomic {
        if :: p = 0 :: p = 1 fi;
        if :: c = 0 :: c = 1 :: c = 2 :: c = 3 fi;
        if
        /* p asks candidate c for a promise. A refused request counts too. */
        :: OWNS(p) && PROMISER(p, c) ->
            if
            :: GRANTS(p, c) -> lease[p] = lease[p] | BIT(c)
            :: else
            fi;
            seen[c] = (epoch[known[p]] > seen[c] -> epoch[known[p]] : seen[c]);
            assert(!(SERVES(0) && SERVES(1)))
        /* The lease on c ends. */
        :: HAS(p, c) -> lease[p] = lease[p] & (15 - BIT(c))
        /* Candidate c restarts. The record that it will read holds at least the present epoch. */
        :: p == 0 && restarts > 0 ->
            restarts--;
#ifdef NO_RECORD_AFTER_START
            seen[c] = 0
#else
            seen[c] = epoch[revision];
            unread[c] = true
#endif
        :: p == 0 && unread[c] -> unread[c] = false
        :: else
        fi;
        p = 0; c = 0 }
    od
}
