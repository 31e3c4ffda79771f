"""Helpers for tests that start processes: paths, free ports and HTTP requests."""

from __future__ import annotations

import socket
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = ROOT / "tests" / "support" / "loopback.py"
"""The program that simulates the store, the cloud and workers, and starts controllers."""
TIMEOUT_S = 90.0
"""How long tests wait for a status; far longer than needed, so that they pass on a slow machine."""


def find_free_ports() -> int:
    """Return a base port for the loopback program such that the ports it opens are free."""
    for base in range(21000, 60000, 500):
        try:
            for port in (base, base + 1, base + 10, base + 14, base + 100):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free ports")


def fetch(url: str, body: bytes | None = None) -> tuple[int, Any]:
    """Send a GET, or a POST if there is a body; return status and JSON body, or status 0."""
    request = urllib.request.Request(url, body, method="POST" if body is not None else "GET")
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return reply.status, msgspec.json.decode(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, msgspec.json.decode(error.read())
    except OSError:
        return 0, None


def wait_for_status(url: str, expected: str, body: bytes | None = None) -> Any:
    """Repeat a request until the job has the expected status; return the last response body."""
    deadline = time.monotonic() + TIMEOUT_S
    response: Any = None
    while time.monotonic() < deadline:
        status, response = fetch(url, body)
        if status in (200, 201) and response["status"] == expected:
            return response
        time.sleep(0.2)
    raise AssertionError(f"{url}: not {expected!r} in time, last response {response}")
