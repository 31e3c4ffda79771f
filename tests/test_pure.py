"""Tables for the parts that take the time as an argument."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec
import pytest
from standins import CPU, GPU, RAW_SETTINGS, job, job_spec, policy, settings, submission

from ryewing import placement, preemption, queueing
from ryewing.budget import Budget
from ryewing.capacity import NO_RESERVE, MachineCapacity, Quota
from ryewing.cluster_state import ClusterState
from ryewing.fleet import CapacityBackoff, options_for, plan_rentals, to_return
from ryewing.jobs import Job, JobRecord, JobTable, impossible
from ryewing.leadership import FOLLOW_S, Authority, Holder, View, may_campaign
from ryewing.machine import RUNNING, Assignment, Machine
from ryewing.policy import BadPolicy, load
from ryewing.settings import BadSettings, Settings, Team
from ryewing.settings import load as load_settings
from ryewing.stops import RESEND_S, Stops
from ryewing.units import (
    Attempt,
    JobId,
    KeyVersion,
    MachineId,
    NodeName,
    Revision,
    Steady,
    TaskId,
    Term,
    WallTime,
    Zone,
    attempt_of,
    is_job_id,
    parse_task,
)
from ryewing.wire import MachineType, Malformed, Report, ReportedTask, read_job_spec

T0 = Steady(1000.0)


# -- units and wire -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "good"),
    [
        ("run-000412", True),
        ("run-1", True),
        ("run-", False),
        ("run-12x", False),
        ("job-12", False),
        ("run-1/2", False),
        ("", False),
        (None, False),
        (7, False),
    ],
)
def test_job_ids(text: object, good: bool) -> None:
    assert is_job_id(text) is good


def test_task_names_and_attempts() -> None:
    assert parse_task("run-000412/3") == TaskId(JobId("run-000412"), 3)
    assert [parse_task(bad) for bad in ("run-1", "run-1/", "run-1/-2", "x/1")] == [None] * 4
    # No two terms give out the same attempt, whatever their counters.
    assert attempt_of(Term(2), 1) > attempt_of(Term(1), 2**24 - 1)


GOOD = submission()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("shape", "pile"),
        ("rank", "vip"),
        ("pieces", 0),
        ("pieces", 100_001),
        ("pieces", "4"),
        ("pieces", 1.5),
        ("vcpus", -1.0),
        ("vcpus", None),
        ("cards", "two"),
        ("mem_gb", True),
        ("owner", ""),
        ("flavours", "c32"),
        ("flavours", [1]),
        ("loaner", "yes"),
        ("due_s", -5.0),
        ("ref", 12),
    ],
)
def test_malformed_submissions(field: str, value: object) -> None:
    with pytest.raises(Malformed, match=field):
        read_job_spec(msgspec.json.encode({**GOOD, field: value}))


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"3", b"\xff", b'{"ref":"run-1"}', b'{"vcpus": NaN}', b"[" * 60000],
)
def test_bodies_that_are_no_submission(body: bytes) -> None:
    with pytest.raises(Malformed):
        read_job_spec(body)


def test_infinite_amounts_are_malformed() -> None:
    body = msgspec.json.encode(GOOD).replace(b'"vcpus":4.0', b'"vcpus":1e999')
    with pytest.raises(Malformed):
        read_job_spec(body)


def test_unknown_fields_are_ignored() -> None:
    assert read_job_spec(msgspec.json.encode({**GOOD, "colour": "red"})).id == "run-1"


FLAVOURS = {"c32": CPU, "g4": GPU}
TEAMS = {team.name: team for team in settings().params.teams}


@pytest.mark.parametrize(
    ("changes", "possible"),
    [
        ({}, True),
        ({"team": "nobody"}, False),
        ({"cpus": 33.0}, False),
        ({"gpus": 4.0, "cpus": 24.0}, True),
        ({"gpus": 5.0}, False),
        ({"gpus": 1.0, "machine_types": ["c32"]}, False),
        ({"machine_types": []}, False),
        ({"zone": "z"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 99}, True),  # array: one task counts
        ({"team": "red", "gpus": 4.0, "task_count": 3, "shape": "group"}, False),
        ({"team": "red", "gpus": 4.0, "task_count": 2, "shape": "group"}, True),
        ({"team": "blue", "cpus": 32.0, "task_count": 3, "shape": "group"}, False),
    ],
)
def test_what_can_never_run(changes: dict[str, Any], possible: bool) -> None:
    assert (impossible(job_spec(**changes), FLAVOURS, TEAMS) is None) is possible


# -- settings and policy ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("node",), 3, "node"),
        (("api_addr",), "nowhere", "api_addr"),
        (("members", 0, "address"), "1.2.3.4", "members[0].address"),
        (("members", 1, "node"), "n-1", "members[1].node"),
        (("params", "workers", "lease_s"), 0.0, "params.workers.lease_s"),
        (("params", "workers", "cancel_s"), 10.0, "params.workers.cancel_s"),
        (("params", "state", "txn_ops"), "many", "params.state.txn_ops"),
        (("params", "teams", 0, "gpus"), -1.0, "params.teams[0].gpus"),
        (("endpoints",), {}, "endpoints"),
    ],
)
def test_bad_settings_name_the_field(
    tmp_path: Any, path: tuple[Any, ...], value: object, named: str
) -> None:
    raw = msgspec.json.decode(msgspec.json.encode(RAW_SETTINGS))
    place = raw
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    file = tmp_path / "s.json"
    file.write_bytes(msgspec.json.encode(raw))
    with pytest.raises(BadSettings) as error:
        load_settings(file)
    assert named in str(error.value)


def test_good_settings_with_unknown_fields(tmp_path: Any) -> None:
    file = tmp_path / "s.json"
    file.write_bytes(msgspec.json.encode({**RAW_SETTINGS, "new": {"x": 1}}))
    assert load_settings(file) == msgspec.convert(RAW_SETTINGS, Settings)


@pytest.mark.parametrize(
    ("script", "why"),
    [
        ("return {", "expected"),
        ("return {idle_return = 3}", "unknown name"),
        ("return {idle_return_s = 'long'}", "must be a number"),
        ("return {idle_return_s = -1}", "above 0"),
        ("return {sample = 1.5}", "whole number"),
        ("return 7", "must return a table"),
        ("while true do end", "too long"),
        ("while true do pcall(function() while true do end end) end", "nil value"),
        ("return {hold_s = 1000}", "hold_s"),
        ("return os.execute('true')", "nil value"),
        ("return {x = string.rep('x', 1e9)}", "nil value"),
    ],
)
def test_bad_lua_is_refused_with_file_and_reason(tmp_path: Any, script: str, why: str) -> None:
    file = tmp_path / "p.lua"
    file.write_text(script)
    with pytest.raises(BadPolicy, match=why) as error:
        load(file, settings())
    assert "p.lua" in str(error.value)


def test_good_lua_changes_only_what_it_names(tmp_path: Any) -> None:
    file = tmp_path / "p.lua"
    file.write_text("return {idle_return_s = math.max(90, 30), sample = 16}")
    changed = load(file, settings())
    assert (changed.idle_return_s, changed.sample) == (90.0, 16)
    assert (
        msgspec.structs.replace(
            changed, idle_return_s=policy().idle_return_s, sample=policy().sample
        )
        == policy()
    )


# -- leadership ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("renewed_s", "followed_s", "start", "answer"),
    [
        (0.0, 0.0, True, True),
        (2.9, 2.9, True, True),
        (3.0, 3.0, False, True),  # the lease may have ended: no starts, no renting
        (14.9, 14.9, False, True),  # state outage: workers are kept alive
        (15.0, 15.0, False, False),  # the hold is over: 421 or 503
        (500.0, 500.0, False, False),  # a process that was paused past everything
        (0.0, FOLLOW_S - 0.1, True, True),  # a slow watch beside renewals
        (0.0, FOLLOW_S, False, True),  # one that hangs: others may have cancelled
        (0.0, 14.9, False, True),
        (0.0, 15.0, False, False),  # and its cancelled tasks must be gone in time
        (15.0, 0.0, False, False),
        (0.0, None, False, False),  # the jobs were never read
        (None, 0.0, False, False),
    ],
)
def test_authority_by_time_since_renewal_and_since_the_jobs_are_known(
    renewed_s: float | None, followed_s: float | None, start: bool, answer: bool
) -> None:
    authority = Authority(3.0, 15.0)
    now = Steady(T0 + 1000.0)
    if renewed_s is not None:
        authority.confirm(Steady(now - renewed_s))
    if followed_s is not None:
        authority.follow(Steady(now - followed_s))
    assert (authority.may_start(now), authority.may_answer(now)) == (start, answer)


def test_authority_counts_from_the_latest_send() -> None:
    authority = Authority(3.0, 15.0)
    for note in (authority.confirm, authority.follow):
        note(Steady(T0 + 2.0))
        note(T0)  # an older renewal's answer that came later
    assert authority.may_start(Steady(T0 + 4.5))
    assert authority.may_answer(Steady(T0 + 16.5))


def test_hold_leaves_a_cancel_its_time() -> None:
    workers = settings().params.workers
    assert policy().hold_s + workers.lease_s < workers.cancel_s - 1.0


@pytest.mark.parametrize(
    ("holder", "expected"),
    [
        (None, True),  # the lease has ended
        (Holder("n-1", "b1", 4), False),  # another node: wait for its lease
        (Holder("n-0", "me", 4), False),  # this very process
        (Holder("n-0", "earlier", 4), True),  # an earlier process of this node is dead
    ],
)
def test_who_may_campaign(holder: Holder | None, expected: bool) -> None:
    view = View(holder, KeyVersion(3), Term(4), KeyVersion(3), Revision(9))
    assert may_campaign(view, NodeName("n-0"), "me") is expected


# -- jobs ---------------------------------------------------------------------------------------


def test_take_never_gives_a_task_twice() -> None:
    one = job(task_count=6)
    first = one.take(2)
    for index in first:
        one.live[index] = MachineId("i-1")
    one.finish(4)
    del one.live[first[0]]
    one.hand_back(first[0])
    one.hand_back(first[0])
    rest = one.take(10)
    assert len(rest) == len(set(rest))
    assert sorted([*rest, first[1], 4]) == list(range(6))


def test_finished_tasks_survive_in_chunks() -> None:
    big = job(task_count=100_000)
    for index in (0, 8191, 8192, 99_999):
        assert big.finish(index)
    assert not big.finish(0)
    chunks = big.dirty_chunks()
    assert chunks == [0, 1, 12]
    again = job(task_count=100_000)
    for chunk in chunks:
        text = big.chunk_text(chunk)
        assert len(text) < 2048
        again.load_chunk(chunk, text)
    assert again.done_count == 4 and not again.unwritten
    assert again.is_done(99_999) and not again.is_done(1)


def test_guess_correction_is_bounded() -> None:
    job_table = JobTable()
    first = job_table.put(JobRecord(job_spec("run-1", estimated_s=10.0), 0.0), KeyVersion(1))
    for _ in range(500):
        job_table.took(first, 10_000.0)
    later = job_table.put(JobRecord(job_spec("run-2", estimated_s=10.0), 0.0), KeyVersion(2))
    assert 15.0 < later.estimate_s() <= 20.0


# -- stops --------------------------------------------------------------------------------------


def test_tombstones_are_resent_until_gone() -> None:
    stops = Stops()
    machine, task, attempt = MachineId("i-1"), TaskId(JobId("run-1"), 0), Attempt(7)
    assert stops.add(machine, task, attempt, 5.0, "drain", T0)
    assert not stops.add(machine, task, attempt, 9.0, "drain", T0)  # mercy only shrinks
    assert list(stops.due(T0)) == [machine]
    assert [command.grace_s for command in stops.commands(machine, T0)] == [5.0]
    assert list(stops.due(T0)) == []
    assert list(stops.due(Steady(T0 + RESEND_S))) == [machine]
    assert stops.add(machine, task, attempt, 0.0, "cancelled", T0)
    assert list(stops.due(T0)) == [machine]
    stops.gone(machine, task, Attempt(8))  # another attempt
    assert stops.has(machine, task, attempt)
    stops.gone(machine, task, attempt)
    assert not stops.commands(machine, T0)


# -- placement ----------------------------------------------------------------------------------


class World:
    """Machines and jobs for placement cases."""

    def __init__(self) -> None:
        self.job_table = JobTable()
        self.stops = Stops()
        self.cluster = ClusterState(Term(5), 20.0, self.job_table, self.stops)

    def machine(
        self, name: str, machine_type: MachineType = CPU, zone: str = "a", spot: bool = False
    ) -> Machine:
        machine = self.cluster.add(MachineId(name), machine_type, Zone(zone), spot, T0)
        machine.acknowledged, machine.recorded = 0, True
        return machine

    def job(self, ref: str, **changes: Any) -> Job:
        return self.job_table.put(JobRecord(job_spec(ref, **changes), 0.0), KeyVersion(1))

    def put(self, one: Job, machine: Machine, count: int) -> None:
        for index in one.take(count):
            self.cluster.assign(machine, TaskId(one.id, index), Attempt(1), RUNNING, T0)

    def plan(
        self,
        *jobs: Job,
        now: float = 100.0,
        sample: int = 64,
        unseen: tuple[float, float] = (0.0, 0.0),
        kept: float = 99.0,
        moving: Sequence[Assignment] = (),
        **ways: Any,
    ) -> placement.Plan:
        gpu_reserve = NO_RESERVE
        for one in self.job_table:
            gpu_reserve = gpu_reserve.widened(one)
        quota = Quota(TEAMS, self.cluster.team_cpus, self.cluster.team_gpus, *unseen)
        capacities = [MachineCapacity(m) for m in self.cluster.machines.values() if m.usable()]
        inputs = placement.PassInputs(
            capacities, quota, Steady(T0 + now), random.Random(1), sample, gpu_reserve, kept, **ways
        )
        return placement.Pass(inputs).run(jobs, (), moving)


def spread_of(plan: placement.Plan) -> Counter[str]:
    counts: Counter[str] = Counter()
    for batch in plan.batches:
        for machine, count in batch.parts:
            counts[machine.id] += count
    return counts


def test_fullest_fitting_machine_first() -> None:
    world = World()
    world.machine("i-1")
    world.put(world.job("run-9", task_count=5), world.machine("i-2"), 5)
    assert spread_of(world.plan(world.job("run-1", task_count=4))) == {"i-2": 3, "i-1": 1}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"task_count": 16}, 16),  # 8 a machine
        ({"task_count": 17, "shape": "group"}, 0),  # whole or not at all
        ({"task_count": 16, "shape": "group"}, 16),
        ({"task_count": 16, "shape": "group", "same_zone": True}, 0),  # 8 a zone
        ({"task_count": 8, "shape": "group", "same_zone": True}, 8),
        ({"task_count": 16, "same_zone": True}, 8),
        ({"task_count": 9, "spread": True}, 9),  # 5 and 4
        ({"task_count": 16, "spread": True, "zone": "a"}, 8),
        ({"task_count": 16, "zone": "b"}, 8),
        ({"task_count": 16, "machine_types": ["g4"]}, 0),
        ({"task_count": 20, "team": "blue"}, 16),  # limit of 64 processors
    ],
)
def test_placement_keeps_the_jobs_wishes(changes: dict[str, Any], expected: int) -> None:
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    world.machine("i-3", zone="c", spot=True)  # nobody here may use spot machines
    placed = spread_of(world.plan(world.job("run-1", **changes)))
    assert sum(placed.values()) == expected
    assert "i-3" not in placed


def test_spread_counts_tasks_that_are_there() -> None:
    world = World()
    a, b = world.machine("i-1", zone="a"), world.machine("i-2", zone="b")
    one = world.job("run-1", task_count=8, spread=True)
    world.put(one, a, 4)
    assert spread_of(world.plan(one)) == {b.id: 4}


def test_together_stays_where_an_old_attempt_still_is() -> None:
    world = World()
    a = world.machine("i-1", zone="a")
    world.machine("i-2", zone="b")
    one = world.job("run-1", task_count=12, same_zone=True)
    world.put(one, a, 8)  # zone a is full
    assert spread_of(world.plan(one)) == {}


@pytest.mark.parametrize(("unseen", "expected"), [((0.0, 0.0), 8), ((0.0, 4.0), 4)])
def test_unheard_room_counts_against_limits(unseen: tuple[float, float], expected: int) -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}", GPU)
    placed = spread_of(world.plan(world.job("run-1", task_count=12, gpus=1.0), unseen=unseen))
    assert sum(placed.values()) == expected
    world.put(world.job("run-2", task_count=2, gpus=1.0), world.machine("i-9", GPU), 2)
    placed = spread_of(world.plan(world.job("run-3", task_count=12, gpus=1.0), unseen=unseen))
    assert sum(placed.values()) == expected - 2


def test_tasks_without_cards_leave_what_cards_need() -> None:
    """Found on a quiet day: cards lay idle because others held their processors."""
    world = World()
    world.machine("i-1", GPU)  # 24 processors, 4 cards
    world.job("run-9", gpus=1.0, cpus=5.0)
    assert spread_of(world.plan(world.job("run-1", task_count=9, cpus=2.0))) == {"i-1": 2}
    urgent = world.job("run-2", priority="urgent", cpus=15.0, task_count=1)
    assert spread_of(world.plan(urgent)) == {"i-1": 1}  # more important work may


@pytest.mark.parametrize(("kept", "expected"), [(0.0, 24), (2.0, 14), (5.0, 4), (99.0, 4)])
def test_only_cards_that_are_soon_wanted_are_kept(kept: float, expected: int) -> None:
    """Found on a rough day: 200 processors lay idle beside cards that nobody wanted."""
    world = World()
    for n in range(2):
        world.machine(f"i-{n}", GPU)
    world.job("run-9", gpus=1.0, cpus=5.0)
    one = world.job("run-1", task_count=40, cpus=2.0, memory_gb=1.0)
    assert sum(spread_of(world.plan(one, kept=kept)).values()) == expected


def test_urgent_work_stops_lesser_work_rather_than_strand_cards() -> None:
    """Found on quiet days: gangs that ran for minutes beside cards that nobody could use."""
    world = World()
    world.machine("i-1", GPU)
    idle = world.job("run-9", task_count=8)
    world.put(idle, world.machine("i-2"), 8)
    world.job("run-8", gpus=1.0, cpus=5.0)
    urgent = world.job("run-2", priority="urgent", cpus=15.0, task_count=1, shape="group")
    plan = world.plan(urgent)
    assert spread_of(plan) == {} and not plan.unplaced
    assert {assignment.machine.id for assignment in plan.stops} == {"i-2"}


def test_both_steps_of_urgent_work_keep_to_one_zone() -> None:
    """Found by the table above: a second step chose its zone anew."""
    world = World()
    world.machine("i-1", zone="a")
    world.machine("i-2", GPU, zone="b")
    world.job("run-8", gpus=1.0)
    one = world.job("run-1", priority="urgent", task_count=12, same_zone=True)
    assert spread_of(world.plan(one)) == {"i-1": 8}


def test_preemption_tries_every_zone() -> None:
    """Found on a rough day: bound to the first zone looked at, an urgent job waited for ever."""
    world = World()
    idle = world.job("run-9", priority="idle", task_count=96, cpus=1.0, memory_gb=1.0)
    for n, zone in enumerate("abc"):
        world.put(idle, world.machine(f"i-{n}", zone=zone), 32)
    jobs = [
        world.job(
            f"run-{n}", priority="urgent", task_count=1, cpus=30.0, shape="group", same_zone=True
        )
        for n in range(3)
    ]
    plan = world.plan(*jobs)
    assert not plan.unplaced
    assert len(plan.stops) == 90


@pytest.mark.parametrize(
    ("priority", "team", "guaranteed", "victim_rank", "victim_guaranteed", "expected"),
    [
        ("urgent", "red", False, "standard", False, True),
        ("standard", "red", False, "standard", False, False),
        ("idle", "red", False, "standard", False, False),
        ("standard", "red", True, "standard", False, True),  # a borrower gives way
        ("standard", "blue", True, "standard", False, False),  # of its own team: no
        ("urgent", "red", False, "idle", True, False),  # guaranteed work gives way to nobody
        ("standard", "red", True, "standard", True, False),  # two guarantees: no
        ("standard", "red", True, "urgent", False, False),  # nor can it stop that in turn
    ],
)
def test_who_may_be_stopped_for_whom(
    priority: str,
    team: str,
    guaranteed: bool,
    victim_rank: str,
    victim_guaranteed: bool,
    expected: bool,
) -> None:
    world = World()
    machine = world.machine("i-1")
    victim = world.job("run-9", priority=victim_rank, team="blue", task_count=1)
    victim.guaranteed = victim_guaranteed
    world.put(victim, machine, 1)
    one = world.job("run-1", priority=priority, team=team)
    one.guaranteed = guaranteed
    assignment = next(iter(machine.assignments.values()))
    assert preemption.may_preempt(one, assignment) is expected


def test_room_being_freed_is_claimed_once() -> None:
    world = World()
    machine = world.machine("i-1")
    idle = world.job("run-9", priority="idle", task_count=8)
    world.put(idle, machine, 8)
    plan = world.plan(
        world.job("run-1", priority="urgent", task_count=2), world.job("run-2", task_count=8)
    )
    assert len(plan.stops) == 8  # two for the first job, the rest for the second
    assert [(one.id, n) for one, n in plan.unplaced] == [("run-2", 2)]


def test_work_per_pass_is_bounded_by_the_sample() -> None:
    world = World()
    for n in range(300):
        world.machine(f"i-{n}")
    plan = world.plan(world.job("run-1", task_count=100_000, team="red"), sample=16)
    assert len(spread_of(plan)) == 16


def test_arrays_wait_a_little_for_the_image_and_gangs_do_not() -> None:
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 1.0)
    world.put(world.job("run-9", task_count=8, image="other"), warm, 8)
    array = world.job("run-1", task_count=1, image_gb=1.0)
    other = world.job("run-8", task_count=6, image_gb=1.0)  # with this one, room is not plenty
    assert spread_of(world.plan(array, other)) == {}
    assert spread_of(world.plan(array, other, now=102.6))[cold.id] >= 1  # half of the 5 s fetch
    assert spread_of(world.plan(world.job("run-2", task_count=1, shape="group", image_gb=1.0))) == {
        cold.id: 1
    }


def test_nobody_waits_for_an_image_where_room_is_plenty() -> None:
    """Found on a quiet day: arrays of many tasks waited beside hundreds of free cards."""
    world = World()
    world.machine("i-1").record_image("img-1", 5.0)
    world.put(world.job("run-9", task_count=8, image="other"), world.machine("i-1"), 8)
    for n in range(2, 5):
        world.machine(f"i-{n}")
    array = world.job("run-1", task_count=12, image_gb=5.0)  # 25 s at 0.2 GB/s
    # Six are served by the warm machine in the time of a fetch; the others begin one at once.
    assert sum(spread_of(world.plan(array)).values()) == 6
    many = world.job("run-2", task_count=50, image_gb=5.0)
    # Where it is not, only what would lie idle otherwise begins a fetch, with one task each.
    assert spread_of(world.plan(array, many)) == {"i-2": 1, "i-3": 1, "i-4": 1}


@pytest.mark.parametrize(
    ("tasks", "fetching", "expected"),
    [
        (4, None, {}),  # 4 tasks of 30 s: the busy warm machine's room is sooner than a fetch
        (40, None, {"i-2": 1}),  # what it doesn't get through in a fetch: one task to begin it
        (40, "img-7", {}),  # two fetches at once share the rate: neither would be sooner
        (40, "img-1", {"i-2": 7}),  # under way already: idle room may as well wait for it
    ],
)
def test_cold_starts_only_for_what_warm_machines_cannot_serve(
    tasks: int, fetching: str | None, expected: dict[str, int]
) -> None:
    """Found on a busy day: with fetches of a minute a third of the cards in use were fetching."""
    world = World()
    warm, cold = world.machine("i-1"), world.machine("i-2")
    warm.record_image("img-1", 10.0)
    world.put(world.job("run-9", task_count=8, image="img-9"), warm, 8)
    if fetching is not None:
        other = world.job("run-8", task_count=1, image=fetching, image_gb=10.0)
        world.put(other, cold, 1)
    array = world.job("run-1", task_count=tasks, image_gb=10.0)  # 50 s at 0.2 GB/s
    filler = world.job(
        "run-7", task_count=90, image="img-0", machine_types=["g4"]
    )  # room isn't plenty
    plan = world.plan(array, filler)
    assert spread_of(plan) == expected
    if not expected and tasks == 4:
        assert array not in [one for one, _count in plan.unplaced]  # and nothing is rented for it
        # Once it has waited for as long as a fetch takes, it may use what lies idle.
        assert spread_of(world.plan(array, filler, now=140.0)) == {}
        assert spread_of(world.plan(array, filler, now=151.0)) == {"i-2": 1}


def test_room_freed_for_one_job_serves_another_in_the_same_pass() -> None:
    """Where a task might fit is remembered in a pass, until something is stopped."""
    world = World()
    large = world.job("run-9", task_count=1, cpus=32.0, memory_gb=1.0)
    world.put(large, world.machine("i-1"), 1)
    world.job(
        "run-8", priority="production", gpus=1.0
    )  # nobody is more important than work with cards
    before = world.job("run-1", priority="idle", task_count=1, cpus=8.0)
    urgent = world.job("run-2", priority="urgent", task_count=1)
    after = world.job("run-3", task_count=1, cpus=8.0)
    plan = world.plan(before, urgent, after)
    assert len(plan.stops) == 1
    assert [one for one, _count in plan.unplaced] == [before]


@pytest.mark.parametrize(
    ("images", "took_s", "share"),
    [
        (["run-1", "run-2"], 11.0, False),
        (["run-1", "run-2"], 20.0, True),
        (["run-1"], 20.0, False),  # slow by itself: that says nothing of sharing
    ],
)
def test_whether_fetches_share_the_rate_is_learned(
    images: list[str], took_s: float, share: bool
) -> None:
    """The page says that they may: where not, one after the other cost half of what can be had."""
    world = World()
    now = 0.0
    for n in range(20):
        machine = world.machine(f"i-{n}")
        for ref in images:
            one = world.job(ref, image=ref, image_gb=2.0, task_count=100)  # 10 s at 0.2 GB/s
            world.put(one, machine, 1)
        assert not world.cluster.fetches_share()
    for machine in world.cluster.machines.values():
        for status, at in (("fetching", now), ("running", now + took_s)):
            shown = [
                ReportedTask(str(task), 1, status)
                for task, assignment in machine.assignments.items()
            ]
            tick = machine.version.sequence + 1
            report = Report(machine.id, 1, tick, 0, "c32", "a", tasks=shown)
            world.cluster.apply_report(machine, report, Steady(T0 + at), as_report=True)
    assert world.cluster.fetches_share() is share


def test_a_gang_that_lacks_a_member_gets_it_where_the_image_is() -> None:
    """Found on a busy day: each that gave up was replaced where it had to fetch, for minutes."""
    world = World()
    world.machine("i-1")  # without cards, so first by rights
    warm, other = world.machine("i-2", GPU), world.machine("i-3")
    warm.record_image("img-1", 5.0)
    world.job("run-9", gpus=1.0)  # there is work with cards, less important
    gang = world.job(
        "run-1", shape="group", priority="urgent", task_count=2, cpus=20.0, image_gb=5.0
    )
    world.put(gang, other, 1)
    assert spread_of(world.plan(gang)) == {"i-2": 1}
    none = queueing.Supply()
    jobs = [world.job("run-8", priority="production"), gang]
    assert queueing.order(jobs, [], none, none, WallTime(0.0))[0] is gang


def test_a_job_that_fails_everywhere_tries_one_task_whatever_lies_idle() -> None:
    world = World()
    for n in range(3):
        world.machine(f"i-{n}")
    failing = world.job("run-1", task_count=20, image_gb=10.0)
    failing.backoff_s = 2.0
    assert sum(spread_of(world.plan(failing)).values()) == 1


def test_a_gang_avoids_machines_that_are_fetching() -> None:
    """Found on a busy day: one member's image came 40 s late, and the others gave up in turn."""
    world = World()
    for n in range(4):
        world.machine(f"i-{n}")
    other = world.job("run-9", task_count=1, image="img-9", image_gb=5.0)
    world.put(other, world.machine("i-0"), 1)  # the fullest, so first by rights
    gang = world.job("run-1", shape="group", task_count=3, cpus=20.0, image_gb=2.0)
    assert set(spread_of(world.plan(gang))) == {"i-1", "i-2", "i-3"}


