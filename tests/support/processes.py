"""What tests of whole processes share: the repository's root, free ports, questions over HTTP."""

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
"""The program that plays store, cloud and workers, and starts controllers."""
PATIENCE_S = 90.0
"""Far above what is needed: a slow machine must not change the verdict."""


def free_base() -> int:
    """Find a range of ports whose first ones are free."""
    for base in range(21000, 60000, 500):
        try:
            for port in (base, base + 1, base + 10, base + 14, base + 100):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free ports")


def ask(url: str, body: bytes | None = None) -> tuple[int, Any]:
    request = urllib.request.Request(url, body, method="POST" if body is not None else "GET")
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return reply.status, msgspec.json.decode(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, msgspec.json.decode(error.read())
    except OSError:
        return 0, None


def until(url: str, wanted: str, body: bytes | None = None) -> Any:
    """Ask until the state is the wanted one."""
    end = time.monotonic() + PATIENCE_S
    answer: Any = None
    while time.monotonic() < end:
        status, answer = ask(url, body)
        if status in (200, 201) and answer["status"] == wanted:
            return answer
        time.sleep(0.2)
    raise AssertionError(f"{url}: last answer {answer}")
