"""The result of a scheduling cycle."""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment, Machine


class BatchPart(NamedTuple):
    """How many tasks of a batch go to one machine."""

    machine: Machine
    task_count: int


class Batch:
    """Tasks of one job that a cycle places together."""

    __slots__ = ("job", "parts")

    def __init__(self, job: Job, parts: list[BatchPart]) -> None:
        self.job = job
        self.parts = parts


class Unplaced(NamedTuple):
    """A job, and how many of its tasks got neither free nor releasing resources."""

    job: Job
    task_count: int


class Reservation(NamedTuple):
    """The machines reserved for an overdue gang."""

    job: Job
    machines: list[Machine]
    wait_s: float
    """Seconds until the last of the machines is expected to be free."""


class Plan:
    """The decisions of a cycle, which the leader applies."""

    def __init__(self) -> None:
        self.moves: list[Assignment] = []
        """Replicas to stop because free resources are claimed for them on another machine."""
        self.batches: list[Batch] = []
        """Tasks to start."""
        self.preemptions: list[Assignment] = []
        """Tasks to preempt for other jobs."""
        self.unplaced: list[Unplaced] = []
        """Tasks for which machines should be rented."""
        self.reservation: Reservation | None = None
        """The reservation for an overdue gang without resources; for one gang at most."""
        self.machines_examined = 0
        """How many machines were examined one by one, as a measure of the cycle's cost."""

    def parts_of(self, job: Job) -> list[BatchPart]:
        """Return the parts of all batches of a job so far."""
        return [part for batch in self.batches if batch.job is job for part in batch.parts]
