"""Failing tasks: whether the job or the machine is at fault, and what each costs meanwhile."""

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
    """A job that was accepted."""
    found = harness.leader.term.job_table.get(harness.accept(ref, **changes))
    assert found is not None
    return found


def fail_all(harness: LeaderHarness, workers: list[FakeWorker], cause: str = "error") -> None:
    """Let workers fetch their starts, and everything on them end."""
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers:
        worker.finish(cause)
        harness.exchange(worker)


def failed_job(harness: LeaderHarness, workers: list[FakeWorker], ref: str = "run-1") -> Job:
    """A job whose whole first batch has failed."""
    job = live_job(harness, ref, task_count=8 * len(workers) + 40)
    harness.place()
    fail_all(harness, workers)
    assert job.backoff_s
    return job


def quarantined(harness: LeaderHarness) -> list[str]:
    """Return the ids of the machines that are thought to be faulty."""
    return [m.id for m in harness.leader.term.cluster.machines.values() if m.quarantined]


def test_a_whole_batch_that_fails_is_one_step(
    harness: LeaderHarness, caplog: pytest.LogCaptureFixture
) -> None:
    """Each task doubled the delay and wrote two lines: 458 tasks, 60 s after half a second."""
    caplog.set_level(logging.INFO, logger="ryewing.state.failure_detector")
    workers = harness.ready_workers(5)
    job = failed_job(harness, workers)
    assert job.backoff_s == BACKOFF_MIN_S
    lines = [record.getMessage() for record in caplog.records]
    assert sum("event=backed-off" in line for line in lines) == 1
    assert sum("event=task-failed" in line for line in lines) <= len(workers)
    assert not any(m.failed_jobs for m in harness.leader.term.cluster.machines.values())


def test_what_was_not_sent_yet_need_not_fail_as_well(harness: LeaderHarness) -> None:
    workers = harness.ready_workers(4)
    job = live_job(harness, "run-1", task_count=100)
    harness.place()
    fail_all(harness, workers[:3])
    assert job.backoff_s
    assert not job.assigned_tasks
    assert not harness.assignments(workers[3].name)


def test_one_probe_at_a_time_and_a_step_for_each(harness: LeaderHarness) -> None:
    """A task was placed in every cycle until the first of them had failed."""
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
def test_a_probe_that_does_well_widens_the_job(harness: LeaderHarness, ends: bool) -> None:
    """It ends with success, or runs for longer than what fails at its start."""
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
    """A job that had failed on every machine, and finished tasks on each, waited for ever."""
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


def test_a_probe_goes_where_the_job_has_not_failed(harness: LeaderHarness) -> None:
    """A healthy job that met several faulty machines finds out sooner."""
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


def test_a_healthy_job_that_meets_one_faulty_machine_goes_on(harness: LeaderHarness) -> None:
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
    """Found in inc-f5fb: a new leader quarantined eleven healthy machines within two seconds."""
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


def test_a_cancelled_job_that_finished_nothing_is_held_against_no_machine(
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


def test_a_successor_is_told_which_jobs_fail_everywhere(harness: LeaderHarness) -> None:
    """Found in replays: each new leader let a whole batch of such jobs fail once more."""
    workers = harness.ready_workers(4)
    job = failed_job(harness, workers)
    healthy = live_job(harness, "run-2", task_count=2)
    healthy.finish(0)
    harness.leader.term.job_table.reindex(healthy)
    harness.write()
    told = harness.leader.image_locality()
    assert told.failing == {job.id: BACKOFF_MIN_S}
    told.failing[healthy.id] = 60.0  # it has finished something since
    told.failing["run-999"] = 60.0  # gone meanwhile
    again = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=ImageLocality)
    leader = harness.new_leader(6, again)
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
    job = harness.accept(task_count=24)
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers:
        worker.finish("error")
        harness.exchange(worker)
    found = harness.leader.term.job_table.get(job)
    assert found is not None
    first = found.backoff_s
    assert found.backoff_until > harness.clock()
    assert first >= 2.0
    harness.place()
    assert not any(harness.assignments(worker.name) for worker in workers)
    # Later it tries again, and on the same machines: new ones were rented for it for ever.
    harness.later(first + 0.1)
    for worker in workers:
        harness.exchange(worker)
    harness.place()
    assert sum(len(harness.assignments(worker.name)) for worker in workers) == 1  # one tells
    harness.leader.autoscaler.scale_out()
    assert not harness.cloud.requests
    assert not any(m.quarantined for m in harness.leader.term.cluster.machines.values())


@pytest.mark.parametrize(("faulty", "others", "at_fault"), [(3, 0, True), (3, 5, False)])
def test_several_faulty_machines_are_no_fault_of_a_large_array(
    harness: LeaderHarness, faulty: int, others: int, at_fault: bool
) -> None:
    """Among hundreds of machines it met three at once, and cleared each of its fault."""
    workers = harness.ready_workers(faulty + others)
    found = harness.leader.term.job_table.get(harness.accept(task_count=8 * len(workers)))
    harness.place()
    for worker in workers * 2:
        harness.exchange(worker)
    for worker in workers[:faulty]:
        worker.finish("error")
        harness.exchange(worker)
    assert found is not None
    assert bool(found.backoff_s) is at_fault
    suspects = [m for m in harness.leader.term.cluster.machines.values() if m.failed_jobs]
    assert len(suspects) == (0 if at_fault else faulty)
