"""The leader's view of the workers, who hold the truth.

Each message overwrites its worker's part if it is newer. What can't be known from messages is
kept as an assumption until it is settled: a start that was sent, a machine that is silent but
whose lease may run, and a machine known from the store that this leader has not heard yet.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

from ryewing.state.failure_detector import FailureDetector
from ryewing.state.job_table import JobTable
from ryewing.state.jobs import Job
from ryewing.state.machine import (
    LIVE_PHASES,
    Assignment,
    EndedAttempt,
    Machine,
    TaskPhase,
    ran_for_a_while,
)
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import (
    DRIFT,
    MAX_TOKEN_BUMPS,
    NEVER_HEARD,
    Attempt,
    FencingToken,
    HeartbeatVersion,
    MachineId,
    MonotonicTime,
    TaskId,
    TeamName,
    TermNumber,
    Zone,
    bumps_of_token,
    fencing_token,
    parse_task,
    term_of_token,
)
from ryewing.wire.cloud import MachineType
from ryewing.wire.workers import Heartbeat, ReportedTask

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5
"""How much longer than its lease a worker is thought to hold its tasks."""
SLOWDOWN_WEIGHT = 0.05
"""How much one fetch counts for whether fetches at once share a machine's rate."""
SHARED_SLOWDOWN = 1.2
"""From which on they are thought to share it; full sharing doubles what two fetches take."""


