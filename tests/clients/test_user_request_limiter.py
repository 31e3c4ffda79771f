"""Users' requests and the store's rate: what they cause leaves room for everything else."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from support.placement_world import T0
from support.simulated_cluster import SimulatedCluster
from support.timed_store import StoreLink
from support.timed_workers import CONTROLLERS, STEP_S

from ryewing.clients.store import ThrottledError
from ryewing.clients.token_bucket import TokenBucket
from ryewing.clients.user_request_limiter import (
    MIN_FACTOR,
    RECOVERY_PER_S,
    USER_SHARE,
    WRITE_RESERVE,
    RateLimitExceededError,
    UserRequest,
    UserRequestLimiter,
)
from ryewing.units import MonotonicTime

JOBS = 75
USUAL_POLLS_PER_S = JOBS / 5.0
STORM = 8
POLLS_A_STEP = round(4 * STORM * USUAL_POLLS_PER_S * STEP_S)
"""As many as 300 jobs would cause."""


class RateLimit:
    """Holds a cluster's store to its rate, and counts its requests by who caused them."""

    def __init__(self, cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch) -> None:
        self.rps = cluster.settings.params.state.rps
        self.made: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self._bucket = TokenBucket(self.rps, self.rps, cluster.clock)
        self._cause = "service"
        check, http = StoreLink.check_available, SimulatedCluster.send_http_request

        def limited_check(link: StoreLink) -> None:
            check(link)
            self.made[self._cause] += 1
            if not self._bucket.try_acquire():
                self.refused[self._cause] += 1
                if link.on_throttled is not None:
                    link.on_throttled()
                raise ThrottledError("429")

        def attributed_http(
            self_: SimulatedCluster, node: str, method: str, path: str, body: bytes
        ) -> tuple[int, Any]:
            self._cause = "users" if path.startswith("/v2") else "service"
            try:
                return http(self_, node, method, path, body)
            finally:
                self._cause = "service"

        monkeypatch.setattr(StoreLink, "check_available", limited_check)
        monkeypatch.setattr(SimulatedCluster, "send_http_request", attributed_http)


def before_each_step(cluster: SimulatedCluster, act: Callable[[], None]) -> None:
    """Let users come first in every step, when the rate has just been refilled."""
    expire_leases = cluster.store.expire_leases

    def act_and_expire_leases() -> None:
        act()
        expire_leases()

    cluster.store.expire_leases = act_and_expire_leases  # type: ignore[method-assign]


def test_polls_leave_room_for_the_next_leader(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found on a day whose leader froze: 54,588 of 80,362 requests to the store were refused."""
    for number in range(1, 4):
        cluster.worker(f"i-{number:06d}")
    cluster.run(4.0)
    refs = [f"run-{number}" for number in range(1, JOBS + 1)]
    for start in range(0, JOBS, 5):
        for ref in refs[start : start + 5]:
            assert cluster.submit(CONTROLLERS[0], ref) == 201
        cluster.run(1.0)
    limit = RateLimit(cluster, monkeypatch)
    cluster.frozen.add(CONTROLLERS[0])
    leaderless: Counter[int] = Counter()
    submitted: list[int] = []

    def users() -> None:
        at = len(submitted)
        led = any(cluster.leader(name) is not None for name in CONTROLLERS[1:])
        for number in range(POLLS_A_STEP):
            status = cluster.poll(CONTROLLERS[1 + number % 2], refs[number % JOBS])
            if not led:
                leaderless[status] += 1
        submitted.append(cluster.submit(CONTROLLERS[1 + at % 2], f"run-{1000 + at}"))

    before_each_step(cluster, users)
    seconds = 10.0
    cluster.run(seconds)
    assert cluster.leader_name in CONTROLLERS[1:]
    assert not limit.refused
    assert limit.made["users"] <= USER_SHARE * limit.rps * (seconds + 1.0)
    assert set(leaderless) == {200, 503}
    assert leaderless[503] > leaderless[200]
    assert submitted == [201] * len(submitted)


def test_the_share_shrinks_while_the_store_refuses_and_comes_back() -> None:
    """The store may take less than the settings say."""
    now = [T0]
    limiter = UserRequestLimiter(120.0, 3, lambda: now[0])
    full = USER_SHARE * 120.0 / 3

    def admitted(seconds: float) -> int:
        """Count what passes in some seconds, asked every 10 ms."""
        count = 0
        for _ in range(round(seconds / 0.01)):
            now[0] = MonotonicTime(now[0] + 0.01)
            try:
                limiter.admit(UserRequest.READ)
            except RateLimitExceededError:
                continue
            limiter.charge()
            count += 1
        return count

    admitted(2.0)
    assert admitted(1.0) == pytest.approx(full, abs=1)
    for _ in range(10):
        limiter.shrink()  # one sign, however many refusals
    assert admitted(0.25) <= 0.25 * full * (0.5 + 0.25 * RECOVERY_PER_S) + 1
    for _ in range(10):
        now[0] = MonotonicTime(now[0] + 0.5)
        limiter.shrink()
    assert admitted(0.5) >= MIN_FACTOR * full * 0.5 - 1
    admitted(1.0 / RECOVERY_PER_S)
    assert admitted(1.0) == pytest.approx(full, abs=1)


@pytest.mark.parametrize(("request_kind", "passes"), [("read", False), ("write", True)])
def test_writes_pass_where_reads_have_used_their_share(request_kind: str, passes: bool) -> None:
    limiter = UserRequestLimiter(120.0, 3, lambda: T0)
    used = round((1.0 - WRITE_RESERVE) * USER_SHARE * 120.0 / 3)
    for _ in range(used):
        limiter.admit(UserRequest.READ)
        limiter.charge()
    if passes:
        limiter.admit(UserRequest(request_kind))
    else:
        with pytest.raises(RateLimitExceededError) as refused:
            limiter.admit(UserRequest(request_kind))
        assert refused.value.retry_s > 0


def test_what_is_refused_names_when_there_is_room(cluster: SimulatedCluster) -> None:
    cluster.run(2.0)
    cluster.frozen.add(CONTROLLERS[0])
    cluster.submit(CONTROLLERS[1], "run-1")
    limiter = cluster.nodes[CONTROLLERS[1]].user_limiter
    for _ in range(500):
        limiter.charge()  # a debt of half a minute
    headers: list[dict[str, str]] = []
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/v2/runs/run-1"}
    cluster.apis[CONTROLLERS[1]](environ, lambda _status, found: headers.append(dict(found)))
    assert 20 <= int(headers[0]["Retry-After"]) <= 40
