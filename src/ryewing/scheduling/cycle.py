"""Runs one scheduling cycle: processes the jobs one by one and plans what each of them gets."""

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

OVERDUE_ARRAY_SHARE = 0.1
"""The share of an overdue array's tasks that is placed before all other jobs."""


def run_cycle(
    snapshot: SchedulingSnapshot,
    jobs: Sequence[Job],
    overdue: Sequence[Job] = (),
    moving: Sequence[Assignment] = (),
) -> Plan:
    """Run one scheduling cycle over the jobs with a shortfall, in the given order.

    `overdue` are the jobs that have waited too long to begin; they go first. `moving` are replicas
    that should run on another machine. The cycle changes the snapshot's capacities and quota, so a
    snapshot serves one cycle only.
    """
    return _Cycle(snapshot, jobs).run(jobs, overdue, moving)


class _Cycle:
    """The state and the placers of one cycle."""

    def __init__(self, snapshot: SchedulingSnapshot, jobs: Sequence[Job]) -> None:
        self._snapshot = snapshot
        self._state = CycleState(snapshot, jobs)
        self._task_placer = TaskPlacer(self._state)
        self._replica_placer = ReplicaPlacer(self._state, self._task_placer)
        self._waiting_for_image: list[Job] = []
        """Jobs of which some tasks may wait for machines that have their image."""

    def run(
        self, jobs: Sequence[Job], overdue: Sequence[Job], moving: Sequence[Assignment]
    ) -> Plan:
        """Process each job once, in a fixed order of kinds; return the plan.

        Overdue jobs go first, then services, replica moves, and arrays and gangs. At the end, the
        capacity left over is used for image fetches.
        """
        self._place_overdue(overdue)
        already_tried = set(overdue)
        rest = [job for job in jobs if job not in already_tried]
        for job in rest:
            if job.is_service:
                self._place(job)
        for assignment in moving:
            self._replica_placer.move(assignment)
        for job in rest:
            if not job.is_service:
                self._place(job)
        self._state.all_jobs_tried = True
        for job in self._waiting_for_image:
            self._fetch_on_leftover_capacity(job)
        return self._state.plan

    # -- jobs ---------------------------------------------------------------------------------

    def _place_overdue(self, overdue: Sequence[Job]) -> None:
        """Place the jobs that have waited too long to begin.

        An array has begun once some of its tasks run, so only a share of it is placed here. A gang
        begins with all of its tasks or none. Machines are therefore reserved for the first gang
        without resources, where it could begin soonest; only one gang has a reservation at a time.
        """
        plan = self._state.plan
        has_reserved = False
        for job in overdue:
            if not job.is_gang and not job.is_service:
                self._place(job, max(1, int(OVERDUE_ARRAY_SHARE * job.spec.task_count)))
                continue
            self._place(job)  # every missing replica of a service counts, so all are placed
            found_no_resources = bool(plan.unplaced) and plan.unplaced[-1].job is job
            if job.is_gang and found_no_resources and not has_reserved:
                reserve(self._state, job)
                has_reserved = True

    def _place(self, job: Job, max_tasks: int | None = None) -> None:
        """Place a job's tasks, at most `max_tasks` of them if that is given."""
        wanted = self._wanted(job, max_tasks)
        if wanted <= 0:
            return
        state = self._state
        candidates = state.candidates(job)
        if candidates.is_known_unplaceable(job):
            state.plan.unplaced.append(Unplaced(job, wanted))
            return
        state.begin_turn(job)
        usable = self._usable(job, candidates)
        if job.is_service:
            remaining = wanted - self._replica_placer.place(job, wanted, usable)
            if remaining > 0:
                state.plan.unplaced.append(Unplaced(job, remaining))
            return
        self._limit_fetches(job, usable, candidates)
        remaining = wanted - self._place_tasks(job, wanted, usable)
        if remaining == wanted:
            self._record_unplaceable(job, usable, candidates)
        self._record_unplaced(job, remaining, usable, candidates)

    def _fetch_on_leftover_capacity(self, job: Job) -> None:
        """Let a job that waits for warm machines fetch on machines that would stay idle."""
        state = self._state
        placed = state.plan.parts_of(job)
        still_wanted = job.shortfall - sum(part.task_count for part in placed)
        remaining = self._snapshot.quota.headroom(job.spec, still_wanted)
        if remaining <= 0:
            return
        candidates = state.candidates(job)
        limits = state.begin_turn(job)
        for part in placed:
            limits.tasks_by_zone[part.machine.zone] += part.task_count
        # `cold_limit` assumes that warm machines can run the job's tasks within the time of a
        # fetch. For a job that has waited longer than a fetch that was wrong, because other jobs
        # got those machines first, so the limit no longer applies. This happened on a day with a
        # zone that was cut off.
        waited_s = state.now - (job.waiting_since if job.waiting_since is not None else state.now)
        if waited_s > candidates.slowest_fetch_s(job.spec):
            limits.cold_starts_left = remaining
        else:
            limits.cold_starts_left = min(remaining, state.image_survey.cold_limit(job, candidates))
        free = [c for c in candidates.with_free_capacity(job.spec) if state.may_use(job, c)]
        state.place(job, self._task_placer.selector.choose(job, remaining, state.sample(job, free)))

    # -- limits of a job ----------------------------------------------------------------------

    def _wanted(self, job: Job, max_tasks: int | None) -> int:
        """Return how many tasks may be placed; for a gang, that is all missing members or none."""
        wanted = job.shortfall if max_tasks is None else min(job.shortfall, max_tasks)
        if job.backoff_s and not job.is_gang:
            wanted = min(wanted, 1)  # it failed everywhere: one task shows whether it still does
        if wanted <= 0:
            return 0
        allowed = self._snapshot.quota.headroom(job.spec, wanted)
        return 0 if job.is_gang and allowed < wanted else allowed

    def _usable(self, job: Job, candidates: Candidates) -> Candidates:
        """Exclude reserved machines that the job would hold for too long, and those it avoids."""
        reservation = self._state.plan.reservation
        if reservation is not None and delays_reservation(job, reservation.wait_s):
            candidates = candidates.unreserved()
        if job.failed_on:
            avoids = self._snapshot.avoids
            not_avoided = [c for c in candidates.capacities if not avoids(job, c.machine)]
            candidates = self._state.narrowed(candidates, not_avoided)
        return candidates

    def _limit_fetches(self, job: Job, usable: Candidates, candidates: Candidates) -> None:
        """Decide how many tasks may begin a fetch, and whether the job waits for warm machines."""
        state = self._state
        limits, image_survey = state.limits, state.image_survey
        limits.cold_starts_left = image_survey.cold_limit(job, candidates)
        limits.warm_only = limits.cold_starts_left <= 0 or not image_survey.may_start_cold(
            job, usable, candidates, state.now
        )
        is_long_fetch = candidates.slowest_fetch_s(job.spec) > LONG_FETCH_S
        if not job.is_gang and not job.backoff_s and is_long_fetch:
            self._waiting_for_image.append(job)
            if job.waiting_since is None:
                job.waiting_since = state.now

    # -- tasks of arrays and gangs ------------------------------------------------------------

    def _place_tasks(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place tasks of an array or gang; return how many got free or releasing resources."""
        needs_no_reserve = job.priority < self._snapshot.gpu_reserve.priority
        if job.spec.gpus <= 0 and needs_no_reserve and not job.has_missing_members:
            return self._place_by_gpu_count(job, wanted, usable)
        return self._task_placer.place(job, wanted, usable, all_or_nothing=job.is_gang)

    def _place_by_gpu_count(self, job: Job, wanted: int, usable: Candidates) -> int:
        """Place tasks that need no GPUs and whose priority exempts them from the GPU reserve.

        Machines without GPUs are tried first, then those with few, each time with preemption of
        less important tasks: that costs less than a task that runs for minutes and keeps GPUs idle.
        """
        remaining = wanted
        for gpus in usable.gpu_counts():
            if remaining <= 0:
                break
            remaining -= self._task_placer.place(
                job, remaining, usable.with_at_most_gpus(gpus), all_or_nothing=job.is_gang
            )
        return wanted - remaining

    # -- tasks that were not placed -----------------------------------------------------------

    def _record_unplaceable(self, job: Job, usable: Candidates, candidates: Candidates) -> None:
        """Record that no machine fits the job's tasks, if every machine was examined."""
        limits = self._state.limits
        if job.is_gang or limits.sampled_only or usable is not candidates:
            return
        if limits.warm_only and self._task_placer.preemptor.may_preempt_any(job):
            return
        if not usable.fitting(job.spec):
            candidates.record_unplaceable(job)

    def _record_unplaced(
        self, job: Job, remaining: int, usable: Candidates, candidates: Candidates
    ) -> None:
        """Record for how many of the remaining tasks machines should be rented."""
        limits = self._state.limits
        if not job.is_gang:
            if remaining > 0 and candidates.slowest_fetch_s(job.spec) > LONG_FETCH_S:
                remaining -= self._count_fitting_on_fetching(job, remaining, usable)
            # Tasks beyond the limit on cold starts start soonest on warm machines, so nothing is
            # rented for them.
            remaining = min(remaining, max(0, limits.cold_starts_left))
        if remaining > 0 and not limits.sampled_only:
            self._state.plan.unplaced.append(Unplaced(job, remaining))

    def _count_fitting_on_fetching(self, job: Job, remaining: int, usable: Candidates) -> int:
        """Count the tasks that fit on machines that are fetching their image, up to `remaining`.

        These tasks can be placed there once the fetch is done, so nothing is rented for them.
        """
        state, spec = self._state, job.spec
        count = 0
        warm_only = state.limits.warm_only
        fitting = usable.fitting_with_image(spec) if warm_only else usable.fitting(spec)
        for capacity in fitting:
            if count >= remaining:
                break
            if not capacity.machine.failed_jobs and state.fetch_limit(job, capacity) == 0:
                gpu_reserve = state.gpu_reserve_on(capacity)
                count += capacity.count_fitting(spec, remaining - count, gpu_reserve=gpu_reserve)
        return count
