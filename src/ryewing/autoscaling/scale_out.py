"""Scale-out: plans which machines to rent for the tasks that booting machines cannot hold.

Pure functions of the waiting jobs, the machines, the backoff and the current time. The leader
records a rental request for each plan before sending it, so that nothing is rented twice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ryewing.autoscaling.booting_room import BootingCapacity, zone_headroom
from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.options import RentalOption, price, share_of_machine, tasks_per_machine
from ryewing.config.policy import Policy
from ryewing.scheduling import Unplaced
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime
from ryewing.wire.cloud import MachineType


class ScaleOutPlan:
    """The number of machines to rent, and the options for renting them, the cheapest first."""

    __slots__ = ("machine_count", "options")

    def __init__(self, options: list[RentalOption], machine_count: int) -> None:
        self.options = options
        self.machine_count = machine_count


def rental_options(
    job: Job, machine_types: dict[str, MachineType], backoff: CapacityBackoff, now: MonotonicTime
) -> list[RentalOption]:
    """Return the options that could be rented for a job, the cheapest per task first.

    Options that the job does not allow, that are too small for its tasks or that are in backoff are
    left out. Boot and image fetch times are ignored, because prices differ more between machine
    types.
    """
    spec = job.spec
    options_by_cost: list[tuple[float, RentalOption]] = []
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
                    options_by_cost.append((share * price(machine_type, spot), option))
    options_by_cost.sort()
    return [option for _cost, option in options_by_cost]


def plan_scale_out(
    unplaced: Sequence[Unplaced],
    booting: Sequence[Machine],
    machine_types: dict[str, MachineType],
    backoff: CapacityBackoff,
    policy: Policy,
    now: MonotonicTime,
) -> list[ScaleOutPlan]:
    """Return plans for the unplaced tasks that booting machines cannot hold, in the jobs' order.

    A job that is spread over zones may have at most half its tasks in one zone. Without that limit
    here, machines were repeatedly rented for a job in a zone where no more of its tasks could run.
    """
    booting_capacity = BootingCapacity(booting)
    plans: list[ScaleOutPlan] = []
    for job, count in unplaced:
        tasks_by_zone: Counter[str] = Counter()
        remaining = count - booting_capacity.allocate(job, count, tasks_by_zone)
        if remaining <= 0:
            continue
        options = rental_options(job, machine_types, backoff, now)
        while remaining > 0 and options:
            best = options[0]
            tasks = min(remaining, zone_headroom(job, best.zone) - tasks_by_zone[best.zone])
            if tasks > 0:
                remaining -= tasks
                tasks_by_zone[best.zone] += tasks
                machine_type = machine_types[best.machine_type]
                _add_plan(plans, options, _machines_for(job, tasks, machine_type, policy))
            options = [option for option in options if option.zone != best.zone]
    return plans


def _machines_for(job: Job, tasks: int, machine_type: MachineType, policy: Policy) -> int:
    """Return how many machines of a type to rent for some of a job's tasks.

    A gang or a service needs capacity for all of these tasks at once. An array needs only enough
    machines to work them off within about the policy's `drain_target_s`.
    """
    tasks_at_once = tasks_per_machine(job.spec, machine_type)
    if job.is_gang or job.is_service:
        return -(-tasks // tasks_at_once)
    rounds = max(1.0, policy.drain_target_s / job.estimate_s())
    return max(1, round(tasks / tasks_at_once / rounds))


def _add_plan(plans: list[ScaleOutPlan], options: list[RentalOption], machines: int) -> None:
    """Add machines to the plan with the same best option, or add a new plan if there is none.

    All machines of an option are requested at once, because the cloud limits the request rate.
    """
    for plan in plans:
        if plan.options[0] == options[0]:
            plan.machine_count += machines
            return
    plans.append(ScaleOutPlan(options, machines))
