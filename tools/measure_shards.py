"""Measures costs and benefits of a divided fleet, with three controller processes on loopback.

    PYTHONPATH=src:tests python3 tools/measure_shards.py --rounds 10

Large arrays of short tasks keep each zone busy. The figures are the longest time without a task
start in a zone while its shard moves, and in every zone after the owner of one shard is killed or
suspended (SIGSTOP); requests to the store; and CPU time and memory of the controllers.
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
SUBMIT_INTERVAL_S = 1.0
"""Seconds between single-task jobs in each zone, while the cost of a job is measured."""
ARRAYS, TASKS, TASK_S = 4, 20_000, 0.3
"""Arrays for each zone that keep it busy, tasks of an array, and run time of a task in seconds."""
SETTLE_S = 12.0
WINDOW_S = 10.0
"""Seconds for which task starts are observed after a move or a fault."""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") / 1024


class LoopbackDeployment:
    """Three controllers as processes on loopback, and the jobs submitted to them."""

    def __init__(self, folder: Path, division: str | None) -> None:
        self.port = find_free_ports()
        self.settings = folder / "n-0.json"
        self._output = folder / "output.txt"
        options = ["--shards", division] if division else []
        with self._output.open("wb") as output:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, str(LOOPBACK)),
                    *("--port", str(self.port), "--folder", str(folder), *options),
                ],
                stdout=output,
                stderr=subprocess.DEVNULL,
            )
        self._jobs = 0
        self.accepted = 0

    def submit_steadily(self, seconds: float) -> None:
        """Submit jobs to each zone at a constant rate."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while time.monotonic() < end:
            for zone in ZONES:
                self._submit(zone)
            due += SUBMIT_INTERVAL_S
            time.sleep(max(0.0, due - time.monotonic()))

    def keep_busy(self) -> None:
        """Submit arrays to each zone that last until the measurement ends."""
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
        """Return the current counters of the simulated store and workers."""
        _, counters = fetch(f"http://127.0.0.1:{self.port + 1}/trouble/observed")
        return msgspec.convert(counters, Observation)

    def run_shards_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' `shards` command."""
        command = [sys.executable, str(ROOT / "run.py"), "shards", str(self.settings), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def owner(self, shard: str) -> str:
        """Return the owner of a shard, or the leader of an undivided fleet."""
        for line in self.run_shards_command().stdout.splitlines()[1:]:
            if line.split()[0] == shard:
                return line.split()[1]
        _, entry = fetch(f"http://127.0.0.1:{self.port}/store/lead/holder")
        return str(entry["data"]["node"])

    def pid(self, node: str) -> int:
        """Return the process id of a controller."""
        match = re.search(rf"{node}: .*process (\d+)", self._output.read_text())
        assert match is not None
        return int(match.group(1))


class Observation(msgspec.Struct):
    """Counters of the simulated store and workers."""

    now: float
    store_requests: int
    store_writes: int
    starts: list[tuple[float, str]]
    """Time and zone of each task start."""


def longest_gaps(before: Observation, after: Observation) -> dict[str, float]:
    """Return the longest time without a task start in each zone, between two observations."""
    gaps = {}
    for zone in ZONES:
        times = [at for at, start_zone in after.starts if start_zone == zone and at >= before.now]
        edges = [before.now, *times, after.now]
        gaps[zone] = max(later - earlier for earlier, later in itertools.pairwise(edges))
    return gaps


@contextmanager
def running_deployment(division: str | None) -> Iterator[LoopbackDeployment]:
    """Start a deployment, wait until it places jobs, and stop it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = LoopbackDeployment(Path(folder), division)
        try:
            deployment.submit_steadily(SETTLE_S)
            yield deployment
        finally:
            deployment.process.send_signal(signal.SIGINT)
            deployment.process.wait(30)


def process_cost(pid: int) -> tuple[float, float]:
    """Return a process's CPU time in seconds, and its resident memory in MiB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, int(fields[21]) * PAGE_KIB / 1024


def measure_steady(deployment: LoopbackDeployment, label: str) -> None:
    """Print the cost of a steady load on the store and the controllers, without moves or faults."""
    pids = {node: deployment.pid(node) for node in ("n-0", "n-1", "n-2")}
    before = deployment.observe()
    cpu_before = {node: process_cost(pid)[0] for node, pid in pids.items()}
    accepted = deployment.accepted
    deployment.submit_steadily(2 * WINDOW_S)
    after = deployment.observe()
    jobs = deployment.accepted - accepted
    costs = {node: process_cost(pid) for node, pid in pids.items()}
    requests = (after.store_requests - before.store_requests) / jobs
    writes = (after.store_writes - before.store_writes) / jobs
    print(
        f"{label}: steady: {requests:.1f} requests and {writes:.2f} writes a job; "
        + ", ".join(
            f"{node} {100 * (costs[node][0] - cpu_before[node]) / (2 * WINDOW_S):.0f}% of a core, "
            f"{costs[node][1]:.0f} MiB"
            for node in pids
        ),
        flush=True,
    )


def measure_moves(deployment: LoopbackDeployment, label: str, rounds: int) -> None:
    """Move one shard repeatedly, and print the longest time without a start in its zone."""
    deployment.keep_busy()
    gaps, writes, requests = [], [], []
    for number in range(rounds):
        target = next(node for node in ("n-0", "n-1", "n-2") if node != deployment.owner("shard-1"))
        before = deployment.observe()
        with subprocess.Popen(
            [
                *(sys.executable, str(ROOT / "run.py"), "shards", str(deployment.settings)),
                *("--move", "shard-1", "--to", target),
            ],
            stdout=subprocess.DEVNULL,
        ):
            time.sleep(WINDOW_S)
        after = deployment.observe()
        gaps.append(longest_gaps(before, after)["a"])
        requests.append(after.store_requests - before.store_requests)
        writes.append(after.store_writes - before.store_writes)
        print(f"{label}: move {number + 1}: {gaps[-1]:.2f} s", flush=True)
    before = deployment.observe()
    time.sleep(WINDOW_S)
    gap_without_move = longest_gaps(before, deployment.observe())["a"]
    print(
        f"{label}: longest time without starts: without a move {gap_without_move:.2f} s, in a move "
        f"median {median(gaps):.2f} s, max {max(gaps):.2f} s; in {WINDOW_S:g} s "
        f"{median(requests):.0f} store requests, {median(writes):.0f} writes",
        flush=True,
    )


def measure_owner_failure(label: str, division: str | None, sent: signal.Signals) -> None:
    """Kill or suspend the owner of zone a; print the longest time without starts in each zone."""
    with running_deployment(division) as deployment:
        deployment.keep_busy()
        owner_pid = deployment.pid(deployment.owner("shard-1"))
        before = deployment.observe()
        os.kill(owner_pid, sent)
        time.sleep(WINDOW_S + 5.0)
        gaps = longest_gaps(before, deployment.observe())
        if sent is signal.SIGSTOP:
            os.kill(owner_pid, signal.SIGCONT)
    gap_texts = ", ".join(f"zone {zone} {gap:.2f} s" for zone, gap in gaps.items())
    print(f"{label}: {sent.name}: longest time without starts: {gap_texts}", flush=True)


def main() -> None:
    """Measure an undivided fleet, two shards and three shards."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=10)
    arguments = parser.parse_args()
    for label, division in (("undivided", None), ("2 shards", "zones:2"), ("3 shards", "zones:3")):
        with running_deployment(division) as deployment:
            measure_steady(deployment, label)
            if division:
                measure_moves(deployment, label, arguments.rounds)
        for sent in (signal.SIGKILL, signal.SIGSTOP):
            measure_owner_failure(label, division, sent)


if __name__ == "__main__":
    main()
