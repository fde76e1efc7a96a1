"""Bad clients send statements that can't be read. Do the usual clients still get their answers?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import HOST, LOAD, LOOKUP, REPORT, Engine, Manager, NameService, known, new_id, post, request, settings

USUAL_EVERY_S = 0.1
USUAL_FOR_S = 25.0
BAD_AT_S = 5.0
BAD_CLIENTS = 40  # the page: hundreds of requests at once
BAD_STATEMENT = "[" * 60_000  # the page: bodies of 60 MB
TTL_MS = 5000  # the class's deadline
LATEST_S = 0.5 + 0.05  # later than this after its time, an answer is lost


async def bad_client(record, manager):
    """Sends one request at full speed and reads what it gets."""
    name = new_id()
    record.add("bad-sent", id=name, bytes=len(BAD_STATEMENT))
    try:
        reader, writer = await asyncio.open_connection(HOST, manager.port)
        writer.write(post(name, "lookup", BAD_STATEMENT, TTL_MS))
        got = await reader.read(4096)
        record.add("bad-got", id=name, first=got.split(b"\r\n")[0].decode() or "close")
        writer.close()
    except OSError as error:
        record.add("bad-got", id=name, first=type(error).__name__)


async def case(record, folder, trouble):
    engines = [Engine(record, f"s-{number}", kind="std-8" if number < 4 else "std-16") for number in range(6)]
    for engine in engines:
        await engine.start()
    names = NameService(record, engines)
    await names.start()
    manager = Manager(record, folder, {"resolver": f"{HOST}:{names.port}", "known": known(engines),
                                       "settings": settings([LOOKUP, REPORT, LOAD])})
    try:
        await manager.start()
        began = record.now()
        usual, bad = [], []
        while record.now() - began < USUAL_FOR_S:
            statement = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE work_ms = 40"
            one = request(record, manager.port, "lookup", statement, TTL_MS, grace_s=LATEST_S)
            usual.append(asyncio.create_task(one))
            if trouble and not bad and record.now() - began >= BAD_AT_S:
                bad = [asyncio.create_task(bad_client(record, manager)) for _ in range(BAD_CLIENTS)]
            await asyncio.sleep(USUAL_EVERY_S)
        results = await asyncio.gather(*usual)
        for one in bad:
            one.cancel()
    finally:
        await manager.stop()
    kinds = {}
    for result in results:
        kinds[result["kind"]] = kinds.get(result["kind"], 0) + 1
    lost = [result for result in results if result["kind"] in ("unanswered", "broken-off")]
    record.note(f"requests of usual clients: {len(results)}, by answer: {kinds}")
    record.note(f"lost (no whole answer {LATEST_S} s after their time): {len(lost)}")
    return not lost


if __name__ == "__main__":
    from standins import main
    main(case)
