"""Reads and writes HTTP/1.1 messages over asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or response; `complete` is false if its body was cut off."""

    start: str
    fields: list
    body: bytes = b""
    complete: bool = True

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.start.split(" ")[1])


class Disconnected(Exception):
    """The peer closed or reset the connection before a message began."""


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Disconnected(str(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return Message(lines[0], fields)


async def _read_chunks(reader, message):
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return
        message.body += part[:-2]


async def read_message(reader, is_response):
    """Reads one message. A response without a length lasts until the close."""
    message = await read_head(reader)
    length = message.field("Content-Length")
    is_chunked = (message.field("Transfer-Encoding") or "").lower() == "chunked"
    try:
        if is_chunked:
            await _read_chunks(reader, message)
        elif length is not None:
            message.body = await reader.readexactly(int(length))
        elif is_response:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
    except (ConnectionError, OSError):
        message.complete = False
    return message


def format_message(start, fields, body=b""):
    head = start + "\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


class Server:
    """A listening stand-in on a loopback address; subclasses handle connections."""

    def __init__(self):
        self.address = None
        self.writers = set()
        self._server = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (Disconnected, ConnectionError, OSError, asyncio.CancelledError):
            # Cancelled when the run ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError
