"""Databases of one service with sync_replicas 1, the platform and its clients, for the cases that look for
lost commits. Follows PROTOCOL.md; the store, the client and the processes are those of review/standin."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as standin

PROXIES = 4
WRITERS = 4  # At each proxy.
QUIET_S = 4  # Before the traffic; idle replicas report their state meanwhile.
PROMOTE_S = 1.0
RECEIVE_S = 0.008
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Database:
    """One database of the group, by PROTOCOL.md."""

    def __init__(self, group, name):
        self.group = group
        self.id = name
        self.primary = False
        self.term = 1
        self.log = []  # Rows of (term, number, statement id), as received.
        self.paused_until = 0
        self.deaf = False  # Receives nothing.
        self.reaches_store = True
        self.crashed = False
        self.awake = asyncio.Event()  # Cleared: dark, no answer to anything.
        self.awake.set()
        self.born = int(time.time() * 1000)
        self.sessions = set()
        self.server = None
        self.port = 0
        self.registered = None

    def runs(self):
        return not self.crashed and self.awake.is_set()

    @property
    def position(self):
        return "%d.%d" % (self.log[-1][:2] if self.log else (self.term, 0))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        self.crashed = True
        self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()

    async def serve(self, reader, writer):
        session = standin.Session(writer)
        self.sessions.add(session)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self.awake.wait()
                answer = await self.answer(session, line)
                await self.awake.wait()
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.sessions.discard(session)
            writer.close()

    def ready(self, session):
        state = "E" if session.failed else "T" if session.open else "I"
        return "READY %s %s\r\n" % (state, self.position)

    def fail(self, session, code):
        if session.open:
            session.failed = True
            session.writes = []
        return "ERR %s\r\n%s" % (code, self.ready(session))

    async def answer(self, session, line):
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != standin.SERVICE or (len(fields) > 2 and fields[2] != self.id):
                session.writer.write(b"ERR MISROUTED %s\r\n" % self.id.encode())
                return None
            await asyncio.sleep(0.012)
            return self.ready(session)
        if word != "QUERY":
            return None
        number, _, text = rest.partition(" ")
        verb, _, operand = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return await self.control(session, verb, operand)
        done = "DONE -\r\n"
        if verb == "ROLLBACK":
            session.end()
            return done + self.ready(session)
        if verb in ("SET", "RESET"):
            return done + self.ready(session)
        if verb == "BEGIN":
            if not operand and not self.primary:
                return self.fail(session, "READONLY " + self.id)
            session.open, session.plain = True, not operand
            return done + self.ready(session)
        await asyncio.sleep(0.003)
        if verb == "READ":
            self.group.record("run", db=self.id, id=number, text=text)
            return "ROW x\r\nDONE s.%s\r\n%s" % (number, self.ready(session))
        if verb == "WRITE" and not session.open:
            if not await self.group.commit(self, number):
                return self.fail(session, "READONLY " + self.id)
            return "DONE s.%s\r\n%s" % (number, self.ready(session))
        return self.fail(session, "MALFORMED")

    async def control(self, session, verb, operand):
        if verb == "PAUSE" and not self.primary and int(operand) > self.group.term:
            self.paused_until = int(operand)
        if verb == "RESUME":
            self.paused_until = 0
        if verb == "DEMOTE" and self.primary and int(operand) > self.term:
            self.primary = False
            await self.group.register(self)
        role = "primary" if self.primary else "replica"
        row = "%s %d %s %d 0 0 %d" % (
            role, self.term, self.position, self.paused_until, len(self.sessions),
        )
        if verb != "STATUS":
            self.group.record("control", db=self.id, verb=verb, operand=operand, row=row)
        return "ROW %s\r\nDONE -\r\n%s" % (row, self.ready(session))


class Group:
    """One service with sync_replicas 1: its databases, their entries in the store, and its promotions."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.databases = {name: Database(self, name) for name in ("i-1", "i-2", "i-3")}
        self.databases["i-1"].primary = True
        self.term = 1
        self.tokens = 0
        self.orders = set()
        self.promoted = []  # Pairs of a database and the ids in its log when it began to lead.
        store.promote = self.promote

    async def start(self):
        for database in self.databases.values():
            await database.start()
            await self.register(database)

    async def register(self, database):
        entry = json.dumps({
            "service": standin.SERVICE,
            "address": "127.0.0.1:%d" % database.port,
            "zone": "nord-a", "version": "v1", "slots": 3, "state": "ready", "cold_left_ms": 0,
            "db_role": "primary" if database.primary else "replica",
            "born": database.born, "seq_no": 1,
        })
        if database.runs() and database.reaches_store and database.registered != entry:
            database.registered = entry
            await self.store.put("servers/" + database.id, entry.encode())

    async def expire(self, database):
        """The entry is removed after three heartbeat intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not database.runs():
            database.registered = None
            self.record("entry removed", db=database.id)
            await self.store.erase("servers/" + database.id)

    def roll_back(self, database):
        """Drops what a promotion has rolled back, once the database hears of it."""
        if self.promoted and database.term < self.term and not database.primary:
            kept = self.promoted[-1][1]
            database.log = [row for row in database.log if row[2] in kept]
            database.term = self.term

    async def crash(self, database, seconds):
        self.record("crash", db=database.id, primary=database.primary)
        database.stop()
        asyncio.ensure_future(self.expire(database))
        await asyncio.sleep(seconds)
        database.crashed = False
        database.paused_until = 0
        database.born = int(time.time() * 1000)
        self.roll_back(database)
        self.record("back", db=database.id, primary=database.primary, position=database.position)
        await database.start()
        await self.register(database)

    async def darken(self, database, seconds):
        self.record("dark", db=database.id, primary=database.primary)
        database.awake.clear()
        asyncio.ensure_future(self.expire(database))
        await asyncio.sleep(seconds)
        database.awake.set()
        self.roll_back(database)
        self.record("answers again", db=database.id, position=database.position)
        await self.register(database)

    async def cut_from_store(self, database, seconds):
        """The database goes on, but its heartbeats don't arrive."""
        self.record("cut from the store", db=database.id)
        database.reaches_store = False
        await asyncio.sleep(3 * HEARTBEAT_S)
        database.registered = None
        self.record("entry removed", db=database.id)
        await self.store.erase("servers/" + database.id)
        await asyncio.sleep(seconds - 3 * HEARTBEAT_S)
        self.record("reaches the store again", db=database.id)
        await asyncio.sleep(HEARTBEAT_S / 2)
        database.reaches_store = True
        await self.register(database)

    async def deafen(self, database, seconds):
        """The replica receives nothing."""
        self.record("deaf", db=database.id)
        database.deaf = True
        await asyncio.sleep(seconds)
        database.deaf = False
        self.record("receives again", db=database.id)

    def receive(self, replica, primary, upto):
        """Passes the primary's log to a replica, unless that receives nothing."""
        if replica.deaf or not replica.runs() or replica.paused_until > self.term:
            return False
        replica.log.extend(primary.log[len(replica.log) : upto])
        replica.term = self.term
        return True

    async def replicate(self):
        while True:
            await asyncio.sleep(RECEIVE_S)
            for primary in [d for d in self.databases.values() if d.primary and d.runs()]:
                for replica in self.databases.values():
                    if replica is not primary:
                        self.receive(replica, primary, len(primary.log))

    async def commit(self, database, number):
        """Returns once one replica has received the commit."""
        term = self.term
        if not database.primary:
            return False
        database.log.append((term, len(database.log) + 1, number))
        self.record("run", db=database.id, id=number, text="WRITE", position=database.position)
        upto = len(database.log)
        while True:
            await asyncio.sleep(RECEIVE_S / 2)
            if not database.runs() or self.term != term or not database.primary:
                raise ConnectionResetError  # Whether the commit is kept is unknown here.
            holders = [d.id for d in self.databases.values() if d is not database and len(d.log) >= upto]
            if holders:
                self.record("confirmed", db=database.id, id=number, by=holders)
                return True

    async def promote(self, headers, body):
        token = int(headers["x-fencing-token"])
        chosen = self.databases.get(body["id"])
        taken = token >= self.tokens and chosen is not None and chosen.runs()
        self.record("promote", id=body["id"], token=token, holder=headers["x-duty-holder"],
                    received=chosen.position if chosen else "", taken=taken)
        if not taken:
            return 409, {}
        self.tokens = token
        if not chosen.primary and (chosen.id, token) not in self.orders:
            self.orders.add((chosen.id, token))
            asyncio.ensure_future(self.lead(chosen, token))
        return 200, {}

    async def lead(self, chosen, token):
        await asyncio.sleep(PROMOTE_S)
        if token < self.tokens or not chosen.runs():
            return
        self.term += 1
        self.promoted.append((chosen.id, {row[2] for row in chosen.log}))
        for database in self.databases.values():
            database.primary = database is chosen
            if database.runs():
                self.roll_back(database)
                database.term = self.term
                database.paused_until = 0
        self.record("leads", db=chosen.id, term=self.term, commits=len(chosen.log))
        for database in self.databases.values():
            await self.register(database)


