"""A loopback TCP proxy that delays, silences, cuts and resets connections."""

import asyncio

from wire import Server, connect

BLOCK = 16384


class Proxy(Server):
    """Forwards to `target`. Modes: "pass"; "silent" keeps connections open and
    forwards nothing in either direction; "one_way" forwards requests and holds
    back what comes back; "refuse" resets new connections."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        far_reader, far_writer = await connect(self.target)
        self.writers.add(far_writer)
        try:
            await asyncio.gather(self._forward(reader, far_writer, is_request=True),
                                 self._forward(far_reader, writer, is_request=False))
        finally:
            self.writers.discard(far_writer)
            far_writer.close()

    async def _forward(self, reader, writer, is_request):
        while True:
            block = await reader.read(BLOCK)
            if not block:
                break
            while self.mode == "silent" or (self.mode == "one_way" and not is_request):
                await asyncio.sleep(0.02)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(block)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
