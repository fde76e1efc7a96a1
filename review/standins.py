"""Small stand-ins for the parties around a workload manager, as PROTOCOL describes them: clients (HTTP), engines
(line protocol), the name service (DNS over UDP) and the platform (which starts the program). Standard library only,
loopback addresses only, real clock. Each stand-in writes what it saw to one Record."""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """The events of a run, in order, with the seconds since its start."""

    def __init__(self, path):
        self.began = time.time()
        self.out = open(path, "w", encoding="utf-8")
        self.events = []

    def now(self):
        return time.time() - self.began

    def add(self, what, **fields):
        at = self.now()
        event = {"at": round(at, 4), "what": what, **fields}
        self.events.append(event)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.out.write(f"{at:9.4f} {what} {text}\n")
        return event

    def note(self, text):
        self.out.write(f"# {text}\n")
        print(text, flush=True)

    def close(self):
        self.out.flush()
        self.out.close()


def settings(classes, allowed=None, safety=None, managers=1, notes_ms=500.0):
    """The settings of a small deployment: those of the example in WIRE, with these classes."""
    return {
        "allowed": {"attemptsCap": 5, "cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0,
                    "cpuUsPerS": 500000, "keepaliveMs": 30000.0, "maxOpen": 20000, "maxRetryAfterMs": 2000.0,
                    "peers": False, "probes": True, "retryAfter": False, "secondCopies": False,
                    "streamsPerConn": 100, **(allowed or {})},
        "classes": classes,
        "clients": {"marksRetry": False}, "countedBy": "request",
        "customers": [{"name": "cyngor-dyffryn", "portion": 0.49, "quotaRps": 72.0},
                      {"name": "cyngor-glannau", "portion": 0.41, "quotaRps": 60.0},
                      {"name": "cyngor-bryniau", "portion": 0.10, "quotaRps": 15.0}],
        "discovery": "pushed", "family": "queries",
        "familyInfo": {"dop": [1] * len(classes), "grantCap": 0.4, "grants": False, "kindCores": [8, 16],
                       "loads": [False] * len(classes), "memoryByKindMb": [16384.0, 32768.0],
                       "outOfMemory": "swap", "ranksHeeded": True, "saysCost": True, "tellsEveryMs": notes_ms,
                       "yieldsToLoads": [False] * len(classes)},
        "goal": {"whole": 0.3, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.4},
        "layer": 0, "me": 0, "models": ["std-8", "std-16"], "overShareWorth": 0.1,
        "prices": {"crossZone": 0.015, "lateFail": 0.059, "probe": 0.0092, "waste": 0.08},
        "replicasOfMe": managers,
        "report": {"columns": ["util", "queue", "x0", "x1"], "how": "on_probe"},
        "safety": {"answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.31, "drainGraceMs": 500.0,
                   "overloadFactor": 2.5, "tipAfterMs": 1500.0, "warmUpMs": 12000.0, **(safety or {})},
        "stages": ["query-fleet"], "stepMs": 5.0, "weightSource": "nominal", "zone": "hall-a",
        "zones": ["hall-a", "hall-b", "hall-c"],
    }


LOOKUP = {"aimStretch": 1.5, "deadlineMs": 5000.0, "dedupScope": "all", "idempotency": "repeatable",
          "lateShare": 0.1, "name": "lookup", "streaming": False, "targetMs": 1000.0, "windowMs": 5000.0,
          "worth": 1.0}
REPORT = {"aimStretch": 2.5, "deadlineMs": 20000.0, "dedupScope": "all", "idempotency": "repeatable",
          "lateShare": 0.3, "name": "report", "streaming": False, "targetMs": 1500.0, "windowMs": 5000.0,
          "worth": 8.0}
LOAD = {"aimStretch": 3.0, "deadlineMs": 25000.0, "dedupScope": "all", "idempotency": "by_key",
        "lateShare": 0.5, "name": "load", "streaming": False, "targetMs": 3000.0, "windowMs": 15000.0,
        "worth": 12.0}


