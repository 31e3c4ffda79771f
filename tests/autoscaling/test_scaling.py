"""Scale-out, scale-in and the backoff from options without capacity."""

from __future__ import annotations

import pytest
from support.fakes import job, policy
from support.placement_world import MACHINE_TYPES, T0, World

from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.scale_in import scale_in_candidates
from ryewing.autoscaling.scale_out import plan_scale_out, rental_options
from ryewing.scheduling import Unplaced
from ryewing.units import MonotonicTime


def test_scale_out_counts_booting_machines() -> None:
    world = World()
    booting = [world.machine("i-1")]
    unplaced = [Unplaced(job(task_count=8), 8)]
    assert plan_scale_out(unplaced, booting, MACHINE_TYPES, CapacityBackoff(), policy(), T0) == []
    [plan] = plan_scale_out(unplaced, [], MACHINE_TYPES, CapacityBackoff(), policy(), T0)
    assert plan.machine_count == 1
    assert plan.options[0].machine_type == "c32"


def test_spot_options_only_for_jobs_that_allow_spot() -> None:
    assert all(
        not option.spot for option in rental_options(job(), MACHINE_TYPES, CapacityBackoff(), T0)
    )
    assert rental_options(job(spot=True), MACHINE_TYPES, CapacityBackoff(), T0)[0].spot


def test_option_without_capacity_is_skipped_during_its_backoff() -> None:
    backoff, waiting_job = CapacityBackoff(), job()
    cheapest = rental_options(waiting_job, MACHINE_TYPES, backoff, T0)[0]
    backoff.record_no_capacity(cheapest, T0)
    assert rental_options(waiting_job, MACHINE_TYPES, backoff, T0)[0] != cheapest
    assert (
        rental_options(waiting_job, MACHINE_TYPES, backoff, MonotonicTime(T0 + 21.0))[0] == cheapest
    )


@pytest.mark.parametrize(
    ("idle_s", "waiting", "assignments", "released"),
    [
        (10.0, False, False, False),
        (50.0, False, False, True),
        (50.0, True, False, False),
        (50.0, False, True, False),
    ],
)
def test_idle_machines_are_released(
    idle_s: float, waiting: bool, assignments: bool, released: bool
) -> None:
    world = World()
    machine = world.machine("i-1")
    machine.heard_at = T0
    if assignments:
        world.run_tasks(world.job("run-9"), machine, 1)
    unplaced = [Unplaced(job(), 1)] if waiting else []
    candidates = scale_in_candidates([machine], unplaced, policy(), MonotonicTime(T0 + idle_s))
    assert (candidates == [machine]) is released
