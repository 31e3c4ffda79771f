"""Failing tasks: attribution to the job or the machine, backoff, quarantine and probes."""

from __future__ import annotations

import logging

import msgspec
import pytest
from support.fakes import FakeWorker
from support.harness import LeaderHarness

from ryewing.clients.peers import ImageLocality
from ryewing.state.failure_detector import BACKOFF_MAX_S, BACKOFF_MIN_S, MACHINE_AVOIDANCE_S
from ryewing.state.jobs import Job
from ryewing.state.machine import MIN_STABLE_RUN_S
from ryewing.units import JobId, MachineId


def live_job(harness: LeaderHarness, ref: str, **changes: object) -> Job:
    """Return a job that the leader has accepted."""
    job = harness.leader.term.job_table.get(harness.accept(ref, **changes))
    assert job is not None
    return job


def fail_all(harness: LeaderHarness, workers: list[FakeWorker], cause: str = "error") -> None:
    """Let workers receive their starts, and end all their tasks with `cause`."""
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers:
        worker.finish(cause)
        harness.exchange(worker)


def failed_job(harness: LeaderHarness, workers: list[FakeWorker], ref: str = "run-1") -> Job:
    """Return a job in backoff, of which all tasks of the first batch have failed."""
    job = live_job(harness, ref, task_count=8 * len(workers) + 40)
    harness.place()
    fail_all(harness, workers)
    assert job.backoff_s
    return job


def quarantined(harness: LeaderHarness) -> list[str]:
    """Return the ids of the quarantined machines."""
    return [m.id for m in harness.leader.term.cluster.machines.values() if m.quarantined]


