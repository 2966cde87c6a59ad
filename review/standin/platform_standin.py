"""Stand-in for the consortium platform: store, promotion call and one group of databases.

Runs in the process of a script's harness. It follows PROTOCOL.md; where the page is silent it
behaves like a sound platform or database. All addresses are loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import secrets
import time
from urllib.parse import parse_qs, unquote

HEARTBEAT_S = 1.2
PROMOTE_S = 0.6
RECEIVE_S = 0.008
SERVICE = "skipdays-core"


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, event, **fields):
        row = {"t": round(time.monotonic() - self.start, 4), "event": event, **fields}
        self.file.write(json.dumps(row) + "\n")
        self.file.flush()


class Store:
    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.promote = None

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def erase(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def end_leases(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end <= now:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    await self.erase(key)

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.05)
            await self.end_leases()

    async def call(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        name = path.rsplit("/shallotwalk/", 1)[-1]
        if path == "/promote":
            return await self.promote(headers, json.loads(body))
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return await self.transaction(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease in self.leases:
                self.leases[lease] = (0, 0)
                await self.end_leases()
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000

        def news():
            prefix = query.get("prefix", "")
            return [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]

        async with self.changed:
            while not news() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return 200, {"events": news(), "store_revision": self.revision}

    async def transaction(self, body):
        present = []
        holds = True
        for row in body.get("expected_rev", []):
            item = self.items.get(row["key"], {"key": row["key"], "value": "", "revision": 0})
            holds = holds and item["revision"] == row["revision"]
            present.append(item)
        if not holds:
            return 412, {"items": present}
        for write in body.get("writes", []):
            if write.get("lease", 0) not in (0, *self.leases):
                return 404, {}
        for write in body.get("writes", []):
            await self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("deletes", []):
            await self.erase(key)
        return 200, {"revision": self.revision}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    key, _, value = line.partition(":")
                    headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.call(method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Session:
    """State of one connection to a database."""

    def __init__(self, writer):
        self.writer = writer
        self.name = ""
        self.open = False
        self.failed = False
        self.plain = False
        self.term = 0
        self.writes = []
        self.values = {}
        self.prepared = {}

    def end(self):
        self.open = self.failed = self.plain = False
        self.writes = []


class Database:
    def __init__(self, group, name):
        self.group = group
        self.id = name
        self.primary = False
        self.term = 1
        self.log = []  # Rows of (term, number, statement id, item, data), as received.
        self.applied = 0
        self.paused_until = 0
        self.deaf = False
        self.crashed = False
        self.draining = False
        self.sessions = set()
        self.work_s = 0.003
        self.asked = 0  # STATUS and PAUSE that were answered with a row.
        self.server = None
        self.port = 0

    @property
    def position(self):
        return "%d.%d" % (self.log[self.applied - 1][:2] if self.applied else (self.term, 0))

    @property
    def received(self):
        return "%d.%d" % (self.log[-1][:2] if self.log else (self.term, 0))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        """The process is gone: connections end, and new ones are refused."""
        self.crashed = True
        self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()

    async def serve(self, reader, writer):
        session = Session(writer)
        self.sessions.add(session)
        try:
            while True:
                # A line ends with CR LF, as the page says.
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                answer = await self.answer(session, line)
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
        if word == "BYE":
            return None
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != SERVICE or (len(fields) > 2 and fields[2] != self.id):
                session.writer.write(b"ERR MISROUTED %s\r\n" % self.id.encode())
                return None
            session.name = fields[1] if len(fields) > 1 else ""
            await asyncio.sleep(0.012)
            return self.ready(session)
        if word != "QUERY":
            return None
        number, _, text = rest.partition(" ")
        verb, _, operand = text.partition(" ")
        if verb == "AFTER":
            after, _, text = operand.partition(" ")
            verb, _, operand = text.partition(" ")
            place = tuple(int(x) for x in after.split("."))
            here = tuple(int(x) for x in self.position.split("."))
            if here < place and not here[0] > place[0]:
                return self.fail(session, "LAGGING")
        return await self.run(session, number, text, verb, operand)

    async def run(self, session, number, text, verb, operand):
        done = "DONE -\r\n"
        if verb == "ROLLBACK":
            session.end()
            return done + self.ready(session)
        if session.failed and verb == "COMMIT":
            session.end()
            return "ERR ABORTED\r\n" + self.ready(session)
        if session.failed:
            return self.fail(session, "MALFORMED")
        if verb == "SET":
            name, _, session.values[name] = operand.partition(" ")
            return done + self.ready(session)
        if verb == "RESET":
            session.values, session.prepared = {}, {}
            return done + self.ready(session)
        if verb == "PREPARE":
            name, access, shape = operand.split(" ", 2)
            session.prepared[name] = (access, shape)
            return done + self.ready(session)
        if verb == "BEGIN":
            if session.open:
                return self.fail(session, "MALFORMED")
            if not operand and not self.primary:
                return self.fail(session, "READONLY " + self.id)
            session.open, session.plain, session.term = True, not operand, self.term
            return done + self.ready(session)
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if verb == "PAUSE" and not self.primary and int(operand) > self.group.term:
                self.paused_until = int(operand)
            if verb == "RESUME":
                self.paused_until = 0
            self.asked += 1
            row = "%s %d %s %d 0 0 %d" % (
                "primary" if self.primary else "replica",
                self.term,
                self.received,
                self.paused_until,
                len(self.sessions),
            )
            self.group.record("report", db=self.id, verb=verb, row=row)
            return "ROW %s\r\n%s%s" % (row, done, self.ready(session))
        await asyncio.sleep(self.work_s)
        if session.plain and not (self.primary and session.term == self.term):
            if verb != "COMMIT" or session.writes:
                return self.fail(session, "READONLY " + self.id)
        if verb == "COMMIT":
            if not session.open:
                return self.fail(session, "MALFORMED")
            writes = session.writes
            session.end()
            return await self.commit(session, number, text, writes)
        if verb == "EXEC":
            name, _, operand = operand.partition(" ")
            if name not in session.prepared:
                return self.fail(session, "NOSTMT")
            verb = session.prepared[name][0]
        if verb == "READ":
            data = "none"
            for _, _, _, item, value in self.log[: self.applied]:
                data = value if item == operand else data
            return "ROW %s\r\n%s" % (data, self.success(session, number, text))
        if verb == "WRITE":
            item, _, data = operand.partition(" ")
            if not self.primary or (session.open and not session.plain):
                return self.fail(session, "READONLY " + self.id)
            if session.open:
                session.writes.append((number, item, data))
                return self.success(session, number, text)
            return await self.commit(session, number, text, [(number, item, data)])
        return self.fail(session, "MALFORMED")

    def success(self, session, number, text):
        signature = secrets.token_hex(8)
        self.group.ran[number] = self.id
        self.group.texts[number] = text
        self.group.record("run", db=self.id, by=session.name, id=number, text=text, signature=signature)
        return "DONE %s\r\n%s" % (signature, self.ready(session))

    async def commit(self, session, number, text, writes):
        if writes:
            if not await self.group.commit(self, writes):
                return self.fail(session, "READONLY " + self.id)
        return self.success(session, number, text)


class Group:
    """One service with its databases, its entries in the store, and its promotions."""

    def __init__(self, store, record, ids, sync_replicas=0):
        self.store = store
        self.record = record
        self.sync_replicas = sync_replicas
        self.databases = {name: Database(self, name) for name in ids}
        self.databases[ids[0]].primary = True
        self.term = 1
        self.tokens = 0
        self.next_leader = None
        self.promote_s = PROMOTE_S
        self.promoted = []
        self.texts = {}  # Id of a statement that ran, and its text without AFTER.
        self.ran = {}  # Id of a statement that ran, and the database.
        self.born = int(time.time() * 1000)
        store.promote = self.promote

    def primary(self):
        return next((d for d in self.databases.values() if d.primary), None)

    def replicas(self):
        return [d for d in self.databases.values() if not d.primary]

    async def start(self):
        for database in self.databases.values():
            await database.start()
            await self.register(database)

    async def add(self, name):
        """A new database joins with the log transferred to it."""
        database = self.databases[name] = Database(self, name)
        database.log = list(self.primary().log)
        database.applied = len(database.log)
        database.term = self.term
        await database.start()
        await self.register(database)

    async def drain(self, database):
        self.record("draining", db=database.id)
        database.draining = True
        await self.register(database)

    async def register(self, database):
        entry = {
            "service": SERVICE,
            "address": "127.0.0.1:%d" % database.port,
            "zone": "nord-a",
            "version": "v1",
            "slots": 2,
            "state": "draining" if database.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if database.primary else "replica",
            "born": getattr(database, "born", self.born),
            "seq_no": 1,
        }
        await self.store.put("servers/" + database.id, json.dumps(entry).encode())

    async def crash(self, database):
        self.record("crash", db=database.id)
        await database.crash()

        async def expire():
            # The entry is removed after three heartbeat intervals of silence.
            await asyncio.sleep(3 * HEARTBEAT_S)
            if database.crashed:
                await self.store.erase("servers/" + database.id)

        asyncio.ensure_future(expire())

    async def revive(self, database):
        """A replica comes back with its log, without what a promotion has rolled back."""
        log = self.primary().log
        same = 0
        while same < min(len(log), len(database.log)) and log[same] == database.log[same]:
            same += 1
        database.log = log[:]
        database.applied = len(log)
        database.term = self.term
        database.paused_until = 0
        database.crashed = False
        database.born = int(time.time() * 1000)
        self.record("back", db=database.id, kept=same)
        await database.start()
        await self.register(database)

    def receive(self, replica, upto):
        """Passes the primary's log up to \a upto to a replica, unless it receives nothing."""
        primary = self.primary()
        if replica.deaf or replica.crashed or replica.paused_until > self.term:
            return False
        if primary is None or primary.crashed:
            return False
        replica.log.extend(primary.log[len(replica.log) : upto])
        replica.applied = len(replica.log)
        replica.term = self.term
        return len(replica.log) >= upto

    async def commit(self, database, writes):
        term = self.term
        if not database.primary:
            return False
        for number, item, data in writes:
            database.log.append((term, len(database.log) + 1, number, item, data))
        upto = database.applied = len(database.log)
        await asyncio.sleep(RECEIVE_S)
        while True:
            if database.crashed or self.term != term:
                # Whether the commit is kept is unknown here, so nothing is answered.
                raise ConnectionResetError
            received = sum(self.receive(r, upto) for r in self.replicas())
            if received >= self.sync_replicas:
                return True
            await asyncio.sleep(0.005)

    async def promote(self, headers, body):
        token = int(headers["x-fencing-token"])
        chosen = self.databases.get(body["id"])
        self.record(
            "promote", id=body["id"], token=token, holder=headers["x-duty-holder"],
            received=chosen.received if chosen else "",
        )
        if token < self.tokens or chosen is None or chosen.crashed:
            return 409, {}
        self.tokens = token
        if not chosen.primary:
            asyncio.ensure_future(self.lead(chosen, token))
        return 200, {}

    async def lead(self, chosen, token):
        """The chosen database leads the next term with what it has received, some hundred
        milliseconds after the call. A repeated call changes nothing."""
        if self.next_leader == (chosen.id, token):
            return
        self.next_leader = (chosen.id, token)
        await asyncio.sleep(self.promote_s)
        if token < self.tokens or chosen.crashed:
            return
        self.term += 1
        for database in self.databases.values():
            database.primary = database is chosen
            if database is not chosen:
                database.log = list(chosen.log)
                database.applied = len(database.log)
            database.term = self.term
            database.paused_until = 0
            if not database.crashed:
                await self.register(database)
        self.promoted.append((chosen.id, {row[2] for row in chosen.log}))
        self.record("leads", db=chosen.id, term=self.term, commits=len(chosen.log),
                    last=chosen.log[-1][2] if chosen.log else "")


