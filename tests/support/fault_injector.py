"""Random faults for a simulated cluster: of controllers, the store, the network and machines."""

from __future__ import annotations

import random
from collections.abc import Callable

from support.simulated_cluster import SimulatedCluster
from support.timed_workers import CONTROLLERS, TimedWorker


class FaultInjector:
    """Injects one random fault at a time into a simulated cluster.

    A fault lasts until `heal` happens to end it, or until the cluster settles at the end of a test.
    """

    def __init__(self, cluster: SimulatedCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
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
            self.mute_machine,
            self.lose_machine,
            self.announce_spot_loss,
            self.end_tasks,
            self.cancel_job,
        ]

    def inject(self) -> None:
        """Inject one fault, chosen at random."""
        self._rng.choice(self._faults)()

    def heal(self) -> None:
        """End each fault that is in force with a probability of one half."""
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
        for worker in cluster.workers.values():
            if rng.random() < 0.5:
                worker.hangs = worker.heartbeats_lost = False
                worker.unreachable.clear()

    def _node(self) -> str:
        return self._rng.choice(CONTROLLERS)

    def _worker(self) -> TimedWorker:
        return self._rng.choice(list(self._cluster.workers.values()))

    def kill_controller(self) -> None:
        """End a controller's process, and start it again at once with a probability of one half."""
        name = self._node()
        self._cluster.dead.add(name)
        if self._rng.random() < 0.5:
            self._cluster.boot(name)

    def freeze_controller(self) -> None:
        """Stop a controller's process without ending it."""
        self._cluster.frozen.add(self._node())

    def refuse_store_requests(self) -> None:
        """Let the store refuse all requests of one controller."""
        self._cluster.links[self._node()].refused = True

    def partition_peers(self) -> None:
        """Cut two controllers off from each other."""
        self._cluster.partitions.add(frozenset(self._rng.sample(CONTROLLERS, 2)))

    def partition_workers(self) -> None:
        """Cut one controller off from all workers."""
        name = self._node()
        for worker in self._cluster.workers.values():
            worker.unreachable.add(name)

    def stop_store(self) -> None:
        """Let the store refuse all requests."""
        self._cluster.store.down = True

    def lose_transaction_answers(self) -> None:
        """Let one controller's transactions be carried out without an answer."""
        self._cluster.links[self._node()].loses_answers = True

    def delay_transactions(self) -> None:
        """Let one controller's transactions be carried out only when it is healed."""
        self._cluster.links[self._node()].delays_transactions = True

    def hang_machine(self) -> None:
        """Let a machine neither send nor receive anything."""
        self._worker().hangs = True

    def mute_machine(self) -> None:
        """Let a machine's heartbeats be lost; direct commands still reach it."""
        self._worker().heartbeats_lost = True

    def lose_machine(self) -> None:
        """Take a machine away, as long as more than nine are left."""
        if len(self._cluster.workers) > 9:
            self._cluster.workers.pop(self._worker().name)

    def announce_spot_loss(self) -> None:
        """Let the cloud give notice that it takes a machine back."""
        self._worker().notice_s = 10.0

    def end_tasks(self) -> None:
        """Let all tasks of a machine finish."""
        self._cluster.finish_tasks(self._worker())

    def cancel_job(self) -> None:
        """Let a user cancel a job."""
        if self._cluster.rules.accepted:
            job = self._rng.choice(sorted(self._cluster.rules.accepted))
            self._cluster.cancel(self._node(), job)
