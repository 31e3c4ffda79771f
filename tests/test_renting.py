"""Renting and returning machines, and those that fall silent."""

from __future__ import annotations

from typing import Any

import pytest
from stage import Stage
from standins import policy, settings

from ryewing.cloud import CloudDown
from ryewing.renter import REQUEST_PREFIX
from ryewing.units import MachineId
from ryewing.wire import ListedMachine
from ryewing.writer import MACHINE_PREFIX


def rent(stage: Stage) -> None:
    stage.place()
    stage.leader.renter.rent()


def test_a_successor_repeats_a_recorded_wish_under_its_name(stage: Stage) -> None:
    stage.accept(task_count=8)
    stage.leader.renter.id = lambda request: None  # type: ignore[method-assign]  # dies before asking
    rent(stage)
    assert len(stage.store.listing(REQUEST_PREFIX)[0]) == 1
    assert not stage.cloud.requests
    stage.new_leader(6)
    for request in list(stage.leader.renter.pending_requests.values()):
        stage.leader.renter.id(request)
    rent(stage)  # what is booting counts
    assert len(stage.cloud.requests) == 1
    stage.write()
    assert stage.store.listing(REQUEST_PREFIX)[0] == []
    assert len(stage.store.listing(MACHINE_PREFIX)[0]) == 1


def test_names_of_requests_differ_between_terms(stage: Stage) -> None:
    stage.accept(task_count=8)
    rent(stage)
    stage.new_leader(6)
    stage.accept("run-2", task_count=50)
    rent(stage)
    names = [request.id for request in stage.cloud.requests]
    assert len(names) == len(set(names)) >= 2


def test_an_unanswered_request_is_repeated_not_renewed(stage: Stage) -> None:
    stage.accept(task_count=8)

    def no_answer(_hire: Any) -> Any:
        raise CloudDown("timeout")

    real, stage.cloud.rent = stage.cloud.rent, no_answer  # type: ignore[assignment,method-assign]
    with pytest.raises(CloudDown):
        rent(stage)
    stage.cloud.rent = real  # type: ignore[method-assign]
    [pending] = stage.leader.renter.pending_requests.values()
    stage.leader.renter.id(pending)
    assert [request.id for request in stage.cloud.requests] == [pending.id]


def test_nothing_is_rented_without_the_lease(stage: Stage) -> None:
    stage.accept(task_count=8)
    rent_wish = stage.leader.renter.pending_requests
    stage.place()
    stage.later(3.1, renewed=False)
    stage.leader.renter.rent()
    assert not stage.cloud.requests
    assert len(rent_wish) == 1  # recorded, to be asked for once the lease is confirmed


def test_a_booting_machine_keeps_a_successor_from_nothing(stage: Stage) -> None:
    """Found on a rolling restart: each new leader waited for machines that had never reported."""
    stage.accept(task_count=8)
    rent(stage)
    stage.write()
    stage.new_leader(6)
    assert len(stage.leader.ctx.cluster.machines) == 1
    assert stage.leader.placer.ready_to_place()


def test_a_failed_release_leaves_the_machine_in_use(stage: Stage) -> None:
    """Found on a quiet day: refused for the cloud's rate, machines were left out for good."""
    worker = stage.ready_worker()
    machine = stage.leader.ctx.cluster.machines[MachineId(worker.name)]

    def refused(_machines: Any) -> None:
        raise CloudDown("429")

    stage.cloud.release = refused  # type: ignore[assignment,method-assign]
    with pytest.raises(CloudDown):
        stage.leader.renter.release([(machine, "idle")])
    assert machine.usable()


