"""Stand-ins and helpers of the second review's scripts (standard library only).

Everything runs in one event loop: the platform's store, the upstreams (called
runners on the users' pages) and the clients. The project's program is started
as separate processes with the command of the deploy file.
"""

import asyncio
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target/src/app/flamingogauge")
TEMPLATE = os.path.join(ROOT, "deploy/settings.flags")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


def free_ports(count):
    """Returns ports that are free for both TCP and UDP."""
    ports, sockets = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for it in sockets:
        it.close()
    return ports


# ---------------------------------------------------------------- HTTP ------


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise asyncio.IncompleteReadError(b"", None)
            size = int(line.split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def reply(status, reason, body=b"", **extra):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % (k.replace("_", "-"), v) for k, v in extra.items()]
    lines += ["Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --------------------------------------------------------------- store ------


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.kinds = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.server = server
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        old = self.kinds.setdefault(kind, {}).get(name)
        created = old["metadata"]["createRevision"] if old else self.revision
        self.kinds[kind][name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "createRevision": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": status}
        self.emit(kind, self.kinds[kind][name], False)

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            gone = json.loads(json.dumps(gone))
            gone["metadata"]["revision"] = self.revision
            self.emit(kind, gone, True)

    def emit(self, kind, item, removed):
        self.events.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                writer.write(await self.answer(method, target, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        parts = [urllib.parse.unquote(it) for it in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return self.json(items[name]) if name in items else self.missing()
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("waitMs", "0")))
        if method == "GET":
            await asyncio.sleep(0.004)
            after = query.get("after", "")
            listed = [items[it] for it in sorted(items) if it > after]
            return self.json({"items": listed, "hasMore": False,
                              "storeRevision": self.revision})
        await asyncio.sleep(0.004)
        if method == "DELETE":
            if name not in items:
                return self.missing()
            self.remove(kind, name)
            return self.json({})
        sent = json.loads(body)
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in items:
                return self.json(items[name], 409, "Conflict")
            self.put(kind, name, sent.get("spec"))
            return self.json(items[name], 201, "Created")
        if name not in items:
            return self.missing()
        wanted = sent.get("metadata", {}).get("revision")
        if wanted and wanted != items[name]["metadata"]["revision"]:
            return self.json(items[name], 409, "Conflict")
        if len(parts) > 2:
            self.put(kind, name, items[name]["spec"], sent.get("status"))
        elif sent.get("spec") != items[name]["spec"]:
            self.put(kind, name, sent.get("spec"), items[name]["status"])
        return self.json(items[name])

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            news = [{"removed": removed, "object": item}
                    for revision, of, item, removed in self.events
                    if of == kind and revision > since]
            left = end - time.monotonic()
            if news or left <= 0:
                return self.json({"events": news,
                                  "storeRevision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def json(value, status=200, reason="OK"):
        return reply(status, reason, json.dumps(value).encode(),
                     Content_Type="application/json")

    @staticmethod
    def missing():
        return Store.json({}, 404, "Not Found")


# ------------------------------------------------------------ upstreams -----


class Upstream:
    """A plain service or a model engine: `slots` at once, `queue` more wait."""

    def __init__(self, store, record, name, service, zone, slots=4, queue=8,
                 work_s=0.05, born=None):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running = asyncio.Semaphore(slots)
        self.waiting = 0
        self.runs = []
        self.born = born or int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port
        self.publish()

    def publish(self, state="ready"):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born})

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(line, fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, line, fields, body, writer):
        request = fields.get("request-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(reply(421, "Misdirected Request", Request_Id=request,
                               Instance_Id=self.name))
            return
        if self.waiting >= self.queue:
            writer.write(reply(503, "Service Unavailable", Request_Id=request,
                               Not_Executed=1))
            return
        self.waiting += 1
        await self.running.acquire()
        self.waiting -= 1
        try:
            self.runs.append((request, line, now()))
            self.record.write("run      %s at %s of %s: %s" % (
                request, self.name, self.service, line))
            await self.work(request, fields, body, writer)
        finally:
            self.running.release()

    async def work(self, request, fields, body, writer):
        # A client states in its body how much work it asks for.
        asked = re.search(rb"work_ms=(\d+)", body)
        await asyncio.sleep(int(asked.group(1)) / 1000 if asked
                            else self.work_s)
        writer.write(reply(200, "OK",
                           ("%s by %s" % (request, self.service)).encode(),
                           Request_Id=request,
                           Response_Seal="seal-" + request))


# ---------------------------------------------------------------- hosts -----


class Host:
    """One process of the deploy file's role, with the deploy file's command."""

    def __init__(self, store, folder, name, zone, zones, cpu_share=0.25,
                 memory_mb=110, bootstrap=True):
        front, ready, report, relay = free_ports(4)
        self.name, self.folder = name, folder
        self.front, self.ready = front, ready
        self.values = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "portRange.0": report, "portRange.1": relay,
            "limits.cpuShare": cpu_share, "limits.memoryMb": memory_mb,
            "limits.maxFds": 4100, "platformStore.address": store.address,
            "listen.front": "127.0.0.1:%d" % front,
            "listen.ready": "127.0.0.1:%d" % ready,
            "bounds.retryBudgetRatio": 0.2, "bounds.retrySlack": 52,
            "bounds.budgetWindowS": 10, "bounds.configApplyMs": 2500,
            "bounds.revokeMs": 5000, "bounds.graceS": 8}
        self.zones = zones
        self.bootstrap = bootstrap
        self.process = None
        self.starts = 0
        # Where the logs go if not into a file.
        self.output = None

    def settings(self):
        with open(TEMPLATE) as file:
            text = file.read()
        zones = ",".join("%s=%s" % it for it in self.zones.items())
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", zones, text)

        def section(match):
            name, inner = match.group(1), match.group(2)
            present = (self.bootstrap if name == "bootstrap"
                       else name in self.values)
            return inner if present else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda it: str(self.values[it.group(1)]), text)

    def start(self):
        self.starts += 1
        path = os.path.join(self.folder, self.name + ".flags")
        with open(path, "w") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "serve", "--flagfile=" + path], cwd=ROOT,
            stdout=self.output or self.log, stderr=self.output or self.log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "HOME": self.folder,
                 "FLAMINGOGAUGE_NODE_FILE": path})
        self.bootstrap = False

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"),
                  errors="replace") as file:
            return file.read()

    async def until_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                answer = await ask("127.0.0.1:%d" % self.ready,
                                   "GET", "/flamingogauge/ready",
                                   {"Host": "x"}, limit=1)
                if answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        return False


