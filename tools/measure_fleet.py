"""Measures what a leader's work costs as the fleet grows, over the tests' stand-ins.

    PYTHONPATH=src:tests python3 tools/measure_fleet.py 600 1200 2500 4000 6000

Processor time of this machine, best of several; no part of CI.
"""

from __future__ import annotations

import argparse
import gc
import resource
import time
from collections.abc import Callable
from unittest import mock

import msgspec
from support.clocks import TERM_MODULES
from support.fakes import Clock, FakeWorker, settings
from support.harness import LeaderHarness

from ryewing.autoscaling.scale_in import scale_in_candidates
from ryewing.units import WallTime

REPEATS = 7
TASKS_A_MACHINE = 8
IMAGES = 40
GANG_MEMBERS = 12


class Sample:
    """What one fleet size costs, by name."""

    def __init__(self, machines: int) -> None:
        self.figures: dict[str, float] = {"machines": machines}

    def time_ms(self, name: str, act: Callable[[], object], repeats: int = REPEATS) -> None:
        """Measure the best of several calls, in milliseconds of processor time."""
        best = float("inf")
        for _ in range(repeats):
            began = time.process_time()
            act()
            best = min(best, time.process_time() - began)
        self.figures[name] = round(1000 * best, 3)


def make_workers(harness: LeaderHarness, count: int) -> list[FakeWorker]:
    """Put up a quarter of machines with GPUs, in three zones, a fifth of them spot."""
    workers = [
        harness.worker(
            f"i-{number:06d}",
            machine_type="g4" if number % 4 == 0 else "c32",
            zone="abc"[number % 3],
            spot=number % 5 == 0,
        )
        for number in range(count)
    ]
    harness.ready(*workers)
    return workers


def fill(harness: LeaderHarness, workers: list[FakeWorker]) -> None:
    """Keep the fleet busy with small tasks of many images, and let a backlog wait."""
    count = len(workers)
    for number in range(count // 15):
        harness.accept(
            f"run-{number}",
            task_count=15 * TASKS_A_MACHINE,
            image=f"img-{number % IMAGES}",
            image_gb=1.0,
            priority="idle" if number % 3 == 0 else "standard",
            team="blue" if number % 2 else "red",
            spot=number % 2 == 0,
        )
    for _ in range(3):
        harness.place()
        for worker in workers:
            harness.exchange(worker)
        harness.later(0.5)
    for number in range(count // 30):
        harness.accept(
            f"run-{100_000 + number}",
            task_count=90,
            image=f"img-{number % IMAGES}",
            image_gb=4.0,
            priority="urgent" if number % 4 == 0 else "standard",
            estimated_s=60.0,
        )
    for number in range(count // 100):
        harness.accept(
            f"run-{200_000 + number}",
            shape="group",
            task_count=GANG_MEMBERS,
            cpus=16.0,
            image=f"img-{number % IMAGES}",
            image_gb=4.0,
            same_zone=True,
            priority="urgent" if number % 2 else "standard",
        )


def measure(count: int, clock: Clock) -> Sample:
    """Measure one fleet."""
    sample = Sample(count)
    harness = LeaderHarness(clock)
    harness.settings = msgspec.convert(_unlimited(), type(harness.settings))
    harness.new_leader(6)
    writes = harness.store.writes
    workers = make_workers(harness, count)
    sample.figures["record_writes"] = harness.store.writes - writes
    fill(harness, workers)
    leader = harness.leader
    cluster = leader.term.cluster
    gc.collect()

    def heartbeats() -> None:
        for worker in workers:
            leader.on_heartbeat(worker.heartbeat())

    sample.time_ms("cycle_ms", harness.place)
    sample.figures["machines_examined"] = (
        leader.scheduler.machines_examined // leader.scheduler.cycles
    )
    sample.figures["short_jobs"] = len(leader.scheduler.unplaced)
    sample.time_ms("heartbeats_ms", heartbeats)
    sample.figures["heartbeat_us"] = round(1000 * sample.figures.pop("heartbeats_ms") / count, 1)
    sample.time_ms("maintenance_ms", leader.maintenance.run_once)
    sample.time_ms("unhealthy_ms", lambda: leader.autoscaler.unhealthy_machines(clock()))
    sample.time_ms("cordon_ms", leader.autoscaler.cordon)
    sample.time_ms(
        "scale_in_ms",
        lambda: scale_in_candidates(
            cluster.machines.values(), leader.scheduler.unplaced, leader.term.policy, clock()
        ),
    )
    sample.time_ms("image_locality_ms", lambda: msgspec.msgpack.encode(leader.image_locality()))
    sample.figures["image_locality_kb"] = round(
        len(msgspec.msgpack.encode(leader.image_locality())) / 1024, 1
    )
    term = int(leader.term.number)
    sample.time_ms("take_over_ms", lambda: harness.new_leader(term + 1), 1)
    sample.figures["peak_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    return sample


def _unlimited() -> dict[str, object]:
    raw: dict[str, object] = msgspec.to_builtins(settings())
    for team in raw["params"]["teams"]:  # type: ignore[index]
        team.update(cpus_max=0.0, gpus_max=0.0)
    return raw


def main() -> None:
    """Measure the sizes asked for, a line each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("machines", type=int, nargs="+")
    sizes: list[int] = parser.parse_args().machines
    clock = Clock()
    clocks = [mock.patch(f"ryewing.{part}.monotonic_now", clock) for part in TERM_MODULES]
    for patched in (
        *clocks,
        mock.patch("ryewing.leader.plan_applier.wall_now", return_value=WallTime(0.0)),
        mock.patch("ryewing.leader.scheduler.wall_now", return_value=WallTime(0.0)),
    ):
        patched.start()
    for size in sizes:
        print(msgspec.json.encode(measure(size, clock).figures).decode(), flush=True)


if __name__ == "__main__":
    main()
