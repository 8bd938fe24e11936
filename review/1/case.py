"""A runner crashes in the middle of an answer without a length; the half passes for the whole."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
REVIEW = os.path.join(FOLDER, "..")
sys.path.insert(0, REVIEW)
from harness import (exchange, field, manifest, route, run_case)  # noqa: E402

# All under maxBodyBytes (4,194,304). The kernel takes part of a body at once, how
# much depends on its settings.
BODIES = (200_000, 400_000, 1_000_000, 4_000_000)
ANSWER_BYTES = 2000
PAUSE_S = 1.2


class ProcessRunner:
    """The entry of a runner that runs as a process of its own."""

    def __init__(self, record, name):
        self.record = record
        self.id = name
        self.runs = []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(REVIEW, "early_runner.py"), self.id, str(ANSWER_BYTES), str(PAUSE_S),
            stdout=asyncio.subprocess.PIPE)
        self.address = "127.0.0.1:%d" % int(await self.process.stdout.readline())
        self.reading = asyncio.ensure_future(self._read())

    async def _read(self):
        while line := (await self.process.stdout.readline()).decode().strip():
            self.record(f"runner {self.id}: {line}")
            if line.startswith("runs "):
                self.runs.append(line.split(" ")[1])

    def entry(self):
        return {"service": "reports", "address": self.address, "zone": "zone-1", "version": "v1", "slots": 6,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1}


async def case(deployment, record, trouble):
    runner = ProcessRunner(record, "i-report-1")
    document = manifest([route("r-report", "/report/", "non_idempotent", "reports", 5000)], ["reports"])
    try:
        await deployment.start(document, [runner])
        host = deployment.hosts[0]
        sent = [asyncio.ensure_future(exchange(host.front, "POST", f"/report/{n}", f"report-{n}", b"p" * size,
                                               deadline_ms=8000)) for n, size in enumerate(BODIES)]
        await asyncio.sleep(0.8)
        if trouble:
            record("runner i-report-1: crashes (SIGKILL)")
            runner.process.kill()
        answers = await asyncio.gather(*sent)
    finally:
        if runner.process.returncode is None:
            runner.process.kill()
        await runner.process.wait()
    broken = []
    for n, answer in enumerate(answers):
        record(f"client: report-{n} got {answer} of {ANSWER_BYTES}")
        sealed = field(answer.fields, "Response-Seal") is not None
        if answer.complete and answer.status == 200 and sealed and len(answer.body) != ANSWER_BYTES:
            broken.append(f"report-{n} ({len(answer.body)} bytes, Content-Length {field(answer.fields, 'Content-Length')})")
    if broken:
        return "MIXED: a success that looks complete, with a body that isn't the runner's whole body: " + ", ".join(broken)
    return None


run_case(FOLDER, case)
