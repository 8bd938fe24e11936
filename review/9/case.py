"""Callers that pause while they read, in calm.

Each caller has its answer's beginning in its receive buffer, reads nothing for
some seconds and then takes the rest, well inside its time limit. The upstream
has ended its work long before.
"""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness_2 as h  # noqa: E402

CALLERS = 10
# The longest stream of `restoration-report` in the site file: 550 pieces of
# 390 bytes.
SIZE = 550 * 390
PAUSE_S = 8.0 if h.TROUBLE else 0.0
TIME_LIMIT_MS = 15000


def manifest():
    return {
        "version": 1,
        "routes": [{
            "name": "report", "host": "shop.example", "pathPrefix": "/report/",
            "kind": "non_idempotent", "priority": 1,
            "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 2500,
            "maxAttempts": 1, "anonymous": True, "service": "reports"}],
        "services": [{"name": "reports", "healthPath": "/health",
                      "maxConnections": 400, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Reports(h.Upstream):
    async def work(self, request, fields, body, writer):
        size = int(body)
        writer.write(h.reply(200, "OK", b"r" * size, Request_Id=request,
                             Response_Seal="seal-" + request))
        await writer.drain()
        self.record.write("written  %s, %d bytes" % (request, size))


class Caller:
    """A client that keeps its channel open for several requests."""

    def __init__(self, trial, host):
        self.trial, self.host = trial, host

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        # As a small device has it.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        await asyncio.get_running_loop().sock_connect(
            self.socket, ("127.0.0.1", self.host.front))

    async def call(self, size, pause_s):
        loop = asyncio.get_running_loop()
        self.request = "r%03d" % next(self.trial.ids)
        body = b"%d" % size
        self.trial.record.write("send     %s, for %d bytes" % (self.request,
                                                               size))
        await loop.sock_sendall(self.socket, (
            "POST /report/x HTTP/1.1\r\nHost: shop.example\r\n"
            "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
            "Content-Length: %d\r\n\r\n" % (
                self.request, TIME_LIMIT_MS, len(body))).encode() + body)
        await asyncio.sleep(pause_s)
        data, received = b"", 0
        try:
            while b"\r\n\r\n" not in data:
                more = await asyncio.wait_for(
                    loop.sock_recv(self.socket, 16384), 5)
                if not more:
                    raise ConnectionError("closed")
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            received = len(data)
            while received < size:
                more = await asyncio.wait_for(
                    loop.sock_recv(self.socket, 65536), 5)
                if not more:
                    raise ConnectionError("closed")
                received += len(more)
            self.end = "%s, whole" % head.split(b" ")[1].decode()
        except ConnectionError as error:
            self.end = "cut off after %d of %d bytes (%s)" % (
                received, size, type(error).__name__)
        except asyncio.TimeoutError:
            self.end = "no more bytes after %d of %d" % (received, size)
        self.trial.record.write("answered %s: %s" % (self.request, self.end))


async def main(trial):
    store = await trial.store(manifest())
    for n in range(3):
        await trial.upstream("reports-%d" % n, "reports", "north", kind=Reports,
                             slots=6, queue=24)
    zones = {"north": "east"}
    for n in (1, 2, 3):
        trial.host("front-%d" % n, "north", zones).start()
    for it in trial.hosts:
        if not await it.until_ready():
            raise RuntimeError("a host does not get ready")
    await asyncio.sleep(1)

    callers = [Caller(trial, trial.hosts[0]) for _ in range(CALLERS)]
    for it in callers:
        await it.connect()
    await asyncio.gather(*(it.call(1000, 0) for it in callers))
    await asyncio.gather(*(it.call(SIZE, PAUSE_S) for it in callers))

    started = {request for up in trial.upstreams for request, _, _ in up.runs}
    lost = [it for it in callers
            if it.request in started and not it.end.endswith("whole")]
    for it in lost:
        said = [line for line in trial.hosts[0].log_text().splitlines()
                if '"request.ended"' in line and it.request in line]
        trial.record.write("the host's log: %s" % " ".join(said)[:200])
    if len(lost) <= 3:
        return []
    return ["LOST: %s of a kept channel, which was passed on to a sound "
            "upstream, was %s" % (it.request, it.end) for it in lost]


h.run(__file__, main)
