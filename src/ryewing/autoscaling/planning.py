"""Which machines to rent and to return.

Pure: what is short, what is there and the clock go in; rental plans come out. The leader turns them
into requests, whose names and answers are recorded so that nothing is rented twice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from ryewing.config.policy import Policy
from ryewing.scheduling.machine_suitability import allows
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.state.resources import EPSILON, count_fitting, fits_machine_type
from ryewing.units import MachineId, MonotonicTime, Zone
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec

Option = tuple[str, str, bool]
"""Type, zone, spot."""

SPARE_GPUS = 1.2
"""How many times the GPUs lately wanted are kept."""
CORDON_DRAIN = 0.25
"""The part of the drain target within which waiting work without GPUs must end."""
NO_CAPACITY_S = 20.0
NO_CAPACITY_MAX_S = 120.0


class CapacityBackoff:
    """What the cloud was seen not to have, and until when it isn't asked again."""

    def __init__(self) -> None:
        self._until: dict[Option, MonotonicTime] = {}
        self._pause: dict[Option, float] = {}

    def refused(self, option: Option, now: MonotonicTime) -> None:
        """There was none; back off, longer each time."""
        pause = self._pause.get(option, 0.5 * NO_CAPACITY_S) * 2
        pause = min(pause, NO_CAPACITY_MAX_S)
        self._pause[option] = pause
        self._until[option] = MonotonicTime(now + pause)

    def granted(self, option: Option) -> None:
        """There was some."""
        self._pause.pop(option, None)
        self._until.pop(option, None)

    def may_request(self, option: Option, now: MonotonicTime) -> bool:
        """Tell whether it is worth asking."""
        return now >= self._until.get(option, MonotonicTime(0.0))


class ScaleOutPlan:
    """Machines to be rented: the options from the best on, and how many."""

    __slots__ = ("count", "options")

    def __init__(self, options: list[Option], count: int) -> None:
        self.options = options
        self.count = count


def tasks_per_machine(spec: JobSpec, machine_type: MachineType) -> int:
    """Tell how many tasks of a job an empty machine takes."""
    if not fits_machine_type(spec, machine_type):
        return 0
    return count_fitting(
        spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, spec.task_count
    )


def price(machine_type: MachineType, spot: bool) -> float:
    """Give the price an hour; a type without a spot price can't be had as spot."""
    if not spot:
        return machine_type.price
    return machine_type.spot_price if machine_type.spot_price is not None else machine_type.price


def options_for(
    job: Job, machine_types: dict[str, MachineType], backoff: CapacityBackoff, now: MonotonicTime
) -> list[Option]:
    """List what could be rented for a job, the best first.

    By the price of one task's place; what boots or fetches much slower than it saves is left
    to the order of prices, since the price difference between types is larger.
    """
    spec = job.spec
    scored: list[tuple[float, Option]] = []
    for machine_type in machine_types.values():
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        # Counted as if the job filled the machine: others will use the rest.
        places = tasks_per_machine(spec, machine_type)
        if places == 0:
            continue
        share = max(
            spec.cpus / machine_type.cpus if machine_type.cpus else 0.0,
            spec.gpus / machine_type.gpus if machine_type.gpus else 0.0,
            spec.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
        )
        if machine_type.gpus and not spec.gpus:
            share *= 4.0  # GPUs left idle are expensive; only if nothing else can be had
        for zone in machine_type.zones:
            if spec.zone is not None and zone != spec.zone:
                continue
            for spot in (True, False):
                if spot and (not spec.spot or machine_type.spot_price is None):
                    continue
                option = (machine_type.name, zone, spot)
                if backoff.may_request(option, now):
                    scored.append((share * price(machine_type, spot), option))
    scored.sort()
    return [option for _score, option in scored]


def zone_allowance(job: Job, zone: str) -> int:
    """Tell how many more of a job's tasks may go to a zone."""
    return job.zone_max - job.zones[Zone(zone)]


class _BootingMachine:
    """What a booting machine will have room for."""

    __slots__ = ("cpus", "gpus", "machine", "memory_gb")

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.cpus = machine.machine_type.cpus
        self.gpus = machine.machine_type.gpus
        self.memory_gb = machine.machine_type.memory_gb

    def take(self, spec: JobSpec, most: int) -> int:
        """Give room to as many tasks as fit, up to a limit."""
        count = count_fitting(spec, self.cpus, self.gpus, self.memory_gb, most)
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count
        return count

    def is_full(self, spec: JobSpec) -> bool:
        """Tell whether nothing is left of what tasks like these need."""
        return (
            (spec.cpus > 0 and self.cpus <= EPSILON)
            or (spec.gpus > 0 and self.gpus <= EPSILON)
            or (spec.memory_gb > 0 and self.memory_gb <= EPSILON)
        )


