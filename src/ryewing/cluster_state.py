"""The leader's picture of the workers, who hold the truth.

Each message overwrites its worker's part if it is newer. What can't be known from messages is
kept as an assumption until it is settled: a start that was sent, a machine that is silent but
whose lease may run, and a machine known from the store that this leader has not heard yet.
"""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from collections.abc import Iterator

from .jobs import Job, JobTable
from .stops import Stops
from .units import (
    DRIFT,
    MAX_TOKEN_BUMPS,
    NEVER_HEARD,
    Attempt,
    JobId,
    MachineId,
    ReportVersion,
    Steady,
    TaskId,
    TeamName,
    Term,
    Token,
    Zone,
    parse_task,
    term_of,
    token_bumps_of,
    token_of,
)
from .wire import JobSpec, MachineType, Report, ReportedTask

log = logging.getLogger("ryewing.cluster_state")

PLANNED = "planned"
SENT = "sent"
FETCHING = "fetching"
GATHERING = "gathering"
RUNNING = "running"
SAVING = "saving"
ENDED = "ended"
LIVE_PHASES = frozenset((FETCHING, GATHERING, RUNNING, SAVING))
LEASE_MARGIN_S = 0.5
PACE_WEIGHT, PACE_MAX, SLOW_PACE = 0.2, 3.0, 1.4
FAILS_ANYWHERE = 3
"""A job that failed on so many machines is thought to fail on every one."""
BACKOFF_MIN_S, BACKOFF_MAX_S = 2.0, 60.0
"""How long a job that fails everywhere is left alone after its first probe, and at the most: below
the 90 s for which no job may wait beside room for it."""
RAN_WELL_S = 15.0
"""A replica that ran for so long did not fail at its start."""
KEPT_MAX = 64
AVOID_S = 75.0
"""How long a machine where a task failed gets none of the job's: below the 90 s for which no job
may wait beside room for it, since machines that fail tasks may recover."""
WARM, FETCHED_NOW, COLD = range(3)
SLOWDOWN_WEIGHT, SLOWDOWN_FROM_S, SHARED_SLOWDOWN = 0.05, 5.0, 1.2
"""How fast it is learned whether fetches at once share a machine's rate, from which length on (a
report tells of the end seconds late), and what says that they do: full sharing doubles them."""


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
        phase: str,
        now: Steady,
    ) -> None:
        self.machine = machine
        self.task = task
        self.attempt = attempt
        self.job = job
        self.phase = phase
        self.planned_at = now
        self.sent_after: ReportVersion | None = None
        """The report whose response carried the start; a later report settles it."""
        self.running_since: Steady | None = None
        self.start_observed = False
        """Its run was seen to begin; a task found running after a take-over was not."""


def ran_well(assignment: Assignment, now: Steady) -> bool:
    """Tell whether a task ran for a while; of a replica that was found running nothing else is
    known."""
    if assignment.running_since is None:
        return False
    found_serving = (
        not assignment.start_observed and assignment.job is not None and assignment.job.endless
    )
    return found_serving or now - assignment.running_since >= RAN_WELL_S


class EndedAttempt:
    """An ended attempt that the worker reports until it is cleared."""

    __slots__ = ("attempt", "done", "task")

    def __init__(self, task: TaskId, attempt: Attempt, done: bool) -> None:
        self.task = task
        self.attempt = attempt
        self.done = done


class ImageFetch:
    """An image on its way to a machine, as its tasks show it."""

    __slots__ = ("alone", "began")

    def __init__(self, began: Steady, alone: bool) -> None:
        self.began = began
        self.alone = alone
        """No other image was fetched there meanwhile."""


