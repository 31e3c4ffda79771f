"""Unhealthy machines: those better released, and replaced, than waited for.

Pure: the machines and the clock go in, the releases come out.
"""

from __future__ import annotations

from collections.abc import Iterable

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.config.policy import Policy
from ryewing.config.settings import WorkerTimes
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime

UNHEARD_EXTRA_S = 0.5
"""Added to the longest reconciliation for a machine that this term has not heard."""
MIN_BOOT_PATIENCE_S = 60.0
"""The least time that a machine gets to boot: one released sooner costs as much."""
LATE_AFTER = 1.3
"""Heartbeat intervals, a little more than the longest one, after which a heartbeat is late."""
MANY_DIVISOR = 3
"""More than this fraction (one in three) of the known machines late at once, and the fault may be
the leader's own."""
MANY_MIN = 2
"""Up to so many late machines are never too many."""


def unhealthy_machines(
    machines: Iterable[Machine],
    began_at: MonotonicTime,
    times: WorkerTimes,
    policy: Policy,
    now: MonotonicTime,
) -> list[Release]:
    """Return the machines that never booted, fell silent or don't acknowledge, in this order.

    `began_at` is when the term began. When many machines fall silent at once, the fault may be on
    this side; then each is released only after its lease has expired, when nothing on it can be
    lost.
    """
    never_booted: list[Machine] = []
    silent: list[Machine] = []
    unacknowledging: list[Machine] = []
    late = known = 0
    for machine in machines:
        since = _heard_since(machine, began_at)
        if since is None:
            if now - machine.rented_at > _boot_patience_s(machine, policy):
                never_booted.append(machine)
            continue
        known += 1
        late += now - since > LATE_AFTER * times.report_s
        unacknowledged_since = machine.unacknowledged_since
        if now - since > _silence_s(machine, policy):
            silent.append(machine)
        elif unacknowledged_since is not None and now - unacknowledged_since > times.lease_s:
            unacknowledging.append(machine)
    # Judged by the machines late by one heartbeat, not by those silent for long: when all fall
    # silent at once, their last heartbeats lie up to an interval apart.
    most = max(MANY_MIN, known // MANY_DIVISOR)
    few = late <= most
    releases = [Release(machine, ReleaseReason.NEVER_BOOTED) for machine in never_booted]
    releases += [
        Release(machine, ReleaseReason.SILENT)
        for machine in silent
        if few or machine.lease_expires_by is None
    ]
    if few and len(unacknowledging) <= most:
        # Their heartbeats arrive, our responses don't: they can't be used, but are paid for.
        releases += [Release(machine, ReleaseReason.UNACKNOWLEDGING) for machine in unacknowledging]
    return releases


def _heard_since(machine: Machine, began_at: MonotonicTime) -> MonotonicTime | None:
    """Return since when a machine has been silent; None if it may never have booted."""
    if machine.heard_at is not None:
        return machine.heard_at
    return began_at if machine.recorded else None  # recorded: it was heard in an earlier term


def _boot_patience_s(machine: Machine, policy: Policy) -> float:
    """Return how many seconds a machine may take from its rental to its first heartbeat."""
    return max(policy.boot_patience * machine.machine_type.boot_s, MIN_BOOT_PATIENCE_S)


def _silence_s(machine: Machine, policy: Policy) -> float:
    """Return how many seconds a machine may be silent.

    One that has neither answered the handshake nor sent a heartbeat since the failover blocks
    whatever it may hold, so it is waited for hardly longer than the reconciliation lasts.
    """
    if machine.heard_at is None:
        return min(policy.silence_s, policy.gather_s + UNHEARD_EXTRA_S)
    return policy.silence_s
