"""Measure what sharing the fleet costs and saves, with three controllers as processes on loopback.

    PYTHONPATH=src:tests python3 tools/measure_shards.py --rounds 10

Large arrays of short tasks keep each zone busy. Measured are the longest times without
starts in a zone while its shard moves, while its owner is killed, and while the owner stands still
(SIGSTOP), in that zone and in the others; the store's requests; processor time and memory.
"""

from __future__ import annotations

import argparse
import itertools
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median

import msgspec
from support.fakes import submission
from support.processes import LOOPBACK, ROOT, fetch, find_free_ports

ZONES = "abc"
PACE_S = 1.0
"""How often a job of one task comes to each zone, where the cost of a job is measured."""
ARRAYS, TASKS, TASK_S = 4, 20_000, 0.3
"""What keeps a zone busy."""
SETTLE_S = 12.0
WINDOW_S = 10.0
"""How long after a disturbance starts are looked at."""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") / 1024


class World:
    """Three controllers, and a steady stream of jobs."""

    def __init__(self, folder: Path, division: str | None) -> None:
        self.port = find_free_ports()
        self.settings = folder / "n-0.json"
        self._lines = folder / "world.txt"
        options = ["--shards", division] if division else []
        with self._lines.open("wb") as lines:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, str(LOOPBACK)),
                    *("--port", str(self.port), "--folder", str(folder), *options),
                ],
                stdout=lines,
                stderr=subprocess.DEVNULL,
            )
        self._jobs = 0
        self.accepted = 0

    def stream(self, seconds: float) -> None:
        """Submit jobs to each zone at a steady pace."""
        until = time.monotonic() + seconds
        due = time.monotonic()
        while time.monotonic() < until:
            for zone in ZONES:
                self._submit(zone)
            due += PACE_S
            time.sleep(max(0.0, due - time.monotonic()))

    def keep_busy(self) -> None:
        """Submit arrays to each zone that last for as long as anything is measured."""
        for zone in ZONES:
            for _ in range(ARRAYS):
                self._submit(zone, TASKS)
        time.sleep(SETTLE_S)

    def _submit(self, zone: str, tasks: int = 1) -> None:
        self._jobs += 1
        body = submission(
            f"run-{self._jobs}", zone=zone, task_count=tasks, cpus=4.0, estimated_s=TASK_S
        )
        for controller in range(3):
            url = f"http://127.0.0.1:{self.port + 10 + 2 * controller}/v2/runs"
            request = urllib.request.Request(url, msgspec.json.encode(body), method="POST")
            try:
                with urllib.request.urlopen(request, timeout=0.3):
                    self.accepted += 1
                    return
            except OSError:
                continue

    def observe(self) -> Observation:
        """Read what the stand-ins have counted."""
        _, found = fetch(f"http://127.0.0.1:{self.port + 1}/trouble/observed")
        return msgspec.convert(found, Observation)

    def shards(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command."""
        command = [sys.executable, str(ROOT / "run.py"), "shards", str(self.settings), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def owner(self, shard: str) -> str:
        """Tell who owns a shard; of an undivided fleet who leads."""
        for line in self.shards().stdout.splitlines()[1:]:
            if line.split()[0] == shard:
                return line.split()[1]
        _, found = fetch(f"http://127.0.0.1:{self.port}/store/lead/holder")
        return str(found["data"]["node"])

    def pid(self, node: str) -> int:
        """Tell the process of a controller."""
        found = re.search(rf"{node}: .*process (\d+)", self._lines.read_text())
        assert found is not None
        return int(found.group(1))


class Observation(msgspec.Struct):
    """What store and workers of the world have counted so far."""

    now: float
    store_requests: int
    store_writes: int
    starts: list[tuple[float, str]]
    """When and in which zone tasks were started."""


def longest_gaps(before: Observation, after: Observation) -> dict[str, float]:
    """Give the longest time without a start in each zone, between two observations."""
    gaps = {}
    for zone in ZONES:
        times = [at for at, where in after.starts if where == zone and at >= before.now]
        edges = [before.now, *times, after.now]
        gaps[zone] = max(later - earlier for earlier, later in itertools.pairwise(edges))
    return gaps


@contextmanager
def world(division: str | None) -> Iterator[World]:
    """Bring a world up, and end it."""
    with tempfile.TemporaryDirectory() as folder:
        found = World(Path(folder), division)
        try:
            found.stream(SETTLE_S)
            yield found
        finally:
            found.process.send_signal(signal.SIGINT)
            found.process.wait(30)


def process_cost(pid: int) -> tuple[float, float]:
    """Give a process's processor time in seconds, and its resident memory in MiB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, int(fields[21]) * PAGE_KIB / 1024


def measure_steady(found: World, label: str) -> None:
    """Tell what the controllers and the store do while nothing happens."""
    pids = {node: found.pid(node) for node in ("n-0", "n-1", "n-2")}
    before = found.observe()
    spent = {node: process_cost(pid)[0] for node, pid in pids.items()}
    accepted = found.accepted
    found.stream(2 * WINDOW_S)
    after = found.observe()
    jobs = found.accepted - accepted
    costs = {node: process_cost(pid) for node, pid in pids.items()}
    requests = (after.store_requests - before.store_requests) / jobs
    writes = (after.store_writes - before.store_writes) / jobs
    print(
        f"{label}: steady: {requests:.1f} requests and {writes:.2f} writes a job; "
        + ", ".join(
            f"{node} {100 * (costs[node][0] - spent[node]) / (2 * WINDOW_S):.0f}% of a core, "
            f"{costs[node][1]:.0f} MiB"
            for node in pids
        ),
        flush=True,
    )


def measure_moves(found: World, label: str, rounds: int) -> None:
    """Move one shard round, and tell how long its zone was without starts."""
    found.keep_busy()
    gaps, writes, requests = [], [], []
    for number in range(rounds):
        target = next(node for node in ("n-0", "n-1", "n-2") if node != found.owner("shard-1"))
        before = found.observe()
        with subprocess.Popen(
            [
                *(sys.executable, str(ROOT / "run.py"), "shards", str(found.settings)),
                *("--move", "shard-1", "--to", target),
            ],
            stdout=subprocess.DEVNULL,
        ):
            time.sleep(WINDOW_S)
        after = found.observe()
        gaps.append(longest_gaps(before, after)["a"])
        requests.append(after.store_requests - before.store_requests)
        writes.append(after.store_writes - before.store_writes)
        print(f"{label}: move {number + 1}: {gaps[-1]:.2f} s", flush=True)
    before = found.observe()
    time.sleep(WINDOW_S)
    quiet = longest_gaps(before, found.observe())["a"]
    print(
        f"{label}: longest without starts, beside no move {quiet:.2f} s, in a move median "
        f"{median(gaps):.2f} s, most {max(gaps):.2f} s; in {WINDOW_S:g} s "
        f"{median(requests):.0f} store requests, {median(writes):.0f} writes",
        flush=True,
    )


def measure_loss(label: str, division: str | None, how: signal.Signals) -> None:
    """Kill or stop the owner of zone a; tell how long each zone was without starts."""
    with world(division) as found:
        found.keep_busy()
        victim = found.pid(found.owner("shard-1"))
        before = found.observe()
        os.kill(victim, how)
        time.sleep(WINDOW_S + 5.0)
        gaps = longest_gaps(before, found.observe())
        if how is signal.SIGSTOP:
            os.kill(victim, signal.SIGCONT)
    told = ", ".join(f"zone {zone} {gap:.2f} s" for zone, gap in gaps.items())
    print(f"{label}: {how.name}: without starts {told}", flush=True)


def main() -> None:
    """Measure the undivided service, and two and three shards."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--rounds", type=int, default=10)
    chosen = options.parse_args()
    for label, division in (("undivided", None), ("2 shards", "zones:2"), ("3 shards", "zones:3")):
        with world(division) as found:
            measure_steady(found, label)
            if division:
                measure_moves(found, label, chosen.rounds)
        for how in (signal.SIGKILL, signal.SIGSTOP):
            measure_loss(label, division, how)


if __name__ == "__main__":
    main()
