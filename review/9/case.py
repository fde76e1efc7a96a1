"""A planned restart falls between two pages of a result: SIGTERM comes while the request runs."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import CUSTOMERS, LOOPBACK, Http, LineEngine, Lost, free_port, known, request_fields, run_case, settings

# 1,400 rows of 34 bytes: 47,600 bytes, within the 48,000 that a result may have.
ROWS = [(f"{number:05d}", "places", "x" * 20) for number in range(1400)]
WORK_S = 1.2
SIGTERM_AFTER_S = 0.2
# How often the client makes a call again whose connection ended with no answer.
CALLS = 3
# SIGKILL comes after the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
SIGKILL_AFTER_S = 3.7


def body(case):
    def on_request(connection, identifier, _fields, _statement):
        if not connection.running[identifier].wait(WORK_S):
            connection.engine.serve_result(connection, identifier, ROWS)

    engines = [LineEngine(f"engine-{number}", on_request, case.record, work_s=WORK_S) for number in range(2)]
    port = free_port()
    config = {
        "name": "n1", "listen": f"{LOOPBACK}:{port}", "limits": {"sockets": 512}, "page_bytes": 16384,
        "engines": {"wire": "lines"}, "known": known([(engine.name, engine.port) for engine in engines]),
        "settings": settings(),
    }
    manager = case.start_manager(config, platform=False)

    client = Http(LOOPBACK, port)
    client.send("POST", "/do/report", request_fields(CUSTOMERS[0]["name"], 20000), b"SELECT a, b, c FROM sales_17.orders")
    case.record.write("client sent its request")
    time.sleep(SIGTERM_AFTER_S)
    terminated = time.monotonic()
    if case.trouble:
        manager.send_signal(signal.SIGTERM)
        case.record.write("platform: SIGTERM")

    got, path, ended = [], None, None
    while ended is None:
        try:
            if path is None:
                status, fields, text = client.read()
            else:
                status, fields, text = client.call("GET", path)
        except (Lost, OSError) as error:
            client = None
            for _ in range(CALLS):
                try:
                    client = Http(LOOPBACK, port)
                    break
                except OSError as refused:
                    error = refused
                    time.sleep(0.02)
            if client is None or path is None:
                ended = f"{path or 'the request'} had no answer: {error}"
            case.record.write(f"client: {path}: {error}")
            continue
        value = json.loads(text)
        got += value.get("result", [])
        case.record.write(
            f"client: {path or 'POST'}: {status}, {len(value.get('result', []))} rows, more: {value.get('more')}, "
            f"connection: {fields.get('connection')}"
        )
        path = value.get("more")
        if status != 200 or "fault" in value:
            ended = f"{status} {text.decode()}"
        elif path is None:
            ended = "the last page came"
        elif fields.get("connection") == "close":
            client.close()
            client = None
            for _ in range(CALLS):
                try:
                    client = Http(LOOPBACK, port)
                    break
                except OSError as error:
                    case.record.write(f"client: {path}: {error}")
                    ended = f"{path} had no answer: {error}"
                    time.sleep(0.02)
            if client is not None:
                ended = None
    passed = time.monotonic() - terminated
    case.record.write(f"{passed * 1000:.0f} ms after SIGTERM; SIGKILL would come at {SIGKILL_AFTER_S * 1000:.0f} ms")
    whole = got == [list(row) for row in ROWS]
    case.end(not whole, f"the client has {len(got)} of {len(ROWS)} rows; {ended}")


run_case(os.path.dirname(os.path.abspath(__file__)), body)