class _BootingRoom:
    """The machines that are booting, given to the jobs in their order."""

    def __init__(self, booting: Sequence[Machine]) -> None:
        self._machines = [_BootingMachine(machine) for machine in booting]
        self._allowed: dict[tuple[object, ...], list[_BootingMachine]] = {}
        """By what jobs allow and need, without what is full: looked for by every job among all
        machines, a start with thousands took most of a core."""

    def take(self, job: Job, wanted: int, taken: Counter[str]) -> int:
        """Give room to a job's tasks; return for how many. `taken`: where, by zone."""
        left = wanted
        machines = self._allowed_for(job.spec)
        full = 0
        for booting in machines:
            if left <= 0:
                break
            zone = booting.machine.zone
            count = booting.take(job.spec, min(left, zone_allowance(job, zone) - taken[zone]))
            taken[zone] += count
            left -= count
            full += booting.is_full(job.spec)
        if full:
            machines[:] = [booting for booting in machines if not booting.is_full(job.spec)]
        return wanted - left

    def _allowed_for(self, spec: JobSpec) -> list[_BootingMachine]:
        types = None if spec.machine_types is None else tuple(spec.machine_types)
        needs = (spec.cpus > 0, spec.gpus > 0, spec.memory_gb > 0)
        key = (types, spec.zone, spec.spot, needs)
        found = self._allowed.get(key)
        if found is None:
            found = [booting for booting in self._machines if allows(spec, booting.machine)]
            self._allowed[key] = found
        return found


def plan_scale_out(
    short: Sequence[tuple[Job, int]],
    booting: Sequence[Machine],
    machine_types: dict[str, MachineType],
    backoff: CapacityBackoff,
    policy: Policy,
    now: MonotonicTime,
) -> list[ScaleOutPlan]:
    """Turn what is short into machines to rent, beyond those that are booting."""
    room = _BootingRoom(booting)
    result: list[ScaleOutPlan] = []
    for job, count in short:
        taken: Counter[str] = Counter()
        """Where the tasks would be: a job that is spread gets half a zone at the most. Machines
        rented for it in a zone that it had filled were of no use to it, again and again."""
        left = count - room.take(job, count, taken)
        if left <= 0:
            continue
        options = options_for(job, machine_types, backoff, now)
        while left > 0 and options:
            name, zone, _spot = options[0]
            part = min(left, zone_allowance(job, zone) - taken[zone])
            if part > 0:
                left -= part
                taken[zone] += part
                _add_plan(result, options, _machines(job, part, machine_types[name], policy))
            options = [option for option in options if option[1] != zone]
    return result


def _machines(job: Job, count: int, machine_type: MachineType, policy: Policy) -> int:
    """Tell how many machines of a type some of a job's tasks are rented for."""
    places = tasks_per_machine(job.spec, machine_type)
    if job.is_gang or job.is_service:
        return -(-count // places)
    # An array needs no place of its own for every task: enough that it drains in time.
    rounds = max(1.0, policy.drain_target_s / job.estimate_s())
    return max(1, round(count / places / rounds))


def _add_plan(plan_scale_out: list[ScaleOutPlan], options: list[Option], machines: int) -> None:
    """Add to a plan for the same: one request for all of them, since the cloud takes few."""
    for plan in plan_scale_out:
        if plan.options[0] == options[0]:
            plan.count += machines
            return
    plan_scale_out.append(ScaleOutPlan(options, machines))


def has_replicas(machine: Machine) -> bool:
    """Tell whether replicas are here, which would have to be moved."""
    return any(
        assignment.job is not None and assignment.job.is_service
        for assignment in machine.assignments.values()
    )


def machines_to_cordon(
    machines: Iterable[Machine], gpus_wanted: float, drain_s: float, policy: Policy
) -> set[MachineId]:
    """Choose the machines with GPUs that should take no more work, the dearest first.

    Work without GPUs keeps every machine busy, so one with GPUs would never be idle: where two
    thirds of the GPUs were in use, all of them were paid for. Not while work without GPUs waits
    for long, since then its processors are wanted too.
    """
    if drain_s > CORDON_DRAIN * policy.drain_target_s:
        return set()
    with_gpus = [
        m for m in machines if m.machine_type.gpus > 0 and m.acknowledges and not m.quarantined
    ]
    with_gpus.sort(
        key=lambda m: (
            price(m.machine_type, m.spot) / m.machine_type.gpus,
            not has_replicas(m),
            m.id,
        )
    )
    wanted = SPARE_GPUS * gpus_wanted
    chosen = set()
    for machine in with_gpus:
        if wanted <= 0:
            chosen.add(machine.id)
        wanted -= machine.machine_type.gpus
    return chosen


def scale_in_candidates(
    machines: Iterable[Machine],
    waiting: Sequence[tuple[Job, int]],
    policy: Policy,
    now: MonotonicTime,
) -> list[Machine]:
    """Choose idle machines that nothing waiting could use.

    A machine with GPUs isn't kept for work without GPUs: that is expensive capacity.
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
            for job, _count in waiting
        ):
            continue
        chosen.append(machine)
    return chosen
