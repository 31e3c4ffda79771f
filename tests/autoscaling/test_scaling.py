"""Which machines to rent, to release and to ask for again later."""

from __future__ import annotations

import pytest
from support.fakes import job, policy
from support.placement_world import MACHINE_TYPES, T0, World

from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.scale_in import scale_in_candidates
from ryewing.autoscaling.scale_out import options_for, plan_scale_out
from ryewing.scheduling import Unplaced
from ryewing.units import MonotonicTime


def test_renting_counts_what_is_booting() -> None:
    world = World()
    booting = [world.machine("i-1")]
    unplaced = [Unplaced(job(task_count=8), 8)]
    assert plan_scale_out(unplaced, booting, MACHINE_TYPES, CapacityBackoff(), policy(), T0) == []
    [plan] = plan_scale_out(unplaced, [], MACHINE_TYPES, CapacityBackoff(), policy(), T0)
    assert plan.machine_count == 1
    assert plan.options[0].machine_type == "c32"


def test_spot_machines_only_for_jobs_that_may() -> None:
    assert all(
        not option.spot for option in options_for(job(), MACHINE_TYPES, CapacityBackoff(), T0)
    )
    assert options_for(job(spot=True), MACHINE_TYPES, CapacityBackoff(), T0)[0].spot


def test_no_capacity_turns_to_the_next_option_and_back() -> None:
    backoff, one = CapacityBackoff(), job()
    first = options_for(one, MACHINE_TYPES, backoff, T0)[0]
    backoff.record_no_capacity(first, T0)
    assert options_for(one, MACHINE_TYPES, backoff, T0)[0] != first
    assert options_for(one, MACHINE_TYPES, backoff, MonotonicTime(T0 + 21.0))[0] == first


@pytest.mark.parametrize(
    ("idle_s", "waiting", "assignments", "returned"),
    [
        (10.0, False, False, False),
        (50.0, False, False, True),
        (50.0, True, False, False),
        (50.0, False, True, False),
    ],
)
def test_idle_machines_are_returned(
    idle_s: float, waiting: bool, assignments: bool, returned: bool
) -> None:
    world = World()
    machine = world.machine("i-1")
    machine.heard_at = T0
    if assignments:
        world.run_tasks(world.job("run-9"), machine, 1)
    unplaced = [Unplaced(job(), 1)] if waiting else []
    chosen = scale_in_candidates([machine], unplaced, policy(), MonotonicTime(T0 + idle_s))
    assert (chosen == [machine]) is returned
