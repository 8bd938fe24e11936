"""Callers that keep using open connections and record what they are told."""

import asyncio
import dataclasses
import time
from random import Random
from typing import Optional

from wire import Disconnected, connect, format_message, read_message

HOST_HEADER = "shop.example"
# Path prefixes by kind of request.
PREFIXES = {"book": "/book/", "read": "/read/", "talk": "/talk/", "tell": "/tell/"}
# Kinds that run at most once.
AT_MOST_ONCE = ("book", "tell")
STREAMS = ("talk", "tell")
TIME_LIMIT_MS = 6000
# How long a caller waits beyond the time limit of its request.
PATIENCE_S = 2.0
# The share of requests whose callers leave, and within which time.
LEAVING_SHARE = 0.03
LEAVING_S = 0.3


def service_of(kind):
    return "engine" if kind in STREAMS else "app"


@dataclasses.dataclass
class Attempt:
    request_id: str
    kind: str
    host: str
    workspace: str
    sent_at: float
    ended_at: float = 0.0
    # Null if the connection ended without a response.
    response: Optional[object] = None
    timed_out: bool = False
    has_left: bool = False

    @property
    def is_answered(self):
        return self.response is not None and self.response.complete


class Caller:
    """Sends requests to one host, one at a time, on a connection that it keeps
    until the host closes it."""

    def __init__(self, number, random, attempts, workspace, key, leaving_share=LEAVING_SHARE):
        self.number = number
        self.workspace = workspace
        self.random = random
        self.attempts = attempts
        self.key = key
        self.count = 0
        self.stream = None
        # Of its own, so that what is sent does not depend on who leaves.
        self.leaving_random = Random(number)
        self.leaving_share = leaving_share

    async def run(self, choose_host, until):
        while time.monotonic() < until:
            host = choose_host(self.random)
            for _ in range(self.random.randrange(1, 12)):
                if time.monotonic() >= until or not await self.send(host, self.random.choice(list(PREFIXES))):
                    break
                await asyncio.sleep(self.random.expovariate(25))
            self.close()
            await asyncio.sleep(0.05)

    def close(self):
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None

    async def send(self, host, kind):
        """Sends one request; returns false if the connection has ended."""
        if self.stream is None:
            try:
                self.stream = await asyncio.wait_for(connect(host.callers), 1)
            except (OSError, asyncio.TimeoutError):
                return False
        reader, writer = self.stream
        self.count += 1
        attempt = Attempt(f"c{self.number}-{self.count}", kind, host.name, self.workspace, time.monotonic())
        self.attempts.append(attempt)
        body = b"x" * self.random.choice((0, 20, 3000)) if kind != "read" else b""
        try:
            writer.write(format_message(
                ("GET " if kind == "read" else "POST ") + PREFIXES[kind] + str(self.count) + " HTTP/1.1",
                [("Host", HOST_HEADER), ("Request-Id", attempt.request_id), ("Api-Key", self.key),
                 ("Deadline-Ms", TIME_LIMIT_MS), ("Token-Count", "200,50")], body))
            limit_s = TIME_LIMIT_MS / 1000 + PATIENCE_S
            attempt.has_left = self.leaving_random.random() < self.leaving_share
            if attempt.has_left:
                limit_s = self.leaving_random.uniform(0, LEAVING_S)
            attempt.response = await asyncio.wait_for(read_message(reader, is_response=True), limit_s)
        except asyncio.TimeoutError:
            attempt.timed_out = not attempt.has_left
        except (Disconnected, OSError):
            pass
        attempt.ended_at = time.monotonic()
        response = attempt.response
        is_open = (response is not None and response.complete and
                   (response.field("Connection") or "").lower() != "close")
        if not is_open:
            self.close()
        return is_open
