"""LOST: a planned replacement of the primary promotes a replica that lacks acknowledged commits.
See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as standin

PROXIES = 2
READERS = int(os.environ.get("READERS", "2"))  # Clients with transactions at each proxy.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))


async def hold_transaction(deployment, name, port, busy, stop):
    """A client of the route slot-lookup with read-only transactions: 12 statements with pauses
    where they run on the database busy, a single one elsewhere."""
    client = standin.Client(deployment.record, name, port)
    if not await client.open("slot-lookup"):
        return
    while not stop.is_set():
        await client.query("BEGIN READ")
        for _ in range(12):
            number, answer = await client.query("READ item-1")
            if not standin.is_success(answer) or deployment.group.ran[number] != busy or stop.is_set():
                break
            await asyncio.sleep(0.9)
        await client.query("COMMIT")
        await asyncio.sleep(0.05)
    client.close()


async def write(deployment, port, acknowledged, stop):
    """A client of the route booking: single writes, one after the other."""
    client = standin.Client(deployment.record, "writer", port)
    if not await client.open("booking"):
        return
    count = 0
    while not stop.is_set():
        count += 1
        number, answer = await client.query("WRITE item-%d data%d" % (count % 50, count))
        if standin.is_success(answer):
            acknowledged.append(number)
        elif answer[0].startswith("CUT"):
            break
        await asyncio.sleep(0.05)
    client.close()


async def run(temporary):
    deployment = standin.Deployment(HERE, temporary, PROXIES, ["nord-a", "centre-a"], 1)
    record = deployment.record
    await deployment.start()
    group = deployment.group
    stop = asyncio.Event()
    acknowledged = []
    tasks = []
    try:
        await deployment.start_proxies("target/platform/shallotwalk-platform")
        for number in range(PROXIES):
            if not await deployment.wait_ready(number):
                return 2
        for front, _ in deployment.ports:
            tasks.append(asyncio.ensure_future(write(deployment, front, acknowledged, stop)))
        await asyncio.sleep(0.3)
        busy = group.replicas()[0].id
        for front, _ in deployment.ports:
            for _ in range(READERS):
                name = "reader-%d" % len(tasks)
                tasks.append(asyncio.ensure_future(
                    hold_transaction(deployment, name, front, busy, stop)))
        await asyncio.sleep(3)
        # The planned replacement: the new database starts first, the old one drains 3 s later.
        if TROUBLE:
            await group.add("i-4")
        await asyncio.sleep(3)
        if TROUBLE:
            await group.drain(group.primary())
        await asyncio.sleep(6)
        stop.set()
        await asyncio.wait(tasks, timeout=5)
        if len(acknowledged) < 20:
            return 2
        # The primary's log: where a database was promoted, it began with what that one had received.
        log = {row[2] for row in group.primary().log}
        lost = [number for number in acknowledged if number not in log]
        promoted = [name for name, _ in group.promoted]
        record("verdict", promoted=promoted, acknowledged=len(acknowledged), lost=len(lost),
               first=lost[:5])
        print("promoted: %s; acknowledged commits: %d; not in the log of the primary: %d"
              % (promoted, len(acknowledged), len(lost)))
        return 1 if lost else 0
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        await deployment.stop()


standin.main(run)
