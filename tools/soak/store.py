"""A stand-in of the platform's object store that can be slow, refuse calls,
lose its answers and forget its history. It loses nothing that it acknowledged."""

import asyncio
import json
import time
import urllib.parse

from wire import Server, format_message, read_message

MAX_LISTED = 500
JSON = [("Content-Type", "application/json")]


class Store(Server):
    def __init__(self, random):
        super().__init__()
        self.random = random
        self.revision = 100
        self.objects = {}
        self.history = []
        # Set at the next change, and replaced then.
        self.changed = asyncio.Event()
        # Each status that was accepted for an object: (kind, name, status).
        self.statuses = []
        # Faults: "up", "busy" or "silent"; the share of writes whose answer is
        # lost; the delay of each answer in seconds.
        self.mode = "up"
        self.lost_share = 0.0
        self.delay_s = 0.0

    def _record(self, kind, obj, removed):
        self.history.append((self.revision, kind, obj, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        old = self.objects.get((kind, name))
        obj = {"metadata": {"name": name, "revision": self.revision,
                            "createRevision": old["metadata"]["createRevision"] if old else self.revision,
                            "finalizers": [], "deleting": False},
               "spec": spec, "status": status if status is not None or old is None else old["status"]}
        self.objects[(kind, name)] = obj
        self._record(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self._record(kind, obj, True)

    def forget_history(self):
        self.history.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    def spec(self, kind, name):
        obj = self.objects.get((kind, name))
        return obj["spec"] if obj else None

    def names(self, kind):
        return [name for k, name in self.objects if k == kind]

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader, is_response=False)
            method, target, _ = request.start.split(" ", 2)
            if self.mode == "silent":
                await asyncio.sleep(60)
                return
            if self.mode == "busy":
                status, answer = 503, {}
            else:
                status, answer = await self._call(method, target, request.body)
                if method != "GET" and self.random.random() < self.lost_share:
                    await asyncio.sleep(60)
                    return
            await asyncio.sleep(self.delay_s)
            writer.write(format_message(f"HTTP/1.1 {status} -", JSON, json.dumps(answer).encode()))
            await writer.drain()

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in arguments:
            return await self._watch(kind, int(arguments["watch"]), int(arguments.get("waitMs", 0)) / 1000)
        if method == "GET" and not name:
            return self._list(kind, arguments.get("after", ""))
        obj = self.objects.get((kind, name))
        if method == "GET":
            return (200, obj) if obj else (404, {})
        return self._write(method, kind, parts, arguments, json.loads(body) if body else {})

    def _list(self, kind, after):
        items = [obj for (k, n), obj in sorted(self.objects.items()) if k == kind and n > after]
        return 200, {"items": items[:MAX_LISTED], "hasMore": len(items) > MAX_LISTED, "storeRevision": self.revision}

    async def _watch(self, kind, since, wait_s):
        oldest = self.history[0][0] if self.history else self.revision + 1
        if since + 1 < oldest:
            return 410, {}
        end = time.monotonic() + wait_s
        while True:
            events = [{"object": obj, "removed": removed}
                      for revision, k, obj, removed in self.history if k == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, parts, arguments, sent):
        name = parts[1] if len(parts) > 1 else sent["metadata"]["name"]
        obj = self.objects.get((kind, name))
        if method == "POST":
            return (409, obj) if obj else (200, self.put(kind, name, sent.get("spec")))
        if obj is None:
            return 404, {}
        expected = sent.get("metadata", {}).get("revision", arguments.get("revision"))
        if expected is not None and int(expected) != obj["metadata"]["revision"]:
            return 409, obj
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if len(parts) > 2 and parts[2] == "status":
            self.statuses.append((kind, name, sent.get("status")))
            return 200, self.put(kind, name, obj["spec"], sent.get("status"))
        return 200, self.put(kind, name, sent.get("spec"))