class Machine:
    """One machine as far as it is known."""

    __slots__ = (
        "acknowledged",
        "address",
        "assignments",
        "cpus",
        "ended",
        "expired_session",
        "faults",
        "fetches",
        "gpus",
        "heard_at",
        "id",
        "idle_since",
        "images",
        "images_in_use",
        "last_reported",
        "leaving",
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
        "retiring",
        "retiring_since",
        "spot",
        "token_bumped_at",
        "token_bumps",
        "unacknowledged_since",
        "version",
        "zone",
    )

    def __init__(
        self, name: MachineId, machine_type: MachineType, zone: Zone, spot: bool, now: Steady
    ) -> None:
        self.id = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        self.version = NEVER_HEARD
        self.expired_session = 0
        """The newest session that is surely over: what is said of it is an old copy."""
        self.acknowledged = -1
        """The highest nudge of our term that its messages have shown; -1: nothing of our term."""
        self.required_acknowledgement = 0
        """The nudge that it has to show before it gets work: that our answers reach it is seen by
        nothing else."""
        self.unacknowledged_since: Steady | None = None
        """Since when its messages come although it doesn't hear ours."""
        self.recorded = False
        """The store holds the machine, so that a successor knows that it may have tasks."""
        self.heard_at: Steady | None = None
        self.may_hold_until: Steady | None = None
        """Until then its lease may run. None: the worker was never answered by anybody."""
        self.rented_at = now
        self.idle_since = now
        self.notice_s: float | None = None
        self.noticed_at = now
        self.pace = 1.0
        """How long tasks take here, as against the same jobs' tasks elsewhere."""
        self.token_bumps = 0
        self.token_bumped_at: Steady | None = None
        self.leaving = False
        self.retiring = False
        """No more work is wanted here: it is returned once what runs has ended."""
        self.retiring_since = now
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
        """Jobs that failed here since a task last finished, and that may be sound themselves."""
        self.cpus = machine_type.cpus
        self.gpus = machine_type.gpus
        self.memory_gb = machine_type.memory_gb

    @property
    def handshaken(self) -> bool:
        """Tell whether a message with our term's token came: it refuses older starts since."""
        return self.acknowledged >= 0

    @property
    def acknowledges(self) -> bool:
        """Tell whether it was seen to hear us, since there was last reason to doubt it."""
        return self.acknowledged >= self.required_acknowledgement

    def usable(self) -> bool:
        """Tell whether new tasks may be planned for it."""
        return (
            self.acknowledges
            and self.recorded
            and not self.leaving
            and not self.retiring
            and not self.quarantined
            and self.notice_s is None
        )

    def record_pace(self, job: Job, took_s: float) -> None:
        """Compare a finished task with what its job's tasks were seen to take so far."""
        if job.run_seen_s:
            ratio = min(PACE_MAX, took_s / job.run_seen_s)
            self.pace += PACE_WEIGHT * (ratio - self.pace)

    def record_fetch(self, spec: JobSpec, fetching: bool, now: Steady) -> float | None:
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

    def record_image(self, image: str, size_gb: float) -> None:
        """A task of this image ran here: the image is cached, the least used ones may go."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.machine_type.cache_gb:
            self.images.popitem(last=False)


class ClusterState:
    """All machines, with what their tasks take of teams' limits."""

    def __init__(self, term: Term, lease_s: float, job_table: JobTable, stops: Stops) -> None:
        self.term = term
        self.job_table = job_table
        self.stops = stops
        self.machines: dict[MachineId, Machine] = {}
        self.fetch_slowdown = 1.0
        """How much longer fetches beside others took than alone, as learned."""
        self._planned: set[Assignment] = set()
        """Planned lately; those sent since are left out when it is looked through."""
        self.team_cpus: dict[TeamName, float] = {}
        self.team_gpus: dict[TeamName, float] = {}
        self._lease_s = lease_s * (1 + DRIFT) + LEASE_MARGIN_S

    def fetches_share(self) -> bool:
        """Tell whether images fetched at once seem to share a machine's rate."""
        return self.fetch_slowdown > SHARED_SLOWDOWN

    def token(self, machine: Machine) -> Token:
        """Give the token for any message to this machine: the highest one sent to it so far."""
        return token_of(self.term, machine.token_bumps)

    # -- holds ------------------------------------------------------------------------------

    def assign(
        self, machine: Machine, task: TaskId, attempt: Attempt, phase: str, now: Steady
    ) -> Assignment:
        """Put a task attempt on a machine."""
        job = self.job_table.get(task.job)
        if job is not None and not 0 <= task.number < job.spec.task_count:
            job = None
        assignment = Assignment(machine, task, attempt, job, phase, now)
        machine.assignments[task] = assignment
        if phase == PLANNED:
            self._planned.add(assignment)
        if job is not None:
            spec = job.spec
            machine.cpus -= spec.cpus
            machine.gpus -= spec.gpus
            machine.memory_gb -= spec.memory_gb
            machine.images_in_use[spec.image] += 1
            team = TeamName(spec.team)
            self.team_cpus[team] = self.team_cpus.get(team, 0.0) + spec.cpus
            self.team_gpus[team] = self.team_gpus.get(team, 0.0) + spec.gpus
            other = job.live.get(task.number)
            if other is not None and other != machine.id:
                # An old report, held back until a new leader began, tells of where the task was.
                # Which one is old shows later: until then it is on both, and gone once it is gone
                # from both. Found by a table: the old one went, and the task was started again.
                log.error("task=%s event=seen-twice machine=%s other=%s", task, machine.id, other)
                job.duplicates.setdefault(task.number, set()).add(other)
            job.live[task.number] = machine.id
            job.zones[machine.zone] += 1
            if phase == RUNNING:
                job.running += 1
                assignment.running_since = now
            self.job_table.touch(job)
        return assignment

    def drop(self, assignment: Assignment, now: Steady, finished: bool = False) -> None:
        """Take a task attempt off its machine."""
        machine = assignment.machine
        del machine.assignments[assignment.task]
        self._planned.discard(assignment)
        if not machine.assignments:
            machine.idle_since = now
        self.stops.gone(machine.id, assignment.task, assignment.attempt)
        job = assignment.job
        if job is None:
            return
        spec = job.spec
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        machine.images_in_use[spec.image] -= 1
        team = TeamName(spec.team)
        self.team_cpus[team] -= spec.cpus
        self.team_gpus[team] -= spec.gpus
        job.zones[machine.zone] -= 1
        if assignment.phase == RUNNING:
            job.running -= 1
        self._unassign(job, assignment.task.number, machine.id, finished)
        self.job_table.touch(job)

    def _unassign(self, job: Job, number: int, name: MachineId, finished: bool) -> None:
        """Note that a task is not on a machine any more."""
        others = job.duplicates.get(number)
        if others is not None:
            if job.live.get(number) == name:
                job.live[number] = others.pop()
            others.discard(name)
            if not others:
                del job.duplicates[number]
        elif job.live.get(number) == name:
            del job.live[number]
            if not finished:
                job.hand_back(number)

    def _set_phase(self, assignment: Assignment, phase: str, now: Steady) -> None:
        if assignment.phase == phase:
            return
        job = assignment.job
        if job is not None:
            if assignment.phase == RUNNING:
                job.running -= 1
            if phase == RUNNING:
                job.running += 1
        if phase == RUNNING and assignment.running_since is None:
            assignment.running_since = now
            assignment.start_observed = True
        assignment.phase = phase

    def assignments_of(self, job: Job) -> list[Assignment]:
        """List a job's task attempts, on whatever machines they are."""
        found = []
        also = [(index, name) for index, names in job.duplicates.items() for name in names]
        for index, name in (*job.live.items(), *also):
            machine = self.machines.get(name)
            assignment = (
                machine.assignments.get(TaskId(job.id, index)) if machine is not None else None
            )
            if assignment is not None:
                found.append(assignment)
        return found

    # -- machines ---------------------------------------------------------------------------

    def add(
        self, name: MachineId, machine_type: MachineType, zone: Zone, spot: bool, now: Steady
    ) -> Machine:
        """Take up a machine, or return it if it is known."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, machine_type, zone, spot, now)
            self.machines[name] = machine
        return machine

    def images(self) -> tuple[list[tuple[str, float]], dict[str, list[int]]]:
        """List the images known to be anywhere, and for each machine which of them it has."""
        places: dict[str, int] = {}
        images: list[tuple[str, float]] = []
        machines: dict[str, list[int]] = {}
        for machine in self.machines.values():
            for name, size_gb in machine.images.items():
                if name not in places:
                    places[name] = len(images)
                    images.append((name, size_gb))
            if machine.images:
                machines[machine.id] = [places[name] for name in machine.images]
        return images, machines

    def restore_images(
        self, images: list[tuple[str, float]], machines: dict[str, list[int]]
    ) -> None:
        """Take up what an earlier leader knew; machines that aren't known any more are left out."""
        for name, places in machines.items():
            machine = self.machines.get(MachineId(name))
            for place in places if machine is not None else ():
                if machine is not None and 0 <= place < len(images):
                    machine.record_image(*images[place])

    def remove(self, machine: Machine, now: Steady) -> None:
        """The machine is certainly gone, and everything on it."""
        self.drop_all(machine, now)
        self.stops.machine_gone(machine.id)
        self.machines.pop(machine.id, None)

    def drop_all(self, machine: Machine, now: Steady) -> None:
        """Nothing that was on the machine is there any more."""
        for assignment in list(machine.assignments.values()):
            self.drop(assignment, now)
        machine.ended.clear()
        machine.last_reported.clear()

    def answered(self, machine: Machine, now: Steady) -> None:
        """We are about to answer 200: its lease may run from now on."""
        until = Steady(now + self._lease_s)
        if machine.may_hold_until is None or until > machine.may_hold_until:
            machine.may_hold_until = until

    def unheard(self) -> Iterator[Machine]:
        """Machines that may hold tasks of which this leader can't know."""
        for machine in self.machines.values():
            if machine.recorded and not machine.handshaken and machine.may_hold_until is not None:
                yield machine

    def expire(self, now: Steady) -> list[Machine]:
        """Drop what was on machines whose lease has surely ended; name those machines."""
        ended = []
        for machine in self.machines.values():
            if machine.may_hold_until is not None and now >= machine.may_hold_until:
                machine.may_hold_until = None
                machine.expired_session = machine.version.session
                self.drop_all(machine, now)
                ended.append(machine)
        return ended

    def drop_stale_plans(self, now: Steady, patience_s: float) -> None:
        """Give up plans whose machine did not come to fetch them: nothing was sent."""
        for assignment in list(self._planned):
            if assignment.phase != PLANNED:
                self._planned.discard(assignment)
            elif now - assignment.planned_at > patience_s:
                self.drop(assignment, now)

    # -- messages ---------------------------------------------------------------------------

    def apply_report(self, machine: Machine, report: Report, now: Steady, as_report: bool) -> bool:
        """Take in a worker's message; False if a newer one was there before.

        `as_report`: a report proper, which the worker sends only after it has executed or
        dropped our last response; so it settles assumed starts. The body of `/orders` may have
        overtaken a response, and settles nothing.
        """
        version = ReportVersion(report.session, report.sequence)
        if term_of(report.token) == self.term:
            # A reading of the token: true whatever the order in which messages come.
            machine.acknowledged = max(machine.acknowledged, token_bumps_of(report.token))
            machine.token_bumps = max(machine.token_bumps, machine.acknowledged)
        if version <= machine.version or report.session <= machine.expired_session:
            return False
        if report.session > machine.version.session and machine.version != NEVER_HEARD:
            # A new session: the worker has killed and forgotten everything, and it drops
            # responses to reports of the earlier one.
            for assignment in list(machine.assignments.values()):
                if assignment.phase != PLANNED:
                    self.drop(assignment, now)
            self.require_acknowledgement(machine, "new-session", now)
            machine.last_reported.clear()
            machine.ended.clear()
        machine.version = version
        machine.heard_at = now
        if report.address:
            machine.address = report.address
        if report.notice_s is not None and machine.notice_s is None:
            machine.noticed_at = now
        machine.notice_s = report.notice_s
        self._apply_tasks(machine, report, now)
        for assignment in [h for h in machine.assignments.values() if h.phase == SENT]:
            # Not shown, or it would have another phase. Settled by a later report only.
            if as_report and assignment.sent_after is not None and version > assignment.sent_after:
                self.drop(assignment, now)
                self.require_acknowledgement(machine, "start-lost", now)
        if machine.acknowledges:
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        return True

    def require_acknowledgement(self, machine: Machine, why: str, now: Steady) -> None:
        """Something we told a worker has not reached it: no more work until it shows a new token.

        Where reports arrive and answers don't, a machine was refilled after each report.
        """
        if machine.acknowledges and machine.token_bumps < MAX_TOKEN_BUMPS:
            machine.token_bumps += 1
            machine.required_acknowledgement = machine.token_bumps
            log.info("event=doubted machine=%s why=%s", machine.id, why)
            for assignment in [h for h in machine.assignments.values() if h.phase == PLANNED]:
                self.drop(assignment, now)

    def restarted(self, machine: Machine, now: Steady) -> None:
        """Its worker began anew: it has forgotten its sessions, its token and its tasks.

        Told by a direct answer that is older than a message which had come before it was asked.
        """
        log.info("event=worker-restarted machine=%s", machine.id)
        self.drop_all(machine, now)
        machine.version = NEVER_HEARD
        machine.expired_session = 0
        machine.acknowledged = -1
        machine.required_acknowledgement = 0

    def _apply_tasks(self, machine: Machine, report: Report, now: Steady) -> None:
        """Take in the attempts shown, with work in proportion to what differs from before."""
        before, shown = machine.last_reported, {}
        news: list[ReportedTask] = []
        for reported in report.tasks:
            key = (reported.task_id, reported.attempt)
            shown[key] = reported
            if before.get(key) != reported:
                news.append(reported)
        machine.last_reported = shown
        # What is gone goes first: an attempt may have come in another's place.
        gone = before.keys() - shown.keys() if len(before) + len(news) > len(shown) else ()
        for key in gone:
            machine.ended.pop(key, None)
            if before[key].status != ENDED:
                task = parse_task(key[0])
                assignment = machine.assignments.get(task) if task is not None else None
                if assignment is not None and assignment.attempt == key[1]:
                    self.drop(assignment, now)
        for reported in news:
            task = parse_task(reported.task_id)
            if task is None:
                continue
            if reported.status == ENDED:
                self._apply_ended(machine, task, reported, now)
            elif reported.status in LIVE_PHASES:
                self._apply_live(machine, task, reported, now)

    def _apply_live(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: Steady
    ) -> None:
        assignment = machine.assignments.get(task)
        attempt = Attempt(reported.attempt)
        if assignment is not None and assignment.attempt != attempt:
            if assignment.phase == SENT:
                # The worker refuses our start while the other attempt is there (`in_use`).
                # Keep the room counted once, under what is really there.
                log.warning("task=%s machine=%s event=other-attempt", task, machine.id)
            self.drop(assignment, now)
            assignment = None
        if assignment is None:
            assignment = self.assign(machine, task, attempt, reported.status, now)
        else:
            self._set_phase(assignment, reported.status, now)
        if assignment.job is not None:
            spec = assignment.job.spec
            slowdown = machine.record_fetch(spec, reported.status == FETCHING, now)
            if slowdown is not None:
                self.fetch_slowdown += SLOWDOWN_WEIGHT * (slowdown - self.fetch_slowdown)
            if reported.status != FETCHING:
                machine.record_image(spec.image, spec.image_gb)

    def _apply_ended(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: Steady
    ) -> None:
        attempt = Attempt(reported.attempt)
        job = self.job_table.get(task.job)
        # A replica that exits has to run again, whatever its cause.
        done = reported.cause == "done" and (job is None or not job.endless)
        machine.ended[reported.task_id, reported.attempt] = EndedAttempt(task, attempt, done)
        assignment = machine.assignments.get(task)
        known = assignment is not None and assignment.attempt == attempt
        well = known and assignment is not None and ran_well(assignment, now)
        if assignment is not None and known:
            if (
                done
                and job is not None
                and assignment.running_since is not None
                and assignment.start_observed
            ):
                machine.record_pace(job, now - assignment.running_since)
                self.job_table.took(job, now - assignment.running_since)
            self.drop(assignment, now, finished=done)
        if job is None:
            return
        if done:
            machine.faults.clear()
            job.failed_on.pop(machine.id, None)
            if not job.cancelled:
                job.finish(task.number)
                job.backoff_s = 0.0
            self.job_table.touch(job)
        elif assignment is None or not known:
            return
        elif job.endless and reported.cause in ("done", "error"):
            self._replica_ended(machine, job, reported.cause, well, assignment.planned_at, now)
        else:
            self._failed(machine, job, reported.cause or "", assignment.planned_at, now)

    def _replica_ended(
        self, machine: Machine, job: Job, cause: str, well: bool, planned_at: Steady, now: Steady
    ) -> None:
        """Judge the end of a replica: one that ran well for a while runs again at once, anywhere.

        None ever finishes, so that a job has finished nothing says nothing here: a good service was
        thought faulty for a few bad machines. Its replicas that run well elsewhere count instead.
        """
        log.warning(
            "job=%s machine=%s event=replica-ended cause=%s well=%s",
            job.id,
            machine.id,
            cause,
            well,
        )
        if cause == "done":
            # The worker keeps the result: started there again it would end at once.
            if len(job.result_kept_by) >= KEPT_MAX:
                job.result_kept_by.clear()
            job.result_kept_by.add(machine.id)
        if well:
            return
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, planned_at, now)
            return
        if cause == "error":
            machine.faults.add(job.id)
        lately = {name for name, at in job.failed_on.items() if now - at < AVOID_S}
        elsewhere = set(job.live.values()) - lately
        if len(lately) >= max(FAILS_ANYWHERE, len(elsewhere) + 1) and not self.serves(job, now):
            self._back_off(job, now)

    def serves(self, job: Job, now: Steady) -> bool:
        """Tell whether a task of the job runs well, and has for a while."""
        return any(
            assignment.phase == RUNNING and ran_well(assignment, now)
            for assignment in self.assignments_of(job)
        )

    def _back_off(self, job: Job, now: Steady) -> None:
        """The job is at fault, not the machines that it failed on: back off, longer each time."""
        self.clear_faults(job)
        job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, job.backoff_s * 2))
        job.backoff_until = Steady(now + job.backoff_s)
        if not job.gang:
            for assignment in self.assignments_of(job):
                if assignment.phase == PLANNED:
                    self.drop(assignment, now)  # nothing was sent: it need not fail as well
        log.warning(
            "job=%s event=backed-off for_s=%g machines=%d",
            job.id,
            job.backoff_s,
            len(job.failed_on),
        )

    def clear_faults(self, job: Job) -> None:
        """Hold a job's failures against no machine: the job is known or likely to be at fault."""
        for name in job.failed_on:
            machine = self.machines.get(name)
            if machine is not None:
                machine.faults.discard(job.id)

    def is_sound(self, job_id: JobId, now: Steady) -> bool:
        """Tell whether a job's failures say something about machines.

        It succeeded elsewhere, or failed on a single one. A job that is not live any more was
        completed, or else its failures were forgiven.
        """
        job = self.job_table.get(job_id)
        if job is None or job.done_count:
            return True
        return not job.backoff_s and (len(job.failed_on) == 1 or self.serves(job, now))

    def recovered(self, job: Job, now: Steady) -> bool:
        """See whether a job that backed off runs well after all; if so, take the delay back."""
        well = [h for h in self.assignments_of(job) if h.phase == RUNNING and ran_well(h, now)]
        if not well:
            return False
        job.backoff_s = 0.0
        if job.endless:
            job.failed_on.clear()
        for assignment in well:
            job.failed_on.pop(assignment.machine.id, None)
        return True

    def probing(self, job: Job) -> bool:
        """Tell whether a task placed since the job last backed off has yet to show how it ends."""
        return any(
            assignment.planned_at >= job.backoff_until for assignment in self.assignments_of(job)
        )

    def _probe_failed(self, job: Job, planned_at: Steady, now: Steady) -> None:
        """A task of a job that backs off has failed too: one step for each probe.

        Found in a replay: each of the tasks placed before the first backoff doubled it, so that it
        stood at its maximum within half a second, and each was held against its machine anew.
        """
        if planned_at >= job.backoff_until:
            self._back_off(job, now)

    def _failed(
        self, machine: Machine, job: Job, cause: str, planned_at: Steady, now: Steady
    ) -> None:
        """Judge a failure: by the job if it fails on several machines, else by the machine."""
        if cause in ("no_room", "in_use", "unknown"):
            # The worker knows better than our sums, or the job's description is not there yet:
            # look again after its next reports instead of at once.
            job.backoff_until = Steady(max(job.backoff_until, now + 1.0))
            log.warning("job=%s machine=%s event=refused cause=%s", job.id, machine.id, cause)
            return
        if cause != "error":
            return
        if machine.id not in job.failed_on and not job.backoff_s:
            log.warning("job=%s machine=%s event=task-failed", job.id, machine.id)
        job.failed_on[machine.id] = now
        if job.backoff_s:
            self._probe_failed(job, planned_at, now)
            return
        machine.faults.add(job.id)
        if job.done_count or len(job.failed_on) < FAILS_ANYWHERE:
            return
        elsewhere = {
            assignment.machine.id
            for assignment in self.assignments_of(job)
            if assignment.phase == RUNNING
        } - job.failed_on.keys()
        if len(job.failed_on) > len(elsewhere):
            # Not so if it finished tasks or runs on more machines than it failed on: among
            # hundreds, a large array meets several faulty ones at once, and each of them was
            # cleared of its fault by that.
            self._back_off(job, now)
