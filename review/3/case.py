"""The name service is slow: it answers each query a second later. Does an engine that drains still get new work?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import HOST, LOAD, LOOKUP, REPORT, Engine, Manager, NameService, known, request, settings

ANSWER_AFTER_S = 1.0  # below the 1.5 s at which an event counts as told at the latest (PROTOCOL)
DRAIN_AT_S = 4.0
END_AFTER_S = 12.0  # after its drain began, the engine's process ends and leaves the list
RUN_FOR_S = 24.0
LOOKUP_EVERY_S, LOAD_EVERY_S = 0.05, 0.08
LOOKUP_MS, LOAD_MS = 40, 1500
TOLD_LATEST_S = 7.0  # "counts as told 7 s later at the latest, whether it arrived or not" (PROTOCOL, Figures)
GRACE_S = 0.5 + 0.05  # safety.drainGraceMs, and 50 ms on sockets
STATEMENT = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE work_ms = {}"
# "On some days ... the settings mark a class as unsafe to repeat" (STANDING)
ONCE = {**LOAD, "idempotency": "once"}


async def send(record, manager, usual, sort, work_ms, every_s, ttl_ms, until):
    while record.now() < until:
        one = request(record, manager.port, sort, STATEMENT.format(work_ms), ttl_ms)
        usual.append(asyncio.create_task(one))
        await asyncio.sleep(every_s)


async def case(record, folder, trouble):
    engines = [Engine(record, f"s-{number}", kind="std-8" if number < 4 else "std-16") for number in range(6)]
    for engine in engines:
        await engine.start()
    names = NameService(record, engines, delay=lambda: ANSWER_AFTER_S if trouble else 0.001)
    await names.start()
    manager = Manager(record, folder, {"resolver": f"{HOST}:{names.port}", "known": known(engines),
                                       "settings": settings([LOOKUP, REPORT, ONCE])})
    leaving = engines[0]
    try:
        await manager.start()
        began, usual = record.now(), []
        senders = [
            asyncio.create_task(send(record, manager, usual, "lookup", LOOKUP_MS, LOOKUP_EVERY_S, 5000,
                                     began + RUN_FOR_S)),
            asyncio.create_task(send(record, manager, usual, "load", LOAD_MS, LOAD_EVERY_S, 25000,
                                     began + RUN_FOR_S))]
        await asyncio.sleep(DRAIN_AT_S)
        drained_at = record.now()
        names.change(leaving.name, 1)
        await asyncio.sleep(END_AFTER_S)
        names.change(leaving.name, None)
        leaving.end()
        await asyncio.gather(*senders)
        results = await asyncio.gather(*usual)
    finally:
        await manager.stop()
    kinds = {}
    for result in results:
        kinds[result["kind"]] = kinds.get(result["kind"], 0) + 1
    after = [event["at"] - drained_at for event in record.events
             if event["what"] == "run" and event["engine"] == leaving.name and event["at"] > drained_at]
    late = [at for at in after if at > TOLD_LATEST_S + GRACE_S]
    told = names.told[2] - drained_at
    killed = {event["id"] for event in record.events if event["what"] == "given-up"
              and event["engine"] == leaving.name and event["at"] > drained_at + END_AFTER_S - 1}
    lost = [result for result in results if result["id"] in killed and result["kind"] != "served"]
    record.note(f"requests: {len(results)}, by answer: {kinds}")
    record.note(f"{leaving.name} began to drain at {drained_at:.2f} s; the first answer that says so was sent "
                f"{told:.2f} s later; it ended {END_AFTER_S} s later; {names.queries} queries in all")
    record.note(f"requests that reached {leaving.name} after its drain began: {len(after)}, "
                f"the last {max(after, default=0):.2f} s after")
    record.note(f"of these more than {TOLD_LATEST_S + GRACE_S} s after (too late, told or not): {len(late)}")
    record.note(f"requests that ended with the engine's process: {len(killed)}, of which not served: {len(lost)}")
    return not late


if __name__ == "__main__":
    from standins import main
    main(case)
