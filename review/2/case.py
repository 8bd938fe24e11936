"""A settings change (SIGHUP) reaches a machine that drains after SIGTERM."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from harness import (Runner, answer_after, exchange, manifest, route, run_case)  # noqa: E402

REQUESTS = 6
WORK_S = 2.0  # of the route's 5 s


async def case(deployment, record, trouble):
    runner = Runner(record, "i-booking-1", "booking", answer_after(WORK_S))
    document = manifest([route("r-book", "/book/", "non_idempotent", "booking", 5000)], ["booking"])
    await deployment.start(document, [runner])
    host = deployment.hosts[0]
    record("planned work: the platform stops the machine")
    host.signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    sent = [asyncio.ensure_future(exchange(host.front, "POST", f"/book/{n}", f"booking-{n}", b"{}", deadline_ms=8000))
            for n in range(REQUESTS)]
    await asyncio.sleep(0.5)
    if trouble:
        record("planned work: the settings file has changed")
        host.signal(signal.SIGHUP)
    answers = await asyncio.gather(*sent)
    broken = []
    for n, answer in enumerate(answers):
        rid = f"booking-{n}"
        record(f"client: {rid} got {answer}; the runner {'began' if rid in runner.runs else 'did not begin'} it")
        if rid in runner.runs and not answer.complete:
            broken.append(rid)
    code = await asyncio.wait_for(host.process.wait(), 15)
    record(f"host: the process ended with status {code}")
    if broken:
        return f"LOST: passed on to a sound runner and cut without an answer: {', '.join(broken)}"
    return None


run_case(FOLDER, case)
