"""Three controllers that share a fleet, as processes on loopback: no clock is faked here."""

from __future__ import annotations

import re
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from support.fakes import submission
from support.processes import LOOPBACK, ROOT, TIMEOUT_S, fetch, find_free_ports, wait_for_status

TASKS = 6


class LoopbackProcesses:
    """The controllers' processes, and what an operator and users do with them."""

    def __init__(self, folder: Path, port: int) -> None:
        self.port = port
        self._settings = folder / "n-2.json"
        self._output = folder / "output.txt"
        with self._output.open("wb") as output:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, str(LOOPBACK)),
                    *("--port", str(port), "--shards", "zones:2", "--folder", str(folder)),
                ],
                stdout=output,
                stderr=subprocess.DEVNULL,
            )

    def shards(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command `shards`."""
        return subprocess.run(
            [sys.executable, str(ROOT / "run.py"), "shards", str(self._settings), *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def owners(self) -> dict[str, str]:
        """Wait until all shards are owned; return the owner of each."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            rows = [line.split() for line in self.shards().stdout.splitlines()[1:]]
            if len(rows) == 2 and all(row[2:4] == ["yes", "owned"] for row in rows):
                return {row[0]: row[1] for row in rows}
            time.sleep(0.5)
        raise AssertionError(self.shards())

    def kill(self, node: str) -> None:
        """Kill a controller's process."""
        found = re.search(rf"{node}: .*process (\d+)", self._output.read_text())
        assert found is not None
        subprocess.run(["kill", "-9", found.group(1)], check=True)

    def url(self, controller: int) -> str:
        """Return the address at which a controller takes jobs."""
        return f"http://127.0.0.1:{self.port + 10 + 2 * controller}/v2/runs"


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[LoopbackProcesses]:
    found = LoopbackProcesses(tmp_path, find_free_ports())
    try:
        yield found
    finally:
        found.process.send_signal(2)
        found.process.wait(30)


def test_jobs_go_on_while_a_shard_moves_and_a_controller_is_killed(
    processes: LoopbackProcesses,
) -> None:
    """A gang and an array run in each shard, and each of their tasks is started once."""
    owners = processes.owners()
    jobs = {}
    for number, (zone, shape) in enumerate(
        (zone, shape) for zone in "ab" for shape in ("batch", "group")
    ):
        ref = f"run-{number + 1:06d}"
        jobs[ref] = msgspec.json.encode(
            submission(ref, shape=shape, zone=zone, task_count=TASKS, estimated_s=12.0)
        )
        wait_for_status(processes.url(number % 3), "queued", jobs[ref])
    for ref in jobs:
        wait_for_status(f"{processes.url(0)}/{ref}", "running")
    target = next(node for node in ("n-0", "n-1", "n-2") if node not in owners.values())
    moved = processes.shards("--move", "shard-1", "--to", target)
    assert moved.returncode == 0, moved
    assert f"shard shard-1: owned by {target}" in moved.stdout
    victim = owners["shard-2"]
    processes.kill(victim)
    alive = next(n for n in range(3) if f"n-{n}" != victim)
    for ref, body in jobs.items():
        wait_for_status(f"{processes.url(alive)}/{ref}", "done")
        assert fetch(processes.url(alive), body) == (200, {"ref": ref, "status": "done"})
    assert victim not in processes.owners().values()
    _, starts = fetch(f"http://127.0.0.1:{processes.port + 1}/trouble/starts")
    assert starts == {f"{ref}/{number}": 1 for ref in jobs for number in range(TASKS)}
    for arguments, code, message in (
        (("--move", "west", "--to", target), 3, "unknown shard 'west'"),
        (("--move", "shard-1", "--to", "n-9"), 3, "n-9 is unknown or not healthy"),
        (("--move", "shard-1", "--to", victim), 3, "is unknown or not healthy"),
        (("--move", "shard-1", "--to", target), 3, "owns it already"),
        (("--move", "shard-1"), 2, "go together"),
    ):
        refused = processes.shards(*arguments)
        assert (refused.returncode, message in refused.stderr) == (code, True), refused
