"""What tests of whole processes share: the repository's root, free ports and HTTP requests."""

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
"""The program that simulates store, cloud and workers, and starts controllers."""
TIMEOUT_S = 90.0
"""Far above what is needed: a slow machine must not fail a test."""


def find_free_ports() -> int:
    """Return the first port of a range whose ports are free."""
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
    """Do one request; return status and decoded answer, or status 0 without an answer."""
    request = urllib.request.Request(url, body, method="POST" if body is not None else "GET")
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return reply.status, msgspec.json.decode(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, msgspec.json.decode(error.read())
    except OSError:
        return 0, None


def wait_for_status(url: str, wanted: str, body: bytes | None = None) -> Any:
    """Repeat a request until the job has the wanted status; return the answer."""
    end = time.monotonic() + TIMEOUT_S
    answer: Any = None
    while time.monotonic() < end:
        status, answer = fetch(url, body)
        if status in (200, 201) and answer["status"] == wanted:
            return answer
        time.sleep(0.2)
    raise AssertionError(f"{url}: last answer {answer}")
