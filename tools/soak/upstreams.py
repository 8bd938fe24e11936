"""Stand-ins of upstreams: a plain service and a streaming engine, with faults."""

import asyncio
import dataclasses
import time

from wire import Disconnected, Server, format_message, read_message

EVENT_S = 0.03
# A beginning, and what follows it without end.
FILLER = b"x" * 20
ENDLESS_BYTES = ((b"", b"HTTP/1.1 100 Continue\r\n\r\n"), (b"HTTP/1.1 200 ", FILLER),
                 (b"HTTP/1.1 200 OK\r\nX: ", FILLER), (b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", FILLER),
                 (b"HTTP/1.1 000 Odd\r\n\r\n", FILLER))


def expected_body(request_id):
    return (request_id + "\n").encode() * 20


def event(request_id, number):
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def event_count(request_id):
    return 3 + sum(request_id.encode()) % 12


def expected_stream(request_id):
    return b"".join(event(request_id, n) for n in range(event_count(request_id)))


@dataclasses.dataclass
class Run:
    """A request that an upstream began to execute."""

    request_id: str
    upstream: str
    version: str
    workspace: str
    began_at: float
    service: str


@dataclasses.dataclass
class Faults:
    # Shares of the requests, 0 to 1.
    lost_answers: float = 0.0
    failures: float = 0.0
    # Sends each answer a second time, when it should have been read already.
    repeats: float = 0.0
    # Writes bytes that are no answer until the connection is closed.
    endless: float = 0.0


class Upstream(Server):
    def __init__(self, name, service, random, runs, version="v1", data_centre="dc-1", slots=6, work_s=0.1):
        super().__init__()
        self.name = name
        self.service = service
        self.random = random
        self.runs = runs
        self.version = version
        self.data_centre = data_centre
        self.slots = slots
        self.work_s = work_s
        self.faults = Faults()
        self.running = 0
        self.born = int(time.time() * 1000)

    def entry(self, address, state="ready"):
        return {"service": self.service, "address": address, "zone": self.data_centre, "version": self.version,
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader, is_response=False)
            if not request.complete:
                return
            request_id = request.field("Request-Id") or ""
            if request.field("Expect-Instance") not in (None, self.name):
                writer.write(format_message("HTTP/1.1 421 -", [("Request-Id", request_id)]))
                continue
            if self.running >= self.slots:
                writer.write(format_message("HTTP/1.1 503 -", [("Request-Id", request_id), ("Not-Executed", "1")]))
                continue
            self.running += 1
            try:
                if not await self._run(request, request_id, reader, writer):
                    return
            finally:
                self.running -= 1

    async def _run(self, request, request_id, reader, writer):
        """Executes a request; returns false if the connection must end."""
        self.runs.append(Run(request_id, self.name, self.version, request.field("Tenant") or "", time.monotonic(),
                             self.service))
        work = asyncio.ensure_future(self._answer(request, request_id, writer))
        while not work.done():
            await asyncio.wait({work}, timeout=0.02)
            if reader.at_eof():
                work.cancel()
                return False
        return work.result()

    async def _answer(self, request, request_id, writer):
        if self.random.random() < self.faults.lost_answers:
            await asyncio.sleep(self.work_s)
            writer.transport.abort()
            return False
        if self.random.random() < self.faults.endless:
            return await self._write_endlessly(writer)
        head = [("Request-Id", request_id), ("Response-Seal", f"{self.name}.{request_id}")]
        if self.random.random() < self.faults.failures:
            await asyncio.sleep(self.work_s)
            writer.write(format_message("HTTP/1.1 500 -", head))
            return True
        try:
            if self.service == "engine":
                await self._stream(request, request_id, head, writer)
            else:
                await asyncio.sleep(self.work_s * self.random.uniform(0.5, 2))
                answer = format_message("HTTP/1.1 200 OK", head, expected_body(request_id))
                writer.write(answer)
                if self.random.random() < self.faults.repeats:
                    await asyncio.sleep(0.05)
                    writer.write(answer)
            await writer.drain()
        except (Disconnected, ConnectionError, OSError):
            return False
        return True

    async def _write_endlessly(self, writer):
        begin, part = self.random.choice(ENDLESS_BYTES)
        try:
            writer.write(begin)
            while True:
                writer.write(part * 1000)
                await writer.drain()
        except (Disconnected, ConnectionError, OSError):
            return False

    async def _stream(self, request, request_id, head, writer):
        last = request.field("Last-Event-Id")
        first = 0 if last is None else int(last) + 1
        lines = "".join(f"{key}: {value}\r\n" for key, value in head)
        writer.write(("HTTP/1.1 200 OK\r\n" + lines + "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, event_count(request_id)):
            await asyncio.sleep(EVENT_S)
            part = event(request_id, number)
            writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
