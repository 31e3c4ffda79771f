"""Random moves of shards under random troubles, against the rules.

A hundred moves in CI. More by hand, each seed printed with what it broke:

    PYTHONPATH=src:tests python3 tests/test_shard_moves.py 1000
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

import pytest
from support.clocks import divided_clusters
from support.divided_fleet import MakeCluster, begin, bring_up, broken, submit_some
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import NAMES, TimedWorker

MOVES_A_SEED = 5
SEEDS_IN_CI = 20


class Troubles:
    """What may befall a cluster, one thing at a time; each ends by itself or at the end."""

    def __init__(self, cluster: SimulatedCluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.all: list[Callable[[], None]] = [
            self.controller_ends,
            self.controller_freezes,
            self.controller_is_refused,
            self.peers_are_cut,
            self.workers_are_cut,
            self.store_is_out,
            self.answers_are_lost,
            self.transactions_are_late,
            self.machine_hangs,
            self.machine_is_mute,
            self.machine_is_lost,
            self.machine_gets_notice,
            self.tasks_end,
            self.job_is_cancelled,
        ]

    def strike(self) -> None:
        """Let something happen."""
        self.rng.choice(self.all)()

    def ease(self) -> None:
        """End some of what goes on."""
        cluster, rng = self.cluster, self.rng
        if rng.random() < 0.5:
            cluster.cut.clear()
        if rng.random() < 0.5:
            cluster.store.down = False
        for name in NAMES:
            if rng.random() < 0.5:
                cluster.frozen.discard(name)
            if name in cluster.dead and rng.random() < 0.5:
                cluster.boot(name)
            link = cluster.links[name]
            if rng.random() < 0.5:
                link.refused = link.answer_lost = False
                if not cluster.store.down:
                    link.catch_up()
        for worker in cluster.workers.values():
            if rng.random() < 0.5:
                worker.hangs = worker.mute = False
                worker.unreachable.clear()

    def _node(self) -> str:
        return self.rng.choice(NAMES)

    def _worker(self) -> TimedWorker:
        return self.rng.choice(list(self.cluster.workers.values()))

    def controller_ends(self) -> None:
        name = self._node()
        self.cluster.dead.add(name)
        if self.rng.random() < 0.5:
            self.cluster.boot(name)  # back at once

    def controller_freezes(self) -> None:
        self.cluster.frozen.add(self._node())

    def controller_is_refused(self) -> None:
        self.cluster.links[self._node()].refused = True

    def peers_are_cut(self) -> None:
        self.cluster.cut.add(frozenset(self.rng.sample(NAMES, 2)))

    def workers_are_cut(self) -> None:
        name = self._node()
        for worker in self.cluster.workers.values():
            worker.unreachable.add(name)

    def store_is_out(self) -> None:
        self.cluster.store.down = True

    def answers_are_lost(self) -> None:
        self.cluster.links[self._node()].answer_lost = True

    def transactions_are_late(self) -> None:
        self.cluster.links[self._node()].late = True

    def machine_hangs(self) -> None:
        self._worker().hangs = True

    def machine_is_mute(self) -> None:
        self._worker().mute = True

    def machine_is_lost(self) -> None:
        if len(self.cluster.workers) > 9:
            self.cluster.workers.pop(self._worker().name)

    def machine_gets_notice(self) -> None:
        self._worker().notice_s = 10.0

    def tasks_end(self) -> None:
        self.cluster.end(self._worker())

    def job_is_cancelled(self) -> None:
        if self.cluster.rules.accepted:
            job = self.rng.choice(sorted(self.cluster.rules.accepted))
            self.cluster.cancel(self._node(), job)


def play(cluster: SimulatedCluster, seed: int, moves: int = MOVES_A_SEED) -> int:
    """Move shards under troubles; give how many moves were begun."""
    rng = random.Random(seed)
    troubles = Troubles(cluster, rng)
    bring_up(cluster, 9, with_gpus=6)
    cluster.run(12.0)
    begun = number = 0
    while begun < moves and number < 6 * moves:
        submit_some(cluster, rng, 10 * number, 1)
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        shard = rng.choice([str(name) for name in cluster.nodes[NAMES[0]].electors])
        if not cluster.store.down:
            begun += begin(cluster, shard, rng.choice(NAMES))
        cluster.run(rng.choice((0.25, 0.5, 1.0)))
        troubles.strike()
        cluster.run(rng.choice((0.25, 1.0, 4.0)))
        if rng.random() < 0.5:
            troubles.ease()
        ask_all(cluster, rng)
        number += 1
    return begun


def ask_all(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Users ask about some jobs everywhere."""
    for job in rng.sample(sorted(cluster.rules.accepted), min(3, len(cluster.rules.accepted))):
        cluster.ask_all(job)


@pytest.mark.parametrize("seed", range(SEEDS_IN_CI))
def test_moves_under_troubles_break_no_rule(divided: MakeCluster, seed: int) -> None:
    cluster = divided(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
    assert play(cluster, seed) > 0
    assert broken(cluster) == [], seed


def main() -> int:
    """Play as many moves as asked for, each seed on a cluster of its own; tell what broke."""
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    begun, seed, failures = 0, 1000, 0
    while begun < wanted:
        with pytest.MonkeyPatch.context() as monkeypatch:
            make = divided_clusters(monkeypatch)
            cluster = make(2 + seed % 2, moves_allowed=seed % 4 == 0, settle_s=5.0)
            begun += play(cluster, seed)
            found = broken(cluster)
        failures += bool(found)
        print(f"seed {seed}: {begun} moves so far{'; '.join(['', *found])}", flush=True)
        seed += 1
    print(f"{begun} moves, {failures} seeds with a broken rule")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