def test_one_task_seeds_a_long_fetch_and_nothing_is_rented_for_the_rest() -> None:
    """Found on quiet days: whole machines waited for a fetch of a minute, cards and all."""
    world = World()
    world.machine("i-1")
    array = world.job("run-1", task_count=8, image_gb=5.0)  # 25 s at 0.2 GB/s
    plan = world.plan(array)
    assert spread_of(plan) == {"i-1": 1}
    assert not plan.unplaced
    assert spread_of(world.plan(world.job("run-2", task_count=8, image_gb=1.0))) == {"i-1": 8}


def test_a_machine_that_failed_a_task_gets_one_at_a_time() -> None:
    """Found in inc-9466: 32 tasks of other jobs followed 16 failed ones onto a faulty machine."""
    world = World()
    suspect = world.machine("i-1")
    suspect.faults.add(JobId("run-9"))
    one = world.job("run-1", task_count=8)
    assert spread_of(world.plan(one)) == {"i-1": 1}
    world.put(one, suspect, 1)
    assert spread_of(world.plan(one)) == {}
    suspect.faults.clear()  # as a finish does
    assert spread_of(world.plan(one)) == {"i-1": 7}


def test_a_machine_where_the_same_job_takes_longer_is_used_last() -> None:
    world = World()
    slow, other = world.machine("i-1"), world.machine("i-2")
    world.put(world.job("run-9", task_count=1), slow, 1)  # the fuller one, so first by rights
    many = world.job("run-8", task_count=50)
    world.job_table.took(many, 20.0)
    for _ in range(2):
        slow.record_pace(many, 40.0)
    assert not slow.slow()  # two tasks are chance
    slow.record_pace(many, 40.0)
    other.record_pace(many, 24.0)
    assert slow.slow() and not other.slow()
    assert spread_of(world.plan(world.job("run-1", task_count=1))) == {"i-2": 1}
    assert spread_of(world.plan(world.job("run-2", task_count=12)))["i-1"] == 4


