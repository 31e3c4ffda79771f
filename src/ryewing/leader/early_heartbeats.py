"""Early heartbeats: brings a worker to send its next heartbeat before it is due.

A start can only be sent in the response to a heartbeat. A worker sends one at once when a task is
cleared and when its fencing token rises, the latter at most once in half a lease.
"""

from __future__ import annotations

import math

from ryewing.clients.token_bucket import TokenBucket
from ryewing.leader.commands import clear_commands
from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.term_context import TermContext
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Machine
from ryewing.units import MAX_TOKEN_BUMPS, MonotonicTime

TOKEN_BUMP_EVERY = 0.51
"""The leases between two raises of a worker's token: it sends a heartbeat for one in half a
lease."""
EARLY_HEARTBEAT_WITHIN = 0.7
"""The heartbeat intervals since the last heartbeat after which an early one is not worth it."""
EARLY_HEARTBEATS_PER_CORE = 60.0
"""Messages a second and core that only make starts a little sooner: a tenth of the core."""
MIN_HEARTBEAT_GAP_S = 0.5
"""The shortest time between two heartbeats of a worker."""
MIN_EARLY_HEARTBEAT_S = 0.1
"""The shortest estimate of the time until a worker that is asked for an early heartbeat sends
it."""


class EarlyHeartbeats:
    """Asks workers for early heartbeats, within a rate."""

    def __init__(self, term: TermContext, direct_messages: DirectMessages) -> None:
        self._term = term
        self._direct_messages = direct_messages
        core_share = term.scope.share * term.settings.params.resources.core_share
        rate = EARLY_HEARTBEATS_PER_CORE * core_share
        self.bucket = TokenBucket(rate, rate)

    def next_heartbeat_in_s(self, machine: Machine, now: MonotonicTime) -> float:
        """Estimate the seconds until a worker's next heartbeat, early if one may be requested."""
        since = now - machine.heard_at if machine.heard_at is not None else math.inf
        due = max(0.0, self._term.settings.params.workers.report_s - since)
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            return due
        if self._may_bump_token(machine, now) or (
            machine.ended_attempts and clear_commands(self._term, machine)
        ):
            return min(due, max(MIN_EARLY_HEARTBEAT_S, MIN_HEARTBEAT_GAP_S - since))
        return due

    def request(self, machine: Machine, now: MonotonicTime, urgent: bool = False) -> None:
        """Ask a worker for an early heartbeat, so that its starts need not wait for the next one.

        Only machines with starts to fetch are asked, and within a rate unless it is urgent: a
        message to every machine after each write took most of a leader's processor time when there
        were hundreds of machines. All else that there is to send goes in the responses.
        """
        if machine.heard_at is None:
            return
        report_s = self._term.settings.params.workers.report_s
        if not urgent and now - machine.heard_at > EARLY_HEARTBEAT_WITHIN * report_s:
            return  # the next heartbeat is due anyway
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            # A response with the lower token, overtaken by this message, would be dropped.
            return
        clears = bool(machine.ended_attempts) and bool(clear_commands(self._term, machine))
        if not clears and not self._may_bump_token(machine, now):
            return
        if not self.bucket.try_acquire() and not urgent:
            return
        if not clears:
            machine.token_bumped_at = now
            machine.token_bumps += 1
        self._direct_messages.schedule(machine)

    def _may_bump_token(self, machine: Machine, now: MonotonicTime) -> bool:
        if machine.token_bumps >= MAX_TOKEN_BUMPS:
            return False
        gap = TOKEN_BUMP_EVERY * self._term.settings.params.workers.lease_s
        return machine.token_bumped_at is None or now - machine.token_bumped_at >= gap
