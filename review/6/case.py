"""A host's process restarts while the coordinator of its zone stands still.

The coordinator still has the requests of the process before. When it goes on,
its grants reach the new process, which has given the same numbers to requests
of its own.
"""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness_2 as h  # noqa: E402

SERVICES = {"models": "/draft/", "booking": "/book/"}
FREEZE_S = 1.35


def manifest():
    return {
        "version": 1,
        "routes": [{
            "name": "route-" + service, "host": "shop.example",
            "pathPrefix": prefix, "kind": "non_idempotent", "priority": 1,
            "timeoutMs": 12000, "targetLatencyMs": 4000, "maxAttempts": 1,
            "anonymous": True, "service": service,
        } for service, prefix in SERVICES.items()],
        "services": [{"name": it, "healthPath": "/health",
                      "maxConnections": 400, "protocol": "h1", "tls": False}
                     for it in SERVICES],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Clients:
    """Clients that the platform's balancer sends to one host."""

    def __init__(self, trial, host):
        self.trial, self.host = trial, host
        self.sent = {}
        self.tasks = []

    async def one(self, service, work_ms):
        request = "r%05d" % next(self.trial.ids)
        self.sent[request] = service
        self.trial.record.write("send     %s to %s for %s, work %d ms" % (
            request, self.host.name, service, work_ms))
        try:
            answer = await h.ask(
                "127.0.0.1:%d" % self.host.front, "POST",
                SERVICES[service] + "x",
                {"Host": "shop.example", "Request-Id": request,
                 "Deadline-Ms": "12000"}, b"work_ms=%d" % work_ms, 13)
            self.trial.record.write("answered %s: %d %s" % (
                request, answer.status, answer.body.decode()))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.trial.record.write("answered %s: connection ended" % request)

    async def send(self, count, seconds, work_ms):
        """Sends `count` requests, half to each service, in this time."""
        services = list(SERVICES) * (count // len(SERVICES))
        random.shuffle(services)
        for service in services:
            self.tasks.append(asyncio.create_task(self.one(service, work_ms)))
            await asyncio.sleep(seconds / count)


async def main(trial):
    store = await trial.store(manifest())
    for service in SERVICES:
        for n in range(4):
            await trial.upstream("%s-%d" % (service, n), service, "north",
                                 slots=4, queue=24)
    zones = {"north": "east"}
    # The host with the largest share coordinates.
    coordinator = trial.host("front-1", "north", zones, cpu_share=0.5)
    host = trial.host("front-2", "north", zones)
    third = trial.host("front-3", "north", zones)
    for it in trial.hosts:
        it.start()
    for it in trial.hosts:
        if not await it.until_ready():
            raise RuntimeError("a host does not get ready")
    await asyncio.sleep(1)

    clients, others = Clients(trial, host), Clients(trial, third)
    # Calm.
    await clients.send(60, 1.5, 30)
    await asyncio.sleep(0.2)
    # Requests of another host take all 32 places; those of this one wait.
    await others.send(32, 0.05, 450)
    await asyncio.sleep(0.05)
    await clients.send(60, 0.15, 1200)
    await asyncio.sleep(0.05)
    if h.TROUBLE:
        trial.record.write("kill     %s" % host.name)
        host.kill()
        trial.record.write("stop     %s" % coordinator.name)
        coordinator.signal(signal.SIGSTOP)
    began_at = h.now()
    await asyncio.sleep(0.4)
    if h.TROUBLE:
        trial.record.write("start    %s" % host.name)
        host.start()
        await host.until_ready()
        trial.record.write("ready    %s" % host.name)
    # The callers come back, and more with them.
    await clients.send(150, 0.4, 1200)
    await asyncio.sleep(began_at + FREEZE_S - h.now())
    if h.TROUBLE:
        trial.record.write("continue %s" % coordinator.name)
        coordinator.signal(signal.SIGCONT)
    await asyncio.wait(clients.tasks + others.tasks, timeout=14)

    sent = {**clients.sent, **others.sent}
    broken = []
    for it in trial.upstreams:
        for request, line, _ in it.runs:
            wanted = sent[request]
            if wanted != it.service:
                broken.append("ROUTE: %s, for the service %s, was run by %s "
                              "of the service %s (%s)" % (
                                  request, wanted, it.name, it.service, line))
    return broken


h.run(__file__, main)
