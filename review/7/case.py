"""LOST: a new primary crashes, and a replica that lacks the commits acknowledged before its term is promoted. See
claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
import replicated

DEAF_S = 6.5
AWAY_S = 7.0
TROUBLE_S = AWAY_S + 4.0


async def trouble(group):
    first, second, behind = (group.databases[name] for name in ("i-1", "i-2", "i-3"))
    ends = [asyncio.ensure_future(group.deafen(behind, DEAF_S))]
    await asyncio.sleep(1)
    ends.append(asyncio.ensure_future(group.crash(first, AWAY_S)))
    await asyncio.sleep(3)
    ends.append(asyncio.ensure_future(group.crash(second, AWAY_S)))
    await asyncio.wait(ends)


async def run(temporary):
    return await replicated.play(RECORD, temporary, trouble, TROUBLE_S)


replicated.standin.main(run)
