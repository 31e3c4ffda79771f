"""One machine as far as the leader knows it: what runs there, its images and how well it does."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict
from typing import NamedTuple

from ryewing.state.image_fetches import ImageFetch
from ryewing.state.jobs import Job
from ryewing.units import (
    NEVER_HEARD,
    Attempt,
    HeartbeatVersion,
    JobId,
    MachineId,
    MonotonicTime,
    TaskId,
    Zone,
)
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec
from ryewing.wire.workers import ReportedTask

RAN_FOR_A_WHILE_S = 15.0
"""A replica that ran for so long did not fail at its start."""
WARM, FETCHED_NOW, COLD = range(3)
"""Whether a machine has an image, is fetching it, or neither: the smaller the sooner."""
PACE_WEIGHT = 0.2
"""How much one finished task counts for its machine's pace."""
MAX_PACE = 3.0
"""What one task may count at the most."""
SLOW_PACE = 1.4
"""Where tasks take so many times as long as elsewhere, the machine is slow."""
SLOWDOWN_FROM_S = 5.0
"""How long a fetch has to take to tell whether fetches share a machine's rate: a heartbeat tells of
its end seconds late."""


class TaskPhase(enum.StrEnum):
    """Where a task attempt is: what the leader has decided, then what the worker reports."""

    PLANNED = "planned"
    SENT = "sent"
    FETCHING = "fetching"
    GATHERING = "gathering"
    RUNNING = "running"
    SAVING = "saving"
    ENDED = "ended"


LIVE_PHASES = frozenset(
    (TaskPhase.FETCHING, TaskPhase.GATHERING, TaskPhase.RUNNING, TaskPhase.SAVING)
)
"""What a worker heartbeats of an attempt that is on its machine."""


class Assignment:
    """One task attempt on a machine: planned, assumed, or reported."""

    __slots__ = (
        "attempt",
        "job",
        "machine",
        "phase",
        "planned_at",
        "running_since",
        "sent_after",
        "start_observed",
        "task",
    )

    def __init__(
        self,
        machine: Machine,
        task: TaskId,
        attempt: Attempt,
        job: Job | None,
        phase: TaskPhase,
        now: MonotonicTime,
    ) -> None:
        self.machine = machine
        self.task = task
        self.attempt = attempt
        self.job = job
        self.phase = phase
        self.planned_at = now
        self.sent_after: HeartbeatVersion | None = None
        """The heartbeat whose response carried the start; a later heartbeat settles it."""
        self.running_since: MonotonicTime | None = None
        self.start_observed = False
        """Its run was seen to begin; a task found running after a take-over was not."""


def ran_for_a_while(assignment: Assignment, now: MonotonicTime) -> bool:
    """Tell whether a task ran for a while; of a replica that was found running nothing else is
    known."""
    if assignment.running_since is None:
        return False
    found_serving = (
        not assignment.start_observed and assignment.job is not None and assignment.job.is_service
    )
    return found_serving or now - assignment.running_since >= RAN_FOR_A_WHILE_S


class EndedAttempt:
    """An ended attempt that the worker reports until it is cleared."""

    __slots__ = ("attempt", "done", "task")

    def __init__(self, task: TaskId, attempt: Attempt, done: bool) -> None:
        self.task = task
        self.attempt = attempt
        self.done = done


class MachineKind(NamedTuple):
    """What decides which jobs may use a machine."""

    machine_type: str
    zone: Zone
    spot: bool


