"""A small HTTP/1.1 server and client with JSON bodies, for the stand-ins of the cases."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]
"""Gets method, path, query and decoded body; returns status and body."""


class BadMessageError(OSError):
    """The other side did not send an HTTP message."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return first, headers, await _read_chunks(reader)
    size = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(size)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def encode(value: Any) -> bytes:
    """Encode a body as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Start a server on a loopback port."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await _read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                body = json.loads(message[2]) if message[2].strip() else None
                status, answer = await handler(method, unquote(url.path), query, body)
                data = encode(answer)
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 20)


class Client:
    """Requests to one address over one connection, which is opened again after a failure."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> tuple[int, Any]:
        """Return status and decoded body; raise OSError or TimeoutError if there is no answer."""
        done = False
        try:
            async with asyncio.timeout(deadline_s):
                answer = await self._exchange(method, path, body)
                done = True
                return answer
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise BadMessageError(str(error)) from None
        finally:
            if not done:
                self.close()

    async def _exchange(self, method: str, path: str, body: bytes | None) -> tuple[int, Any]:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
        reader, writer = self._streams
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + (body or b""))
        message = await _read_message(reader)
        if message is None:
            raise BadMessageError("the connection ended")
        first, headers, data = message
        match = re.match(r"HTTP/1\.[01] ([0-9]{3})", first)
        if match is None:
            raise BadMessageError(first)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(match[1]), json.loads(data) if data else None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