class Client:
    """One session of a client on a proxy."""

    def __init__(self, record, name, port):
        self.record = record
        self.name = name
        self.port = port
        self.numbers = itertools.count(1)

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(b"START %s u-%s\r\n" % (database.encode(), self.name.encode()))
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        self.record("opened", client=self.name, answer=line.decode().strip())
        return line.startswith(b"READY")

    def next_id(self):
        return secrets.token_hex(8)

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_answer(self, timeout):
        rows = []
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
            rows.append(line)
            if line.startswith("READY"):
                return rows

    async def query(self, text, timeout=5):
        number = self.next_id()
        self.record("sent", client=self.name, id=number, text=text)
        try:
            await self.send(("QUERY %s %s\r\n" % (number, text)).encode())
            answer = await self.read_answer(timeout)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as error:
            answer = ["CUT " + type(error).__name__]
        self.record("answer", client=self.name, id=number, lines=answer)
        return number, answer

    def close(self):
        self.writer.close()


def is_success(answer):
    return any(line.startswith("DONE") for line in answer)


class Deployment:
    """The stand-in of the platform and the project's own proxies as processes."""

    def __init__(self, folder, temporary, proxies, zones, sync_replicas=0):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = temporary
        self.count = proxies
        self.zones = zones
        self.sync_replicas = sync_replicas
        self.processes = []
        self.ports = []

    async def start(self):
        self.store = Store(self.record)
        self.store_server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = self.store_server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.store.run_leases())
        self.group = Group(self.store, self.record, ["i-1", "i-2", "i-3"], self.sync_replicas)
        await self.group.start()
        await self.configure()

    async def configure(self):
        def route(host, kind, staleness, timeout, goal):
            return {
                "name": "r-" + host, "host": host, "service": SERVICE, "route_type": kind,
                "max_staleness_ms": staleness, "timeout_ms": timeout, "goal_ms": goal, "priority": 1,
            }

        body = {
            "version": 1,
            "routes": [
                route("booking", "primary", 0, 800, 300),
                route("slot-lookup", "bounded_staleness", 1500, 1500, 600),
                route("driver-confirm", "read_own_writes", 2500, 800, 500),
            ],
            "services": [
                {"name": SERVICE, "max_conns": 16, "sync_replicas": self.sync_replicas}
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        await self.store.put("op/config", json.dumps(body).encode())

    def free_ports(self, count):
        import socket

        sockets = [socket.socket() for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        return ports

    async def start_proxies(self, program):
        for number in range(self.count):
            front, ready, control, internal = self.free_ports(4)
            zone = self.zones[number % len(self.zones)]
            settings = {
                "node_name": "front-%s-%d" % (zone, number + 1),
                "role": "proxy", "machine_class": "front", "serves": ["front"],
                "ip": "127.0.0.1", "zone": zone, "region": zone.split("-")[0],
                "zones": {z: z.split("-")[0] for z in self.zones},
                "listen": {
                    "front": "127.0.0.1:%d" % front, "ready": "127.0.0.1:%d" % ready,
                },
                "internal_ports": [internal, internal],
                "seeds": [], "bootstrap": True, "counts_as_loss": False,
                "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 390, "max_fds": 6300},
                "data_dir": None, "discovery": "platform", "entry": "vip",
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "bounds": {
                    "drain_ms": 7000, "grace_s": 6, "config_apply_ms": 3000, "stable_ms": 4000,
                    "fencing_required": True,
                },
                "platform": {"address": "127.0.0.1:%d" % self.store_port, "form": "kv"},
                "cloud_api": {
                    "address": "127.0.0.1:%d" % self.store_port, "duties": ["promotion"],
                },
            }
            path = os.path.join(self.temporary, "front-%d.json" % number)
            with open(path, "w") as file:
                json.dump(settings, file)
            log = open(os.path.join(self.temporary, "front-%d.log" % number), "w")
            environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
            environment["SHALLOTWALK_BOOT"] = path
            process = await asyncio.create_subprocess_exec(
                *program.split(), env=environment, stdout=log, stderr=log
            )
            self.processes.append(process)
            self.ports.append((front, ready))
            self.record("started", proxy=settings["node_name"], pid=process.pid)

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number][1])
            writer.write(b"GET /shallotwalk/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (ConnectionError, asyncio.TimeoutError, OSError):
            return False

    async def wait_ready(self, number, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready(number):
                return True
            await asyncio.sleep(0.01)
        return False

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), 8)
            except asyncio.TimeoutError:
                process.kill()
                await process.wait()


def main(run):
    """Runs \a run(temporary folder), which returns the exit code, and ends the process with it."""
    import signal
    import sys
    import tempfile

    async def guarded(temporary):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await run(temporary)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(guarded(temporary))
        except (Exception, asyncio.CancelledError) as error:
            print("the case could not run:", repr(error))
            code = 2
    # Sockets that are still referenced would complain about the closed event loop.
    sys.stdout.flush()
    os._exit(code)
