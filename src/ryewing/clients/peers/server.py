"""The server that answers the requests of other controllers."""

from __future__ import annotations

import logging

import gevent
import msgspec
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from ryewing.clients.peers.framing import read_frame, write_frame
from ryewing.clients.peers.messages import Handler, Request
from ryewing.config.settings import Address
from ryewing.wire.codec import DECODE_ERRORS

log = logging.getLogger(__name__)
IDLE_S = 60.0
"""How long a connection may be idle before it is closed."""

_request_decoder = msgspec.msgpack.Decoder(Request)


class PeerServer:
    """Answers the requests of other controllers, one greenlet for each connection."""

    def __init__(self, address: Address, handler: Handler, connections: int) -> None:
        self._handler = handler
        self._server = StreamServer(address, self._serve, spawn=Pool(connections))

    @property
    def address(self) -> Address:
        """The address listened on: once started, with the port that the system chose for 0."""
        address: Address = self._server.address
        return address

    def start(self) -> None:
        """Begin to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening, and end the greenlets of all connections at once."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _address: object) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                with gevent.Timeout(IDLE_S, TimeoutError("idle")):
                    frame = read_frame(sock)
                write_frame(sock, self._handler(_request_decoder.decode(frame)))
        except DECODE_ERRORS as error:
            log.warning("event=unreadable-frame error=%s", error)
        except (OSError, EOFError):
            pass
        finally:
            sock.close()
