"""Reclaim notices on machines that have members of a gang."""

from __future__ import annotations

from support.harness import LeaderHarness, starts

from ryewing.state.attempts import TaskPhase
from ryewing.wire.workers import ReportedTask


def test_a_notice_where_a_gang_waits_for_a_planned_member_is_answered(
    harness: LeaderHarness,
) -> None:
    """Evicting the waiting member dropped the planned one, which was then dropped again."""
    worker = harness.ready_worker()
    harness.accept(shape="group", task_count=2)
    harness.place()
    assert len(starts(harness.exchange(worker))) == 2
    [(waiting, attempt), lost] = sorted(worker.tasks)
    worker.tasks[waiting, attempt] = ReportedTask(waiting, attempt, "gathering")
    del worker.tasks[lost]
    for _ in range(3):
        harness.exchange(worker)
    harness.place()
    assert harness.assignments() == {waiting: "gathering", lost[0]: TaskPhase.PLANNED}
    worker.notice_s = 10.0
    harness.exchange(worker)
    assert harness.assignments() == {waiting: "gathering"}
