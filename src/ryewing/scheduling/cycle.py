"""One scheduling cycle: the jobs' turns, and what each job gets in its turn."""

from __future__ import annotations

from collections.abc import Sequence

from ryewing.scheduling.candidates import Candidates
from ryewing.scheduling.cycle_state import CycleState, delays_reservation
from ryewing.scheduling.image_survey import LONG_FETCH_S
from ryewing.scheduling.plan import Plan, Unplaced
from ryewing.scheduling.replicas import ReplicaPlacer
from ryewing.scheduling.reservation import reserve
from ryewing.scheduling.snapshot import SchedulingSnapshot
from ryewing.scheduling.tasks import TaskPlacer
from ryewing.state.jobs import Job
from ryewing.state.machine import Assignment

BEGIN_SHARE = 0.1
"""The share of an overdue array that goes before all other jobs."""


def run_cycle(
    snapshot: SchedulingSnapshot,
    jobs: Sequence[Job],
    overdue: Sequence[Job] = (),
    moving: Sequence[Assignment] = (),
) -> Plan:
    """Run one scheduling cycle over the jobs with a shortfall, in the order given.

    `overdue`: the jobs that have waited too long to begin; they go first. `moving`: replicas that
    should run elsewhere. The snapshot is used up: room is claimed from its capacities and quota.
    """
    return _Cycle(snapshot, jobs).run(jobs, overdue, moving)


