"""LOST: a replica without an entry counts as one that holds all commits, but another one, which lacks them, is
promoted. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
import replicated

CUT_S = 5.0
DEAF_S = 6.5
AWAY_S = 7.0
TROUBLE_S = AWAY_S + 4.2


async def trouble(group):
    primary, confirming, behind = (group.databases[name] for name in ("i-1", "i-2", "i-3"))
    ends = [asyncio.ensure_future(group.cut_from_store(confirming, CUT_S))]
    await asyncio.sleep(2.5)
    ends.append(asyncio.ensure_future(group.deafen(behind, DEAF_S)))
    await asyncio.sleep(1.7)
    ends.append(asyncio.ensure_future(group.crash(primary, AWAY_S)))
    await asyncio.wait(ends)


async def run(temporary):
    return await replicated.play(RECORD, temporary, trouble, TROUBLE_S)


replicated.standin.main(run)