# -------------------------------------------------------------- clients -----


class Answer:
    def __init__(self, status, fields, body, complete):
        self.status, self.fields = status, fields
        self.body, self.complete = body, complete


async def ask(address, method, path, fields, body=b"", limit=15):
    """Sends one request on a new connection and reads the whole answer."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, int(port)), 1)
    try:
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % it for it in fields.items())
        head += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)

        async def receive():
            line, answered = await read_head(reader)
            status = int(line.split(" ")[1])
            try:
                return Answer(status, answered,
                              await read_body(reader, answered), True)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(status, answered, b"", False)

        return await asyncio.wait_for(receive(), limit)
    finally:
        writer.close()


class Trial:
    """A folder for the run, the stand-ins, and the end of all processes."""

    def __init__(self, script):
        self.folder = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.hosts, self.upstreams = [], []
        self.ids = itertools.count(1)

    async def store(self, manifest):
        self.store = Store()
        await self.store.start()
        self.store.put("config", "main", manifest)
        return self.store

    async def upstream(self, *args, kind=Upstream, **options):
        it = kind(self.store, self.record, *args, **options)
        await it.start()
        self.upstreams.append(it)
        return it

    def host(self, name, zone, zones, **options):
        it = Host(self.store, self.temporary, name, zone, zones, **options)
        self.hosts.append(it)
        return it

    def close(self):
        for it in self.hosts:
            if it.process and it.process.poll() is None:
                it.signal(signal.SIGCONT)
                it.kill()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def run(script, main, limit=110):
    """Runs `main(trial)`, which returns the broken rules, and exits."""
    if not os.path.exists(PROGRAM):
        print("target/ has not been built")
        sys.exit(2)
    trial = Trial(script)
    broken = None
    try:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        broken = loop.run_until_complete(asyncio.wait_for(main(trial), limit))
    except Exception as error:  # The case could not run.
        trial.record.write("not run: %r" % error)
        print("not run: %r" % error)
        if os.environ.get("KEEP"):
            raise
    finally:
        trial.close()
    if broken is None:
        sys.stdout.flush()
        os._exit(2)
    for it in broken:
        trial.record.write("BROKEN   " + it)
    trial.record.write("result: %d broken" % len(broken))
    print("%d broken%s" % (len(broken),
                           ": " + broken[0] if broken else ""))
    sys.stdout.flush()
    os._exit(1 if broken else 0)  # Without the tasks that still wait.
