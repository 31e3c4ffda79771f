"""Scale-out: which machines to rent for tasks that found no room, beyond those that are booting.

Pure: the waiting jobs, the machines, the backoff and the clock go in; plans come out. The leader
turns these into recorded rental requests, so that nothing is rented twice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ryewing.autoscaling.booting_room import BootingRoom, zone_allowance
from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.options import RentalOption, price, share_of_machine, tasks_per_machine
from ryewing.config.policy import Policy
from ryewing.scheduling import Unplaced
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime
from ryewing.wire.cloud import MachineType


class ScaleOutPlan:
    """Machines to rent: `machine_count` machines of one of `options`, the cheapest first."""

    __slots__ = ("machine_count", "options")

    def __init__(self, options: list[RentalOption], machine_count: int) -> None:
        self.options = options
        self.machine_count = machine_count


def options_for(
    job: Job, machine_types: dict[str, MachineType], backoff: CapacityBackoff, now: MonotonicTime
) -> list[RentalOption]:
    """Return what could be rented for a job, the cheapest for one task first.

    Left out is what the job doesn't allow or doesn't fit, and what the cloud lately did not have.
    The times to boot and to fetch images are not weighed: prices differ more between types.
    """
    spec = job.spec
    scored: list[tuple[float, RentalOption]] = []
    for machine_type in machine_types.values():
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        if tasks_per_machine(spec, machine_type) == 0:
            continue
        share = share_of_machine(spec, machine_type)
        for zone in machine_type.zones:
            if spec.zone is not None and zone != spec.zone:
                continue
            for spot in (True, False):
                if spot and (not spec.spot or machine_type.spot_price is None):
                    continue
                option = RentalOption(machine_type.name, zone, spot)
                if backoff.may_request(option, now):
                    scored.append((share * price(machine_type, spot), option))
    scored.sort()
    return [option for _cost, option in scored]


def plan_scale_out(
    unplaced: Sequence[Unplaced],
    booting: Sequence[Machine],
    machine_types: dict[str, MachineType],
    backoff: CapacityBackoff,
    policy: Policy,
    now: MonotonicTime,
) -> list[ScaleOutPlan]:
    """Return plans for the unplaced tasks that booting machines won't take, in the jobs' order.

    A job that is spread gets at most half its tasks in a zone. Machines rented for it in a zone
    that it had filled were of no use to it, again and again.
    """
    room = BootingRoom(booting)
    plans: list[ScaleOutPlan] = []
    for job, count in unplaced:
        taken: Counter[str] = Counter()  # the tasks that would be in each zone
        left = count - room.take(job, count, taken)
        if left <= 0:
            continue
        options = options_for(job, machine_types, backoff, now)
        while left > 0 and options:
            best = options[0]
            tasks = min(left, zone_allowance(job, best.zone) - taken[best.zone])
            if tasks > 0:
                left -= tasks
                taken[best.zone] += tasks
                machine_type = machine_types[best.machine_type]
                _add_plan(plans, options, _machines_for(job, tasks, machine_type, policy))
            options = [option for option in options if option.zone != best.zone]
    return plans


def _machines_for(job: Job, tasks: int, machine_type: MachineType, policy: Policy) -> int:
    """Return how many machines of a type to rent for some of a job's tasks.

    A gang or a service needs room for all of them at once. An array needs only as many machines as
    work it off within about the drain target.
    """
    tasks_at_once = tasks_per_machine(job.spec, machine_type)
    if job.is_gang or job.is_service:
        return -(-tasks // tasks_at_once)
    rounds = max(1.0, policy.drain_target_s / job.estimate_s())
    return max(1, round(tasks / tasks_at_once / rounds))


def _add_plan(plans: list[ScaleOutPlan], options: list[RentalOption], machines: int) -> None:
    """Add machines to the plan with the same best option, or a plan if there is none.

    One request asks for all machines of an option, since the cloud takes few requests.
    """
    for plan in plans:
        if plan.options[0] == options[0]:
            plan.machine_count += machines
            return
    plans.append(ScaleOutPlan(options, machines))
