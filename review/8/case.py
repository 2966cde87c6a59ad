"""LOST: a replica that is silent drops out of the check for a moment when its entry is removed, and one that
lacks the commits which it has confirmed is promoted. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
import replicated

DEAF_S = 6.5
AWAY_S = 7.0
TROUBLE_S = AWAY_S + 1.2


async def trouble(group):
    primary, confirming, behind = (group.databases[name] for name in ("i-1", "i-2", "i-3"))
    ends = [asyncio.ensure_future(group.deafen(behind, DEAF_S))]
    await asyncio.sleep(1)
    ends.append(asyncio.ensure_future(group.darken(confirming, AWAY_S)))
    await asyncio.sleep(0.2)
    ends.append(asyncio.ensure_future(group.crash(primary, AWAY_S)))
    await asyncio.wait(ends)


async def run(temporary):
    return await replicated.play(RECORD, temporary, trouble, TROUBLE_S)


replicated.standin.main(run)
