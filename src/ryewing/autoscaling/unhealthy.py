"""Selects unhealthy machines to release; scale-out replaces them if they are needed.

Pure functions of the machines, the settings, the policy and the current time.
"""

from __future__ import annotations

from collections.abc import Iterable

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.config.policy import Policy
from ryewing.config.settings import WorkerTimes
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime

UNHEARD_MARGIN_S = 0.5
"""Seconds added to the maximum duration of the reconciliation (`gather_s`) to get the silence
timeout of a machine from which this term has received nothing."""
MIN_BOOT_TIMEOUT_S = 60.0
"""The minimum boot timeout in seconds. Releasing a machine sooner does not reduce its cost."""
LATE_AFTER_INTERVALS = 1.3
"""The number of `report_s` after which a heartbeat is late: slightly above the longest interval."""
MASS_FAILURE_DIVISOR = 3
"""If more than one in this many known machines are late at once, the cause may be on the leader's
side."""
MASS_FAILURE_MIN = 2
"""Up to this many late machines are never treated as a mass failure."""


def unhealthy_machines(
    machines: Iterable[Machine],
    term_started_at: MonotonicTime,
    times: WorkerTimes,
    policy: Policy,
    now: MonotonicTime,
) -> list[Release]:
    """Return the machines that never booted, are silent or do not acknowledge, in this order.

    If many machines are late at once, the cause may be on the leader's side. Silent machines are
    then released only after their leases have expired, when no task on them can be lost, and
    unacknowledging ones are kept.
    """
    never_booted: list[Machine] = []
    silent: list[Machine] = []
    unacknowledging: list[Machine] = []
    late = known = 0
    for machine in machines:
        silent_since = _silent_since(machine, term_started_at)
        if silent_since is None:
            if now - machine.rented_at > _boot_timeout_s(machine, policy):
                never_booted.append(machine)
            continue
        known += 1
        late += now - silent_since > LATE_AFTER_INTERVALS * times.report_s
        unacknowledged_since = machine.unacknowledged_since
        if now - silent_since > _silence_timeout_s(machine, policy):
            silent.append(machine)
        elif unacknowledged_since is not None and now - unacknowledged_since > times.lease_s:
            unacknowledging.append(machine)
    # Counts machines with a late heartbeat, not those past the silence timeout: if all fall silent
    # at once, they reach the timeout up to one heartbeat interval apart.
    max_late = max(MASS_FAILURE_MIN, known // MASS_FAILURE_DIVISOR)
    few_late = late <= max_late
    releases = [Release(machine, ReleaseReason.NEVER_BOOTED) for machine in never_booted]
    releases += [
        Release(machine, ReleaseReason.SILENT)
        for machine in silent
        if few_late or machine.lease_expires_by is None
    ]
    if few_late and len(unacknowledging) <= max_late:
        # The heartbeats of these machines arrive, but the leader's responses do not reach them, so
        # they cost money but can't run tasks.
        releases += [Release(machine, ReleaseReason.UNACKNOWLEDGING) for machine in unacknowledging]
    return releases


def _silent_since(machine: Machine, term_started_at: MonotonicTime) -> MonotonicTime | None:
    """Return the time since which a machine has been silent; None if it may never have booted."""
    if machine.heard_at is not None:
        return machine.heard_at
    # If the machine is recorded, an earlier term received a heartbeat from it.
    return term_started_at if machine.recorded else None


def _boot_timeout_s(machine: Machine, policy: Policy) -> float:
    """Return the timeout in seconds from the rental of a machine to its first heartbeat."""
    return max(policy.boot_patience * machine.machine_type.boot_s, MIN_BOOT_TIMEOUT_S)


def _silence_timeout_s(machine: Machine, policy: Policy) -> float:
    """Return the timeout in seconds after which a machine without heartbeats is released.

    A machine that has neither answered the handshake nor sent a heartbeat since the failover blocks
    the tasks that it may hold, so its timeout is only slightly longer than the reconciliation.
    """
    if machine.heard_at is None:
        return min(policy.silence_s, policy.gather_s + UNHEARD_MARGIN_S)
    return policy.silence_s
