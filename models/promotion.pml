/* Promotion of a database group of three servers with asynchronous replication: fencing, the
 * confirmation set with count 1, and two successive owners. Any process may be paused at any point,
 * so an owner can act after its lease ended, and orders, term rows and swaps take effect late.
 * Asserted: a server on which an owner begins service with a valid lease holds all acknowledged
 * writes. Each name below is a rule of docs/design.md, section 6; -DNO_<name> removes it. */
// guard: QUORUM_READ
// guard: JOINT_SET
// guard: LEASE_AFTER_CONFIRM
// guard: HIGHEST_POSITION
// guard: CATCH_UP
// guard: PERIOD

#define SERVERS 3
#define CAPACITY 6

/* Log entries are bits: the writes of the first owner, one in each of its periods 1 and 2, and the
 * rows of the periods 1 to 3. Only the first owner changes the set. */
#define WRITE(period) (1 << ((period) - 1))
#define ROW(period) (16 << ((period) - 1))
#define BIT(server) (1 << (server))

typedef Log { byte entry[CAPACITY]; }
Log logs[SERVERS];
byte length[SERVERS];
byte held[SERVERS];   /* union of the log's entries */
bool primary[SERVERS];
byte acknowledged;
bool finished;        /* the second owner has ended, so nothing more is asserted */
byte holder = 1;      /* owner that holds the lease */
byte storedSet = 6;   /* bits of the members in the owner record */
byte revision;
byte swapSet[3];      /* requested swap of each owner; 0: none */
byte swapRevision[3];
bool swapAnswered[3];

inline append(server, bits) {
    held[server] = held[server] | bits;
    logs[server].entry[length[server]] = bits;
    length[server]++;
}

/* Some member of the set holds the entry (count 1). */
#define HELD_IN(set, bits) ((((set) & 1) && (held[0] & (bits))) || (((set) & 2) && (held[1] & (bits))) || (((set) & 4) && (held[2] & (bits))))
/* All members of the set hold all the entries. */
#define ALL_HOLD(set, bits) ((!((set) & 1) || (held[0] & (bits)) == (bits)) && (!((set) & 2) || (held[1] & (bits)) == (bits)) && (!((set) & 4) || (held[2] & (bits)) == (bits)))

#ifdef NO_PERIOD
#define RANK(server) length[server]
#else
#define RANK(server) ((held[server] >> 4) * 16 + length[server])
#endif

