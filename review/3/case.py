"""LOST: commits that wait for a replica are taken for a failure of the primary, and a replica that is
behind is promoted. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as standin

PROXIES = 4
WRITERS = 4  # At each proxy.
DEAF_S = 6.5
DARK_S = 7.0
PROMOTE_S = 1.0
QUIET_S = 4  # Before the traffic; idle replicas report their state meanwhile.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))


async def write(deployment, port, acknowledged, stop):
    """A client of the route booking: single writes, one after the other."""
    client = standin.Client(deployment.record, "writer-%d" % port, port)
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


async def read(deployment, port, stop):
    """A client of the route slot-lookup: single reads, one after the other."""
    client = standin.Client(deployment.record, "reader-%d" % port, port)
    if not await client.open("slot-lookup"):
        return
    while not stop.is_set():
        await client.query("READ item-1")
        await asyncio.sleep(0.05)
    client.close()


async def run(temporary):
    deployment = standin.Deployment(HERE, temporary, PROXIES, ["nord-a", "centre-a", "sud-a"], 1)
    record = deployment.record
    await deployment.start()
    group = deployment.group
    group.promote_s = PROMOTE_S
    stop = asyncio.Event()
    acknowledged = []
    tasks = []
    try:
        await deployment.start_proxies("target/platform/shallotwalk-platform")
        for number in range(PROXIES):
            if not await deployment.wait_ready(number):
                return 2
        await asyncio.sleep(QUIET_S)
        for front, _ in deployment.ports:
            for _ in range(WRITERS):
                tasks.append(asyncio.ensure_future(write(deployment, front, acknowledged, stop)))
            tasks.append(asyncio.ensure_future(read(deployment, front, stop)))
        await asyncio.sleep(4)
        confirming, behind = group.replicas()
        if TROUBLE:
            record("deaf", db=behind.id)
            behind.deaf = True
            await asyncio.sleep(1)
            await group.crash(confirming)
        await asyncio.sleep(DEAF_S - 1)
        behind.deaf = False
        await asyncio.sleep(DARK_S - DEAF_S + 1)
        if TROUBLE:
            await group.revive(confirming)
        await asyncio.sleep(3)
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
