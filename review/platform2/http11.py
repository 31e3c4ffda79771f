"""HTTP/1.1 for the stand-ins: JSON servers on loopback, and requests with a deadline."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

Handler = Callable[[str, str, dict[str, str], Any], tuple[int, Any] | None]
"""Gets method, path, query and decoded body; returns status and body, or None to hang up."""


class JsonServer:
    """A server on a free loopback port that answers in JSON, one thread for each connection."""

    def __init__(self, handler: Handler) -> None:
        outer = self
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()

        class _Request(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self) -> None:
                super().setup()
                outer.opened(self.connection)

            def finish(self) -> None:
                outer.closed(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def _answer(self) -> None:
                size = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(size) if size else b""
                split = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(split.query).items()}
                body = json.loads(raw) if raw else None
                answer = handler(self.command, unquote(split.path), query, body)
                if answer is None:
                    self.close_connection = True
                    return
                status, value = answer
                data = json.dumps(value).encode()
                self.send_response_only(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = _answer  # noqa: N815  the names that the base class calls

        class _Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Ignore connections that were reset."""

        self._server = _Server(("127.0.0.1", 0), _Request)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def opened(self, connection: socket.socket) -> None:
        """Record an open connection."""
        with self._lock:
            self._connections.add(connection)

    def closed(self, connection: socket.socket) -> None:
        """Forget a connection that has ended."""
        with self._lock:
            self._connections.discard(connection)

    def reset_connections(self) -> None:
        """Shut all open connections down, as when the process behind them has ended."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Client:
    """Requests to one address over one persistent connection."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self._connection: http.client.HTTPConnection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def request(self, method: str, path: str, body: Any, deadline_s: float) -> tuple[int, Any]:
        """Return status and decoded body; raise OSError if there is no response in time."""
        fresh = self._connection is None
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._host, self._port, timeout=deadline_s
            )
        connection = self._connection
        data = None if body is None else json.dumps(body).encode()
        try:
            connection.request(method, path, data, {"Content-Type": "application/json"})
            if connection.sock is not None:
                connection.sock.settimeout(deadline_s)
            response = connection.getresponse()
            raw = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            if not fresh and not isinstance(error, TimeoutError):
                return self.request(method, path, body, deadline_s)
            raise OSError(str(error)) from None
        if response.will_close:
            self.close()
        return response.status, json.loads(raw) if raw else None


def ask(address: str, method: str, path: str, body: Any, deadline_s: float) -> tuple[int, Any]:
    """Send one request over a new connection; status 0 if there is no response in time."""
    client = Client(address)
    try:
        return client.request(method, path, body, deadline_s)
    except OSError as error:
        return 0, str(error)
    finally:
        client.close()
