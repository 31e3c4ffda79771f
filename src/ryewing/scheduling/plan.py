"""The outcome of a scheduling cycle."""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine


class BatchPart(NamedTuple):
    """How many tasks of a batch go to one machine."""

    machine: Machine
    task_count: int


class Batch:
    """The tasks of one job that a cycle places at once."""

    __slots__ = ("job", "parts")

    def __init__(self, job: Job, parts: list[BatchPart]) -> None:
        self.job = job
        self.parts = parts


class Unplaced(NamedTuple):
    """A job, and how many of its tasks have no room, not even room to be released."""

    job: Job
    task_count: int


class Reservation(NamedTuple):
    """The machines reserved for an overdue gang."""

    job: Job
    machines: list[Machine]
    wait_s: float
    """Seconds until the last of them is expected to be free."""


class Plan:
    """What a cycle decides; the leader carries it out."""

    def __init__(self) -> None:
        self.moves: list[Assignment] = []
        """Replicas to stop, since there is room for them elsewhere."""
        self.batches: list[Batch] = []
        """Tasks to start."""
        self.preemptions: list[Assignment] = []
        """Tasks to preempt for more important ones."""
        self.unplaced: list[Unplaced] = []
        """Tasks for which machines should be rented."""
        self.reservation: Reservation | None = None
        """The reservation, if an overdue gang found no room; one gang at a time."""
        self.machines_examined = 0
        """How many machines were looked at one by one: the cost of the cycle."""

    def parts_of(self, job: Job) -> list[BatchPart]:
        """Return the parts of all batches that a job has got so far."""
        return [part for batch in self.batches if batch.job is job for part in batch.parts]
