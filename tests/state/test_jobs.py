"""Jobs: finishes, records, and which tasks come next."""

from __future__ import annotations

from support.fakes import job, job_spec

from ryewing.state.job_records import JobRecord
from ryewing.state.job_table import JobTable
from ryewing.units import KeyVersion, MachineId


def test_take_never_gives_a_task_twice() -> None:
    one = job(task_count=6)
    first = one.dequeue(2)
    for index in first:
        one.assigned_tasks[index] = MachineId("i-1")
    one.finish(4)
    del one.assigned_tasks[first[0]]
    one.requeue(first[0])
    one.requeue(first[0])
    rest = one.dequeue(10)
    assert len(rest) == len(set(rest))
    assert sorted([*rest, first[1], 4]) == list(range(6))


def test_finished_tasks_survive_in_chunks() -> None:
    big = job(task_count=100_000)
    for index in (0, 8191, 8192, 99_999):
        assert big.finish(index)
    assert not big.finish(0)
    chunks = big.dirty_chunks()
    assert chunks == [0, 1, 12]
    again = job(task_count=100_000)
    for chunk in chunks:
        text = big.chunk_text(chunk)
        assert len(text) < 2048
        again.load_chunk(chunk, text)
    assert again.done_count == 4
    assert not again.unwritten
    assert again.is_done(99_999)
    assert not again.is_done(1)


def test_guess_correction_is_bounded() -> None:
    job_table = JobTable()
    first = job_table.put(JobRecord(job_spec("run-1", estimated_s=10.0), 0.0), KeyVersion(1))
    for _ in range(500):
        job_table.record_run_time(first, 10_000.0)
    later = job_table.put(JobRecord(job_spec("run-2", estimated_s=10.0), 0.0), KeyVersion(2))
    assert 15.0 < later.estimate_s() <= 20.0
