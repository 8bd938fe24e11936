#!/usr/bin/env python3
"""Runs real host processes on loopback and prints what control costs each.

Starts N processes of membership_host (control only) or of `flamingogauge serve
--embedded` (a whole host without callers), lets them find each other through
one seed, and compares the first and the last second of the measured time.
Usage: measure_processes.py PROGRAM [--sizes 3,9,27,60] [--seconds 20]
"""
import argparse
import json
import os
import socket
import subprocess
import time
import urllib.request

# Headers of a TCP/IPv4 segment with time stamps; Ethernet's are not counted.
SEGMENT_HEADER_BYTES = 52
WARM_UP_SECONDS = 8
TOKEN = "measure-processes"


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


def peer_flags(number, seed_port, data_centres):
    data_centre = number % data_centres
    port = seed_port if number == 0 else 0
    return [f"--host_id=h{number}", f"--data_centre=dc{data_centre}",
            f"--region=region{data_centre % 5}",
            f"--peer_listen=127.0.0.1:{port}",
            f"--peer_seeds=127.0.0.1:{seed_port}"]


class ControlOnlyHost:
    """A process of membership_host, which prints its state every second."""

    def __init__(self, program, number, seed_port, data_centres, seconds):
        self.process = subprocess.Popen(
            [program, *peer_flags(number, seed_port, data_centres),
             f"--run_seconds={seconds + WARM_UP_SECONDS}"],
            stdout=subprocess.PIPE, text=True)

    def samples(self):
        lines = [json.loads(line)
                 for line in self.process.communicate()[0].splitlines()]
        # The last second is left out: hosts do not end at the same moment.
        return lines[WARM_UP_SECONDS - 1], lines[-2]


class ServingHost:
    """A process of `flamingogauge serve --embedded`, read over HTTP."""

    def __init__(self, program, number, seed_port, data_centres):
        self.port = free_port()
        self.process = subprocess.Popen(
            [program, "serve", "--embedded", "--callers_address=127.0.0.1:0",
             f"--operators_address=127.0.0.1:{self.port}",
             *peer_flags(number, seed_port, data_centres)],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            env={**os.environ, "FLAGS_operators_token": TOKEN})

    def sample(self):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port}/debug/state",
            headers={"Authorization": f"Bearer {TOKEN}"})
        with urllib.request.urlopen(request, timeout=10) as answer:
            state = json.load(answer)
        pid = self.process.pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages = [int(it) for it in file.read().split()]
        return {"second": time.monotonic(),
                "cpu_s": (int(fields[11]) + int(fields[12]))
                         / os.sysconf("SC_CLK_TCK"),
                "private_bytes": (pages[1] - pages[2])
                                 * os.sysconf("SC_PAGESIZE"),
                "state": state}


def run_serving(program, hosts, seed_port, data_centres, seconds):
    running = []
    try:
        for n in range(hosts):
            running.append(ServingHost(program, n, seed_port, data_centres))
        time.sleep(WARM_UP_SECONDS)
        first = [it.sample() for it in running]
        time.sleep(seconds)
        return list(zip(first, [it.sample() for it in running]))
    finally:
        for it in running:
            it.process.kill()
        for it in running:
            it.process.wait()


def cost(first, last):
    seconds = last["second"] - first["second"]
    a, b = first["state"]["peers"], last["state"]["peers"]

    def rate(name):
        return (b[name] - a[name]) / seconds

    return {
        "calls": rate("calls_sent") + rate("calls_received"),
        "sent": rate("bytes_sent") + SEGMENT_HEADER_BYTES * rate("segments_sent"),
        "payload": rate("bytes_sent"),
        "segments": rate("segments_sent"),
        "received": rate("bytes_received")
                    + SEGMENT_HEADER_BYTES * rate("segments_received"),
        "core": 100 * (last["cpu_s"] - first["cpu_s"]) / seconds,
        "memory": last["private_bytes"] / 1e6,
        "alive": b["alive"],
        "connections": b["open_connections"],
    }


def measure(program, hosts, data_centres, seconds):
    port = free_port()
    if program.endswith("flamingogauge"):
        samples = run_serving(program, hosts, port, data_centres, seconds)
    else:
        running = [ControlOnlyHost(program, n, port, data_centres, seconds)
                   for n in range(hosts)]
        samples = [it.samples() for it in running]
    costs = [cost(first, last) for first, last in samples]

    def mean(name):
        return sum(it[name] for it in costs) / hosts

    def most(name):
        return max(it[name] for it in costs)

    print(f"{hosts:5d} {min(it['alive'] for it in costs):6d} "
          f"{mean('calls'):7.1f} {most('calls'):7.1f} "
          f"{mean('sent'):9.0f} {most('sent'):9.0f} {most('received'):9.0f} "
          f"{mean('payload'):9.0f} {mean('segments'):7.1f} "
          f"{mean('core'):7.3f}% {most('core'):7.3f}% {most('memory'):7.2f} "
          f"{most('connections'):5d}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--sizes", default="3,9,27,60")
    parser.add_argument("--data_centres", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=20)
    arguments = parser.parse_args()
    print(f"{arguments.data_centres} data centres, {arguments.seconds} s")
    print("hosts  alive   calls   calls      sent      sent  received   payload"
          "    segs    core     core     MB  conns\n"
          "         min    mean     max  mean B/s   max B/s   max B/s  mean B/s"
          "    mean    mean     max    max    max")
    for size in arguments.sizes.split(","):
        measure(arguments.program, int(size), arguments.data_centres,
                arguments.seconds)


if __name__ == "__main__":
    main()
