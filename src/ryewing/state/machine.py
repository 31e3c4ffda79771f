"""One machine as far as the leader knows it: its assignments, its images and how well it does.

`Assignment` is in the same module because each of the two classes refers to the other.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import NamedTuple

from ryewing.state.attempts import EndedAttempt, ReportedKey, TaskPhase
from ryewing.state.image_fetches import ImageFetch
from ryewing.state.jobs import Job
from ryewing.units import (
    NO_HEARTBEAT,
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

MIN_STABLE_RUN_S = 15.0
"""A replica that ran for this long did not fail at its start."""

# Plain integers and no enum: scheduling compares and adds them for each machine that it examines.
WARM = 0
"""A value of `Machine.warmth`: the image is probably on the machine."""
FETCHING = 1
"""A value of `Machine.warmth`: the image is being fetched for another task."""
COLD = 2
"""A value of `Machine.warmth`: the image has to be fetched."""

RELATIVE_RUN_TIME_WEIGHT = 0.2
"""The weight of one finished task in the moving average of its machine's pace."""
MAX_RELATIVE_RUN_TIME = 3.0
"""The upper bound of what one task may contribute to that average."""
STRAGGLER_RELATIVE_RUN_TIME = 1.4
"""The pace above which a machine is slow: its tasks take this many times as long as elsewhere."""
MEASURABLE_FETCH_S = 5.0
"""The expected duration from which on a fetch is measured: its end shows in a heartbeat, which is
seconds late."""


class Assignment:
    """One task attempt on a machine: planned, assumed (its start was sent), or reported."""

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
        """None if the leader knows no such job, or the job has no such task."""
        self.phase = phase
        self.planned_at = now
        """When the leader planned it, or first heard of it."""
        self.sent_after: HeartbeatVersion | None = None
        """The heartbeat whose response carried the start; a later heartbeat settles it."""
        self.running_since: MonotonicTime | None = None
        """When it was first seen to run."""
        self.start_observed = False
        """Whether it was seen in an earlier phase first; not so for a task that was found running,
        as after a failover."""


def is_stable(assignment: Assignment, now: MonotonicTime) -> bool:
    """Return whether a task ran long enough not to have failed at its start.

    A replica that was found running counts as such, since nothing else is known of it.
    """
    if assignment.running_since is None:
        return False
    found_serving = (
        not assignment.start_observed and assignment.job is not None and assignment.job.is_service
    )
    return found_serving or now - assignment.running_since >= MIN_STABLE_RUN_S


class MachineKind(NamedTuple):
    """What decides which jobs may use a machine."""

    machine_type: str
    zone: Zone
    spot: bool


