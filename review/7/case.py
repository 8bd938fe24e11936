"""A host stands still for a moment while callers that wait there leave.

Places at upstreams that were granted to these callers stay taken for good. With
as many as a service has, no host of the zone serves that service any more, in
calm and with idle upstreams.
"""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness_2 as h  # noqa: E402

SERVICES = {"models": "/draft/", "booking": "/book/"}
SLOTS = 6
UPSTREAMS = 3
ROUNDS = 10
PAUSE_S = 0.12
# Requests to the other service in a round, whose callers stay: 18 callers of 96
# leave.
OTHER_CALLS = 60
CALLS = 30
STABLE_WINDOW_S = 4


def manifest(version=1):
    services = list(SERVICES)[:version]
    return {
        "version": version,
        "routes": [{
            "name": "route-" + service, "host": "shop.example",
            "pathPrefix": SERVICES[service], "kind": "non_idempotent",
            "priority": 1, "timeoutMs": 2500, "targetLatencyMs": 1500,
            "maxAttempts": 1, "anonymous": True, "service": service,
        } for service in services],
        "services": [{"name": it, "healthPath": "/health",
                      "maxConnections": 400, "protocol": "h1", "tls": False}
                     for it in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Clients:
    def __init__(self, trial):
        self.trial = trial

    async def one(self, host, service, work_ms):
        request = "r%05d" % next(self.trial.ids)
        try:
            answer = await h.ask(
                "127.0.0.1:%d" % host.front, "POST", SERVICES[service] + "x",
                {"Host": "shop.example", "Request-Id": request,
                 "Deadline-Ms": "2500"}, b"work_ms=%d" % work_ms, 3)
            end = str(answer.status)
        except asyncio.CancelledError:
            self.trial.record.write("left     %s" % request)
            raise
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            end = "connection ended"
        self.trial.record.write("answered %s at %s for %s: %s" % (
            request, host.name, service, end))
        return end

    async def places_taken(self, host, service):
        """Asks an idle host how many places it counts as taken."""
        dump = await h.ask("127.0.0.1:%d" % host.ready, "GET", "/state",
                           {"Host": "x"})
        state = json.loads(dump.body)
        self.trial.record.write(
            "%s has %d requests and counts as running: %s" % (
                host.name, len(state["requests"]), state["upstreams"]))
        return sum(count for name, count in state["upstreams"].items()
                   if name.startswith(service))

    def send(self, count, host, service, work_ms):
        return [asyncio.create_task(self.one(host, service, work_ms))
                for _ in range(count)]


async def main(trial):
    store = await trial.store(manifest())
    for service in SERVICES:
        for n in range(UPSTREAMS):
            await trial.upstream("%s-%d" % (service, n), service, "north",
                                 slots=SLOTS, queue=24, work_s=0.03)
    zones = {"north": "east"}
    trial.host("front-1", "north", zones, cpu_share=0.5)
    host = trial.host("front-2", "north", zones)
    third = trial.host("front-3", "north", zones)
    for it in trial.hosts:
        it.start()
    for it in trial.hosts:
        if not await it.until_ready():
            raise RuntimeError("a host does not get ready")
    await asyncio.sleep(1)
    store.put("config", "main", manifest(2))
    await asyncio.sleep(3)

    clients = Clients(trial)
    places = SLOTS * UPSTREAMS
    for _ in range(ROUNDS):
        # Another host's requests take all places that are left; those of this
        # host wait.
        taken = await clients.places_taken(host, "booking")
        busy = clients.send(places - taken, third, "booking", 300)
        await asyncio.sleep(0.1)
        for n in range(OTHER_CALLS):
            busy += clients.send(1, trial.hosts[n % 3], "models", 30)
        await asyncio.sleep(0.05)
        waiting = clients.send(places, host, "booking", 30)
        await asyncio.sleep(0.13)
        if h.TROUBLE:
            trial.record.write("stop     %s" % host.name)
            host.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S / 2)
        if h.TROUBLE:
            for it in waiting:
                it.cancel()
        await asyncio.sleep(PAUSE_S / 2)
        if h.TROUBLE:
            host.signal(signal.SIGCONT)
            trial.record.write("continue %s" % host.name)
        await asyncio.gather(*busy, *waiting, return_exceptions=True)
        await asyncio.sleep(0.3)

    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await clients.places_taken(host, "booking")
    served = {}
    for service in SERVICES:
        ends = [await clients.one(trial.hosts[n % 3], service, 30)
                for n in range(CALLS)]
        served[service] = ends.count("200")
        trial.record.write("of %d requests for %s, one at a time, %d were "
                           "served" % (CALLS, service, served[service]))
    if served["booking"] >= served["models"] / 4:
        return []
    return ["CONFIG: of %d requests on the first route %d were served, of %d on "
            "the one that was added later %d" % (
                CALLS, served["models"], CALLS, served["booking"])]


h.run(__file__, main)
