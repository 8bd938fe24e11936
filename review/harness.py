"""Stand-ins and helpers for the review's scripts.

Holds a small stand-in of the platform's store, of a runner and of a client,
and starts gateway hosts with the command and the settings template of
deploy/system.toml. Everything listens on 127.0.0.1. Standard library only.
"""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST_HEADER = "shop.example"
KEY = "key-of-tenant-one"

# The figures of the deployments' sheets (sites/*.toml, as in DEPLOY.md).
SHEET = {
    "limits": {"cpuShare": 0.25},
    "bounds": {"configApplyMs": 2500, "revokeMs": 5000, "retryBudgetRatio": 0.2,
               "retrySlack": 52, "budgetWindowS": 10, "graceS": 8},
}


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    """A free port below those that the kernel gives to outgoing channels."""
    while True:
        port = random.randrange(15000, 30000)
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


# ---------------------------------------------------------------- template

def _lookup(name, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a settings template as DEPLOY.md describes."""
    out = ""
    while True:
        m = re.search(r"\{\{([#^]?)([^{}]+)\}\}", text)
        if not m:
            return out + text
        out += text[:m.start()]
        sign, name = m.group(1), m.group(2)
        rest = text[m.end():]
        if not sign:
            value = _lookup(name, scopes) if name not in ("@", ".", ",") else scopes[-1].get(name)
            out += "" if value is None else (",".join(map(str, value)) if isinstance(value, list) else str(value))
            text = rest
            continue
        end = rest.index("{{/" + name + "}}")
        inner, text = rest[:end], rest[end + len(name) + 5:]
        value = _lookup(name, scopes)
        if sign == "^":
            out += render(inner, scopes) if not value else ""
        elif isinstance(value, dict):
            items = list(value.items())
            for n, (k, v) in enumerate(items):
                out += render(inner, scopes + [{"@": k, ".": v, ",": "," if n + 1 < len(items) else ""}])
        elif value:
            out += render(inner, scopes)


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Returns (start line, [(name, value)]) or None at the end of the input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    return lines[0], [tuple(p.strip() for p in x.split(":", 1)) for x in lines[1:]]


def field(fields, name):
    for n, v in fields:
        if n.lower() == name.lower():
            return v
    return None


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, fields = head
    method, target, _ = start.split(" ", 2)
    body = b""
    length = field(fields, "Content-Length")
    if length:
        body = await reader.readexactly(int(length))
    return method, target, fields, body


class Server:
    """A listening stand-in; `serve` handles one connection."""

    def __init__(self):
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self, **options):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, **options)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---------------------------------------------------------------- store

class Store(Server):
    """The platform's store: lists, watches, conditional writes; loses nothing."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        self.revision += 1
        key = (kind, name)
        made = self.objects[key]["metadata"]["createRevision"] if key in self.objects else self.revision
        obj = {"metadata": {"name": name, "revision": self.revision, "createRevision": made,
                            "finalizers": [], "deleting": False},
               "spec": spec, "status": None}
        self.objects[key] = obj
        self.history.append((self.revision, kind, obj, False))
        async with self.changed:
            self.changed.notify_all()
        return obj

    async def remove(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj is None:
            return
        self.revision += 1
        self.history.append((self.revision, kind, obj, True))
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [{"object": o, "removed": gone} for r, k, o, gone in self.history if k == kind and r > since]

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            method, target, _, body = request
            status, answer = await self.call(method, target, body)
            data = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
            await writer.drain()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in query:
            since, wait = int(query["watch"]), int(query.get("waitMs", 0)) / 1000
            end = time.monotonic() + wait
            while not self.events(kind, since):
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return 200, {"events": self.events(kind, since), "storeRevision": self.revision}
        if method == "GET" and not name:
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > query.get("after", "")]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "storeRevision": self.revision}
        if method == "GET":
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, {})
        if method == "POST":
            made = json.loads(body)
            name = made["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, await self.put(kind, name, made["spec"])
        if method == "PUT":
            if (kind, name) not in self.objects:
                return 404, {}
            return 200, await self.put(kind, name, json.loads(body)["spec"])
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 404, {}


# ---------------------------------------------------------------- runner

class Runner(Server):
    """A runner of a plain service. `answer` writes the answer to a request.

    It checks Expect-Instance, echoes Request-Id, and stops work when the
    channel of the request closes.
    """

    def __init__(self, record, name, service, answer, slots=6, zone="zone-1"):
        super().__init__()
        self.record = record
        self.id = name
        self.service = service
        self.answer = answer
        self.slots = slots
        self.zone = zone
        self.runs = []
        self.cut = []

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": int(time.time() * 1000)}

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            method, target, fields, body = request
            rid = field(fields, "Request-Id")
            expected = field(fields, "Expect-Instance")
            if expected not in (None, self.id):
                writer.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id).encode())
                await writer.drain()
                continue
            self.runs.append(rid)
            self.record(f"runner {self.id}: runs {rid} {method} {target} body={len(body)} tenant={field(fields, 'Tenant')}")
            done = asyncio.ensure_future(self.answer(self, request, rid, reader, writer))
            gone = asyncio.ensure_future(self._wait_closed(reader))
            await asyncio.wait({done, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not done.done():
                done.cancel()
                self.cut.append(rid)
                self.record(f"runner {self.id}: channel of {rid} was closed by the caller at work")
                return
            gone.cancel()
            if done.result() == "close":
                return
            self.record(f"runner {self.id}: finished {rid}")

    @staticmethod
    async def _wait_closed(reader):
        while not reader.at_eof():
            await asyncio.sleep(0.01)


def sealed_head(rid, length=None, status=200, extra=""):
    head = f"HTTP/1.1 {status} OK\r\nRequest-Id: {rid}\r\nResponse-Seal: seal-{rid}\r\n{extra}"
    if length is not None:
        head += f"Content-Length: {length}\r\n"
    return (head + "\r\n").encode()


def answer_after(seconds, body=b"booked\n"):
    async def answer(runner, request, rid, reader, writer):
        await asyncio.sleep(seconds)
        writer.write(sealed_head(rid, len(body)) + body)
        await writer.drain()
    return answer


# ---------------------------------------------------------------- client

class Answer:
    def __init__(self):
        self.status = None
        self.fields = []
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self):
        if self.status is None:
            return f"no answer: {self.error}"
        return (f"status {self.status} seal={field(self.fields, 'Response-Seal')} body={len(self.body)} bytes "
                f"{'complete' if self.complete else 'INCOMPLETE: ' + self.error}")


async def read_answer(reader, on_body=None):
    """Reads an answer with a length, in chunks or up to the channel's end."""
    answer = Answer()
    try:
        head = await read_head(reader)
        if head is None:
            answer.error = "the channel ended"
            return answer
        start, answer.fields = head
        answer.status = int(start.split(" ")[1])
        length = field(answer.fields, "Content-Length")
        if (field(answer.fields, "Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += part[:-2]
        elif length is not None:
            while len(answer.body) < int(length):
                part = await reader.read(min(16384, int(length) - len(answer.body)))
                if not part:
                    answer.error = f"the channel ended after {len(answer.body)} of {length} bytes"
                    return answer
                answer.body += part
                if on_body:
                    await on_body(answer)
        else:
            answer.body = await reader.read()
        answer.complete = True
    except asyncio.IncompleteReadError:
        answer.error = "the channel ended"
    except ConnectionError as e:
        answer.error = f"the channel was reset ({e.__class__.__name__})"
    return answer


def request_bytes(method, target, rid, body=b"", deadline_ms=15000, key=KEY, extra=""):
    head = (f"{method} {target} HTTP/1.1\r\nHost: {HOST_HEADER}\r\nRequest-Id: {rid}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n")
    if key:
        head += f"Api-Key: {key}\r\n"
    head += extra
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


async def connect(address, **options):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port), **options)


async def exchange(address, method, target, rid, body=b"", limit_s=20, **options):
    """One request on a channel of its own."""
    reader, writer = await connect(address)
    try:
        writer.write(request_bytes(method, target, rid, body, **options))
        return await asyncio.wait_for(read_answer(reader), limit_s)
    except asyncio.TimeoutError:
        answer = Answer()
        answer.error = f"nothing within {limit_s} s"
        return answer
    finally:
        writer.close()


# ---------------------------------------------------------------- deployment

def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "host": HOST_HEADER, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 1000, "priority": 0, "service": service, "maxAttempts": 1,
            "anonymous": False, "sticky": False, "resumable": False, "gapAimMs": 400, **more}