class _Cycle:
    """The parts of one cycle, for one run."""

    def __init__(self, snapshot: SchedulingSnapshot, jobs: Sequence[Job]) -> None:
        self._snapshot = snapshot
        self._state = CycleState(snapshot, jobs)
        self._tasks = TaskPlacer(self._state)
        self._replicas = ReplicaPlacer(self._state, self._tasks)
        self._kept_waiting: list[Job] = []
        """Jobs that may have been kept waiting for warm machines."""

    def run(
        self, jobs: Sequence[Job], overdue: Sequence[Job], moving: Sequence[Assignment]
    ) -> Plan:
        """Give each job its turn; return the plan."""
        self._place_overdue(overdue)
        had_turn = set(overdue)
        rest = [job for job in jobs if job not in had_turn]
        for job in rest:
            if job.is_service:
                self._place(job)
        for assignment in moving:
            self._replicas.move(assignment)
        for job in rest:
            if not job.is_service:
                self._place(job)
        self._state.all_had_turn = True
        for job in self._kept_waiting:
            self._fetch_on_leftover_room(job)
        return self._state.plan

    # -- turns --------------------------------------------------------------------------------

    def _place_overdue(self, overdue: Sequence[Job]) -> None:
        """Let jobs begin that have waited too long.

        An array has begun when a part of it runs; the rest comes by the order. A gang begins whole
        or not at all, so machines are reserved for it where it could first begin; for one gang at
        a time.
        """
        plan = self._state.plan
        has_reserved = False
        for job in overdue:
            if not job.is_gang and not job.is_service:
                self._place(job, max(1, int(BEGIN_SHARE * job.spec.task_count)))
                continue
            self._place(job)  # a service begins whole: every missing replica counts
            found_no_room = bool(plan.unplaced) and plan.unplaced[-1].job is job
            if job.is_gang and found_no_room and not has_reserved:
                reserve(self._state, job)
                has_reserved = True

    def _place(self, job: Job, most: int | None = None) -> None:
        """Give a job its turn, for `most` tasks at most."""
        wanted = self._wanted(job, most)
        if wanted <= 0:
            return
        state = self._state
        candidates = state.candidates(job)
        if candidates.is_known_full(job):
            state.plan.unplaced.append(Unplaced(job, wanted))
            return
        state.begin(job)
        usable = self._usable(job, candidates)
        if job.is_service:
            left = wanted - self._replicas.place(job, wanted, usable)
            if left > 0:
                state.plan.unplaced.append(Unplaced(job, left))
            return
        self._limit_fetches(job, usable, candidates)
        left = wanted - self._place_tasks(job, wanted, usable)
        if left == wanted:
            self._note_full(job, usable, candidates)
        self._note_unplaced(job, left, usable, candidates)

    def _fetch_on_leftover_room(self, job: Job) -> None:
        """Let a job that waits for warm machines fetch where room would otherwise be idle."""
        state = self._state
        placed = state.plan.parts_of(job)
        still_wanted = job.shortfall - sum(part.task_count for part in placed)
        left = self._snapshot.quota.headroom(job.spec, still_wanted)
        if left <= 0:
            return
        candidates = state.candidates(job)
        limits = state.begin(job)
        for part in placed:
            limits.tasks_by_zone[part.machine.zone] += part.task_count
        # The estimate was that warm machines serve it within a fetch. Where they did not, since
        # other jobs came first on them, it is not held to that: found on a day with a zone cut off.
        waited_s = state.now - (job.waiting_since if job.waiting_since is not None else state.now)
        if waited_s > candidates.slowest_fetch_s(job.spec):
            limits.cold_left = left
        else:
            limits.cold_left = min(left, state.images.cold_limit(job, candidates))
        free = [c for c in candidates.with_free_room(job.spec) if state.may_use(job, c)]
        state.place(job, self._tasks.selector.choose(job, left, state.sample(job, free)))

    # -- what a job may have ------------------------------------------------------------------

    def _wanted(self, job: Job, most: int | None) -> int:
        """Return how many tasks may be placed: a gang is placed whole or not at all."""
        wanted = job.shortfall if most is None else min(job.shortfall, most)
        if job.backoff_s and not job.is_gang:
            wanted = min(wanted, 1)  # it failed everywhere: one task tells whether it still does
        if wanted <= 0:
            return 0
        allowed = self._snapshot.quota.headroom(job.spec, wanted)
        return 0 if job.is_gang and allowed < wanted else allowed

    def _usable(self, job: Job, candidates: Candidates) -> Candidates:
        """Leave out machines whose reservation the job would delay, and machines it avoids."""
        reservation = self._state.plan.reservation
        if reservation is not None and delays_reservation(job, reservation.wait_s):
            candidates = candidates.unreserved()
        if job.failed_on:
            avoid = self._snapshot.avoid
            not_avoided = [c for c in candidates.capacities if not avoid(job, c.machine)]
            candidates = self._state.narrowed(candidates, not_avoided)
        return candidates

    def _limit_fetches(self, job: Job, usable: Candidates, candidates: Candidates) -> None:
        """Decide how many tasks may begin a fetch, and whether the job waits for its image."""
        state = self._state
        limits, images = state.limits, state.images
        limits.cold_left = images.cold_limit(job, candidates)
        limits.warm_only = limits.cold_left <= 0 or not images.may_start_cold(
            job, usable, candidates, state.now
        )
        is_long_fetch = candidates.slowest_fetch_s(job.spec) > LONG_FETCH_S
        if not job.is_gang and not job.backoff_s and is_long_fetch:
            self._kept_waiting.append(job)
            if job.waiting_since is None:
                job.waiting_since = state.now

    # -- tasks that end -----------------------------------------------------------------------

    def _place_tasks(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place tasks that end; return how many have room, free or to be released."""
        needs_no_reserve = job.priority < self._snapshot.gpu_reserve.priority
        if job.spec.gpus <= 0 and needs_no_reserve and not job.has_missing_members:
            return self._place_beside_few_gpus(job, wanted, usable)
        return self._tasks.place(job, wanted, usable, whole=job.is_gang)

    def _place_beside_few_gpus(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place tasks that need no GPUs and are important enough to leave nothing for any.

        They first preempt less important work where there are no or few GPUs, since a task that
        runs for minutes beside idle GPUs costs more.
        """
        left = wanted
        for gpus in usable.gpu_counts():
            if left <= 0:
                break
            left -= self._tasks.place(job, left, usable.with_few_gpus(gpus), whole=job.is_gang)
        return wanted - left

    # -- tasks without room -------------------------------------------------------------------

    def _note_full(self, job: Job, usable: Candidates, candidates: Candidates) -> None:
        """Note that a job found no room, if it looked at every machine."""
        limits = self._state.limits
        if job.is_gang or limits.sampled_only or usable is not candidates:
            return
        if limits.warm_only and self._tasks.preemptor.may_preempt_any(job):
            return
        if not usable.fitting(job.spec):
            candidates.note_full(job)

    def _note_unplaced(
        self, job: Job, left: int, usable: Candidates, candidates: Candidates
    ) -> None:
        """Note for how many of the tasks left machines have to be rented."""
        limits = self._state.limits
        if not job.is_gang:
            if left > 0 and candidates.slowest_fetch_s(job.spec) > LONG_FETCH_S:
                left -= self._room_being_fetched(job, left, usable)
            # The rest is served soonest by warm machines: nothing is rented for it.
            left = min(left, max(0, limits.cold_left))
        if left > 0 and not limits.sampled_only:
            self._state.plan.unplaced.append(Unplaced(job, left))

    def _room_being_fetched(self, job: Job, left: int, usable: Candidates) -> int:
        """Count the tasks that fit where their image is being fetched, at most `left`.

        That room is as good as taken, so nothing is rented for them.
        """
        state, spec = self._state, job.spec
        count = 0
        warm_only = state.limits.warm_only
        fitting = usable.fitting_with_image(spec) if warm_only else usable.fitting(spec)
        for capacity in fitting:
            if count >= left:
                break
            if not capacity.machine.failed_jobs and state.fetch_limit(job, capacity) == 0:
                gpu_reserve = state.gpu_reserve_on(capacity)
                count += capacity.count_fitting(spec, left - count, gpu_reserve=gpu_reserve)
        return count