proctype Owner(byte self) {
    byte server, sampled, required, rank[SERVERS], size[SERVERS];
    bool wasPrimary[SERVERS];
    byte period, attempts, members, pending, floorWrites, known, write, order;
    bool requested, changed, confirmed, wrote;

    if
    :: self == 1 -> period = 1; members = 6; goto serve
    :: self == 2 -> atomic { holder == 2 -> period = 2; revision++; known = revision;
                             members = storedSet; goto collect }
    fi;

serve:
endserve:
    do
    :: finished -> goto done
    :: atomic { !write && !wrote -> wrote = true;
                write = WRITE(period); append(server, write) }
#ifdef NO_LEASE_AFTER_CONFIRM
    :: write && !confirmed && holder == self -> confirmed = true
    :: atomic { write && confirmed && HELD_IN(members, write) && (!pending || HELD_IN(pending, write)) ->
                acknowledged = acknowledged | write; write = 0; confirmed = false }
#else
#ifdef NO_JOINT_SET
    :: write && !confirmed && HELD_IN(members, write) -> confirmed = true
#else
    :: atomic { write && !confirmed && HELD_IN(members, write) &&
                (!pending || HELD_IN(pending, write)) -> confirmed = true }
#endif
    :: atomic { write && confirmed && holder == self ->
                acknowledged = acknowledged | write; write = 0; confirmed = false }
#endif
    :: atomic { self == 1 && !attempts && !pending && !changed && holder == self && !confirmed -> changed = true;
                if :: pending = 2 :: pending = 4 fi;
                floorWrites = acknowledged }
#ifdef NO_CATCH_UP
    :: atomic { pending && !requested ->
#else
    :: atomic { pending && !requested && ALL_HOLD(pending, floorWrites) ->
#endif
                requested = true; swapSet[self] = pending; swapRevision[self] = known }
    :: atomic { swapAnswered[self] -> swapAnswered[self] = false; members = pending; pending = 0;
                requested = false; known = revision }
    :: attempts < 1 && holder == self -> break
    :: holder != self && !write -> goto done
    od;

collect:
    atomic { write = 0; confirmed = false;
        if
        :: !requested -> pending = 0 /* a change that was not requested can't take effect */
        :: else
        fi };
    atomic {
        if /* the other servers may be unreachable */
        :: sampled = 3 :: sampled = 5 :: sampled = 6 :: sampled = 7 :: sampled = 2 :: sampled = 4
        fi;
        rank[0] = RANK(0); size[0] = length[0]; wasPrimary[0] = primary[0];
        rank[1] = RANK(1); size[1] = length[1]; wasPrimary[1] = primary[1];
        rank[2] = RANK(2); size[2] = length[2]; wasPrimary[2] = primary[2];
        if
#ifdef NO_QUORUM_READ
    :: sampled
#else
#ifdef NO_JOINT_SET
    :: (sampled & members) == members
#else
    :: (sampled & (members | pending)) == (members | pending)
#endif
#endif
        :: else -> goto done
        fi;
        order = 0;
        do
        :: order < SERVERS ->
            if
            :: (sampled & BIT(order)) && ((members | pending) & BIT(order)) && rank[order] > required ->
                required = rank[order]
            :: else
            fi;
            order++
        :: else -> break
        od;
        order = 0;
        if :: server = 0 :: server = 1 :: server = 2 fi;
        if
        :: !(sampled & BIT(server)) -> goto done
#ifndef NO_HIGHEST_POSITION
#ifndef NO_PERIOD
        :: (sampled & BIT(server)) && wasPrimary[server] && rank[server] / 16 < required / 16 -> goto done
#endif
        :: (sampled & BIT(server)) && !wasPrimary[server] && rank[server] < required -> goto done
#endif
        :: (sampled & BIT(server)) && !wasPrimary[server] && !((members | pending) & BIT(server)) -> goto done
        :: else
        fi
    };
    if
    :: holder == self
    :: else -> goto done
    fi; /* a pause may follow */
    atomic {
        if
        :: wasPrimary[server]
        :: !wasPrimary[server] && !primary[server] && length[server] == size[server] ->
            primary[server] = true
        :: else -> goto done
        fi
    };
    if
    :: holder == self
    :: else -> goto done
    fi; /* a pause may follow */
    atomic {
        attempts++; wrote = false;
        period = (self == 1 -> 2 : 2 + attempts);
        append(server, ROW(period));
        sampled = 0; required = 0; order = 0;
        rank[0] = 0; rank[1] = 0; rank[2] = 0;
        size[0] = 0; size[1] = 0; size[2] = 0;
        wasPrimary[0] = false; wasPrimary[1] = false; wasPrimary[2] = false;
        if
        :: holder == self -> assert((acknowledged & ~held[server]) == 0)
        :: else -> goto done
        fi
    };
    if
    :: self == 2 -> goto done
    :: else -> goto serve
    fi;
done: /* clearing what is no longer used keeps the state space small */
    atomic {
        server = 0; sampled = 0; required = 0; order = 0; members = 0; pending = 0; floorWrites = 0;
        known = 0; write = 0; attempts = 0; period = 0;
        requested = false; changed = false; confirmed = false; wrote = false;
        rank[0] = 0; rank[1] = 0; rank[2] = 0;
        size[0] = 0; size[1] = 0; size[2] = 0;
        wasPrimary[0] = false; wasPrimary[1] = false; wasPrimary[2] = false;
        if :: self == 2 -> finished = true :: else fi
    }
}

/* Replicas copy at any time from any primary whose log continues theirs. */
proctype Replication() {
    byte replica, source;
    do
    :: finished -> break
    :: atomic { !finished ->
        if :: replica = 1 :: replica = 2 fi;
        if :: source = 0 :: source = 1 :: source = 2 fi;
        if
        :: !primary[replica] && primary[source] && length[replica] < length[source] &&
           logs[replica].entry[length[replica] - 1] == logs[source].entry[length[replica] - 1] ->
            do
            :: length[replica] < length[source] ->
                append(replica, logs[source].entry[length[replica]])
            :: else -> break
            od
        :: else
        fi;
        replica = 0; source = 0 }
    od
}

/* The store applies a swap at any time if the revision still matches; its answer may be lost. */
proctype Store() {
    byte owner;
    do
    :: finished -> break
    :: atomic { !finished ->
        if :: owner = 1 :: owner = 2 fi;
        if
        :: swapSet[owner] ->
            if
            :: swapRevision[owner] == revision ->
                storedSet = swapSet[owner]; revision++;
                if :: swapAnswered[owner] = true :: skip fi
            :: else
            fi;
            swapSet[owner] = 0
        :: else
        fi;
        owner = 0 }
    od
}

init {
    atomic {
        primary[0] = true;
        append(0, ROW(1));
        append(1, ROW(1));
        append(2, ROW(1));
        run Owner(1);
        run Owner(2);
        run Replication();
        run Store();
    };
    holder = 2 /* the first lease ends at any time */
}