def manifest(routes, services, version=1, keys=(KEY,), **limits):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, **limits},
            "tenants": [{"name": "tenant-one", "apiKeys": list(keys), "priority": 1, "unit": "token_stream",
                         "plainTokens": 200, "ratePerS": 0, "burst": 0}]}


class Host:
    """A machine of the system: one process with the deploy file's command."""

    def __init__(self, deployment, name, zone):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.ports = [free_port(socket.SOCK_DGRAM), free_port()]
        self.process = None
        self.settings = os.path.join(deployment.folder, name + ".conf")

    async def start(self, first=True):
        d = self.deployment
        fields = {"nodeName": self.name, "zone": self.zone, "ip": "127.0.0.1", "portRange": self.ports,
                  "platformStore": {"address": d.store.address}, "bootstrap": first,
                  "listen": {"front": self.front, "ready": self.ready}, "zones": d.zones, **SHEET}
        with open(os.path.join(ROOT, d.role["template"]), encoding="utf-8") as f:
            text = render(f.read(), [fields])
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        words = shlex.split(d.role["run"])
        words = [w.replace("/etc/flamingogauge/local.conf", self.settings) for w in words]
        words[0] = os.path.join(ROOT, words[0])
        self.log = open(os.path.join(d.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": d.folder, "FLAMINGOGAUGE_NODE_FILE": self.settings})
        d.record(f"host {self.name}: started, front {self.front}")

    async def is_ready(self):
        try:
            answer = await exchange(self.ready, "GET", "/flamingogauge/ready", "probe", limit_s=1, key=None)
            return answer.status == 200
        except OSError:
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"host {self.name} is not ready")

    def signal(self, number):
        self.deployment.record(f"host {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def show_log(self):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), errors="replace") as f:
            return f.read()


class CannotRun(Exception):
    pass


class Deployment:
    """The store, the runners and the hosts of a small deployment."""

    def __init__(self, record, zones=None):
        self.record = record
        self.zones = zones or {"zone-1": "region-1"}
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.role = tomllib.load(f)["roles"]["gateway"]
        self.store = Store(record)
        self.runners = []
        self.hosts = []

    async def start(self, document, runners, hosts=1):
        program = os.path.join(ROOT, shlex.split(self.role["run"])[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        await self.store.start()
        await self.store.put("config", "main", document)
        for runner in runners:
            self.runners.append(runner)
            await runner.start()
            await self.store.put("servers", runner.id, runner.entry())
        zones = list(self.zones)
        for n in range(hosts):
            self.hosts.append(Host(self, f"front-{n + 1}", zones[n % len(zones)]))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def stop(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(deployment, record, trouble)`; it returns the broken promise or None."""
    record = Record(os.path.join(folder, os.environ.get("RECORD", "record.txt")))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def main():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record, trouble), 110)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        record(f"the case could not run: {e!r}")
        print("could not run:", repr(e))
        sys.exit(2)
    record(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
