"""Engines that speak TDS send a second copy of some good answers. Does each client get the rows made for it?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..")]
from standins import LOAD, LOOKUP, REPORT, Manager, known, request, settings
from tds_engine import TdsEngine

ENGINES = 3
REPEAT_EACH = 50  # the page: "some good answers", "many spoilt answers"
REPEAT_AFTER_S = 0.005  # the page: "a second answer may come some milliseconds late"
RUN_FOR_S = 20.0
USUAL_EVERY_S = 0.05
TTL_MS = 5000


async def case(record, folder, trouble):
    engines = [TdsEngine(record, f"engine-{number}", REPEAT_EACH if trouble else 0, REPEAT_AFTER_S)
               for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    # As in deploy/operator.toml; clients over HTTP, and the list of the start is the list.
    manager = Manager(record, folder, {
        "limits": {"sockets": 1024}, "engines": {"wire": "tds", "user": "sanddyke", "database": "master"},
        "known": known(engines), "settings": settings([LOOKUP, REPORT, LOAD])}, operators_file=True)
    try:
        await manager.start()
        began, usual = record.now(), []
        while record.now() - began < RUN_FOR_S:
            statement = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE work_ms = 40"
            usual.append(asyncio.create_task(request(record, manager.port, "lookup", statement, TTL_MS)))
            await asyncio.sleep(USUAL_EVERY_S)
        results = await asyncio.gather(*usual)
    finally:
        await manager.stop()
    kinds, foreign = {}, []
    for result in results:
        kinds[result["kind"]] = kinds.get(result["kind"], 0) + 1
        if result["kind"] == "served" and result["rows"] != [[result["id"], "a", "1"], [result["id"], "b", "2"]]:
            foreign.append(result)
            record.add("foreign", id=result["id"], rows=result["rows"])
    copies = sum(event["what"] == "second-copy" for event in record.events)
    record.note(f"requests: {len(results)}, by answer: {kinds}; second copies sent: {copies}")
    record.note(f"served with rows that no engine made for the request: {len(foreign)}")
    return not foreign


if __name__ == "__main__":
    from standins import main
    main(case)
