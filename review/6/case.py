"""Case 6: a stream without a length whose server is reclaimed. See claim.txt."""

import asyncio
import os
import re
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_2"))

from deployment import Gateways, Record, SUBNET, Store, read_answer  # noqa: E402
from engine import Engine  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["a", "b", "c"]
EVENTS = 60
ENGINES = 7
STREAMS_PER_S = 45
SECONDS = 36
# Three of the engines (0.43) send 0.05 of their answers without a length.
UNFRAMING_ENGINES = 3
UNFRAMED = 0.05
# A spot engine is gone 2 s after its notice, and another comes 4 s later; one
# of seven engines at a time (0.14).
NOTICE_S = 2.0
REPLACED_AFTER_S = 4.0
FIRST_NOTICE_S = 5.0
NOTICE_EVERY_S = 6.0
KEY = "key-1"

MANIFEST = {
    "version": 7,
    "routes": [{"name": "menu", "host": "menza.example", "pathPrefix": "/menu/",
                "routeKind": "stream", "timeoutMs": 15000, "targetLatencyMs": 1000,
                "priority": 1, "service": "pool", "maxAttempts": 1, "anonymous": False,
                "sticky": True, "resumable": False, "gapTargetMs": 500}],
    "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 370,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kvCapacity": 765419, "kvTokenBytes": 18432,
                             "linkMbps": 550000.0, "moves": True, "backups": True,
                             "stride": 1, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                             "handleS": 5.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": [KEY], "priority": 1, "unit": "token_count",
                 "plainTokens": 200, "ratePerS": 500000, "burst": 500000}]}


async def stream(node, number, record):
    """Sends one request and returns its answer and the ids of its events."""
    name = "r-%04d" % number
    await asyncio.sleep(number / STREAMS_PER_S)
    record.line("sent %s to %s" % (name, node["ip"]))
    reader, writer = await asyncio.open_connection(node["ip"], node["callers"])
    body = b"menu %d" % number
    writer.write(b"POST /menu/2f HTTP/1.1\r\nHost: menza.example\r\nRequest-Id: %s\r\n"
                 b"Model: m\r\nToken-Count: 1460,%d\r\nPrompt-Prefix: %x:800,%x:660\r\n"
                 b"Deadline-Ms: 15000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n"
                 % (name.encode(), EVENTS, 0x20000 + number % 50, 0x10000 + number, KEY.encode(), len(body)) + body)
    answer = await asyncio.wait_for(read_answer(reader), 20)
    writer.close()
    ids = [int(found) for found in re.findall(rb"id: (\d+)\n", answer.body)]
    whole = ids == list(range(1, EVENTS + 1))
    record.line("answer %s status %d %s events %d last %d" % (
        name, answer.status, "complete" if answer.complete else "cut", len(ids),
        ids[-1] if ids else 0))
    return answer, whole


async def take_away(engines, record):
    """Takes the engines away one after the other, each with its notice."""
    await asyncio.sleep(FIRST_NOTICE_S)
    for number in range(int((SECONDS - FIRST_NOTICE_S) / NOTICE_EVERY_S) + 1):
        engine = engines[number % UNFRAMING_ENGINES]
        record.line("notice to %s, gone in %.1f s, %d runs"
                    % (engine.id, NOTICE_S, len(engine.runs)))
        engine.notice(NOTICE_S)
        await asyncio.sleep(REPLACED_AFTER_S)
        await engine.start()
        record.line("new %s" % engine.id)
        await asyncio.sleep(NOTICE_EVERY_S - REPLACED_AFTER_S)


async def play(record):
    store = Store()
    await store.start()
    store.put("config", "main", MANIFEST)
    engines = [Engine(store, record, "pool", ZONES[i % 3], 100 + i, 64, 134)
               for i in range(ENGINES)]
    for i, engine in enumerate(engines):
        engine.fleet = engines
        engine.spot = True
        engine.unframed = UNFRAMED if i < UNFRAMING_ENGINES else 0.0
        await engine.start()
    gateways = Gateways(store, ZONES, 2)
    try:
        await gateways.start()
        if not await gateways.wait_ready():
            return 2
        await asyncio.sleep(1)
        calls = [asyncio.ensure_future(stream(gateways.nodes[i % 2], i, record))
                 for i in range(STREAMS_PER_S * SECONDS)]
        trouble = asyncio.ensure_future(take_away(engines, record)) if TROUBLE else None
        results = await asyncio.gather(*calls)
        if trouble:
            trouble.cancel()
    finally:
        await gateways.stop()
    served = [result for result in results if 200 <= result[0].status < 300]
    whole = sum(1 for answer, is_whole in served if answer.complete and is_whole)
    short = sum(1 for answer, is_whole in served if answer.complete and not is_whole)
    cut = sum(1 for answer, _ in served if not answer.complete)
    result = ("streams %d, whole %d, cut %d, refused or failed %d, "
              "complete before their last piece %d"
              % (len(results), whole, cut, len(results) - len(served), short))
    record.line(result)
    print(result)
    if whole < len(results) / 2:
        return 2
    return 1 if short else 0


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    record.line("subnet %s, trouble %s" % (SUBNET, TROUBLE))
    try:
        return asyncio.run(asyncio.wait_for(play(record), 100))
    except Exception as error:  # The case could not run to its end.
        print("could not run: %r" % error)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
