"""Frames of peer RPC: four bytes of length, most significant first, and one msgpack value."""

from __future__ import annotations

import msgspec
from gevent import socket

from ryewing.clients.peers.messages import Request, Response

FRAME_MAX = 4 * 1024 * 1024
"""The most bytes that a frame may have after its length."""
LENGTH_BYTES = 4
RECEIVE_MAX = 65536
"""The most bytes that one call to the socket returns."""


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    parts = []
    while count:
        data = sock.recv(min(count, RECEIVE_MAX))
        if not data:
            raise EOFError
        parts.append(data)
        count -= len(data)
    return b"".join(parts)


def read_frame(sock: socket.socket) -> bytes:
    """Read one frame; raise EOFError if the connection ends, or the frame is too large."""
    size = int.from_bytes(_read_exactly(sock, LENGTH_BYTES), "big")
    if size > FRAME_MAX:
        raise EOFError
    return _read_exactly(sock, size)


def write_frame(sock: socket.socket, value: Request | Response) -> None:
    """Send one message as a frame."""
    data = msgspec.msgpack.encode(value)
    sock.sendall(len(data).to_bytes(LENGTH_BYTES, "big") + data)
