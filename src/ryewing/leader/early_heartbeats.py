"""Early heartbeats: makes a worker send its next heartbeat before it is due.

A start can only be sent in the response to a heartbeat. A worker sends a heartbeat at once when a
task is cleared or when its fencing token is raised, the latter at most once per half a lease.
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

TOKEN_BUMP_INTERVAL_LEASES = 0.51
"""The time between two raises of a worker's token, in leases: a worker sends an early heartbeat for
at most one raise per half a lease."""
EARLY_HEARTBEAT_MAX_INTERVALS = 0.7
"""No early heartbeat is requested this many intervals after the last one: the next is due soon."""
EARLY_HEARTBEATS_PER_CORE = 60.0
"""The rate limit of requests, per second and core. It bounds their cost to a tenth of the core's
time, because they only make starts a little sooner."""
MIN_HEARTBEAT_INTERVAL_S = 0.5
"""The shortest time between two heartbeats of a worker."""
MIN_EARLY_HEARTBEAT_S = 0.1
"""The lower bound of the estimated time until a requested early heartbeat arrives."""


class EarlyHeartbeats:
    """Requests early heartbeats of workers, within a rate limit."""

    def __init__(self, term: TermContext, direct_messages: DirectMessages) -> None:
        self._term = term
        self._direct_messages = direct_messages
        core_share = term.scope.share * term.settings.params.resources.core_share
        rate = EARLY_HEARTBEATS_PER_CORE * core_share
        self.bucket = TokenBucket(rate, rate)

    def next_heartbeat_in_s(self, machine: Machine, now: MonotonicTime) -> float:
        """Estimate the seconds until a worker's next heartbeat, requested early if possible."""
        since_s = now - machine.heard_at if machine.heard_at is not None else math.inf
        due_in_s = max(0.0, self._term.settings.params.workers.report_s - since_s)
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            return due_in_s
        if self._may_bump_token(machine, now) or (
            machine.ended_attempts and clear_commands(self._term, machine)
        ):
            return min(due_in_s, max(MIN_EARLY_HEARTBEAT_S, MIN_HEARTBEAT_INTERVAL_S - since_s))
        return due_in_s

    def request(self, machine: Machine, now: MonotonicTime, urgent: bool = False) -> None:
        """Request an early heartbeat, so that a worker's starts need not wait for the next one.

        This is only for machines with planned tasks, and rate-limited unless `urgent`: a message to
        every machine after each write took most of a leader's CPU time with hundreds of
        machines. All other commands wait for the next heartbeat response.
        """
        if machine.heard_at is None:
            return
        report_s = self._term.settings.params.workers.report_s
        if not urgent and now - machine.heard_at > EARLY_HEARTBEAT_MAX_INTERVALS * report_s:
            return  # the next heartbeat is due soon
        if any(assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()):
            # If this message overtook the response with the start, the worker would drop that
            # response because of its lower token.
            return
        has_clears = bool(machine.ended_attempts) and bool(clear_commands(self._term, machine))
        if not has_clears and not self._may_bump_token(machine, now):
            return
        if not self.bucket.try_acquire() and not urgent:
            return
        if not has_clears:
            machine.token_bumped_at = now
            machine.token_bumps += 1
        self._direct_messages.schedule(machine)

    def _may_bump_token(self, machine: Machine, now: MonotonicTime) -> bool:
        if machine.token_bumps >= MAX_TOKEN_BUMPS:
            return False
        min_interval_s = TOKEN_BUMP_INTERVAL_LEASES * self._term.settings.params.workers.lease_s
        return machine.token_bumped_at is None or now - machine.token_bumped_at >= min_interval_s
