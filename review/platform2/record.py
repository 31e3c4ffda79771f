"""The record of a case: what was sent, answered and run, and the rule `ran_twice`."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes `record.txt`, and knows which task is on which machines."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.RLock()
        self._began = time.monotonic()
        self.on: dict[str, dict[str, int]] = {}
        """By task: the machines that it is on, each with the attempt."""
        self.starts: list[tuple[float, str, str]] = []
        """Time, task and machine of every start."""
        self.ran_twice: list[str] = []

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line with the time."""
        with self._lock:
            self._file.write(f"{self.now():7.2f}  {text}\n")
            self._file.flush()

    def started(self, piece: str, attempt: int, host: str) -> None:
        """Record that a task has its image and runs; check that it is on no other machine."""
        with self._lock:
            others = dict(self.on.get(piece, {}))
            self.on.setdefault(piece, {})[host] = attempt
            self.starts.append((self.now(), piece, host))
            self.write(f"task {piece} try {attempt} starts on {host}")
            if others:
                text = f"ran_twice: {piece} starts on {host} while it is on {', '.join(others)}"
                self.ran_twice.append(text)
                self.write(text)

    def left(self, piece: str, attempt: int, host: str, why: str) -> None:
        """Record that a task is no longer on a machine."""
        with self._lock:
            self.on.get(piece, {}).pop(host, None)
            self.write(f"task {piece} try {attempt} is no longer on {host}: {why}")
