"""Token buckets."""

from __future__ import annotations

import pytest
from support.fakes import job_spec
from support.placement_world import T0

from ryewing.clients.token_bucket import TokenBucket
from ryewing.config.settings import Team
from ryewing.scheduling.team_quota import TeamQuota
from ryewing.units import MonotonicTime


def test_a_bucket_refills_and_returns_the_wait() -> None:
    now = [T0]
    bucket = TokenBucket(10.0, 5.0, lambda: now[0])
    assert [bucket.try_acquire() for _ in range(6)] == [True] * 5 + [False]
    assert bucket.wait_s(2.0) == pytest.approx(0.2)
    now[0] = MonotonicTime(T0 + 0.2)
    assert bucket.try_acquire(2.0)
    assert not bucket.try_acquire()


def test_team_without_limit_has_no_limit() -> None:
    quota = TeamQuota({"t": Team("t")}, {}, {})
    assert quota.headroom(job_spec(team="t"), 1000) == 1000
