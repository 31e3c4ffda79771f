"""Scale-in: selects machines to cordon and idle machines to release.

Pure functions of the machines, the waiting tasks, the policy and the current time.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ryewing.autoscaling.options import price
from ryewing.config.policy import Policy
from ryewing.scheduling import Unplaced
from ryewing.scheduling.machine_suitability import allows_machine
from ryewing.state.machine import Machine
from ryewing.state.resources import fits_machine_type
from ryewing.units import MachineId, MonotonicTime

GPU_HEADROOM_FACTOR = 1.2
"""Machines with this many times the GPUs of the recent peak demand stay uncordoned."""
CORDON_DRAIN_FRACTION = 0.25
"""Machines are cordoned only while the waiting tasks without GPUs would be worked off within this
fraction of the policy's `drain_target_s`."""


def machines_to_cordon(
    machines: Iterable[Machine], peak_gpu_demand: float, drain_s: float, policy: Policy
) -> set[MachineId]:
    """Return the machines with GPUs that should accept no more work, the most expensive ones.

    `peak_gpu_demand` is the recent peak number of GPUs that jobs use or request, `drain_s` the time
    in seconds in which all machines would work off the waiting tasks without GPUs.

    Without cordoning, tasks without GPUs keep every machine busy, so that machines with GPUs never
    become idle: with two thirds of the GPUs in use, all of them were paid for. Nothing is cordoned
    while tasks without GPUs would wait for long, because then they need the CPUs of these machines.
    """
    if drain_s > CORDON_DRAIN_FRACTION * policy.drain_target_s:
        return set()
    with_gpus = [
        machine
        for machine in machines
        if machine.machine_type.gpus > 0 and machine.acknowledges and not machine.quarantined
    ]
    # Keeps the machines with the cheapest GPUs, and at equal prices those with replicas.
    with_gpus.sort(
        key=lambda machine: (
            price(machine.machine_type, machine.spot) / machine.machine_type.gpus,
            not has_replicas(machine),
            machine.id,
        )
    )
    gpus_to_keep = GPU_HEADROOM_FACTOR * peak_gpu_demand
    to_cordon = set()
    for machine in with_gpus:
        if gpus_to_keep <= 0:
            to_cordon.add(machine.id)
        gpus_to_keep -= machine.machine_type.gpus
    return to_cordon


def has_replicas(machine: Machine) -> bool:
    """Return whether a machine holds a replica of a service, which a release would have to move."""
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
    """Return the idle machines to release: as a rule, those that no waiting task could use.

    Cordoned and quarantined machines are released as soon as they are idle, even if a waiting task
    could use them; other machines after the policy's `idle_return_s` seconds. Waiting tasks without
    GPUs do not keep a machine with GPUs, because its capacity is expensive.
    """
    candidates = []
    for machine in machines:
        if machine.assignments or machine.being_released or machine.heard_at is None:
            continue
        if machine.cordoned:
            candidates.append(machine)
            continue
        if now - machine.idle_since < policy.idle_return_s and not machine.quarantined:
            continue
        if not machine.quarantined and any(
            allows_machine(job.spec, machine)
            and fits_machine_type(job.spec, machine.machine_type)
            and (job.spec.gpus > 0 or not machine.machine_type.gpus)
            for job, _tasks in unplaced
        ):
            continue
        candidates.append(machine)
    return candidates
