"""A TDS engine sends one of its answers a second time, some milliseconds late."""

import json
import os
import re
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import CUSTOMERS, LOOPBACK, Http, TdsEngine, free_port, hex_id, known, meaning, request_fields
from standins_2 import run_case, settings

REQUESTS = 60
# The answer, counted over all engines, that comes a second time, and how late the copy is.
COPIED_ANSWER = 7
COPY_DELAY_S = 0.005


def tag_of(statement):
    return re.search(r"tag = '(\w+)'", statement).group(1)


def body(case):
    answers = [0]

    def on_batch(_engine, statement):
        time.sleep(0.02)
        return [(tag_of(statement), str(row), "x") for row in range(3)]

    def after(engine, write, response, statement):
        answers[0] += 1
        if case.trouble and answers[0] == COPIED_ANSWER:
            time.sleep(COPY_DELAY_S)
            engine.log(f"second copy of the answer to {tag_of(statement)}")
            write(response)

    engines = [TdsEngine(f"engine-{number}", on_batch, after, case.record) for number in range(3)]
    port = free_port()
    config = {
        "name": "n1", "listen": f"{LOOPBACK}:{port}", "limits": {"sockets": 512},
        "engines": {"wire": "tds", "user": "sanddyke", "database": "master"},
        "known": known([(engine.name, engine.port) for engine in engines]), "settings": settings(),
    }
    case.start_manager(config, platform=False)

    served, wrong = 0, []
    tenants = [tenant["name"] for tenant in CUSTOMERS]
    owners = {}
    clients = [Http(LOOPBACK, port) for _ in tenants]
    for number in range(REQUESTS):
        tenant, client = tenants[number % 2], clients[number % 2]
        tag = hex_id(12)
        owners[tag] = tenant
        statement = f"SELECT tag, row, note FROM sales_17.orders WHERE tag = '{tag}'"
        status, _, text = client.call("POST", "/do/lookup", request_fields(tenant, 5000), statement.encode())
        case.record.write(f"client of {tenant} asked for {tag}: {status} {text.decode()}")
        if meaning(status, text) == "served":
            served += 1
            rows = json.loads(text)["result"]
            if rows != [[tag, str(row), "x"] for row in range(3)]:
                got = rows[0][0] if rows else "nothing"
                wrong.append((tenant, owners.get(got, "nobody")))
        time.sleep(0.02)
    foreign = sum(1 for asked, owner in wrong if asked != owner)
    case.end(
        bool(wrong),
        f"{len(wrong)} of {served} served answers had the rows of another request, {foreign} of them another tenant's",
    )


run_case(os.path.dirname(os.path.abspath(__file__)), body)
