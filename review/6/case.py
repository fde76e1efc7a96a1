"""A TDS client calls sp_executesql with a negative number as a parameter, behind a minus sign."""

import os
import re
import sys
import threading

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import CUSTOMERS, LOOPBACK, LineEngine, TdsClient, free_port, hex_id, known, run_case, settings

NURSERIES = ("little-oaks", "river-bank")
WEEKS = range(20, 40)
STATEMENT = "DELETE FROM sales_17.returns WHERE week < 30-@weeks AND nursery = @nursery"


def without_comments(statement):
    """SQL as any engine reads it: a comment is from -- to the end of the line, or between /* and */."""
    out, at = "", 0
    while at < len(statement):
        if statement.startswith("--", at):
            end = statement.find("\n", at)
            at = len(statement) if end < 0 else end
        elif statement.startswith("/*", at):
            at = statement.index("*/", at) + 2
            out += " "
        elif statement[at] == "'":
            end = at + 1
            while not (statement[end] == "'" and statement[end + 1:end + 2] != "'"):
                end += 2 if statement[end] == "'" else 1
            out += statement[at:end + 1]
            at = end + 1
        else:
            out += statement[at]
            at += 1
    return " ".join(out.split())


class Table:
    """The table of the engine, with the little SQL that the case needs."""

    def __init__(self):
        self.lock = threading.Lock()
        self.rows = {(nursery, week) for nursery in NURSERIES for week in WEEKS}

    def delete(self, statement):
        text = without_comments(statement)
        found = re.fullmatch(
            r"DELETE FROM sales_17\.returns WHERE week < ([-+0-9 ]+?)(?: AND nursery = N?'([^']*)')?", text
        )
        if not found:
            return None
        total = 0
        for sign, digits in re.findall(r"([-+]?) *((?:- *)?\d+)", found.group(1)):
            number = int(digits.replace(" ", ""))
            total += -number if sign == "-" else number
        with self.lock:
            doomed = {
                (nursery, week) for nursery, week in self.rows
                if week < total and found.group(2) in (None, nursery)
            }
            self.rows -= doomed
        return doomed


def body(case):
    table = Table()

    def on_request(connection, identifier, _fields, statement):
        doomed = table.delete(statement)
        engine = connection.engine
        engine.log(f"runs {without_comments(statement)!r} of {statement!r}")
        if doomed is None:
            engine.log("syntax error")
            engine.refuse(connection, identifier, "500")
            return
        engine.log(f"deleted {len(doomed)} rows: {sorted(doomed)}")
        engine.serve_result(connection, identifier, [(str(len(doomed)), "", "")])

    engines = [LineEngine(f"engine-{number}", on_request, case.record) for number in range(2)]
    port, tds_port = free_port(), free_port()
    config = {
        "name": "n1", "listen": f"{LOOPBACK}:{port}", "limits": {"sockets": 512},
        "tds": {"listen": f"{LOOPBACK}:{tds_port}"}, "engines": {"wire": "lines"},
        "known": known([(engine.name, engine.port) for engine in engines]), "settings": settings(),
    }
    case.start_manager(config, platform=False)

    weeks = -1 if case.trouble else 1
    client = TdsClient(tds_port, CUSTOMERS[0]["name"])
    hints = f"/*class='load',ttl_ms='25000',key='{hex_id(32)}'*/ "
    parameters = [("@weeks", "int", weeks), ("@nursery", "nvarchar(40)", NURSERIES[0])]
    case.record.write(f"client calls sp_executesql: {STATEMENT!r} with {parameters}")
    rows, errors, done = client.call(hints + STATEMENT, parameters)
    case.record.write(f"client got rows {rows}, errors {errors}, done {done}")

    limit = 30 - weeks
    expected = {
        (nursery, week) for nursery in NURSERIES for week in WEEKS if not (nursery == NURSERIES[0] and week < limit)
    }
    before = {(nursery, week) for nursery in NURSERIES for week in WEEKS}
    served = bool(rows) and not errors
    lost = sorted(expected - table.rows)
    kept = sorted(table.rows - expected)
    case.record.write(f"rows deleted that the client did not name: {lost}; rows kept that it named: {kept}")
    # A call that failed without an effect would have kept the rule.
    broken = table.rows != expected if served else table.rows not in (expected, before)
    case.end(
        broken,
        f"answered {'served' if served else 'failed'}; {len(lost)} rows of another nursery are deleted, "
        f"{len(kept)} rows that the call names are not",
    )


run_case(os.path.dirname(os.path.abspath(__file__)), body)
