"""What a cycle decides."""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine


class BatchPart(NamedTuple):
    """So many tasks of a batch go to one machine."""

    machine: Machine
    tasks: int


class Batch:
    """What one job gets in one cycle."""

    __slots__ = ("job", "parts")

    def __init__(self, job: Job, parts: list[BatchPart]) -> None:
        self.job = job
        self.parts = parts


class Unplaced(NamedTuple):
    """A job with tasks for which there is no room, not even room to be freed."""

    job: Job
    tasks: int


class Reservation(NamedTuple):
    """The machines that are kept for a gang."""

    job: Job
    machines: list[Machine]
    wait_s: float
    """When the last of them is thought to be free."""


class Plan:
    """The outcome of a cycle."""

    def __init__(self) -> None:
        self.moves: list[Assignment] = []
        """Replicas to be stopped, since there is room for them elsewhere."""
        self.batches: list[Batch] = []
        self.stops: list[Assignment] = []
        """Tasks to be stopped for more important ones."""
        self.unplaced: list[Unplaced] = []
        self.reserved: Reservation | None = None
        """The overdue gang for which machines are kept, and which."""
        self.machines_examined = 0
        """Machines looked at one by one: the cost of the cycle."""

    def parts_of(self, job: Job) -> list[BatchPart]:
        """List what a job has got so far."""
        return [part for batch in self.batches if batch.job is job for part in batch.parts]