class ClusterState:
    """All machines, with what their tasks take of teams' limits."""

    def __init__(
        self,
        term: TermNumber,
        lease_s: float,
        job_table: JobTable,
        terminations: PendingTerminations,
    ) -> None:
        self.term = term
        self.job_table = job_table
        self.terminations = terminations
        self.failure_detector = FailureDetector(self)
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

    def token(self, machine: Machine) -> FencingToken:
        """Give the token for any message to this machine: the highest one sent to it so far."""
        return fencing_token(self.term, machine.token_bumps)

    # -- holds ------------------------------------------------------------------------------

    def assign(
        self, machine: Machine, task: TaskId, attempt: Attempt, phase: TaskPhase, now: MonotonicTime
    ) -> Assignment:
        """Put a task attempt on a machine."""
        job = self.job_table.get(task.job)
        if job is not None and not 0 <= task.number < job.spec.task_count:
            job = None
        assignment = Assignment(machine, task, attempt, job, phase, now)
        machine.assignments[task] = assignment
        if phase == TaskPhase.PLANNED:
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
                # An old heartbeat, held back until a new leader began, tells of where the task was.
                # Which one is old shows later: until then it is on both, and gone once it is gone
                # from both. Found by a table: the old one went, and the task was started again.
                log.error(
                    "task=%s event=task-on-two-machines machine=%s other=%s",
                    task,
                    machine.id,
                    other,
                )
                job.duplicates.setdefault(task.number, set()).add(other)
            job.live[task.number] = machine.id
            job.zones[machine.zone] += 1
            if phase == TaskPhase.RUNNING:
                job.running += 1
                assignment.running_since = now
            self.job_table.touch(job)
        return assignment

    def drop(self, assignment: Assignment, now: MonotonicTime, finished: bool = False) -> None:
        """Take a task attempt off its machine."""
        machine = assignment.machine
        del machine.assignments[assignment.task]
        self._planned.discard(assignment)
        if not machine.assignments:
            machine.idle_since = now
        self.terminations.gone(machine.id, assignment.task, assignment.attempt)
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
        if assignment.phase == TaskPhase.RUNNING:
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

    def _set_phase(self, assignment: Assignment, phase: TaskPhase, now: MonotonicTime) -> None:
        if assignment.phase == phase:
            return
        job = assignment.job
        if job is not None:
            if assignment.phase == TaskPhase.RUNNING:
                job.running -= 1
            if phase == TaskPhase.RUNNING:
                job.running += 1
        if phase == TaskPhase.RUNNING and assignment.running_since is None:
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
        self, name: MachineId, machine_type: MachineType, zone: Zone, spot: bool, now: MonotonicTime
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

    def remove(self, machine: Machine, now: MonotonicTime) -> None:
        """The machine is certainly gone, and everything on it."""
        self.drop_all(machine, now)
        self.terminations.machine_gone(machine.id)
        self.machines.pop(machine.id, None)

    def drop_all(self, machine: Machine, now: MonotonicTime) -> None:
        """Nothing that was on the machine is there any more."""
        for assignment in list(machine.assignments.values()):
            self.drop(assignment, now)
        machine.ended.clear()
        machine.last_reported.clear()

    def answered(self, machine: Machine, now: MonotonicTime) -> None:
        """We are about to answer 200: its lease may run from now on."""
        until = MonotonicTime(now + self._lease_s)
        if machine.may_hold_until is None or until > machine.may_hold_until:
            machine.may_hold_until = until

    def unreconciled(self) -> Iterator[Machine]:
        """Machines that may hold tasks of which this leader can't know."""
        for machine in self.machines.values():
            if machine.recorded and not machine.handshaken and machine.may_hold_until is not None:
                yield machine

    def expire(self, now: MonotonicTime) -> list[Machine]:
        """Drop what was on machines whose lease has surely ended; name those machines."""
        ended = []
        for machine in self.machines.values():
            if machine.may_hold_until is not None and now >= machine.may_hold_until:
                machine.may_hold_until = None
                machine.expired_incarnation = machine.version.incarnation
                self.drop_all(machine, now)
                ended.append(machine)
        return ended

    def drop_stale_plans(self, now: MonotonicTime, patience_s: float) -> None:
        """Give up plans whose machine did not come to fetch them: nothing was sent."""
        for assignment in list(self._planned):
            if assignment.phase != TaskPhase.PLANNED:
                self._planned.discard(assignment)
            elif now - assignment.planned_at > patience_s:
                self.drop(assignment, now)

    # -- messages ---------------------------------------------------------------------------

    def apply_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime, is_heartbeat: bool
    ) -> bool:
        """Take in a worker's message; False if a newer one was there before.

        `is_heartbeat`: a heartbeat proper, which the worker sends only after it has executed or
        dropped our last response; so it settles assumed starts. The body of `/orders` may have
        overtaken a response, and settles nothing.
        """
        version = HeartbeatVersion(heartbeat.incarnation, heartbeat.sequence)
        if term_of_token(heartbeat.token) == self.term:
            # A reading of the token: true whatever the order in which messages come.
            machine.acknowledged = max(machine.acknowledged, bumps_of_token(heartbeat.token))
            machine.token_bumps = max(machine.token_bumps, machine.acknowledged)
        if version <= machine.version or heartbeat.incarnation <= machine.expired_incarnation:
            return False
        if heartbeat.incarnation > machine.version.incarnation and machine.version != NEVER_HEARD:
            self._begin_incarnation(machine, now)
        machine.version = version
        machine.heard_at = now
        if heartbeat.address:
            machine.address = heartbeat.address
        if heartbeat.notice_s is not None and machine.notice_s is None:
            machine.noticed_at = now
        machine.notice_s = heartbeat.notice_s
        self._apply_tasks(machine, heartbeat, now)
        if is_heartbeat:
            self._settle_starts(machine, now)
        if machine.acknowledges:
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        return True

    def _begin_incarnation(self, machine: Machine, now: MonotonicTime) -> None:
        """The worker has killed and forgotten everything, and it drops responses to heartbeats of
        the earlier incarnation."""
        for assignment in list(machine.assignments.values()):
            if assignment.phase != TaskPhase.PLANNED:
                self.drop(assignment, now)
        self.require_acknowledgement(machine, "new-incarnation", now)
        machine.last_reported.clear()
        machine.ended.clear()

    def _settle_starts(self, machine: Machine, now: MonotonicTime) -> None:
        """Drop starts that a later heartbeat does not show: shown, they would have another
        phase."""
        for assignment in [a for a in machine.assignments.values() if a.phase == TaskPhase.SENT]:
            if assignment.sent_after is not None and machine.version > assignment.sent_after:
                self.drop(assignment, now)
                self.require_acknowledgement(machine, "start-lost", now)

    def require_acknowledgement(self, machine: Machine, reason: str, now: MonotonicTime) -> None:
        """Something we told a worker has not reached it: no more work until it shows a new token.

        Where heartbeats arrive and answers don't, a machine was refilled after each heartbeat.
        """
        if machine.acknowledges and machine.token_bumps < MAX_TOKEN_BUMPS:
            machine.token_bumps += 1
            machine.required_acknowledgement = machine.token_bumps
            log.info("event=worker-suspected machine=%s reason=%s", machine.id, reason)
            for assignment in list(machine.assignments.values()):
                if assignment.phase == TaskPhase.PLANNED:
                    self.drop(assignment, now)

    def restarted(self, machine: Machine, now: MonotonicTime) -> None:
        """Its worker began anew: it has forgotten its incarnations, its token and its tasks.

        Told by a direct answer that is older than a message which had come before it was asked.
        """
        log.info("event=worker-restarted machine=%s", machine.id)
        self.drop_all(machine, now)
        machine.version = NEVER_HEARD
        machine.expired_incarnation = 0
        machine.acknowledged = -1
        machine.required_acknowledgement = 0

    def _apply_tasks(self, machine: Machine, heartbeat: Heartbeat, now: MonotonicTime) -> None:
        """Take in the attempts shown, with work in proportion to what differs from before."""
        before, shown = machine.last_reported, {}
        news: list[ReportedTask] = []
        for reported in heartbeat.tasks:
            key = (reported.task_id, reported.attempt)
            shown[key] = reported
            if before.get(key) != reported:
                news.append(reported)
        machine.last_reported = shown
        # What is gone goes first: an attempt may have come in another's place.
        gone = before.keys() - shown.keys() if len(before) + len(news) > len(shown) else ()
        for key in gone:
            machine.ended.pop(key, None)
            if before[key].status != TaskPhase.ENDED:
                task = parse_task(key[0])
                assignment = machine.assignments.get(task) if task is not None else None
                if assignment is not None and assignment.attempt == key[1]:
                    self.drop(assignment, now)
        for reported in news:
            task = parse_task(reported.task_id)
            if task is None:
                continue
            if reported.status == TaskPhase.ENDED:
                self._apply_ended(machine, task, reported, now)
            elif reported.status in LIVE_PHASES:
                self._apply_live(machine, task, reported, now)

    def _apply_live(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        assignment = machine.assignments.get(task)
        attempt = Attempt(reported.attempt)
        phase = TaskPhase(reported.status)
        if assignment is not None and assignment.attempt != attempt:
            if assignment.phase == TaskPhase.SENT:
                # The worker refuses our start while the other attempt is there (`in_use`).
                # Keep the room counted once, under what is really there.
                log.warning("task=%s machine=%s event=unexpected-attempt", task, machine.id)
            self.drop(assignment, now)
            assignment = None
        if assignment is None:
            assignment = self.assign(machine, task, attempt, phase, now)
        else:
            self._set_phase(assignment, phase, now)
        if assignment.job is not None:
            spec = assignment.job.spec
            slowdown = machine.record_fetch(spec, phase == TaskPhase.FETCHING, now)
            if slowdown is not None:
                self.fetch_slowdown += SLOWDOWN_WEIGHT * (slowdown - self.fetch_slowdown)
            if phase != TaskPhase.FETCHING:
                machine.record_image(spec.image, spec.image_gb)

    def _apply_ended(
        self, machine: Machine, task: TaskId, reported: ReportedTask, now: MonotonicTime
    ) -> None:
        attempt = Attempt(reported.attempt)
        job = self.job_table.get(task.job)
        # A replica that exits has to run again, whatever its cause.
        done = reported.cause == "done" and (job is None or not job.is_service)
        machine.ended[reported.task_id, reported.attempt] = EndedAttempt(task, attempt, done)
        assignment = machine.assignments.get(task)
        known = assignment is not None and assignment.attempt == attempt
        well = known and assignment is not None and ran_for_a_while(assignment, now)
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
        elif job.is_service and reported.cause in ("done", "error"):
            self.failure_detector.replica_ended(
                machine, job, reported.cause, well, assignment.planned_at, now
            )
        else:
            self.failure_detector.task_failed(
                machine, job, reported.cause or "", assignment.planned_at, now
            )
