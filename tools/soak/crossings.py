"""Faults and planned work that meet each other while requests are in flight.

Each crossing is a coroutine on a World. Unplanned faults are entered into the
world's disturbances, so that checks of planned work leave them out."""

import asyncio
import contextlib
import signal
import time

from hosts import REVOCATION_LIMIT_MS, STOP_LIMIT_S

# A version that ran fewer requests than this cannot be judged: its callers may
# have ended before all requests were moved to it.
JUDGED_RUNS = 30

ODD_SPECS = (None, 5, [], "text", {"service": 7}, {"service": "app", "address": None},
             {"service": "app", "address": "127.0.0.1:0", "slots": 3, "state": "ready"},
             {"service": "app", "address": "no address", "slots": "many", "state": "gone"},
             {"service": "app\x00", "address": "127.0.0.1:1", "slots": -1, "state": "ready", "born": "x" * 3000})
ODD_NAMES = ("odd name", "odd/../name", "%2e", "é" * 40, "a" * 500)


@contextlib.contextmanager
def disturbance(world):
    began_at = time.monotonic()
    try:
        yield
    finally:
        world.disturbances.add(began_at, time.monotonic())


async def signals_while_stopping(world, random):
    """A planned stop, with further signals or a new document before its end."""
    host = world.take_host(random)
    if host is None:
        return
    stopped_at = time.monotonic()
    host.signal(signal.SIGTERM)
    for _ in range(random.randrange(1, 4)):
        await asyncio.sleep(random.uniform(0.02, 0.8))
        what = random.choice(("term", "hup", "document"))
        if what == "document":
            world.change_document(random)
        else:
            host.signal(signal.SIGTERM if what == "term" else signal.SIGHUP)
    if not await host.wait_ended(STOP_LIMIT_S):
        world.violations.append(f"{host.name} did not end within {STOP_LIMIT_S} s of SIGTERM")
    world.stops.append((host.name, stopped_at, time.monotonic()))
    await host.start()
    await host.wait_ready(10)
    world.give_back(host)


async def killed_host(world, random):
    host = world.take_host(random)
    if host is None:
        return
    with disturbance(world):
        host.signal(signal.SIGKILL)
        await host.wait_ended(2)
        await asyncio.sleep(random.uniform(0, 1))
        await host.start()
        await host.wait_ready(10)
    world.give_back(host)


async def paused_host(world, random):
    host = world.take_host(random)
    if host is None:
        return
    with disturbance(world):
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.3, 3))
        host.signal(signal.SIGCONT)
    world.give_back(host)


async def store_in_trouble(world, random):
    store = world.store
    with disturbance(world):
        what = random.choice(("busy", "silent", "slow", "lost", "forgets", "cut"))
        if what in ("busy", "silent"):
            store.mode = what
        elif what == "slow":
            store.delay_s = 0.3
        elif what == "lost":
            store.lost_share = 0.5
        elif what == "forgets":
            store.forget_history()
        else:
            random.choice(world.store_proxies).mode = "one_way"
        await asyncio.sleep(random.uniform(0.5, 4))
        store.mode, store.delay_s, store.lost_share = "up", 0.0, 0.0
        for it in world.store_proxies:
            it.mode = "pass"
            it.reset_connections()


async def broken_half_connections(world, random):
    """Answers are lost or held back while requests are still being written."""
    site = random.choice(world.sites)
    with disturbance(world):
        what = random.choice(("lost", "one_way", "silent", "resets", "repeats"))
        faults = site.upstream.faults
        if what == "lost":
            faults.lost_answers = 0.4
        elif what == "repeats":
            faults.repeats = 0.5
        elif what in ("one_way", "silent"):
            site.proxy.mode = what
        for _ in range(random.randrange(4, 20)):
            await asyncio.sleep(0.1)
            if what == "resets":
                site.proxy.reset_connections()
        faults.lost_answers = faults.repeats = 0.0
        if site.proxy.mode != "pass":
            site.proxy.mode = "pass"
            site.proxy.reset_connections()