async def write(deployment, port, acknowledged, stop):
    """A client of the route booking: single writes, one after the other, on a new session after a cut."""
    count = 0
    while not stop.is_set():
        client = standin.Client(deployment.record, "writer-%d" % port, port)
        try:
            if not await client.open("booking"):
                continue
            while not stop.is_set():
                count += 1
                number, answer = await client.query("WRITE item-%d data%d" % (count % 50, count))
                if standin.is_success(answer):
                    acknowledged.append(number)
                elif answer[0].startswith("CUT"):
                    break
                await asyncio.sleep(0.05)
            client.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)


async def play(record_path, temporary, trouble, trouble_s):
    """Runs the deployment with the coroutine \a trouble, which takes about \a trouble_s; returns the exit code.
    What was sent, answered and run goes to \a record_path."""
    deployment = standin.Deployment(temporary, temporary, PROXIES, ["nord-a", "centre-a", "sud-a"], 1)
    record = deployment.record = standin.Record(record_path)
    deployment.store = standin.Store(record)
    server = await asyncio.start_server(deployment.store.serve, "127.0.0.1", 0)
    deployment.store_port = server.sockets[0].getsockname()[1]
    group = Group(deployment.store, record)
    stop = asyncio.Event()
    acknowledged = []
    tasks = [asyncio.ensure_future(deployment.store.run_leases()),
             asyncio.ensure_future(group.replicate())]
    try:
        await group.start()
        await deployment.configure()
        await deployment.start_proxies("target/platform/shallotwalk-platform")
        for number in range(PROXIES):
            if not await deployment.wait_ready(number):
                return 2
        await asyncio.sleep(QUIET_S)
        for front, _ in deployment.ports:
            for _ in range(WRITERS):
                tasks.append(asyncio.ensure_future(write(deployment, front, acknowledged, stop)))
        await asyncio.sleep(4)
        if TROUBLE:
            await trouble(group)
        else:
            await asyncio.sleep(trouble_s)
        await asyncio.sleep(4)
        stop.set()
        await asyncio.sleep(1)
        if len(acknowledged) < 100:
            return 2
        # The rule: an acknowledged commit isn't in the log of the database that is promoted.
        log = {row[2] for d in group.databases.values() if d.primary for row in d.log}
        lost = [number for number in acknowledged if number not in log]
        promoted = [name for name, _ in group.promoted]
        record("verdict", promoted=promoted, acknowledged=len(acknowledged), lost=len(lost),
               first=lost[:5])
        print("promoted: %s; acknowledged commits: %d; not in the log of the primary: %d"
              % (promoted, len(acknowledged), len(lost)))
        return 1 if lost else 0
    finally:
        stop.set()
        # Connections that end with the script are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in tasks:
            task.cancel()
        await deployment.stop()