def test_guarantee_counts_earlier_unfinished_jobs() -> None:
    jobs = [
        job("run-1", at=1.0, gpus=1.0, task_count=3),
        job("run-2", at=2.0, gpus=1.0, task_count=3),
        job("run-3", at=3.0, gpus=1.0, task_count=1),
        job("run-4", at=3.0, gpus=0.0, task_count=1),
        job("run-5", at=9.0, gpus=1.0, task_count=4, team="blue"),
    ]
    preemption.mark_guarantees(jobs, TEAMS)
    assert [one.guaranteed for one in jobs] == [True, False, False, False, True]
    for index in range(3):
        jobs[0].finish(index)
    preemption.mark_guarantees(jobs, TEAMS)  # judged once, when a job comes
    assert [one.guaranteed for one in jobs] == [True, False, False, False, True]


# -- queueing -----------------------------------------------------------------------------------


def order_of(jobs: list[Job], total: float, now: float) -> list[str]:
    supply = queueing.Supply(total, 0.0)
    ordered = queueing.order(jobs, settings().params.objectives, supply, supply, WallTime(now))
    return [one.id for one in ordered]


def test_what_can_be_on_time_goes_before_what_cannot() -> None:
    jobs = [
        job("run-1", at=0.0, task_count=100, cpus=1.0),  # too large to be on time with the others
        job("run-2", at=1.0, task_count=4, cpus=1.0),
        job("run-3", at=-40.0, task_count=4, cpus=1.0),  # late for 60 s, not for 120 s
    ]
    assert order_of(jobs, 16.0, 5.0) == ["run-2", "run-3", "run-1"]


