"""Injects random faults of controllers, the store, the network and machines."""

from __future__ import annotations

import random
from collections.abc import Callable

from support.late_copies import LateCopies
from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker


class FaultInjector:
    """Injects one random fault at a time into a simulated cluster.

    A fault lasts until `heal` ends it at random or `cluster_verdict.settle` ends all faults.
    """

    def __init__(self, cluster: SimulatedCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        cluster.late_copies = LateCopies(cluster, rng)
        self._faults: list[Callable[[], None]] = [
            self.kill_controller,
            self.freeze_controller,
            self.refuse_store_requests,
            self.partition_peers,
            self.partition_workers,
            self.stop_store,
            self.lose_transaction_answers,
            self.delay_transactions,
            self.hang_machine,
            self.lose_heartbeats,
            self.lose_machine,
            self.announce_spot_reclaim,
            self.end_tasks,
            self.cancel_job,
            self.delay_commands,
            *self._restart_faults,
        ]

    @property
    def _restart_faults(self) -> list[Callable[[], None]]:
        """The faults that together made a leader mistake a worker's past for its present."""
        return [self.restart_machine, self.copy_heartbeats, self.lose_replies]

    def inject(self) -> None:
        """Inject one randomly chosen fault; faults that are already active continue."""
        self._rng.choice(self._faults)()

    def inject_restart_faults(self) -> None:
        """Inject a restart, late copies and a machine that gets no answers, all drawn at once."""
        for fault in self._restart_faults:
            fault()

    def heal(self) -> None:
        """End each active fault with a probability of one half."""
        cluster, rng = self._cluster, self._rng
        if rng.random() < 0.5:
            cluster.partitions.clear()
        if rng.random() < 0.5:
            cluster.store.down = False
        for name in CONTROLLERS:
            if rng.random() < 0.5:
                cluster.frozen.discard(name)
            if name in cluster.dead and rng.random() < 0.5:
                cluster.boot(name)
            link = cluster.links[name]
            if rng.random() < 0.5:
                link.refused = link.loses_answers = False
                if not cluster.store.down:
                    link.apply_delayed()
        if rng.random() < 0.5:
            cluster.late_copies.share = 0.0
        for worker in cluster.workers.values():
            if rng.random() < 0.5:
                worker.hangs = worker.heartbeats_lost = worker.replies_lost = False
                worker.unreachable.clear()
                worker.delays_commands = False
                worker.apply_delayed()

    def _random_node(self) -> str:
        return self._rng.choice(CONTROLLERS)

    def _random_worker(self) -> TimedWorker:
        return self._rng.choice(list(self._cluster.workers.values()))

    def kill_controller(self) -> None:
        """Kill a controller's process, and restart it at once with a probability of one half."""
        name = self._random_node()
        self._cluster.dead.add(name)
        if self._rng.random() < 0.5:
            self._cluster.boot(name)

    def freeze_controller(self) -> None:
        """Suspend a controller's process, as SIGSTOP does."""
        self._cluster.frozen.add(self._random_node())

    def refuse_store_requests(self) -> None:
        """Make the store reject all requests of one controller."""
        self._cluster.links[self._random_node()].refused = True

    def partition_peers(self) -> None:
        """Cut the connection between two controllers."""
        self._cluster.partitions.add(frozenset(self._rng.sample(CONTROLLERS, 2)))

    def partition_workers(self) -> None:
        """Cut the connections between one controller and all workers."""
        name = self._random_node()
        for worker in self._cluster.workers.values():
            worker.unreachable.add(name)

    def stop_store(self) -> None:
        """Make the store reject all requests."""
        self._cluster.store.down = True

    def lose_transaction_answers(self) -> None:
        """Apply one controller's transactions, but lose their responses."""
        self._cluster.links[self._random_node()].loses_answers = True

    def delay_transactions(self) -> None:
        """Apply one controller's transactions only when `heal` ends the fault."""
        self._cluster.links[self._random_node()].delays_transactions = True

    def hang_machine(self) -> None:
        """Make a machine neither send nor receive messages."""
        self._random_worker().hangs = True

    def lose_heartbeats(self) -> None:
        """Lose a machine's heartbeats; direct commands still reach it."""
        self._random_worker().heartbeats_lost = True

    def lose_replies(self) -> None:
        """Lose the responses and direct commands to a machine; its heartbeats arrive."""
        self._random_worker().replies_lost = True

    def delay_commands(self) -> None:
        """Execute the direct commands to a machine only when `heal` ends the fault."""
        self._random_worker().delays_commands = True

    def restart_machine(self) -> None:
        """End a machine, which is back at once; its worker may keep its counters and its token."""
        keeps_counters, keeps_token = self._rng.random() < 0.25, self._rng.random() < 0.25
        self._random_worker().restart(keeps_counters, keeps_token)

    def copy_heartbeats(self) -> None:
        """Copy half of all heartbeats; the copies arrive late."""
        self._cluster.late_copies.share = 0.5

    def lose_machine(self) -> None:
        """Remove a machine if there are more than nine."""
        if len(self._cluster.workers) > 9:
            self._cluster.workers.pop(self._random_worker().name)

    def announce_spot_reclaim(self) -> None:
        """Make the cloud announce that it will reclaim a spot machine in 10 s."""
        self._random_worker().notice_s = 10.0

    def end_tasks(self) -> None:
        """Finish all tasks of a machine."""
        self._cluster.finish_tasks(self._random_worker())

    def cancel_job(self) -> None:
        """Cancel a random accepted job as a user."""
        if self._cluster.rules.accepted:
            job = self._rng.choice(sorted(self._cluster.rules.accepted))
            self._cluster.cancel(self._random_node(), job)
