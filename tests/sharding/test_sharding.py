"""Shards: their settings, the transfer of ownership, and the assignment of owners."""

from __future__ import annotations

import itertools
import random
import sys
from typing import Any

import msgspec
import pytest
from support.fakes import RAW_SETTINGS, Clock, settings
from support.planner_inputs import random_inputs
from support.timed_store import StoreLink, TimedStore

from ryewing.cli import main
from ryewing.clients.store import StoreUnavailableError
from ryewing.sharding import exact, greedy, planner
from ryewing.sharding.load import cost, moved_shards
from ryewing.sharding.ownership import (
    MoveRefusedError,
    Ownership,
    Phase,
    begin_move,
    finish_move,
    initial_record,
    repair,
    settle_move,
)
from ryewing.sharding.registry import OWNER_PREFIX, DivisionDiffersError, ShardRegistry
from ryewing.sharding.settings import ShardSettings, ShardSpec, find_problems
from ryewing.units import NodeName, ShardName

NODES = [NodeName(name) for name in ("n-0", "n-1", "n-2")]
SHARD = ShardName("east")


@pytest.mark.parametrize(
    ("shards", "message"),
    [
        pytest.param([], "shards: no shards are defined", id="no_shards"),
        pytest.param([("a", "abc")], None, id="one_shard"),
        pytest.param([("a", "a"), ("b", "bc")], None, id="two_shards"),
        pytest.param([("a", "ab"), ("b", "bc")], "'b' is in 'a' already", id="zone_in_two_shards"),
        pytest.param([("a", "ab")], "no shard has zone 'c'", id="zone_in_no_shard"),
        pytest.param([("a", "abcd")], "unknown zone 'd'", id="unknown_zone"),
        pytest.param(
            [("a", "ab"), ("a", "c")], "shards[1].name: 'a' appears twice", id="name_used_twice"
        ),
        pytest.param([("a/b", "abc")], "letters, digits and hyphens", id="bad_name"),
        pytest.param(
            [("a", "abc", "n-9")], "unknown controller 'n-9'", id="pinned_to_unknown_controller"
        ),
        pytest.param(
            [("a", "abc"), ("b", "")],
            "shards.b.zones: no zones are listed",
            id="shard_without_zones",
        ),
    ],
)
def test_check_command_reports_errors_in_a_division(
    tmp_path: Any, capsys: Any, shards: list[tuple[str, ...]], message: str | None
) -> None:
    """For an invalid division the exit code is not 0."""
    (tmp_path / "s.json").write_bytes(msgspec.json.encode(RAW_SETTINGS))
    specs = [
        {"name": name, "zones": list(zones), "pinned_to": pinned[0] if pinned else None}
        for name, zones, *pinned in shards
    ]
    (tmp_path / "d.json").write_bytes(msgspec.json.encode({"shards": specs}))
    code = main(["check", str(tmp_path / "s.json"), "--shards", str(tmp_path / "d.json")])
    assert code == (0 if message is None else 1)
    assert (message or "good, shards") in "".join(capsys.readouterr())


def test_second_division_of_the_fleet_is_refused() -> None:
    registry = ShardRegistry(TimedStore(Clock()))  # type: ignore[arg-type]
    division = ShardSettings((ShardSpec("a", ("a", "b", "c")),))
    assert not list(find_problems(division, settings()))
    registry.ensure_division(division)
    registry.ensure_division(division)
    with pytest.raises(DivisionDiffersError):
        registry.ensure_division(
            ShardSettings((ShardSpec("a", ("a",)), ShardSpec("b", ("b", "c"))))
        )


@pytest.mark.parametrize(
    ("record", "target"),
    [
        pytest.param(initial_record(NODES[0]), "n-0", id="to_its_owner"),
        pytest.param(initial_record(NODES[0]), "n-9", id="to_unknown_controller"),
        pytest.param(Ownership("n-0", 2, Phase.SEALED, "n-1"), "n-2", id="while_sealed"),
        pytest.param(Ownership("n-0", 3, Phase.SETTLED, "n-1"), "n-2", id="while_settled"),
    ],
)
def test_impossible_move_is_refused(record: Ownership, target: str) -> None:
    with pytest.raises(MoveRefusedError):
        begin_move(record, NodeName(target), set(NODES))


def test_unreadable_record_blocks_steps_of_its_own_shard_only() -> None:
    store = TimedStore(Clock())
    registry = ShardRegistry(store)  # type: ignore[arg-type]
    store.write_raw(OWNER_PREFIX + SHARD, b'{"owner":7}')
    shards = registry.read([SHARD, ShardName("west")]).shards
    assert registry.apply_step(SHARD, shards[SHARD], lambda _: initial_record(NODES[0])) is None
    west = registry.apply_step(
        ShardName("west"), shards[ShardName("west")], lambda _: Ownership("n-1", 1)
    )
    assert west is not None
    assert msgspec.structs.replace(west, changed_at=0.0) == Ownership("n-1", 1)


@pytest.mark.parametrize(
    ("record", "campaigns", "starts"),
    [
        pytest.param(Ownership("n-0", 1), "n-0", "n-0", id="owned"),
        pytest.param(Ownership("n-0", 2, Phase.SEALED, "n-1"), None, None, id="sealed"),
        pytest.param(Ownership("n-0", 3, Phase.SETTLED, "n-1"), "n-1", None, id="settled"),
    ],
)
def test_phase_decides_who_may_campaign_and_start_tasks(
    record: Ownership, campaigns: str | None, starts: str | None
) -> None:
    """No controller campaigns for a sealed shard; a settled shard's target reconciles first."""
    assert [node for node in NODES if record.may_campaign(node)] == [campaigns] * bool(campaigns)
    assert [node for node in NODES if record.may_start_tasks(node)] == [starts] * bool(starts)


