"""Frames of peer RPC: the length as a 4-byte big-endian integer, and one msgpack value."""

from __future__ import annotations

import msgspec
from gevent import socket

from ryewing.clients.peers.messages import Request, Response

FRAME_MAX = 4 * 1024 * 1024
"""The maximum size of a frame after its length, in bytes."""
LENGTH_BYTES = 4
MAX_RECEIVE_BYTES = 65536
"""The maximum number of bytes to receive in one call."""


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    parts = []
    while count:
        data = sock.recv(min(count, MAX_RECEIVE_BYTES))
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
