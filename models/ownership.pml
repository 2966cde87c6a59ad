/* Ownership of one database (docs/design.md, section 5), without changes of the candidate list.
 *
 * Two proxies compete for the promises of three candidates. Time is a bounded integer clock that
 * passes in transitions of its own, so pauses of any length, late swaps and late requests are
 * interleavings. A promise lasts P units from its arrival, a lease P units from the sending.
 * A candidate restarts once, which loses its promise and its epoch.
 *
 * A swap may stay unanswered and may take effect after its proxy gave up on it and read the old
 * record back; its proxy learns of it at any later time, after learning of other swaps, or never.
 * The candidate list is fixed, so the record by itself permits and forbids nothing: a swap is the
 * event in which its proxy learns of it, and the moment before it at which it took effect is not
 * observable. candidatechange.pml has the record itself. The epochs 2 and 4 go to proxy 0 and epoch
 * 3 to proxy 1; a proxy that knows of no higher epoch goes on under its own. Candidates are alike,
 * so the one that restarts is candidate 0.
 *
 * Asserted: two proxies never serve at once.
 *
 * The epoch check and the joint majorities matter only with list changes: candidatechange.pml.
 */
// guard: PROMISE_AFTER_START
// guard: SENT_TIME
// guard: SINGLE_PROMISE
#define P 2
#define T 4          /* End of the bounded time. */
#define NONE 2

byte now = 1;
byte restarts = 1;

/* Candidates. */
byte holder[3] = NONE;
byte until[3];       /* First instant at which the promise holds no more. */
byte seen[3];
byte silent[3];      /* Promises nothing before this instant. */

/* Proxies: the record as they know it, and the end of each candidate's promise. */
byte myEpoch[2];
byte lease[6];       /* [3 * proxy + candidate] */

#define HOLDS(p, c) (lease[3 * (p) + (c)] > now)
#define SERVES(p) (myEpoch[p] != 0 && HOLDS(p, 0) + HOLDS(p, 1) + HOLDS(p, 2) >= 2)

inline forget(p)
{
    d_step { lease[3*p] = 0; lease[3*p+1] = 0; lease[3*p+2] = 0; }
}

#ifdef NO_SINGLE_PROMISE
#define FREE(p, c) true
#else
#define FREE(p, c) (holder[c] == p || until[c] <= now)
#endif
#ifdef NO_EPOCH_CHECK
#define NOT_OLD(p, c) true
#else
#define NOT_OLD(p, c) (myEpoch[p] >= seen[c])
#endif
#ifdef NO_SENT_TIME
#define COUNTED_FROM now
#else
#define COUNTED_FROM sentAt
#endif

/* The candidate answers a request that was sent at sentAt. */
inline ask(p, c)
{
    if
    :: (now >= silent[c] && FREE(p, c) && NOT_OLD(p, c)) ->
        holder[c] = p; until[c] = now + P;
        granted = true
    :: else
    fi;
    seen[c] = (myEpoch[p] > seen[c] -> myEpoch[p] : seen[c])
}

proctype Proxy(byte p)
{
    byte sentAt, c;
    bool granted;
    do
    :: atomic { now < T && myEpoch[p] < (p == 0 -> 4 : 3) ->
           /* Learns, by an answer, a read or a watch, that its swap took effect. */
           myEpoch[p] = (p == 1 -> 3 : myEpoch[p] + 2); forget(p) }
    :: atomic { now < T && myEpoch[p] != 0 ->
           sentAt = now;
           select(c : 0 .. 2) }
       atomic { ask(p, c) }
       atomic {
           if
           :: granted && COUNTED_FROM + P > lease[3*p+c] && COUNTED_FROM + P > now ->
               lease[3*p+c] = COUNTED_FROM + P
           :: else
           fi;
           granted = false; sentAt = 0; c = 0 }
    :: now >= T -> break
    od
}

proctype World()
{
    byte c;
    do
    :: d_step { now < T -> now++;
           /* Values in the past have no effect; zeroes keep the state space small. */
           for (c : 0 .. 2) {
               if
               :: until[c] <= now -> until[c] = 0; holder[c] = NONE
               :: else
               fi;
               silent[c] = (silent[c] <= now -> 0 : silent[c]);
               lease[c] = (lease[c] <= now -> 0 : lease[c]);
               lease[3 + c] = (lease[3 + c] <= now -> 0 : lease[3 + c])
           }
           c = 0 }
    :: atomic { now < T && restarts > 0 ->
           restarts--; holder[c] = NONE; until[c] = 0; seen[c] = 0;
#ifndef NO_PROMISE_AFTER_START
           silent[c] = now + P;
#endif
           c = 0 }
    :: now >= T -> break
    od
}

proctype Check()
{
end:
    atomic { SERVES(0) && SERVES(1) -> assert(false) }
}

init { atomic { run Proxy(0); run Proxy(1); run World(); run Check() } }