def test_work_before_a_rank_is_not_supply_for_it() -> None:
    """Found on a drawn day: what goes first was not counted, so all of the rest was late."""
    first = job("run-1", at=0.0, task_count=12, cpus=1.0, priority="urgent")
    rest = [
        job("run-2", at=0.0, task_count=12, cpus=1.0),  # in time alone, not after the first
        job("run-3", at=0.5, task_count=2, cpus=1.0),
    ]
    assert order_of(rest, 16.0, 1.0) == ["run-2", "run-3"]
    assert order_of([*rest, first], 16.0, 1.0) == ["run-1", "run-3", "run-2"]


def test_far_overdue_jobs_come_first() -> None:
    jobs = [job("run-1", at=0.0, task_count=1000), job("run-2", at=390.0)]
    assert order_of(jobs, 16.0, 300.0)[0] == "run-2"
    assert order_of(jobs, 16.0, 400.0)[0] == "run-1"


@pytest.mark.parametrize(
    ("now", "first"),
    [
        (40.0, "run-2"),  # large, and late for 60 s: put off
        (70.0, "run-1"),  # it makes 120 s only if it goes now
        (95.0, "run-2"),  # too late for that as well
    ],
)
def test_a_job_about_to_miss_its_last_deadline_comes_first(now: float, first: str) -> None:
    """Found on a day with a zone cut off: four in a hundred missed every deadline they had."""
    jobs = [job("run-1", at=0.0, task_count=40, cpus=1.0), job("run-2", at=now - 1.0, cpus=1.0)]
    assert order_of(jobs, 16.0, now)[0] == first


