"""The backlog of unplaced work, relative to the resources of the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ryewing.scheduling import Unplaced
from ryewing.state.machine import Machine


def drain_s(machines: Iterable[Machine], unplaced: Sequence[Unplaced]) -> float:
    """Estimate the seconds that all machines would need for the unplaced work without GPUs.

    Services don't count, because they never end.
    """
    cpus = sum(machine.machine_type.cpus for machine in machines if machine.is_schedulable())
    work = sum(
        count * job.spec.cpus * job.estimate_s()
        for job, count in unplaced
        if job.spec.gpus <= 0 and not job.is_service
    )
    return work / max(cpus, 1.0)


def backlog_share(machines: Iterable[Machine], unplaced: Sequence[Unplaced]) -> float:
    """Return the resources that unplaced tasks need, as a share of the schedulable machines' total.

    This is the larger of the shares of CPUs and of GPUs.
    """
    schedulable = [machine for machine in machines if machine.is_schedulable()]
    cpus = sum(count * job.spec.cpus for job, count in unplaced)
    gpus = sum(count * job.spec.gpus for job, count in unplaced)
    return max(
        cpus / max(1.0, sum(machine.machine_type.cpus for machine in schedulable)),
        gpus / max(1.0, sum(machine.machine_type.gpus for machine in schedulable)),
    )