class Machine:
    """One machine, which may be booting, in use, silent or about to be released.

    `AssignmentTable` keeps the assignments and the free resources, and `HeartbeatApplier` applies
    what the worker reports; the leader's parts set the flags of use and release.
    """

    __slots__ = (
        "acknowledged_bump",
        "address",
        "assignments",
        "being_released",
        "cordoned",
        "cordoned_since",
        "ended_attempts",
        "expired_incarnation",
        "failed_jobs",
        "fetches",
        "free_cpus",
        "free_gpus",
        "free_memory_gb",
        "heard_at",
        "id",
        "idle_since",
        "images",
        "images_in_use",
        "last_reported",
        "lease_expires_by",
        "machine_type",
        "notice_received_at",
        "notice_s",
        "quarantined",
        "recorded",
        "relative_run_time",
        "rented_at",
        "required_bump",
        "spot",
        "token_bumped_at",
        "token_bumps",
        "unacknowledged_since",
        "version",
        "zone",
    )

    # What it is.
    id: MachineId
    machine_type: MachineType
    zone: Zone
    spot: bool
    address: str
    """Where its worker takes direct messages; empty until it has told."""
    rented_at: MonotonicTime
    recorded: bool
    """Whether the store has it as heard, so that a successor knows that it may hold tasks."""

    # Its heartbeats and its lease.
    version: HeartbeatVersion
    """The version of the newest heartbeat that was applied."""
    heard_at: MonotonicTime | None
    """When that heartbeat was applied; None if there was none in this term."""
    expired_incarnation: int
    """The newest incarnation that has certainly ended: a heartbeat of it is an old copy."""
    lease_expires_by: MonotonicTime | None
    """Until when its lease may run; None if its worker was never answered, or its lease ended."""
    notice_s: float | None
    """Seconds until the cloud takes it back, as of its newest heartbeat; None without a notice."""
    notice_received_at: MonotonicTime
    """When the notice was first seen."""

    # Whether the leader's messages reach its worker (safety argument 4 in docs/design.md).
    acknowledged_bump: int
    """The highest bump of this term's token that it has shown; -1 if it has shown none."""
    required_bump: int
    """The token bump that it has to show before it gets work: nothing else proves that our
    responses reach it."""
    unacknowledged_since: MonotonicTime | None
    """Since when its heartbeats arrive although it doesn't acknowledge our token."""
    token_bumps: int
    """How often its token was raised in this term."""
    token_bumped_at: MonotonicTime | None
    """When its token was last raised to call for an early heartbeat."""

    # Whether it is to be used.
    being_released: bool
    """Whether the cloud is being asked to take it back."""
    cordoned: bool
    """Whether no more work is wanted here: it is released once its tasks have ended."""
    cordoned_since: MonotonicTime
    quarantined: bool
    """Whether it failed tasks of several healthy jobs, and takes no more."""
    failed_jobs: set[JobId]
    """Jobs that failed here since a task last finished, and that may be healthy themselves."""
    relative_run_time: float
    """How long tasks take here, relative to tasks of the same jobs elsewhere."""

    # Its tasks.
    assignments: dict[TaskId, Assignment]
    idle_since: MonotonicTime
    """When the last assignment was dropped, or else when the leader first knew the machine."""
    free_cpus: float
    """What its assignments leave free, planned ones included; so also `gpus` and `memory_gb`."""
    free_gpus: float
    free_memory_gb: float
    last_reported: dict[ReportedKey, ReportedTask]
    """Attempts as its newest heartbeat showed them: only changes cost work in the next one."""
    ended_attempts: dict[ReportedKey, EndedAttempt]
    """Ended attempts that its worker still reports."""

    # Its images.
    images: OrderedDict[str, float]
    """Images that its worker probably has in its cache, with their sizes in GB; the most recently
    used one is the last."""
    images_in_use: Counter[str]
    """Images of its assignments, so also those being fetched."""
    fetches: dict[str, ImageFetch]
    """Images that a heartbeat has shown to be fetched."""

    def __init__(
        self,
        machine_id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        now: MonotonicTime,
    ) -> None:
        self.id = machine_id
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        self.rented_at = now
        self.recorded = False

        self.version = NO_HEARTBEAT
        self.heard_at = None
        self.expired_incarnation = 0
        self.lease_expires_by = None
        self.notice_s = None
        self.notice_received_at = now

        self.acknowledged_bump = -1
        self.required_bump = 0
        self.unacknowledged_since = None
        self.token_bumps = 0
        self.token_bumped_at = None

        self.being_released = False
        self.cordoned = False
        self.cordoned_since = now
        self.quarantined = False
        self.failed_jobs = set()
        self.relative_run_time = 1.0

        self.assignments = {}
        self.idle_since = now
        self.free_cpus = machine_type.cpus
        self.free_gpus = machine_type.gpus
        self.free_memory_gb = machine_type.memory_gb
        self.last_reported = {}
        self.ended_attempts = {}

        self.images = OrderedDict()
        self.images_in_use = Counter()
        self.fetches = {}

    @property
    def acknowledged_term(self) -> bool:
        """Whether a message has shown this term's token: its worker refuses older starts since."""
        return self.acknowledged_bump >= 0

    @property
    def acknowledges(self) -> bool:
        """Whether its worker was seen to hear us since a message to it was last lost."""
        return self.acknowledged_bump >= self.required_bump

    @property
    def kind(self) -> MachineKind:
        """Type, zone and spot: what decides which jobs may use it."""
        return MachineKind(self.machine_type.name, self.zone, self.spot)

    def is_schedulable(self) -> bool:
        """Return whether new tasks may be planned for it."""
        return (
            self.acknowledges
            and self.recorded
            and not self.being_released
            and not self.cordoned
            and not self.quarantined
            and self.notice_s is None
        )

    def record_relative_run_time(self, job: Job, took_s: float) -> None:
        """Compare the run time of a finished task with its job's earlier tasks, on any machine."""
        if job.mean_run_time_s:
            ratio = min(MAX_RELATIVE_RUN_TIME, took_s / job.mean_run_time_s)
            self.relative_run_time += RELATIVE_RUN_TIME_WEIGHT * (ratio - self.relative_run_time)

    def is_straggler(self) -> bool:
        """Return whether tasks take much longer here.

        Machine types and chance make a difference of a tenth or two.
        """
        return self.relative_run_time > STRAGGLER_RELATIVE_RUN_TIME

    def record_fetch(self, spec: JobSpec, fetching: bool, now: MonotonicTime) -> float | None:
        """Record that a task's image is being fetched, or (`fetching` is false) no longer is.

        At the end of a fetch that had others beside it, return its measured over its expected
        duration, else None: whether fetches share the machine's rate shows only in those.
        """
        if fetching:
            if spec.image not in self.fetches and spec.image not in self.images:
                self._begin_fetch(spec.image, now)
            return None
        fetch = self.fetches.pop(spec.image, None)
        expected_s = spec.image_gb / max(self.machine_type.fetch_gb_per_s, 1e-3)
        if fetch is None or fetch.alone or expected_s < MEASURABLE_FETCH_S:
            return None
        return (now - fetch.started_at) / expected_s

    def _begin_fetch(self, image: str, now: MonotonicTime) -> None:
        for name in [n for n in self.fetches if not self.images_in_use[n]]:
            del self.fetches[name]  # no task waits for it any more: the worker has given it up
        for other in self.fetches.values():
            other.alone = False
        self.fetches[image] = ImageFetch(now, not self.fetches)

    def warmth(self, image: str) -> int:
        """Return `WARM`, `FETCHING` or `COLD`: the smaller, the sooner a task can start."""
        if image in self.images:
            return WARM
        return FETCHING if self.images_in_use[image] > 0 else COLD

    def present_images(self) -> set[str]:
        """Return the images that are probably here or being fetched: those not `COLD`."""
        return {*self.images, *(name for name, count in self.images_in_use.items() if count > 0)}

    def record_image(self, image: str, size_gb: float) -> None:
        """Record that a task of this image ran here, so that the worker has it in its cache.

        The least recently used images are assumed to be evicted once the cache is full.
        """
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.machine_type.cache_gb:
            self.images.popitem(last=False)