def test_rank_and_guarantee_go_before_deadlines() -> None:
    jobs = [
        job("run-1", priority="idle"),
        job("run-2", priority="urgent"),
        job("run-3", priority="idle"),
    ]
    jobs[2].guaranteed = True
    assert order_of(jobs, 100.0, 1.0) == ["run-3", "run-2", "run-1"]


# -- the fleet ----------------------------------------------------------------------------------


def test_renting_counts_what_is_booting() -> None:
    world = World()
    booting = [world.machine("i-1")]
    short = [(job(task_count=8), 8)]
    assert plan_rentals(short, booting, FLAVOURS, CapacityBackoff(), policy(), T0) == []
    [plan] = plan_rentals(short, [], FLAVOURS, CapacityBackoff(), policy(), T0)
    assert plan.count == 1 and plan.options[0][0] == "c32"


def test_spot_machines_only_for_jobs_that_may() -> None:
    assert all(not o[2] for o in options_for(job(), FLAVOURS, CapacityBackoff(), T0))
    assert options_for(job(spot=True), FLAVOURS, CapacityBackoff(), T0)[0][2]


def test_no_capacity_turns_to_the_next_option_and_back() -> None:
    backoff, one = CapacityBackoff(), job()
    first = options_for(one, FLAVOURS, backoff, T0)[0]
    backoff.refused(first, T0)
    assert options_for(one, FLAVOURS, backoff, T0)[0] != first
    assert options_for(one, FLAVOURS, backoff, Steady(T0 + 21.0))[0] == first


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
        world.put(world.job("run-9"), machine, 1)
    short = [(job(), 1)] if waiting else []
    chosen = to_return([machine], short, policy(), Steady(T0 + idle_s))
    assert (chosen == [machine]) is returned


# -- budgets ------------------------------------------------------------------------------------


def test_budget_refills_and_tells_the_wait() -> None:
    now = [T0]
    budget = Budget(10.0, 5.0, lambda: now[0])
    assert [budget.take() for _ in range(6)] == [True] * 5 + [False]
    assert budget.wait_s(2.0) == pytest.approx(0.2)
    now[0] = Steady(T0 + 0.2)
    assert budget.take(2.0) and not budget.take()


def test_team_without_limit_has_no_limit() -> None:
    quota = Quota({"t": Team("t")}, {}, {})
    assert quota.headroom(job_spec(team="t"), 1000) == 1000
