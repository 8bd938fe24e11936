"""A small deployment: the store, upstreams behind proxies, and entry hosts."""

import asyncio
import dataclasses
import os
import time

from callers import HOST_HEADER, PREFIXES, service_of
from checks import TERMINAL_STATES, Disturbances
from hosts import Host
from proxy import Proxy
from store import Store
from upstreams import Upstream

# Keys by workspace. The second one is taken away and given back.
KEYS = {"acme": "key-of-acme", "birch": "key-of-birch"}
REVOCABLE = "birch"
DATA_CENTRES = ("dc-1", "dc-2")
REGIONS = "dc-1=north,dc-2=south"
LEAVING_S = 5.0
KINDS = {"book": "non_idempotent", "read": "idempotent", "talk": "streaming", "tell": "streaming"}


def make_document(version, timeout_ms=5000, workspaces=tuple(KEYS)):
    routes = []
    for kind, prefix in PREFIXES.items():
        is_stream = KINDS[kind] == "streaming"
        routes.append({"name": "r-" + kind, "host": HOST_HEADER, "pathPrefix": prefix, "kind": KINDS[kind],
                       "timeoutMs": timeout_ms, "targetLatencyMs": 1000, "priority": 0 if kind == "talk" else 1,
                       "service": service_of(kind), "maxAttempts": 2 if kind in ("read", "talk") else 1,
                       "anonymous": False, "sticky": is_stream, "resumable": kind == "talk", "gapAimMs": 400})
    services = [{"name": it, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": False}
                for it in ("app", "engine")]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": it, "apiKeys": [KEYS[it]] if it in workspaces else [], "priority": 1,
                         "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0} for it in KEYS]}


@dataclasses.dataclass
class Site:
    """An upstream and the proxy through which hosts reach it."""

    upstream: Upstream
    proxy: Proxy


class World:
    def __init__(self, program, folder, random, host_count):
        self.program = program
        self.folder = folder
        self.random = random
        self.host_count = host_count
        self.store = Store(random)
        self.store_proxies = []
        self.sites = []
        self.hosts = []
        self.runs = []
        self.stops = []
        # When the store accepted that an upstream leaves, by its name.
        self.leavings = {}
        # When the key of REVOCABLE was taken away and given back.
        self.revocations = []
        self.violations = []
        self.disturbances = Disturbances()
        self._taken = set()
        self._upstream_count = 0
        self._version_count = 1
        self._document_version = 1
        self._is_revoked = False

    async def start(self):
        os.makedirs(self.folder, exist_ok=True)
        await self.store.start()
        self.store.put("config", "main", make_document(1))
        for service in ("app", "app", "engine", "engine"):
            await self.add_upstream(service, "v1")
        for n in range(self.host_count):
            proxy = Proxy(self.store.address)
            await proxy.start()
            self.store_proxies.append(proxy)
            self.hosts.append(Host(self.program, self.folder, f"host-{n + 1}", DATA_CENTRES[n % len(DATA_CENTRES)],
                                   REGIONS, proxy.address))
        for it in self.hosts:
            await it.start(is_first=True)
        for it in self.hosts:
            if not await it.wait_ready(15):
                self.violations.append(f"{it.name} is not ready after its first start")

    async def stop(self):
        for it in self.hosts:
            if it.process is not None and it.process.returncode is None:
                it.may_end = True
                it.process.kill()
                await it.process.wait()
        for it in self.sites:
            await it.proxy.stop()
            await it.upstream.stop()
        for it in self.store_proxies + [self.store]:
            await it.stop()

    async def add_upstream(self, service, version):
        self._upstream_count += 1
        data_centre = DATA_CENTRES[self._upstream_count % len(DATA_CENTRES)]
        upstream = Upstream(f"u{self._upstream_count}", service, self.random, self.runs, version, data_centre, slots=8)
        await upstream.start()
        proxy = Proxy(upstream.address)
        await proxy.start()
        site = Site(upstream, proxy)
        self.sites.append(site)
        self.store.put("servers", upstream.name, upstream.entry(proxy.address))
        return site

    async def remove_upstream(self, site):
        """Drains an upstream and ends it, as in planned work."""
        if site not in self.sites:
            return
        self.sites.remove(site)
        self.store.put("servers", site.upstream.name, site.upstream.entry(site.proxy.address, "draining"))
        self.leavings[site.upstream.name] = time.monotonic()
        await asyncio.sleep(LEAVING_S)
        self.store.remove("servers", site.upstream.name)
        while site.upstream.running > 0:
            await asyncio.sleep(0.1)
        await site.proxy.stop()
        await site.upstream.stop()

    async def replace_upstream(self, site):
        if site in self.sites:
            successor = await self.add_upstream(site.upstream.service, site.upstream.version)
            # The failures are those of the version.
            successor.upstream.faults.failures = site.upstream.faults.failures
            await self.remove_upstream(site)

    def change_document(self, random):
        self._document_version += random.randrange(1, 4)
        workspaces = [it for it in KEYS if it != REVOCABLE or not self._is_revoked]
        document = make_document(self._document_version, random.choice((4000, 5000, 5500)), workspaces)
        self.store.put("config", "main", document)

    async def revoke_key(self, random, for_s):
        """Takes the key of REVOCABLE away, and gives it back after `for_s`."""
        if self._is_revoked:
            return
        self._is_revoked = True
        self.change_document(random)
        taken_at = time.monotonic()
        await asyncio.sleep(for_s)
        # From here on, a host may read the new document.
        self.revocations.append((taken_at, time.monotonic()))
        self._is_revoked = False
        self.change_document(random)

    def next_version(self):
        self._version_count += 1
        return self._version_count

    async def wait_rollout(self, service, limit_s):
        """Returns the state of a roll-out once it is final, or the last one."""
        state = None
        for _ in range(int(limit_s / 0.1)):
            obj = self.store.objects.get(("rollouts", service))
            state = ((obj or {}).get("status") or {}).get("state")
            if state in TERMINAL_STATES:
                break
            await asyncio.sleep(0.1)
        return state

    def take_host(self, random):
        """Reserves a host for a fault; null if only one is left to the callers."""
        free = [it for it in self.hosts if it.name not in self._taken]
        if len(free) < 2:
            return None
        host = random.choice(free)
        self._taken.add(host.name)
        return host

    def give_back(self, host):
        self._taken.discard(host.name)