class Machine:
    """One machine as far as it is known."""

    __slots__ = (
        "acknowledged",
        "address",
        "assignments",
        "being_released",
        "cordoned",
        "cordoned_since",
        "cpus",
        "ended",
        "expired_incarnation",
        "faults",
        "fetches",
        "gpus",
        "heard_at",
        "id",
        "idle_since",
        "images",
        "images_in_use",
        "last_reported",
        "machine_type",
        "may_hold_until",
        "memory_gb",
        "notice_s",
        "noticed_at",
        "pace",
        "quarantined",
        "recorded",
        "rented_at",
        "required_acknowledgement",
        "spot",
        "token_bumped_at",
        "token_bumps",
        "unacknowledged_since",
        "version",
        "zone",
    )

    def __init__(
        self, name: MachineId, machine_type: MachineType, zone: Zone, spot: bool, now: MonotonicTime
    ) -> None:
        self.id = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        self.version = NEVER_HEARD
        self.expired_incarnation = 0
        """The newest incarnation that is surely over: what is said of it is an old copy."""
        self.acknowledged = -1
        """The highest raise of our term's token that its messages have shown; -1: nothing of it."""
        self.required_acknowledgement = 0
        """The token raise that it has to show before it gets work: nothing else tells that our
        answers reach it."""
        self.unacknowledged_since: MonotonicTime | None = None
        """Since when its messages come although it doesn't hear ours."""
        self.recorded = False
        """The store holds the machine, so that a successor knows that it may have tasks."""
        self.heard_at: MonotonicTime | None = None
        self.may_hold_until: MonotonicTime | None = None
        """Until then its lease may run. None: the worker was never answered by anybody."""
        self.rented_at = now
        self.idle_since = now
        self.notice_s: float | None = None
        self.noticed_at = now
        self.pace = 1.0
        """How long tasks take here, as against the same jobs' tasks elsewhere."""
        self.token_bumps = 0
        self.token_bumped_at: MonotonicTime | None = None
        self.being_released = False
        self.cordoned = False
        """No more work is wanted here: it is returned once what runs has ended."""
        self.cordoned_since = now
        self.quarantined = False
        self.assignments: dict[TaskId, Assignment] = {}
        self.last_reported: dict[tuple[str, int], ReportedTask] = {}
        """Attempts as its newest message showed them: only what differs in the next is news."""
        self.ended: dict[tuple[str, int], EndedAttempt] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.images_in_use: Counter[str] = Counter()
        """Images of the tasks that are here, so also of those being fetched."""
        self.fetches: dict[str, ImageFetch] = {}
        """Images seen to be fetched."""
        self.faults: set[JobId] = set()
        """Jobs that failed here since a task last finished, and that may be healthy themselves."""
        self.cpus = machine_type.cpus
        self.gpus = machine_type.gpus
        self.memory_gb = machine_type.memory_gb

    @property
    def handshaken(self) -> bool:
        """Tell whether a message with our term's token came: it refuses older starts since."""
        return self.acknowledged >= 0

    @property
    def acknowledges(self) -> bool:
        """Tell whether it was seen to hear us, since something was last lost."""
        return self.acknowledged >= self.required_acknowledgement

    @property
    def kind(self) -> MachineKind:
        """Type, zone and spot: what decides which jobs may use it."""
        return MachineKind(self.machine_type.name, self.zone, self.spot)

    def usable(self) -> bool:
        """Tell whether new tasks may be planned for it."""
        return (
            self.acknowledges
            and self.recorded
            and not self.being_released
            and not self.cordoned
            and not self.quarantined
            and self.notice_s is None
        )

    def record_pace(self, job: Job, took_s: float) -> None:
        """Compare a finished task with what its job's tasks were seen to take so far."""
        if job.run_seen_s:
            ratio = min(MAX_PACE, took_s / job.run_seen_s)
            self.pace += PACE_WEIGHT * (ratio - self.pace)

    def record_fetch(self, spec: JobSpec, fetching: bool, now: MonotonicTime) -> float | None:
        """Take note of a fetch's begin, or its end: then how much longer than thought it took.

        Only of fetches beside others, since whether these share the machine's rate is not known.
        """
        if fetching:
            if spec.image not in self.fetches and spec.image not in self.images:
                for name in [n for n in self.fetches if not self.images_in_use[n]]:
                    del self.fetches[name]  # given up
                for other in self.fetches.values():
                    other.alone = False
                self.fetches[spec.image] = ImageFetch(now, not self.fetches)
            return None
        fetch = self.fetches.pop(spec.image, None)
        thought = spec.image_gb / max(self.machine_type.fetch_gb_per_s, 1e-3)
        if fetch is None or fetch.alone or thought < SLOWDOWN_FROM_S:
            return None
        return (now - fetch.began) / thought

    def slow(self) -> bool:
        """Tell whether tasks take much longer here; types and chance make a tenth or two."""
        return self.pace > SLOW_PACE

    def warmth(self, image: str) -> int:
        """Tell whether an image is probably here, is being fetched, or neither."""
        if image in self.images:
            return WARM
        return FETCHED_NOW if self.images_in_use[image] > 0 else COLD

    def present_images(self) -> set[str]:
        """Name the images that are probably here or are being fetched (`warmth` below COLD)."""
        return {*self.images, *(name for name, count in self.images_in_use.items() if count > 0)}

    def record_image(self, image: str, size_gb: float) -> None:
        """A task of this image ran here: the image is cached, the least used ones may go."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.machine_type.cache_gb:
            self.images.popitem(last=False)
