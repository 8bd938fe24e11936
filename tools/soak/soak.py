"""Runs entry hosts as processes, crosses faults with planned work, and checks
the promises to callers from what callers and upstreams saw.

Usage: python3 tools/soak/soak.py --program build/dev/src/app/flamingogauge
           [--seeds 1,2,3 | --count N --first SEED] [--seconds S] [--hosts N] [--jobs N]

Exits with 1 if a promise was broken, and prints the seed and the folder of the
hosts' logs. A seed gives the same plan again; the timing of processes differs."""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

import checks
from callers import Caller
from crossings import make_plan
from world import KEYS, REVOCABLE, World

CALLERS = 10
# After the last fault, the time until each host must serve again.
RECOVERY_S = 6.0
RECOVERY_TRIES = 40


def make_caller(number, seed, attempts):
    workspace = list(KEYS)[number % len(KEYS)]
    return Caller(number, random.Random(f"{seed}/{number}"), attempts, workspace, KEYS[workspace])


async def run_crossing(world, delay_s, crossing, seed):
    await asyncio.sleep(delay_s)
    await crossing(world, random.Random(seed))


async def check_recovery(world, attempts):
    """Each host answers an ordinary request again."""
    await asyncio.sleep(RECOVERY_S)
    for number, host in enumerate(world.hosts):
        caller = Caller(1000 + number, random.Random(1), attempts, "acme", KEYS["acme"], leaving_share=0)
        for _ in range(RECOVERY_TRIES):
            await caller.send(host, "read")
            response = attempts[-1].response if attempts else None
            if response is not None and response.status == 200:
                break
            caller.close()
            await asyncio.sleep(0.25)
        else:
            world.violations.append(f"{host.name} serves nothing after the last fault")
        caller.close()


async def run_seed(seed, options):
    rng = random.Random(seed)
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    world = World(options.program, folder, rng, options.hosts)
    attempts = []
    plan = make_plan(rng, options.seconds)
    try:
        await world.start()
        until = time.monotonic() + options.seconds
        callers = [make_caller(n, seed, attempts) for n in range(CALLERS)]
        work = [it.run(lambda chooser: chooser.choice(world.hosts), until) for it in callers]
        work += [run_crossing(world, delay_s, crossing, f"{seed}/{delay_s}") for delay_s, crossing in plan]
        await asyncio.gather(*work)
        await check_recovery(world, attempts)
        return [*world.violations, *find_violations(world, attempts)], summarise(plan, attempts, world), folder
    finally:
        await world.stop()


def find_violations(world, attempts):
    yield from checks.check_executions(attempts, world.runs)
    yield from checks.check_services(attempts, world.runs)
    yield from checks.check_answers(attempts)
    yield from checks.check_patience(attempts, world.disturbances)
    yield from checks.check_planned_stops(attempts, world.runs, world.stops, world.disturbances)
    yield from checks.check_leaving_upstreams(attempts, world.runs, world.leavings, world.disturbances)
    yield from checks.check_revocations(attempts, world.runs, world.revocations, REVOCABLE)
    yield from checks.check_processes(world.hosts)
    yield from checks.check_rollouts(world.store.statuses)


def summarise(plan, attempts, world):
    answered = sum(it.is_answered and it.response.status == 200 for it in attempts)
    steps = ", ".join(f"{crossing.__name__} at {delay_s:.1f} s" for delay_s, crossing in plan)
    return f"{len(attempts)} requests, {answered} served, {len(world.runs)} runs; {steps}"


async def run_all(seeds, options):
    limit = asyncio.Semaphore(options.jobs)
    broken = []

    async def run(seed):
        async with limit:
            violations, summary, folder = await run_seed(seed, options)
        print(f"seed {seed}: {'broken' if violations else 'held'}; {summary}", flush=True)
        for it in violations[:20]:
            print(f"  {it}", flush=True)
        if violations:
            broken.append(seed)
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder, ignore_errors=True)

    await asyncio.gather(*(run(it) for it in seeds))
    return broken


def parse_options():
    parser = argparse.ArgumentParser(description="Crosses faults with planned work and checks the promises.")
    parser.add_argument("--program", required=True, help="path of the flamingogauge binary")
    parser.add_argument("--seeds", help="comma-separated seeds")
    parser.add_argument("--count", type=int, default=1, help="number of seeds to draw")
    parser.add_argument("--first", type=int, help="first seed; drawn and printed if missing")
    parser.add_argument("--seconds", type=float, default=15, help="length of a run's traffic in s")
    parser.add_argument("--hosts", type=int, default=4, help="entry hosts, 2 to 40")
    parser.add_argument("--jobs", type=int, default=1, help="seeds to run side by side")
    options = parser.parse_args()
    if not 2 <= options.hosts <= 40:
        parser.error(f"--hosts is {options.hosts}, allowed are 2 to 40")
    if not os.path.exists(options.program):
        parser.error(f"--program: {options.program} does not exist")
    return options


def main():
    options = parse_options()
    if options.seeds:
        seeds = [int(it) for it in options.seeds.split(",")]
    else:
        first = options.first if options.first is not None else random.SystemRandom().randrange(1 << 30)
        seeds = list(range(first, first + options.count))
    broken = asyncio.run(run_all(seeds, options))
    print(f"{len(seeds) - len(broken)} passed, {len(broken)} failed")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