class OwnershipSimulation:
    """Three controllers that apply steps to one shard's record, over a store with faults."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.store = TimedStore(Clock())
        self.links = {node: StoreLink(self.store) for node in NODES}
        self.healthy = set(NODES)
        self.leading: NodeName | None = None
        """The controller that holds the shard's lease."""

    def take_step(self, node: NodeName, target: NodeName | None) -> None:
        """Let a controller read the record and take the step that is due at it, if any."""
        registry = ShardRegistry(self.links[node])  # type: ignore[arg-type]
        try:
            stored = registry.read([SHARD]).shards[SHARD]
            record = stored.record
            if record is not None and record.may_hold_lease(node) and self.leading is None:
                self.leading = node
            elif record is not None and not record.may_hold_lease(node) and self.leading == node:
                self.leading = None
            registry.apply_step(SHARD, stored, lambda record: self._step(record, node, target))
        except (StoreUnavailableError, MoveRefusedError):
            pass

    def _step(
        self, record: Ownership | None, node: NodeName, target: NodeName | None
    ) -> Ownership | None:
        if record is None:
            return initial_record(node)
        if target is not None:
            return begin_move(record, target, self.healthy)
        settled = settle_move(record, node)
        if settled is not None:
            if self.leading == node:
                self.leading = None  # it resigns first
            return settled
        if self.leading == node:
            return finish_move(record, node) or repair(record, node, self.healthy)
        return repair(record, node, self.healthy)

    def inject_or_heal(self) -> None:
        """Begin or end one random fault."""
        node = self.rng.choice(NODES)
        link = self.links[node]
        match self.rng.randrange(6):
            case 0 if len(self.healthy) > 1:
                self.healthy.discard(node)
                if self.leading == node:
                    self.leading = None  # its lease ends
            case 1:
                self.healthy.add(node)
            case 2:
                link.loses_answers = not link.loses_answers
            case 3:
                link.delays_transactions = True
            case 4:
                link.apply_delayed()
            case 5:
                link.refused = not link.refused


@pytest.mark.parametrize("seed", range(60))
def test_shard_has_one_owner_after_faults_at_any_step(seed: int) -> None:
    """Controllers die at any step, answers are lost, writes are late; then all faults end."""
    rng = random.Random(seed)
    simulation = OwnershipSimulation(rng)
    epoch = 0
    for _ in range(120):
        if rng.random() < 0.3:
            simulation.inject_or_heal()
        node = rng.choice(sorted(simulation.healthy))
        simulation.take_step(node, rng.choice(NODES) if rng.random() < 0.15 else None)
        record = ShardRegistry(simulation.store).read([SHARD]).shards[SHARD].record  # type: ignore[arg-type]
        if record is not None:
            assert record.epoch >= epoch
            epoch = record.epoch
            assert sum(record.may_hold_lease(node) for node in NODES) == 1
            assert [node for node in NODES if record.may_start_tasks(node)] in ([], [record.owner])
    for link in simulation.links.values():
        link.apply_delayed()
        link.loses_answers = link.refused = False
    for _ in range(4):
        for node in sorted(simulation.healthy):
            simulation.take_step(node, None)
    last = ShardRegistry(simulation.store).read([SHARD]).shards[SHARD].record  # type: ignore[arg-type]
    assert last is not None
    assert last.phase is Phase.OWNED
    assert last.owner in simulation.healthy
    assert simulation.leading == last.owner


@pytest.mark.parametrize("seed", range(25))
def test_plan_has_the_least_cost_and_is_stable(seed: int) -> None:
    """No other assignment costs less, and a second plan from the result moves no shard."""
    rng = random.Random(seed)
    inputs = random_inputs(rng, 5, 3)
    owners_by_shard = [inputs.eligible_owners(shard) for shard in inputs.shards]
    names = [shard.name for shard in inputs.shards]
    assignments = [
        dict(zip(names, each, strict=True)) for each in itertools.product(*owners_by_shard)
    ]
    best = min(cost(inputs, each) for each in assignments)
    planned = planner.plan(inputs)
    assert planned in assignments
    assert cost(inputs, planned) == pytest.approx(best, abs=1e-4)
    assert cost(inputs, greedy.assign(inputs)) >= best - 1e-9
    shards_after_plan = [
        msgspec.structs.replace(shard, owner=planned[shard.name]) for shard in inputs.shards
    ]
    replanned_inputs = msgspec.structs.replace(inputs, shards=shards_after_plan)
    assert not moved_shards(replanned_inputs, planner.plan(replanned_inputs))
    assert planner.next_move(inputs, planned) in {*moved_shards(inputs, planned), None}


def test_plan_is_greedy_without_a_solver_or_a_solution(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    inputs = random_inputs(random.Random(3), 12, 4)
    with monkeypatch.context() as patch:
        patch.setitem(sys.modules, "ryewing.sharding.exact", None)
        assert planner.plan(inputs) == greedy.assign(inputs)

    def no_solution(*_args: object) -> None:
        raise exact.NoSolutionError("time")

    monkeypatch.setattr(exact, "assign", no_solution)
    assert planner.plan(inputs) == greedy.assign(inputs)
    with pytest.raises(planner.NoControllerError):
        planner.plan(msgspec.structs.replace(inputs, nodes=[]))
