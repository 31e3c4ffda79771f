"""The leader's view of one machine: its assignments, cached images, performance and failures.

`Assignment` is in this module because it and `Machine` refer to each other.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.state.attempts import EndedAttempt, ReportedAttemptKey, TaskPhase
from ryewing.state.image_cache import ImageCache
from ryewing.state.jobs import Job
from ryewing.units import (
    NO_BUMP,
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
from ryewing.wire.workers import ReportedTask

MIN_STABLE_RUN_S = 15.0
"""The run time after which the end of a replica no longer counts as a failure at startup."""

RELATIVE_RUN_TIME_WEIGHT = 0.2
"""The weight of one finished task in `Machine.relative_run_time`, a moving average."""
MAX_RELATIVE_RUN_TIME = 3.0
"""The upper bound of the ratio that one task contributes to `Machine.relative_run_time`."""
STRAGGLER_RELATIVE_RUN_TIME = 1.4
"""The value of `Machine.relative_run_time` above which a machine is a straggler."""


class Assignment:
    """A task attempt on a machine: planned, sent but not reported yet, or reported by a worker."""

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
        """None if the leader does not know the job, or the job has no task of this number."""
        self.phase = phase
        self.planned_at = now
        """When the leader planned the attempt, or first saw it in a heartbeat."""
        self.sent_after: HeartbeatVersion | None = None
        """The heartbeat whose response carried the start command. The start was lost if a later
        heartbeat does not show the attempt."""
        self.running_since: MonotonicTime | None = None
        """When a heartbeat first showed the attempt as running."""
        self.start_observed = False
        """Whether the leader saw the attempt in an earlier phase before it ran. False for a task
        that was running already when the leader first saw it, as after a failover."""


def is_stable(assignment: Assignment, now: MonotonicTime) -> bool:
    """Return whether a task has run for long enough that its end is no failure at startup.

    A replica that was already running when the leader first saw it counts as stable, because its
    start time is unknown.
    """
    if assignment.running_since is None:
        return False
    was_already_running = (
        not assignment.start_observed and assignment.job is not None and assignment.job.is_service
    )
    return was_already_running or now - assignment.running_since >= MIN_STABLE_RUN_S


class ExpiredIncarnation(NamedTuple):
    """An incarnation of a worker whose lease has certainly expired."""

    token_bump: int
    """The highest bump of the term's token that was sent to it. A message with a higher one comes
    from a restarted worker, whatever its incarnation."""
    incarnation: int

    def covers(self, version: HeartbeatVersion) -> bool:
        """Return whether a message of this version is of this incarnation or an earlier one."""
        return version.token_bump <= self.token_bump and version.incarnation <= self.incarnation


class MachineKind(NamedTuple):
    """The properties of a machine that determine which jobs may use it."""

    machine_type: str
    zone: Zone
    spot: bool


class Machine(ImageCache):
    """A machine, which may be booting, in use, silent or about to be released.

    `AssignmentTable` maintains the assignments and the free resources, `HeartbeatApplier` applies
    the worker's reports, and the leader's components set the flags for cordon, quarantine and
    release.
    """

    __slots__ = (
        "acknowledged_bump",
        "address",
        "assignments",
        "being_released",
        "cordoned",
        "cordoned_since",
        "ended_attempts",
        "expired",
        "failed_jobs",
        "free_cpus",
        "free_gpus",
        "free_memory_gb",
        "heard_at",
        "id",
        "idle_since",
        "last_reported",
        "lease_expires_by",
        "notice_received_at",
        "notice_s",
        "probe_requested",
        "process_bump",
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

    # Identity and type.
    id: MachineId
    zone: Zone
    spot: bool
    address: str
    """The address for direct messages to its worker; empty until a heartbeat contains one."""
    rented_at: MonotonicTime
    recorded: bool
    """Whether the store records that the machine has sent a heartbeat. A new leader then knows that
    the machine may hold tasks."""

    # Heartbeats and the worker's lease.
    version: HeartbeatVersion
    """The version of the newest message that was applied."""
    heard_at: MonotonicTime | None
    """When that message was applied; None if the machine sent none in this term."""
    expired: ExpiredIncarnation
    """The newest incarnation that has certainly ended: its messages are delayed and are ignored."""
    lease_expires_by: MonotonicTime | None
    """The latest time at which the worker's lease can expire; None if the lease has expired, or if
    this leader knows of no heartbeat that was answered."""
    notice_s: float | None
    """Seconds until the cloud reclaims the machine, as of the newest heartbeat; None without a
    reclaim notice."""
    notice_received_at: MonotonicTime
    """When a heartbeat first contained the reclaim notice."""

    # Acknowledgement of the leader's messages (safety argument 4 in docs/design.md).
    acknowledged_bump: int
    """The highest bump of this term's token that the worker has returned; `NO_BUMP` if none."""
    required_bump: int
    """The token bump that the worker has to return before it gets work, because only a returned
    token proves that the leader's responses reach the worker."""
    process_bump: int
    """The lowest bump that shows a message of the worker's present process, after a restart was
    seen. Messages with a lower one may come from an earlier process, and are ignored."""
    unacknowledged_since: MonotonicTime | None
    """Since when heartbeats have arrived without the required token bump; None if it is
    acknowledged."""
    token_bumps: int
    """How many times its token was bumped in this term."""
    token_bumped_at: MonotonicTime | None
    """When its token was last bumped to request an early heartbeat."""
    probe_requested: bool
    """Whether a heartbeat may come from a restarted worker: the answer to a direct message shows
    whether it does."""

    # Availability for new work.
    being_released: bool
    """Whether the release of the machine to the cloud is in progress."""
    cordoned: bool
    """Whether the machine gets no new work and is released once its tasks have ended."""
    cordoned_since: MonotonicTime
    quarantined: bool
    """Whether the machine gets no new work because tasks of several healthy jobs failed on it."""
    failed_jobs: set[JobId]
    """Jobs whose tasks failed on the machine since a task last finished there, except jobs that are
    known or likely to be the cause themselves."""
    relative_run_time: float
    """A moving average of the run times of tasks on this machine, relative to the mean run times of
    their jobs; 1 at first."""

    # Tasks and resources.
    assignments: dict[TaskId, Assignment]
    idle_since: MonotonicTime
    """When the last assignment was dropped, or when the leader added the machine if it had none."""
    free_cpus: float
    """CPUs that are not used by assignments, including planned ones. `free_gpus` and
    `free_memory_gb` are defined in the same way."""
    free_gpus: float
    free_memory_gb: float
    last_reported: dict[ReportedAttemptKey, ReportedTask]
    """The attempts in the newest message. The next message is compared with them, so that only
    changed attempts are processed."""
    ended_attempts: dict[ReportedAttemptKey, EndedAttempt]
    """Ended attempts that the worker still reports."""

    def __init__(
        self,
        machine_id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        now: MonotonicTime,
    ) -> None:
        super().__init__(machine_type)
        self.id = machine_id
        self.zone = zone
        self.spot = spot
        self.address = ""
        self.rented_at = now
        self.recorded = False

        self.version = NO_HEARTBEAT
        self.heard_at = None
        self.expired = ExpiredIncarnation(NO_BUMP, 0)
        self.lease_expires_by = None
        self.notice_s = None
        self.notice_received_at = now

        self.acknowledged_bump = NO_BUMP
        self.required_bump = 0
        self.process_bump = NO_BUMP
        self.unacknowledged_since = None
        self.token_bumps = 0
        self.token_bumped_at = None
        self.probe_requested = False

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

    @property
    def acknowledged_term(self) -> bool:
        """Whether the worker has returned a token of this term, so that it refuses older starts."""
        return self.acknowledged_bump > NO_BUMP

    @property
    def acknowledges(self) -> bool:
        """Whether the worker has acknowledged a message since the last message to it was lost."""
        return self.acknowledged_bump >= self.required_bump

    @property
    def kind(self) -> MachineKind:
        """The machine type, the zone and whether it is a spot machine."""
        return MachineKind(self.machine_type.name, self.zone, self.spot)

    def is_schedulable(self) -> bool:
        """Return whether new tasks may be planned for the machine."""
        return (
            self.acknowledges
            and self.recorded
            and not self.being_released
            and not self.cordoned
            and not self.quarantined
            and self.notice_s is None
        )

    def record_relative_run_time(self, job: Job, took_s: float) -> None:
        """Add a finished task to `relative_run_time`: its run time relative to its job's mean."""
        if job.mean_run_time_s:
            ratio = min(MAX_RELATIVE_RUN_TIME, took_s / job.mean_run_time_s)
            self.relative_run_time += RELATIVE_RUN_TIME_WEIGHT * (ratio - self.relative_run_time)

    def is_straggler(self) -> bool:
        """Return whether tasks take much longer on this machine than on others.

        Different machine types and random variation change run times by 10 to 20 %.
        """
        return self.relative_run_time > STRAGGLER_RELATIVE_RUN_TIME