def test_a_batch_of_failures_increases_the_backoff_once(
    harness: LeaderHarness, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a backoff that doubles for each failed task and logs two lines for each.

    A batch of 458 tasks had raised the delay to 60 s within half a second.
    """
    caplog.set_level(logging.INFO, logger="ryewing.state.failure_detector")
    workers = harness.ready_workers(5)
    job = failed_job(harness, workers)
    assert job.backoff_s == BACKOFF_MIN_S
    lines = [record.getMessage() for record in caplog.records]
    assert sum("event=backed-off" in line for line in lines) == 1
    assert sum("event=task-failed" in line for line in lines) <= len(workers)
    assert not any(m.failed_jobs for m in harness.leader.term.cluster.machines.values())


def test_backoff_drops_planned_tasks(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(4)
    job = live_job(harness, "run-1", task_count=100)
    harness.place()
    fail_all(harness, workers[:3])
    assert job.backoff_s
    assert not job.assigned_tasks
    assert not harness.assignments(workers[3].name)


def test_backoff_allows_one_probe_at_a_time(harness: LeaderHarness) -> None:
    """Only one probe may be assigned at a time, and each failed probe doubles the delay once.

    Guards against placing another task in every cycle until the first one has failed.
    """
    workers = harness.ready_workers(4)
    job = failed_job(harness, workers)
    seen = [job.backoff_s]
    for _ in range(7):
        harness.later(job.backoff_s + 0.1)
        for worker in workers:
            harness.exchange(worker)
        for _ in range(4):
            harness.place()
            for worker in workers:
                harness.exchange(worker)
        assert len(job.assigned_tasks) == 1
        fail_all(harness, workers)
        seen.append(job.backoff_s)
    assert seen == [2.0, 4.0, 8.0, 16.0, 32.0, BACKOFF_MAX_S, BACKOFF_MAX_S, BACKOFF_MAX_S]


@pytest.mark.parametrize("ends", [True, False])
def test_a_successful_probe_ends_the_backoff(harness: LeaderHarness, ends: bool) -> None:
    """The probe finishes, or runs for longer than tasks that fail at startup."""
    workers = harness.ready_workers(3)
    job = failed_job(harness, workers)
    harness.later(job.backoff_s + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    assert len(job.assigned_tasks) == 1
    if ends:
        for worker in workers:
            worker.finish("done")
    else:
        harness.later(MIN_STABLE_RUN_S + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.write()
    harness.place()
    assert not job.backoff_s
    assert len(job.assigned_tasks) > 1


def test_a_machine_that_has_recovered_is_used_again(harness: LeaderHarness) -> None:
    """A job that avoids a machine has to use it again after `MACHINE_AVOIDANCE_S`.

    Guards against a job with finished tasks waiting forever after it has failed on every machine.
    """
    workers = harness.ready_workers(2)
    job = live_job(harness, "run-1", task_count=60)
    job.finish(59)
    harness.leader.term.job_table.reindex(job)
    harness.write()
    harness.place()
    assert len(set(job.assigned_tasks.values())) == 2
    fail_all(harness, workers)
    harness.place()
    assert not job.assigned_tasks
    assert not job.backoff_s
    harness.later(MACHINE_AVOIDANCE_S + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    assert job.assigned_tasks
    assert MACHINE_AVOIDANCE_S < 90.0


def test_a_probe_is_placed_on_a_machine_without_failures(harness: LeaderHarness) -> None:
    """A healthy job that failed on several faulty machines then leaves its backoff sooner."""
    workers = harness.ready_workers(4)
    job = live_job(harness, "run-1", task_count=60)
    harness.place()
    fail_all(harness, workers[:3])
    assert job.backoff_s
    harness.later(job.backoff_s + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    assert [worker.name for worker in workers if harness.assignments(worker.name)] == [
        workers[3].name
    ]


def test_a_failure_on_one_machine_causes_no_backoff(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(4)
    job = live_job(harness, "run-1", task_count=60)
    harness.place()
    fail_all(harness, workers[:1])
    harness.place()
    assert not job.backoff_s
    for worker in workers * 2:
        harness.exchange(worker)
    assert sum(len(harness.assignments(worker.name)) for worker in workers[1:]) == 24
    assert not harness.assignments(workers[0].name)


@pytest.mark.parametrize("healthy", [True, False])
def test_jobs_that_fail_everywhere_quarantine_no_machine(
    harness: LeaderHarness, healthy: bool
) -> None:
    """Guards against a new leader that quarantines healthy machines (inc-f5fb).

    It quarantined eleven within two seconds, because it did not know yet that the jobs that had
    failed on them fail everywhere.
    """
    workers = harness.ready_workers(9)
    jobs = [live_job(harness, f"run-{n}", task_count=24, cpus=1.0) for n in (1, 2)]
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    if healthy:
        for job in jobs:
            job.finish(23)
    on_both = [w for w in workers if len({key[0].split("/")[0] for key in w.tasks}) == 2]
    assert on_both
    for worker in workers[:2] if healthy else workers:
        worker.finish("error")
        harness.exchange(worker)
    assert bool(quarantined(harness)) is healthy


def test_cancelling_a_job_without_finished_tasks_clears_its_failures(
    harness: LeaderHarness,
) -> None:
    workers = harness.ready_workers(2)
    job = live_job(harness, "run-1", task_count=8)
    harness.place()
    fail_all(harness, workers[:1])
    machine = harness.leader.term.cluster.machines[MachineId(workers[0].name)]
    assert machine.failed_jobs == {job.id}
    harness.leader.apply_cancel(job.id)
    assert not machine.failed_jobs


def test_a_new_leader_receives_the_backoffs_of_jobs(harness: LeaderHarness) -> None:
    """A new leader resumes the backoff of live jobs that have no finished task.

    Guards against starting a whole batch of such a job again after each failover, as in replays.
    """
    workers = harness.ready_workers(4)
    job = failed_job(harness, workers)
    healthy = live_job(harness, "run-2", task_count=2)
    healthy.finish(0)
    harness.leader.term.job_table.reindex(healthy)
    harness.write()
    sent = harness.leader.image_locality()
    assert sent.failing == {job.id: BACKOFF_MIN_S}
    sent.failing[healthy.id] = 60.0  # the job has finished a task in the meantime
    sent.failing["run-999"] = 60.0  # the job is no longer live
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=ImageLocality)
    leader = harness.new_leader(6, received)
    assert not leader.term.job_table.jobs[healthy.id].backoff_s
    harness.ready(*workers)
    harness.place()
    inherited = leader.term.job_table.jobs[JobId("run-1")]
    assert len(inherited.assigned_tasks) == 1
    fail_all(harness, workers)
    assert inherited.backoff_s == 2 * BACKOFF_MIN_S


def test_a_machine_that_fails_several_jobs_is_quarantined(harness: LeaderHarness) -> None:
    worker = harness.ready_worker()
    for n in (1, 2):
        harness.start_job(worker, f"run-{n}", task_count=1)
    harness.exchange(worker)
    worker.finish("error")
    harness.exchange(worker)
    assert harness.leader.term.cluster.machines[MachineId(worker.name)].quarantined


def test_a_job_that_fails_everywhere_backs_off(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(3)
    job_id = harness.accept(task_count=24)
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers:
        worker.finish("error")
        harness.exchange(worker)
    job = harness.leader.term.job_table.get(job_id)
    assert job is not None
    initial_backoff_s = job.backoff_s
    assert job.backoff_until > harness.clock()
    assert initial_backoff_s >= 2.0
    harness.place()
    assert not any(harness.assignments(worker.name) for worker in workers)
    # After the delay the job is tried on the same machines. Guards against renting new machines for
    # it without end.
    harness.later(initial_backoff_s + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    assert sum(len(harness.assignments(worker.name)) for worker in workers) == 1  # the probe
    harness.leader.autoscaler.scale_out()
    assert not harness.cloud.requests
    assert not any(m.quarantined for m in harness.leader.term.cluster.machines.values())


@pytest.mark.parametrize(("faulty", "others", "at_fault"), [(3, 0, True), (3, 5, False)])
def test_a_large_array_is_not_at_fault_for_several_faulty_machines(
    harness: LeaderHarness, faulty: int, others: int, at_fault: bool
) -> None:
    """Guards against the backoff of a large array that fails on a few faulty machines at once.

    An array on hundreds of machines failed on three of them; its backoff cleared their failures.
    """
    workers = harness.ready_workers(faulty + others)
    job = harness.leader.term.job_table.get(harness.accept(task_count=8 * len(workers)))
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers[:faulty]:
        worker.finish("error")
        harness.exchange(worker)
    assert job is not None
    assert bool(job.backoff_s) is at_fault
    suspects = [m for m in harness.leader.term.cluster.machines.values() if m.failed_jobs]
    assert len(suspects) == (0 if at_fault else faulty)
