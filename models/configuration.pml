/* Configuration protocol: two operators propose edits through one store. Swaps may be delayed and
   take effect after the head was read back, answers may be lost, the watch delivers any earlier
   head, and a proxy may restart while the store is down and take the highest version of its two
   peers. Asserted besides the versions: an edit that was answered with "conflict" never takes effect.
   An edit is named by its operator; `won` counts the edits that were told "accepted". */
// guard: CAS
// guard: HIGHER_ONLY
// guard: EDIT_ID
// guard: HEAD_MOVED
// guard: READY_AFTER_HIGHEST

#define MAXV 3
#define PROXIES 3

byte version = 0;          /* head in the store */
byte author[MAXV];         /* edit id of each version, 1 or 2 */
byte won[MAXV];            /* operators that were told "accepted" for a version */
byte force[PROXIES];       /* version in force on each proxy */
byte served[PROXIES];      /* highest version that a running proxy has had in force */

/* Swaps by operator; index 0 is not used. */
byte expected[3];
bool sent[3];              /* may take effect */
bool applied[3];
bool refused[3];           /* the operator was told "conflict" */
byte finished = 0;         /* operators that were answered */

/* The swap of an operator takes effect at any time, also after the operator has been answered, if
   the head is still the one that it expects. */
proctype store()
{
    byte id;
    do
    :: atomic {
        if
        :: sent[1] -> id = 1
        :: sent[2] -> id = 2
        fi;
        sent[id] = false;
#ifdef NO_CAS
        if
        :: expected[id] + 1 < MAXV ->
            version = expected[id] + 1; author[version] = id; applied[id] = true
#else
        if
        :: version == expected[id] && expected[id] + 1 < MAXV ->
            version = expected[id] + 1; author[version] = id; applied[id] = true
#endif
        :: else
        fi;
        assert(version >= expected[id]);
        assert(!(applied[id] && refused[id]));
        id = 0 }
    :: finished == 2 && !sent[1] && !sent[2] -> break
    od
}

proctype operator(byte id)
{
    bool answered = false;

    atomic { expected[id] = version; sent[id] = true }
    if
    :: applied[id] -> answered = true /* answer received */
    :: skip                           /* answer lost, late, or conflict: the head is read back */
    fi;
    atomic {
        if
        :: answered
        :: else ->
#ifdef NO_EDIT_ID
            answered = (version == expected[id] + 1)
#else
            answered = (version == expected[id] + 1 && author[version] == id)
#endif
        fi;
        /* "Conflict" only if the head has moved; otherwise the swap may be late: "unknown". */
        if
        :: answered -> won[expected[id] + 1]++; assert(won[expected[id] + 1] <= 1)
#ifdef NO_HEAD_MOVED
        :: !answered && version <= expected[id] + 1 -> refused[id] = true
#else
        :: !answered && version == expected[id] + 1 -> refused[id] = true
#endif
        :: else
        fi;
        assert(!(applied[id] && refused[id]));
        finished++
    }
}

/* A slow watch or a peer reports the present or any earlier head. */
proctype proxy(byte p)
{
    byte seen, steps = 0;
    do
    :: steps < 3 ->
        steps++;
        atomic { seen = 0; do :: seen < version -> seen++ :: break od }
        atomic {
#ifndef NO_HIGHER_ONLY
            if
            :: seen > force[p] -> force[p] = seen
            :: else
            fi;
#else
            force[p] = seen;
#endif
            assert(force[p] >= served[p]);
            served[p] = force[p]
        }
    :: else -> break
    od
}

/* Proxy 2 restarts with the store down: its peers are 0 and 1, so a majority is both of them. */
proctype restart()
{
    byte a, b;
    atomic { force[2] = 0; served[2] = 0 }
    a = force[0];
    b = force[1];
    atomic {
#ifdef NO_READY_AFTER_HIGHEST
        force[2] = a;
#else
        force[2] = (a > b -> a : b);
#endif
        served[2] = force[2];
        assert(force[2] >= a && force[2] >= b)
    }
}

init {
    atomic { run operator(1); run operator(2); run store(); run proxy(0); run proxy(1); run restart() }
}