class Engine:
    """An engine on the line protocol. A statement says how long it runs: `work_ms = 40`. `rows(id, statement)` gives
    the rows of its result, `spoil(engine, id, head, body)` may change the bytes of a good answer."""

    def __init__(self, record, name, zone="hall-a", kind="std-8", notes_s=0.5):
        self.record, self.name, self.zone, self.kind, self.notes_s = record, name, zone, kind, notes_s
        self.port = 0
        self.server = None
        self.keys = {}
        self.running = 0
        self.rows = lambda name, statement: [(name, "a", "1"), (name, "b", "2")]
        self.spoil = None
        self.page_bytes = 6000
        self.tasks = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self):
        """The process ends: its connections are reset, and what ran is gone."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.record.add("engine-ended", engine=self.name)

    async def serve(self, reader, writer):
        open_here, results = {}, {}
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.decode().strip().split(" ")
                if words[0] == "REQ":
                    name, length = words[1], int(words[3])
                    body = await reader.readexactly(length + 2)
                    fields = dict(one.split("=", 1) for one in words[2].split(",")) if words[2] != "-" else {}
                    self.record.add("run", engine=self.name, id=name, sort=fields.get("sort"),
                                    op=fields.get("op", "-"), patience=fields.get("patience"), bytes=length)
                    task = asyncio.create_task(self.run(writer, name, body[:-2].decode(), fields, results))
                    open_here[name] = task
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif words[0] == "STOP":
                    task = open_here.pop(words[1], None)
                    if task and not task.done():
                        task.cancel()
                        self.record.add("stopped", engine=self.name, id=words[1])
                elif words[0] == "FETCH":
                    pages, number = results.get(words[1]), int(words[2])
                    if pages and number < len(pages):
                        self.send(writer, words[1], "chunk", f"sheet={number}", pages[number])
                    else:
                        self.send(writer, words[1], "500", "-", b"")
                elif words[0] == "END":
                    results.pop(words[1], None)
                elif words[0] in ("HELO", "STAT"):
                    busy = min(self.running / 16.0, 1.0)
                    load = f"l=util:{busy:.2f};queue:0;x0:0.05;x1:0.05" if words[0] == "STAT" else "-"
                    self.send(writer, words[1], "alive", load, b"")
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            for name, task in open_here.items():
                if not task.done():
                    task.cancel()
                    self.record.add("given-up", engine=self.name, id=name)
            self.writers.discard(writer)
            writer.close()

    async def run(self, writer, name, statement, fields, results):
        work_ms = 40
        if not statement.startswith("SELECT day"):
            # "Engines reply 'error' to what they can't use."
            self.record.add("error", engine=self.name, id=name)
            return self.send(writer, name, "500", "-", b"")
        if "work_ms = " in statement:
            work_ms = int(statement.split("work_ms = ")[1].split()[0])
        self.running += 1
        try:
            left = work_ms / 1000.0
            while left > self.notes_s:
                await asyncio.sleep(self.notes_s)
                left -= self.notes_s
                self.send(writer, name, "status", f"n=share,val={1 - left / (work_ms / 1000.0):.2f}", b"")
            await asyncio.sleep(max(left, 0))
            pages, page = [], b""
            for row in self.rows(name, statement):
                text = ("\t".join(row) + "\n").encode()
                if page and len(page) + len(text) > self.page_bytes:
                    pages.append(page)
                    page = b""
                page += text
            pages.append(page)
            results[name] = pages
            self.record.add("end", engine=self.name, id=name, pages=len(pages))
            head = f"{name} 200 sheets={len(pages)},toil={work_ms},room=64 {len(pages[0])}"
            data = head.encode() + b"\r\n" + pages[0] + b"\r\n"
            if self.spoil:
                data = self.spoil(self, name, head, data)
            writer.write(data)
        finally:
            self.running -= 1

    def send(self, writer, name, word, fields, body):
        writer.write(f"{name} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


class NameService:
    """The name service. Each answer is sent `delay()` seconds after its query came."""

    def __init__(self, record, engines, delay=lambda: 0.0):
        self.record, self.delay = record, delay
        self.engines = {engine.name: [engine, 0] for engine in engines}
        self.serial = 1
        self.port = 0
        self.queries = 0
        self.told = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        outer = self

        class Protocol(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                outer.transport = transport

            def datagram_received(self, data, address):
                outer.queries += 1
                loop.call_later(outer.delay(), outer.answer, data, address)

            def error_received(self, error):
                pass

        await loop.create_datagram_endpoint(Protocol, local_addr=(HOST, 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def change(self, name, priority):
        """Lists an engine as ready (0) or draining (1), or no longer (None)."""
        self.serial += 1
        if priority is None:
            del self.engines[name]
        else:
            self.engines[name][1] = priority
        state = {0: "ready", 1: "draining", None: "gone"}[priority]
        self.record.add("listed", engine=name, state=state, serial=self.serial)

    def answer(self, query, address):
        def encoded(name):
            return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"

        def rr(name, kind, data):
            return encoded(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data

        service = "_api._tcp.svc.local"
        answers, more = [], []
        for name, (engine, priority) in self.engines.items():
            host = f"{name}.{engine.zone}.hosts"
            answers.append(rr(service, 33, struct.pack(">HHH", priority, 10, engine.port) + encoded(host)))
            more.append(rr(host, 1, socket.inet_aton(HOST)))
            texts = [f"kind={engine.kind}", "cell=0", "started=0"]
            more.append(rr(host, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts)))
        soa = encoded("ns.svc.local") + encoded("ops.svc.local") + struct.pack(">IIIII", self.serial, 1, 1, 1, 0)
        head = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(answers), 1, len(more))
        message = head + query[12:] + b"".join(answers) + rr("svc.local", 6, soa) + b"".join(more)
        self.transport.sendto(message, address)
        if self.serial not in self.told:
            self.told[self.serial] = self.record.now()
            self.record.add("answer-sent", serial=self.serial)


def known(engines):
    """The list of the start."""
    endpoints = [{"name": e.name, "address": f"{HOST}:{e.port}", "zone": e.zone, "type": e.kind, "group": 0,
                  "status": "ready", "weight": 1, "since_ms": 0} for e in engines]
    return {"rev": 1, "notices": [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": endpoints}}]}


class Manager:
    """One workload manager, started by the command of the deploy file. With `operators_file` it reads the
    configuration as an operator's file (README, Configuration), which may set more keys than the platform's."""

    def __init__(self, record, folder, config, level="info", operators_file=False):
        self.record, self.folder, self.level, self.operators_file = record, folder, level, operators_file
        self.port = free_port()
        self.config = {"name": "n1", "listen": f"{HOST}:{self.port}", "seed": f"{random.getrandbits(64):016x}",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **config}
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        part = path + ".part"
        with open(part, "w", encoding="utf-8") as out:
            json.dump(self.config, out)
        os.rename(part, path)
        return path

    async def start(self):
        tmp = os.path.join(self.folder, "tmp")
        os.makedirs(tmp, exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", ""), "TMPDIR": tmp, "RUST_LOG": self.level}
        command, path = "exec target/release/sanddyke", self.write_config()
        if self.operators_file:
            command += f" --config {path}"
        else:
            environment.update(LB_NAME=self.config["name"], LB_LISTEN=self.config["listen"], LB_CONFIG=path)
        self.log = open(os.path.join(self.folder, "manager.log"), "w", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment,
            stdout=self.log, stderr=self.log)
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun("the workload manager did not start")
            try:
                if (await call(self.port, b"GET /check HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1.0))[0] == 200:
                    self.record.add("ready", pid=self.process.pid)
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the workload manager was not ready within 30 s")

    def memory_mb(self, key="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith(key + ":"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class CannotRun(Exception):
    pass


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:] if ": " in line)}
    return status, fields, await reader.readexactly(int(fields.get("content-length", "0")))


async def call(port, data, timeout):
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def post(name, sort, statement, ttl_ms, key=None, tenant="cyngor-dyffryn"):
    body = statement.encode()
    lines = [f"POST /do/{sort} HTTP/1.1", "Host: app.svc", f"X-Txn: {name}", f"X-Ttl-Ms: {ttl_ms}",
             f"X-Merchant: {tenant}"]
    if key:
        lines.append(f"X-Txn-Key: {key}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


async def request(record, port, sort, statement, ttl_ms, key=None, grace_s=0.55, name=None):
    """One request of a usual client on a new connection. It waits for its time and `grace_s` longer. Returns what it
    got: served, refused, failed, or why there is no whole answer."""
    name = name or new_id()
    sent = record.add("sent", id=name, sort=sort, ttl_ms=ttl_ms, key=key or "-")
    try:
        status, _, body = await call(port, post(name, sort, statement, ttl_ms, key), ttl_ms / 1000.0 + grace_s)
        answer = json.loads(body)
        if status == 200 and "fault" not in answer:
            kind = "served"
        elif status in (429, 503) or answer.get("fault") == "Rejected":
            kind = "refused"
        else:
            kind = "failed"
        rows = answer.get("result")
    except asyncio.TimeoutError:
        kind, status, rows = "unanswered", "-", None
    except (OSError, asyncio.IncompleteReadError) as error:
        kind, status, rows = "broken-off", type(error).__name__, None
    got = record.add("got", id=name, kind=kind, status=status, after_s=round(record.now() - sent["at"], 3),
                     rows=len(rows) if rows is not None else "-")
    return {"id": name, "kind": kind, "rows": rows, "sent": sent["at"], "at": got["at"], "ttl_s": ttl_ms / 1000.0}


def main(case):
    """Runs `case(record, folder, trouble)`, which returns whether the rule was kept."""
    import shutil
    import tempfile
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that `finally` ends what was started
    record.note(f"trouble: {'on' if trouble else 'off'}")
    try:
        kept = asyncio.run(asyncio.wait_for(case(record, folder, trouble), 115))
        record.note("the rule held" if kept else "THE RULE WAS BROKEN")
        code = 0 if kept else 1
    except Exception as error:  # whatever went wrong here says nothing about the rule
        record.note(f"the case could not run: {error!r}")
        code = 2
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