@pytest.mark.parametrize(
    ("lists", "heard", "known"),
    [
        ([True], False, True),
        ([True, False], False, True),  # a list may be older than the one before it
        ([True, False, True, False], False, True),
        ([True, False, False], False, False),
        ([True, False, False], True, True),
        ([True, False, False, True], False, True),
    ],
)
def test_what_a_predecessor_returned_is_not_waited_for(
    stage: Stage, lists: list[bool], heard: bool, known: bool
) -> None:
    """Lists are old: a new leader took up machines that were gone, and counted them as booting."""
    worker = stage.worker()
    for shown in lists:
        host = ListedMachine(worker.name, "c32", "a", "running", "", False, 5.0)
        stage.cloud.listed = [host] if shown else []
        stage.leader.renter._list()
        if heard:
            stage.exchange(worker)
    assert (MachineId(worker.name) in stage.leader.ctx.cluster.machines) is known
    stage.accept(task_count=8)
    stage.place()
    stage.leader.renter.rent()
    assert bool(stage.cloud.requests) is not known


@pytest.mark.parametrize(("machines", "silent", "given_up"), [(9, 2, 2), (9, 6, 0)])
def test_silent_machines_are_released_unless_they_are_many(
    stage: Stage, machines: int, silent: int, given_up: int
) -> None:
    """Many silent at once may mean that the fault is here: nothing is released in haste."""
    workers = [stage.worker(f"i-{n:06d}") for n in range(machines)]
    stage.ready(*workers)
    stage.later(policy().silence_s + 1.0)
    for worker in workers[silent:]:
        stage.exchange(worker)
    assert len(stage.leader.renter.to_give_up(stage.clock())) == given_up
    stage.later(settings().params.workers.lease_s)
    for worker in workers[silent:]:
        stage.exchange(worker)
    stage.leader.ctx.cluster.expire(stage.clock())
    assert len(stage.leader.renter.to_give_up(stage.clock())) == silent


def test_machines_of_an_earlier_term_are_given_up_once_their_lease_is_over(stage: Stage) -> None:
    """Found in inc-08d3: those never heard since a take-over were waited for like booting ones."""
    workers = [stage.worker(f"i-{n:06d}") for n in range(6)]
    stage.ready(*workers)
    stage.new_leader(6)
    for worker in workers[4:] * 2:
        stage.exchange(worker)
    bound = policy().hold_s + settings().params.workers.lease_s
    for _ in range(int(bound / 2) + 3):
        stage.later(2.0)
        for worker in workers[4:]:
            stage.exchange(worker)
    stage.leader.ctx.cluster.expire(stage.clock())
    chosen = stage.leader.renter.to_give_up(stage.clock())
    assert sorted((machine.id, why) for machine, why in chosen) == [
        (worker.name, "silent") for worker in workers[:4]
    ]


def test_machines_falling_silent_one_after_another_are_not_released(stage: Stage) -> None:
    """Found on a day of our own: the first of many to fall silent looked like few."""
    workers = [stage.worker(f"i-{n:06d}") for n in range(9)]
    stage.ready(*workers)
    for worker in workers[3:]:
        stage.later(0.3)
        stage.exchange(worker)
    stage.later(policy().silence_s - 1.0)  # the first three are silent, the others only late
    assert stage.leader.renter.to_give_up(stage.clock()) == []


def test_asking_many_silent_machines_never_waits(stage: Stage) -> None:
    """Found on a day of our own: a full pool of senders interrupted a loop over the machines."""
    workers = [stage.worker(f"i-{n:06d}") for n in range(100)]
    stage.ready(*workers)
    del stage.leader.dispatch.send_soon
    spawned: list[object] = []
    stage.leader.dispatch._senders.spawn = lambda *args: spawned.append(args)
    stage.later(policy().silence_s)
    stage.leader.dispatch.probe(stage.clock())
    stage.leader.dispatch.probe(stage.clock())
    assert len(spawned) == 100  # one each, at once, and none twice


@pytest.mark.parametrize(("silent", "cut"), [(2, False), (6, False), (7, True), (9, True)])
def test_a_leader_that_hears_hardly_any_worker_resigns(
    stage: Stage, silent: int, cut: bool
) -> None:
    workers = [stage.worker(f"i-{n:06d}") for n in range(9)]
    stage.ready(*workers)
    stage.later(policy().silence_s + 1.0)
    for worker in workers[silent:]:
        stage.exchange(worker)
    assert stage.leader.is_cut_from_workers(stage.clock()) is cut
