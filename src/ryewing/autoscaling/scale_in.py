"""Scale-in: which machines to cordon, and which idle ones to release.

Pure: the machines, what waits and the clock go in; the chosen machines come out.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ryewing.autoscaling.options import price
from ryewing.config.policy import Policy
from ryewing.scheduling import Unplaced
from ryewing.scheduling.machine_suitability import allows
from ryewing.state.machine import Machine
from ryewing.state.resources import fits_machine_type
from ryewing.units import MachineId, MonotonicTime

GPU_SURPLUS = 1.2
"""How many times the GPUs lately wanted are kept in machines that take work."""
CORDON_DRAIN = 0.25
"""Machines are cordoned only while waiting work without GPUs would end within this share of the
drain target."""


def machines_to_cordon(
    machines: Iterable[Machine], gpus_wanted: float, drain_s: float, policy: Policy
) -> set[MachineId]:
    """Return the machines with GPUs that should take no more work, the most expensive first.

    `gpus_wanted` is how many GPUs jobs use and ask for, `drain_s` the seconds in which all machines
    would work off the waiting tasks without GPUs.

    Work without GPUs keeps every machine busy, so one with GPUs would never become idle: with two
    thirds of the GPUs in use, all of them were paid for. Nothing is cordoned while work without
    GPUs would wait for long, since then the CPUs of these machines are wanted too.
    """
    if drain_s > CORDON_DRAIN * policy.drain_target_s:
        return set()
    with_gpus = [
        machine
        for machine in machines
        if machine.machine_type.gpus > 0 and machine.acknowledges and not machine.quarantined
    ]
    # The cheapest GPUs are kept, and at the same price the machines with replicas.
    with_gpus.sort(
        key=lambda machine: (
            price(machine.machine_type, machine.spot) / machine.machine_type.gpus,
            not has_replicas(machine),
            machine.id,
        )
    )
    gpus_to_keep = GPU_SURPLUS * gpus_wanted
    chosen = set()
    for machine in with_gpus:
        if gpus_to_keep <= 0:
            chosen.add(machine.id)
        gpus_to_keep -= machine.machine_type.gpus
    return chosen


def has_replicas(machine: Machine) -> bool:
    """Return whether any replica of a service is on a machine: it would have to be moved."""
    return any(
        assignment.job is not None and assignment.job.is_service
        for assignment in machine.assignments.values()
    )


def scale_in_candidates(
    machines: Iterable[Machine],
    unplaced: Sequence[Unplaced],
    policy: Policy,
    now: MonotonicTime,
) -> list[Machine]:
    """Return the idle machines that no waiting task could use.

    Cordoned machines are returned as soon as they are idle, others after the policy's
    `idle_return_s` seconds. A machine with GPUs isn't kept for work without GPUs: that is expensive
    capacity.
    """
    chosen = []
    for machine in machines:
        if machine.assignments or machine.being_released or machine.heard_at is None:
            continue
        if machine.cordoned:
            chosen.append(machine)
            continue
        if now - machine.idle_since < policy.idle_return_s and not machine.quarantined:
            continue
        if not machine.quarantined and any(
            allows(job.spec, machine)
            and fits_machine_type(job.spec, machine.machine_type)
            and (job.spec.gpus > 0 or not machine.machine_type.gpus)
            for job, _tasks in unplaced
        ):
            continue
        chosen.append(machine)
    return chosen