async def odd_entries(world, random):
    """Entries of another writer, which must not affect the others."""
    names = [random.choice(ODD_NAMES) + str(n) for n in range(3)]
    for name in names:
        world.store.put("servers", name, random.choice(ODD_SPECS))
        world.store.put("rollouts", name, random.choice(ODD_SPECS))
        world.store.put("flamingogauge-hosts", name, random.choice(ODD_SPECS))
    await asyncio.sleep(random.uniform(1, 4))
    for name in names:
        for kind in ("servers", "rollouts", "flamingogauge-hosts"):
            world.store.remove(kind, name)


async def key_taken_away(world, random):
    await world.revoke_key(random, random.uniform(REVOCATION_LIMIT_MS / 1000, REVOCATION_LIMIT_MS / 1000 + 3))


async def leaving_upstream(world, random):
    await world.replace_upstream(random.choice(world.sites))


async def verdict_while_writer_dies(world, random):
    """A roll-out whose deciders are killed and whose status writes get lost."""
    if world.store.spec("rollouts", "app") is not None:
        return
    is_bad = random.random() < 0.6
    target = f"v{world.next_version()}"
    new = [await world.add_upstream("app", target) for _ in range(2)]
    old = [site for site in world.sites if site.upstream.service == "app" and site not in new]
    if is_bad:
        for site in new:
            site.upstream.faults.failures = 0.7
    world.store.put("rollouts", "app", {"service": "app", "target": target, "durationS": 12})
    await asyncio.sleep(random.uniform(0.5, 3))
    world.store.lost_share = 0.3
    await killed_host(world, random)
    world.store.lost_share = 0.0
    state = await world.wait_rollout("app", 14)
    runs = sum(run.version == target for run in world.runs)
    if is_bad and state == "completed" and runs >= JUDGED_RUNS:
        world.violations.append(f"the bad version {target} was completed after {runs} runs")
    for site in old if state == "completed" else new:
        await world.remove_upstream(site)
    world.store.remove("rollouts", "app")


async def host_returns_while_another_pauses(world, random):
    """A process starts again while another host still holds requests of the
    one before it."""
    host = world.take_host(random)
    if host is None:
        return
    paused = world.take_host(random)
    if paused is None:
        world.give_back(host)
        return
    with disturbance(world):
        host.signal(signal.SIGKILL)
        await host.wait_ended(2)
        paused.signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0, 0.3))
        await host.start()
        await asyncio.sleep(random.uniform(0.3, 1.2))
        paused.signal(signal.SIGCONT)
        await host.wait_ready(10)
    world.give_back(host)
    world.give_back(paused)


async def bytes_without_end(world, random):
    site = random.choice(world.sites)
    with disturbance(world):
        site.upstream.faults.endless = 0.5
        await asyncio.sleep(random.uniform(0.5, 3))
        site.upstream.faults.endless = 0.0


# The first sheet: each of these meets the others and the plain faults.
CROSSINGS = (signals_while_stopping, broken_half_connections, odd_entries, verdict_while_writer_dies)
FAULTS = (killed_host, paused_host, store_in_trouble, leaving_upstream, key_taken_away)
# Drawn after the first sheet, so that the seeds that failed with it stay the same.
SECOND_SHEET = (host_returns_while_another_pauses, bytes_without_end)


def make_plan(random, length_s):
    """Returns (start in s, crossing) pairs; the same for the same seed."""
    def start():
        return random.uniform(1.0, length_s * 0.7)

    chosen = [random.choice(CROSSINGS) for _ in range(random.randrange(3, 6))]
    chosen += [random.choice(FAULTS) for _ in range(random.randrange(2, 5))]
    plan = [(start(), it) for it in chosen]
    plan += [(start(), random.choice(SECOND_SHEET)) for _ in range(random.randrange(1, 3))]
    return sorted(plan, key=lambda it: it[0])
