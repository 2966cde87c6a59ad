"""UNASKED: a line feed inside a statement becomes the end of a message. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_standin as standin

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))


async def run(temporary):
    deployment = standin.Deployment(HERE, temporary, 1, ["nord-a"])
    record = deployment.record
    await deployment.start()
    group = deployment.group
    try:
        await deployment.start_proxies("target/platform/shallotwalk-platform")
        if not await deployment.wait_ready(0):
            return 2
        client = standin.Client(record, "client", deployment.ports[0][0])
        if not await client.open("booking"):
            return 2
        _, answer = await client.query("WRITE item-1 first")
        if not standin.is_success(answer):
            return 2
        sent, inner = client.next_id(), client.next_id()
        separator = "\n" if TROUBLE else " "
        text = "READ item-1%sQUERY %s WRITE item-1 second" % (separator, inner)
        # One message: the only CR LF is at its end.
        record("sent", client="client", id=sent, text=text)
        await client.send(("QUERY %s %s\r\n" % (sent, text)).encode())
        end = asyncio.get_running_loop().time() + 2
        while asyncio.get_running_loop().time() < end:
            try:
                record("answer", lines=await client.read_answer(0.5))
            except (asyncio.TimeoutError, asyncio.IncompleteReadError):
                break
        # An ordinary write whose data has two lines.
        client = standin.Client(record, "client", deployment.ports[0][0])
        if not await client.open("booking"):
            return 2
        lines = "WRITE item-2 two%slines" % separator
        number, answer = await client.query(lines)
        ran = group.texts.get(number)
        log = [row[2:] for row in group.primary().log]
        record("verdict", inner=inner, ran=inner in group.ran, sent=lines, text=ran, log=log)
        print("the database ran the statement inside the statement: %s" % (inner in group.ran))
        print("sent: %r; run: %r; answer: %r" % (lines, ran, answer))
        return 1 if inner in group.ran or (ran is not None and ran != lines) else 0
    finally:
        await deployment.stop()


standin.main(run)
