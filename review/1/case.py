"""LOST: a database that joins while the primary is being replaced confirms commits that the promoted
database lacks. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as standin

PROXIES = 4
GAP_S = 1.0  # Between two databases of a release.
PROMOTE_S = 1.0
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
        for front, _ in deployment.ports:
            tasks.append(asyncio.ensure_future(write(deployment, front, acknowledged, stop)))
        await asyncio.sleep(6)
        # The databases are replaced one after the other: the new one starts first, the old one
        # drains. The primary is the first of them.
        if TROUBLE:
            for old, new in (("i-1", "i-4"), ("i-2", "i-5")):
                await group.add(new)
                await group.drain(group.databases[old])
                await asyncio.sleep(GAP_S)
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
