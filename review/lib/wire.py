"""HTTP/1.1 with CBOR bodies over asyncio streams: a server, and a client with one persistent connection."""
import asyncio

import cbor

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines) if name}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def serve(port, handler):
    """Serves on a loopback port; handler(method, path, query, body) returns (status, value), or None to close without an answer."""
    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                pairs = dict(part.partition("=")[::2] for part in query.split("&") if part)
                answer = await handler(method, path, pairs, cbor.decode(body) if body else {})
                if answer is None:
                    break
                data = cbor.encode(answer[1])
                writer.write(f"HTTP/1.1 {answer[0]} {REASONS.get(answer[0], 'Status')}\r\nContent-Type: application/cbor\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(on_connection, "127.0.0.1", port, backlog=1000)


class Client:
    """Sends one request at a time over a persistent connection to a loopback port."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=5.0):
        """Returns (status, decoded body or None); (None, None) if no response arrives in time."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, value), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
            return None, None

    async def _exchange(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        data = cbor.encode(value) if value is not None else b""
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nContent-Type: application/cbor\r\n"
                          f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        first, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), cbor.decode(body) if body else None


async def call_once(port, method, path, value=None, timeout=5.0):
    client = Client(port)
    try:
        return await client.call(method, path, value, timeout)
    finally:
        client.close()
