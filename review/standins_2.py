"""Stand-ins of the second review: clients, engines, a name service, and the start of the real program.

Only the standard library of Python 3 is used. Every address is a loopback address. A case creates a `Case`, which owns
the record, the temporary folder and all processes, and ends with `case.end(broken)`.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "sanddyke")
LOOPBACK = "127.0.0.1"
# The key `run` of deploy/balancer.toml, which the platform gives to /bin/sh -c.
RUN = "exec target/release/sanddyke"


class Unable(Exception):
    """The case could not run: exit code 2."""


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def deploy_command():
    """Returns the key `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run"):
                return line.split('"')[1]
    raise Unable("deploy/balancer.toml has no key run")


class Record:
    """record.txt: one line for each event, with the milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def ms(self):
        return (time.monotonic() - self.start) * 1000.0

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.ms():10.1f} {text}\n")
                self.file.flush()


class Case:
    def __init__(self, folder, seconds=110):
        self.folder = os.path.abspath(folder)
        self.record = Record(os.path.join(self.folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.mkdtemp(prefix="sanddyke-review-")
        self.children = []
        # Held while a process is started, and from the end of the case on, so that none is missed at the end.
        self.starting = threading.RLock()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.on_signal)
        if not os.path.exists(PROGRAM):
            self.finish(2, "target/release/sanddyke is not built")
        # The case ends in any event before its limit of 120 s.
        watchdog = threading.Timer(seconds, lambda: self.finish(2, "the case took too long"))
        watchdog.daemon = True
        watchdog.start()
        self.record.write(f"case {os.path.basename(self.folder)} trouble={'on' if self.trouble else 'off'}")

    def start_manager(self, config, name="n1", platform=True, log_level="info"):
        """Starts the program with the deploy file's command; returns the process when it answers /check with 200."""
        folder = os.path.join(self.temporary, f"{name}-{len(self.children)}")
        os.makedirs(os.path.join(folder, "tmp"))
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "SANDDYKE_"))}
        environment["RUST_LOG"] = log_level
        environment["TMPDIR"] = os.path.join(folder, "tmp")
        if platform:
            path = os.path.join(folder, "config.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(config, file)
            environment.update(LB_NAME=name, LB_LISTEN=config["listen"], LB_CONFIG=path)
        else:
            path = os.path.join(folder, "config.toml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(toml(config))
            environment["SANDDYKE_CONFIG"] = path
        log_path = os.path.join(folder, "log")
        log = open(log_path, "wb")
        command = deploy_command()
        with self.starting:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
            self.children.append(process)
        process.log_path = log_path
        process.config_path = path
        self.record.write(f"manager {name}: started as process {process.pid} by: {command}")
        host, port = config["listen"].rsplit(":", 1)
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if process.poll() is not None:
                raise Unable(f"manager {name} ended with {process.returncode}: {self.log_tail(process)}")
            try:
                with Http(host, int(port), timeout=1) as client:
                    if client.call("GET", "/check")[0] == 200:
                        self.record.write(f"manager {name}: ready")
                        return process
            except (OSError, Lost):
                pass
            time.sleep(0.02)
        raise Unable(f"manager {name} was not ready in time")

    def log_tail(self, process, lines=5):
        with open(process.log_path, "rb") as file:
            return " | ".join(file.read().decode("utf-8", "replace").splitlines()[-lines:])

    def end(self, broken, why):
        """Ends the case: `broken` says whether the rule was broken."""
        self.finish(1 if broken else 0, why)

    def on_signal(self, number, _frame):
        """The script is told to end. The end is a thread's work: the main thread may hold a lock that it needs."""
        threading.Thread(target=self.finish, args=(2, f"ended by signal {number}"), daemon=True).start()

    def finish(self, code, why):
        self.starting.acquire()  # until the process ends
        verdict = {0: "HELD", 1: "BROKEN", 2: "COULD NOT RUN"}[code]
        self.record.write(f"{verdict}: {why}")
        print(f"{os.path.basename(self.folder)}: {verdict}: {why}", flush=True)
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                    child.wait(5)
                except (OSError, subprocess.TimeoutExpired):
                    pass
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)


def run_case(folder, body):
    case = Case(folder)
    try:
        body(case)
    except Unable as error:
        case.finish(2, str(error))
    except Exception as error:  # a fault of the stand-ins is no verdict
        import traceback

        traceback.print_exc()
        case.finish(2, f"{type(error).__name__}: {error}")


# --- settings ---------------------------------------------------------------------------------------------------------


def settings(classes=None, customers=None, **changes):
    """The settings of a small deployment, as on the pages: three classes, two tenants."""
    value = {
        "allowed": {
            "attemptsCap": 5, "cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
            "keepaliveMs": 30000.0, "maxOpen": 20000, "maxRetryAfterMs": 2000.0, "peers": False, "probes": True,
            "retryAfter": False, "secondCopies": False, "streamsPerConn": 100,
        },
        "classes": classes or [LOOKUP, REPORT, LOAD],
        "clients": {"marksRetry": False},
        "countedBy": "request",
        "customers": customers if customers is not None else CUSTOMERS,
        "discovery": "pushed",
        "family": "queries",
        "familyInfo": {
            "dop": [1, 2, 2], "grantCap": 0.4, "grants": False, "kindCores": [8], "loads": [False, False, False],
            "memoryByKindMb": [16384.0], "notes": "", "outOfMemory": "swap", "ranksHeeded": True, "reportX0": "",
            "reportX1": "", "saysCost": True, "tellsEveryMs": 500.0, "yieldsToLoads": [False, False, False],
        },
        "goal": {"whole": 0.3, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.4},
        "layer": 0, "me": 0, "models": ["std-8"], "overShareWorth": 0.1,
        "prices": {"crossZone": 0.015, "probe": 0.0092, "waste": 0.08, "lateFail": 0.059},
        "replicasOfMe": 1,
        "report": {"columns": ["util", "queue", "x0", "x1"], "how": "on_probe"},
        "safety": {
            "answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.31, "drainGraceMs": 500.0,
            "overloadFactor": 2.5, "tipAfterMs": 1500.0, "warmUpMs": 12000.0,
        },
        "stages": ["query-fleet"], "stepMs": 5.0, "weightSource": "nominal", "zone": "hall-a", "zones": ["hall-a"],
    }
    value.update(changes)
    return value


LOOKUP = {
    "aimStretch": 1.5, "deadlineMs": 5000.0, "dedupScope": "all", "idempotency": "repeatable", "lateShare": 0.1,
    "name": "lookup", "streaming": False, "targetMs": 1000.0, "windowMs": 5000.0, "worth": 1.0,
}
REPORT = {
    "aimStretch": 2.5, "deadlineMs": 20000.0, "dedupScope": "all", "idempotency": "repeatable", "lateShare": 0.3,
    "name": "report", "streaming": False, "targetMs": 1500.0, "windowMs": 5000.0, "worth": 8.0,
}
LOAD = {
    "aimStretch": 3.0, "deadlineMs": 25000.0, "dedupScope": "all", "idempotency": "by_key", "lateShare": 0.5,
    "name": "load", "streaming": False, "targetMs": 3000.0, "windowMs": 15000.0, "worth": 12.0,
}
CUSTOMERS = [
    {"name": "cyngor-dyffryn", "portion": 0.5, "quotaRps": 70.0},
    {"name": "cyngor-glannau", "portion": 0.5, "quotaRps": 70.0},
]


def known(engines, rev=1):
    """The list of the start. `engines` has (name, port) or (name, port, zone)."""
    endpoints = [
        {
            "name": engine[0], "address": f"{LOOPBACK}:{engine[1]}", "zone": engine[2] if len(engine) > 2 else "hall-a",
            "type": "std-8", "group": 1, "status": "ready", "weight": 1.0, "since_ms": 0,
        }
        for engine in engines
    ]
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"index": 0, "snapshot": True, "endpoints": endpoints}}]}


def toml(value):
    """Writes a configuration as TOML: scalars first, then inline tables and lists."""
    return "".join(f"{key} = {inline(part)}\n" for key, part in value.items())


def inline(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(inline(part) for part in value) + "]"
    return "{" + ", ".join(f"{json.dumps(key)} = {inline(part)}" for key, part in value.items()) + "}"


# --- clients ----------------------------------------------------------------------------------------------------------


class Lost(Exception):
    """A connection ended without a whole answer."""


def hex_id(length=16):
    return os.urandom(length // 2).hex()


class Http:
    """One connection of a client."""

    def __init__(self, host, port, timeout=30.0):
        self.socket = socket.create_connection((host, port), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        try:
            self.socket.close()
        except OSError:
            pass

    def send(self, method, path, fields=(), body=b""):
        head = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.socket.sendall(head.encode() + b"\r\n" + body)

    def read(self):
        """Returns (status, fields, body); raises Lost when the connection ends first."""
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(fields.get("content-length", "0"))
        while len(self.buffer) < length:
            self.more()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return status, fields, body

    def more(self):
        try:
            data = self.socket.recv(65536)
        except OSError as error:
            raise Lost(str(error)) from error
        if not data:
            raise Lost("closed")
        self.buffer += data

    def call(self, method, path, fields=(), body=b""):
        self.send(method, path, fields, body)
        return self.read()


def request_fields(tenant, ttl_ms, key=None, txn=None):
    fields = [("X-Txn", txn or hex_id()), ("X-Ttl-Ms", str(int(ttl_ms))), ("X-Merchant", tenant)]
    if key:
        fields.append(("X-Txn-Key", key))
    return fields


def meaning(status, body):
    """What an answer means: served, refused or failed."""
    try:
        value = json.loads(body)
    except ValueError:
        return "unreadable"
    if status in (429, 503) or value.get("fault") == "Rejected":
        return "refused"
    if status == 200 and "fault" not in value:
        return "served"
    return "failed"


class TdsClient:
    """A logged-in TDS client (MS-TDS 7.4, not encrypted), with one request at a time."""

    def __init__(self, port, database, timeout=30.0):
        self.socket = socket.create_connection((LOOPBACK, port), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.socket.makefile("rb")
        options = bytes([0, 0, 11, 0, 6, 1, 0, 17, 0, 1, 0xFF]) + bytes([16, 0, 0, 0, 0, 0, 2])
        self.socket.sendall(tds_message(0x12, options))
        tds_receive(self.file)
        self.socket.sendall(tds_message(0x10, tds_login("portal", "secret", database)))
        tokens = tds_tokens(tds_receive(self.file)[1])
        if not any(kind == "loginack" for kind, _ in tokens):
            raise Unable(f"the TDS login was denied: {tokens}")

    def read(self):
        """Returns (rows, errors, done statuses) of the next message."""
        kind, data = tds_receive(self.file)
        if kind is None:
            raise Lost("closed")
        tokens = tds_tokens(data)
        rows = [value for kind, value in tokens if kind == "row"]
        errors = [value for kind, value in tokens if kind == "error"]
        return rows, errors, [value for kind, value in tokens if kind == "done"]

    def call(self, statement, parameters):
        """Calls sp_executesql. `parameters` has (name, declaration, value), the value a number or a text."""
        declared = ", ".join(f"{name} {declaration}" for name, declaration, _ in parameters)
        data = tds_headers() + struct.pack("<HHH", 0xFFFF, 10, 0)
        for name, value in [("", statement), ("", declared)] + [(name, value) for name, _, value in parameters]:
            data += b_varchar(name) + b"\x00"
            if isinstance(value, int):
                data += b"\x26\x04\x04" + struct.pack("<i", value)
            else:
                text = utf16(value)
                data += b"\xe7" + struct.pack("<H", 8000) + bytes(5) + struct.pack("<H", len(text)) + text
        self.socket.sendall(tds_message(0x03, data))
        return self.read()

    def close(self):
        self.socket.close()


def tds_headers():
    return struct.pack("<IIH", 22, 18, 2) + bytes(8) + struct.pack("<I", 1)


def tds_login(user, password, database):
    secret = bytes((((byte << 4) | (byte >> 4)) & 0xFF) ^ 0xA5 for byte in utf16(password))
    fields = [utf16("portal"), utf16(user), secret, utf16("review"), utf16("service"), b"", utf16("review"), b"",
              utf16(database)]
    positions, data = b"", b""
    for field in fields:
        positions += struct.pack("<HH", 94 + len(data), len(field) // 2)
        data += field
    end = struct.pack("<HH", 94 + len(data), 0)
    positions += bytes(6) + end * 3 + bytes(4)
    return struct.pack("<III", 94 + len(data), 0x74000004, 4096) + bytes(24) + positions + data


def tds_tokens(data):
    """Reads the tokens of a response: text columns only, as this program writes them."""
    tokens, at, columns = [], 0, []

    def u16(position):
        return struct.unpack_from("<H", data, position)[0]

    while at < len(data):
        kind = data[at]
        at += 1
        if kind == 0x81:
            count, columns = u16(at), []
            at += 2
            for _ in range(count):
                length = u16(at + 7)
                at += 4 + 2 + 1 + 2 + 5
                name = data[at + 1:at + 1 + 2 * data[at]].decode("utf-16-le")
                at += 1 + 2 * data[at]
                columns.append((name, length == 0xFFFF))
        elif kind == 0xD1:
            row = []
            for _, unlimited in columns:
                if unlimited:
                    total = struct.unpack_from("<Q", data, at)[0]
                    at += 8
                    text = b"" if total != 0xFFFFFFFFFFFFFFFF else None
                    while text is not None:
                        length = struct.unpack_from("<I", data, at)[0]
                        at += 4
                        if length == 0:
                            break
                        text += data[at:at + length]
                        at += length
                else:
                    length = u16(at)
                    at += 2
                    text = None if length == 0xFFFF else data[at:at + length]
                    at += 0 if length == 0xFFFF else length
                row.append(None if text is None else text.decode("utf-16-le"))
            tokens.append(("row", tuple(row)))
        elif kind in (0xFD, 0xFE, 0xFF):
            tokens.append(("done", u16(at)))
            at += 12
        elif kind == 0x79:
            at += 4
        else:
            length = u16(at)
            body = data[at + 2:at + 2 + length]
            at += 2 + length
            if kind == 0xAA:
                number, _, _, count = struct.unpack_from("<IBBH", body, 0)
                tokens.append(("error", (number, body[8:8 + 2 * count].decode("utf-16-le"))))
            elif kind == 0xAD:
                tokens.append(("loginack", None))
    return tokens


# --- engines of the line protocol -------------------------------------------------------------------------------------


class LineConnection:
    def __init__(self, engine, stream):
        self.engine = engine
        self.stream = stream
        self.lock = threading.Lock()
        self.open = True
        self.running = {}

    def write(self, data):
        with self.lock:
            try:
                self.stream.sendall(data)
                return True
            except OSError:
                self.open = False
                return False

    def answer(self, identifier, word, fields="-", body=None):
        line = f"{identifier} {word} {fields}"
        if body is None:
            return self.write(line.encode() + b"\r\n")
        return self.write(f"{line} {len(body)}\r\n".encode() + body + b"\r\n")


class LineEngine:
    """An engine on the platform's line protocol. `on_request(connection, id, fields, statement)` runs in a thread of its
    own for each request, and answers it. A note of the share done is sent each 500 ms while it runs, by `work_s`, the
    time that a request takes here. `connection.running[id]` is an event that is set when the request is given up."""

    def __init__(self, name, on_request, record=None, work_s=1.0):
        self.name = name
        self.on_request = on_request
        self.record = record
        self.work_s = work_s
        self.pages = {}
        self.health = threading.Event()
        self.health.set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def log(self, text):
        if self.record:
            self.record.write(f"engine {self.name}: {text}")

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = LineConnection(self, stream)
            self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        file = connection.stream.makefile("rb")
        try:
            while True:
                line = file.readline()
                if not line:
                    break
                words = line.decode("utf-8", "replace").strip().split(" ")
                if words[0] == "REQ":
                    length = int(words[-1])
                    statement = file.read(length)
                    file.read(2)
                    if len(statement) < length:
                        break
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",")) if words[2] != "-" else {}
                    self.begin(connection, words[1], fields, statement.decode("utf-8", "replace"))
                elif words[0] == "STOP":
                    self.log(f"STOP {words[1]}")
                    running = connection.running.pop(words[1], None)
                    if running:
                        running.set()
                elif words[0] == "FETCH":
                    self.fetch(connection, words[1], int(words[2]))
                elif words[0] == "END":
                    self.pages.pop(words[1], None)
                elif words[0] in ("HELO", "STAT"):
                    self.health.wait()
                    load = "l=util:0.10;queue:0;x0:0.10;x1:0.10" if words[0] == "STAT" else "-"
                    connection.answer(words[1], "alive", load)
        except (OSError, ValueError):
            pass
        connection.open = False
        for running in list(connection.running.values()):
            running.set()
        try:
            connection.stream.close()
        except OSError:
            pass

    def begin(self, connection, identifier, fields, statement):
        self.log(f"REQ {identifier} {fields} {statement[:80]!r}")
        stopped = threading.Event()
        connection.running[identifier] = stopped
        threading.Thread(target=self.tell, args=(connection, identifier, stopped), daemon=True).start()
        threading.Thread(
            target=self.on_request, args=(connection, identifier, fields, statement), daemon=True
        ).start()

    def tell(self, connection, identifier, stopped):
        began = time.monotonic()
        while not stopped.wait(0.5):
            if identifier not in connection.running or not connection.open:
                return
            share = min(0.95, (time.monotonic() - began) / self.work_s)
            connection.answer(identifier, "status", f"n=share,val={share:.2f}")

    def fetch(self, connection, identifier, number):
        pages = self.pages.get(identifier)
        if pages and number < len(pages):
            connection.answer(identifier, "chunk", f"sheet={number}", pages[number])
        else:
            connection.answer(identifier, "500")

    def serve_result(self, connection, identifier, rows, work_ms=100, memory_mb=50):
        """Answers a request with rows (tuples of three texts), in pages of at most 6,000 bytes."""
        pages, page = [], b""
        for row in rows:
            line = ("\t".join(row) + "\n").encode()
            if len(page) + len(line) > 6000:
                pages.append(page)
                page = b""
            page += line
        pages.append(page)
        stopped = connection.running.pop(identifier, None)
        if stopped is None:
            return False
        stopped.set()
        if len(pages) > 1:
            self.pages[identifier] = pages
        return connection.answer(identifier, "200", f"sheets={len(pages)},toil={work_ms},room={memory_mb}", pages[0])

    def refuse(self, connection, identifier, word):
        stopped = connection.running.pop(identifier, None)
        if stopped is not None:
            stopped.set()
            connection.answer(identifier, word)


# --- messages of TDS -------------------------------------------------------------------------------------------


def utf16(text):
    return text.encode("utf-16-le")


def b_varchar(text):
    return bytes([len(text)]) + utf16(text)


def tds_message(kind, data):
    out = b""
    size = 4096 - 8
    parts = [data[at:at + size] for at in range(0, len(data), size)] or [b""]
    for number, part in enumerate(parts, 1):
        status = 1 if number == len(parts) else 0
        out += struct.pack(">BBHHBB", kind, status, len(part) + 8, 0, number & 0xFF, 0) + part
    return out


def tds_receive(file):
    """Reads the next TDS message; returns its kind, None at the end of the connection, and its data."""
    kind, data = None, b""
    while True:
        header = file.read(8)
        if len(header) < 8:
            return None, b""
        kind, status, length = struct.unpack(">BBH", header[:4])
        data += file.read(length - 8)
        if status & 1:
            return kind, data
