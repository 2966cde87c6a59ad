/* The share of all quotas that one proxy delegates to two allocators; docs/design/quotas.md has the
   protocol. A request names the time at which it was sent, on the clock of its receiver. Requests and
   replies may be lost, late and repeated; the proxy and the allocators may restart at any time and
   forget everything. One request to an allocator is in flight at a time: a later one only replaces it,
   and an allocator ignores what comes after a later one. Time is counted in ticks that pass at any point.

   Checked: at no time do both allocators count the share. */

// guard: DATING
// guard: MOVE_WAIT
// guard: RESTART_WAIT
// guard: INCARNATION

#define DELEGATION 2    /* Ticks for which a request delegates the share. */
#define LAST_TICK 5
#define LAST_INCARNATION 1
#define REPEATS 1       /* Requests that may arrive twice. */
#define RESTARTS 1      /* Of the proxy. */

byte now = DELEGATION;
byte repeats = REPEATS;
byte restarts = RESTARTS;

/* Requests in flight to each allocator: when they were sent, and to which incarnation. */
chan requests0 = [1] of { byte, byte };
chan requests1 = [1] of { byte, byte };
/* Replies by which an allocator resigns, with its incarnation. A reply to an earlier request than
   the newest one that was answered is ignored, so one of an earlier incarnation has no effect. */
chan resigned = [1] of { byte, byte };

/* What the allocators count, and what the proxy knows. */
byte heldUntil[2];
bool hasResigned[2];
byte incarnation[2];
byte mayHoldUntil[2];
byte addressed[2];      /* Incarnation in the latest request to each allocator. */
byte mayDelegateAt;

#define counts(a) (heldUntil[a] > now)

inline check()
{
    assert(!(counts(0) && counts(1)));
}

inline receive(a, sentAt, receiver)
{
    if
#ifdef NO_INCARNATION
    :: hasResigned[a] -> skip
    :: !hasResigned[a] ->
#else
    :: hasResigned[a] || receiver != incarnation[a] -> skip
    :: !hasResigned[a] && receiver == incarnation[a] ->
#endif
#ifdef NO_DATING
        heldUntil[a] = now + DELEGATION
#else
        heldUntil[a] = sentAt + DELEGATION
#endif
    fi;
    check()
}

/* Puts a request into the network, unless it is full; then it is lost. */
inline send(channel, a)
{
    mayHoldUntil[a] = now + DELEGATION;
    addressed[a] = incarnation[a];
    if
    :: nfull(channel) -> channel!now, incarnation[a]
    :: full(channel) -> skip
    fi
}

#ifdef NO_MOVE_WAIT
#define freeOf(b) (true)
#else
#define freeOf(b) (mayHoldUntil[b] <= now)
#endif

active proctype proxy()
{
    byte a;
    byte sender;
    do
    :: atomic { now >= mayDelegateAt && freeOf(1) -> send(requests0, 0) }
    :: atomic { now >= mayDelegateAt && freeOf(0) -> send(requests1, 1) }
    :: atomic {
        resigned?a, sender ->
            if
            :: sender == addressed[a] -> mayHoldUntil[a] = 0
            :: else -> skip
            fi
        }
    :: atomic {
        restarts > 0 && now < LAST_TICK ->
            restarts--;
            mayHoldUntil[0] = 0;
            mayHoldUntil[1] = 0;
#ifndef NO_RESTART_WAIT
            mayDelegateAt = now + DELEGATION;
#endif
            if
            :: resigned?a, sender
            :: empty(resigned)
            fi
        }
    :: now == LAST_TICK -> break
    od
}

inline allocate(channel, a)
{
    byte sentAt;
    byte receiver;
    do
    :: atomic { channel?sentAt, receiver -> receive(a, sentAt, receiver) }
    :: atomic {
        repeats > 0 && channel?[sentAt, receiver] ->
            repeats--;
            channel?<sentAt, receiver>;
            receive(a, sentAt, receiver)
        }
    :: atomic { channel?sentAt, receiver -> skip } /* Lost. */
    :: atomic {
        !hasResigned[a] && nfull(resigned) ->
            hasResigned[a] = true;
            heldUntil[a] = 0;
            resigned!a, incarnation[a]
        }
    :: atomic {
        incarnation[a] < LAST_INCARNATION ->
            /* A restart. */
            incarnation[a]++;
            heldUntil[a] = 0;
            hasResigned[a] = false
        }
    :: now == LAST_TICK -> break
    od
}

active proctype allocator0()
{
    allocate(requests0, 0)
}

active proctype allocator1()
{
    allocate(requests1, 1)
}

active proctype clock()
{
    do
    :: atomic { now < LAST_TICK -> now++ }
    :: now == LAST_TICK -> break
    od
}
