"""A stand-in engine that speaks TDS as docs/tds.md describes it: PRELOGIN, LOGIN7, SQL batches, Attention, the health
check. One request at a time on a connection. A statement says how long it runs: `work_ms = 40`."""

import asyncio
import struct

from standins import HOST

TABULAR_RESULT, SQL_BATCH, ATTENTION, LOGIN7, PRELOGIN = 0x04, 0x01, 0x06, 0x10, 0x12
PACKET_BYTES = 4096
COLLATION = bytes([0x09, 0x04, 0xD0, 0x00, 0x34])


def message(kind, data):
    size = PACKET_BYTES - 8
    parts = [data[at:at + size] for at in range(0, len(data), size)] or [b""]
    out = b""
    for number, part in enumerate(parts):
        last = 1 if number == len(parts) - 1 else 0
        out += struct.pack(">BBHHBB", kind, last, len(part) + 8, 0, (number + 1) % 256, 0) + part
    return out


def b_varchar(text):
    return bytes([len(text)]) + text.encode("utf-16-le")


def done(status, rows=0):
    return struct.pack("<BHHQ", 0xFD, status, 0xC1, rows)


def info(text):
    data = struct.pack("<IBBH", 50100, 1, 0, len(text)) + text.encode("utf-16-le")
    data += b_varchar("engine") + b_varchar("") + struct.pack("<I", 0)
    return struct.pack("<BH", 0xAB, len(data)) + data


def table(columns, rows):
    out = struct.pack("<BH", 0x81, len(columns))
    for name in columns:
        out += struct.pack("<IHBH", 0, 9, 0xE7, 8000) + COLLATION + b_varchar(name)
    for row in rows:
        out += b"\xd1" + b"".join(struct.pack("<H", len(cell) * 2) + cell.encode("utf-16-le") for cell in row)
    return out


class TdsEngine:
    def __init__(self, record, name, repeat_each=0, repeat_after_s=0.005):
        self.record, self.name = record, name
        self.repeat_each, self.repeat_after_s = repeat_each, repeat_after_s
        self.zone, self.kind = "hall-a", "std-8"
        self.good = 0
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def read_message(self, reader):
        data = b""
        while True:
            kind, status, length = struct.unpack(">BBH4x", await reader.readexactly(8))
            data += await reader.readexactly(length - 8)
            if status & 1:
                return kind, data

    async def serve(self, reader, writer):
        task = None
        try:
            while True:
                kind, data = await self.read_message(reader)
                if kind == PRELOGIN:
                    options = b"\x00\x00\x0b\x00\x06\x01\x00\x11\x00\x01\xff" + bytes(6) + b"\x02"
                    writer.write(message(TABULAR_RESULT, options))
                elif kind == LOGIN7:
                    ack = b"\x01" + bytes([0x74, 0, 0, 4]) + b_varchar("engine") + bytes([16, 0, 0, 0])
                    writer.write(message(TABULAR_RESULT, struct.pack("<BH", 0xAD, len(ack)) + ack + done(0)))
                elif kind == ATTENTION:
                    if task and not task.done():
                        task.cancel()
                    writer.write(message(TABULAR_RESULT, done(0x20)))
                elif kind == SQL_BATCH:
                    statement = data[struct.unpack("<I", data[:4])[0]:].decode("utf-16-le")
                    task = asyncio.create_task(self.run(writer, statement))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if task and not task.done():
                task.cancel()
            writer.close()

    async def run(self, writer, statement):
        if statement.startswith("/*probe="):
            rows = [(f"{min(self.running / 16, 1):.2f}", "0", "0.05", "0.05")]
            answer = table(["util", "queue", "x0", "x1"], rows) + done(0x10, 1)
            writer.write(message(TABULAR_RESULT, answer))
            return
        name = statement.split("id='")[1].split("'")[0]
        work_ms = int(statement.split("work_ms = ")[1].split()[0])
        self.record.add("run", engine=self.name, id=name)
        self.running += 1
        try:
            await asyncio.sleep(work_ms / 1000.0)
        finally:
            self.running -= 1
        rows = [(name, "a", "1"), (name, "b", "2")]
        answer = table(["day", "count", "note"], rows) + info(f"toil={work_ms} room=64") + done(0x10, len(rows))
        answer = message(TABULAR_RESULT, answer)
        self.good += 1
        self.record.add("end", engine=self.name, id=name)
        writer.write(answer)
        if self.repeat_each and self.good % self.repeat_each == 0:
            asyncio.get_running_loop().call_later(self.repeat_after_s, self.repeat, writer, answer, name)

    def repeat(self, writer, answer, name):
        if not writer.is_closing():
            self.record.add("second-copy", engine=self.name, id=name)
            writer.write(answer)
