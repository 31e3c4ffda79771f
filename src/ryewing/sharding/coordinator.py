"""The loop of one controller that brings the ownership of all shards to the desired state.

Its decisions depend only on data in the store: the ownership records and the health keys of the
controllers. `ownership_steps` takes the steps that are due, `rebalancer` begins moves, and
`shard_electors` passes the permissions to the electors. Each shard's elector acquires the lease and
runs the leader.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

import gevent

from ryewing.clients.store import Store, StoreUnavailableError, WatchExpiredError
from ryewing.process.leader_elector import LeaderElector
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.health import ControllerHealth
from ryewing.sharding.owner_choice import OwnerSelector
from ryewing.sharding.ownership_steps import OwnershipSteps
from ryewing.sharding.rebalancer import Rebalancer
from ryewing.sharding.registry import (
    SHARDS_PREFIX,
    DivisionDiffersError,
    RegistrySnapshot,
    ShardRegistry,
)
from ryewing.sharding.settings import ShardSettings
from ryewing.sharding.shard_electors import ShardElectors
from ryewing.units import NodeName, Revision, ShardName, monotonic_now

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.0
"""How long a watch of the records waits for a change; also the pause after an unexpected error."""
ACTIVE_STEP_INTERVAL_S = 0.2
"""The pause between steps while a shard moves from or to this controller or has no known owner, or
the store is unavailable."""
DIVISION_RETRY_S = 5.0
"""The pause before a division that differs from the stored one is compared again."""


class Coordinator:
    """Runs the loop of one controller, in the greenlet of `run`."""

    def __init__(
        self,
        node: NodeName,
        members: set[NodeName],
        settings: ShardSettings,
        division: ShardDivision,
        store: Store,
        health: ControllerHealth,
        electors: Mapping[ShardName, LeaderElector],
    ) -> None:
        self._node = node
        self._settings = settings
        self._division = division
        self._store = store
        self._registry = ShardRegistry(store)
        self.health = health
        """This controller's health key."""
        self._selector = OwnerSelector(settings)
        self._electors = ShardElectors(node, electors)
        self._steps = OwnershipSteps(node, members, self._registry, self._selector, self._electors)
        self.rebalancer = Rebalancer(node, self._registry, self._selector, self._electors)
        """Begins moves while this controller is the one that plans them."""

    def run(self) -> None:
        """Run the loop until the process is killed."""
        while True:
            try:
                pause_s = self._step_until_changed()
            except DivisionDiffersError as error:
                log.error("event=division-differs reason=%r", str(error))
                pause_s = DIVISION_RETRY_S
            except StoreUnavailableError as error:
                log.debug("event=store-unavailable error=%s", error)
                pause_s = ACTIVE_STEP_INTERVAL_S
            except Exception:
                log.exception("event=coordination-failed")
                pause_s = WATCH_TIMEOUT_S
            gevent.sleep(pause_s)

    def _step_until_changed(self) -> float:
        """Take due steps until a record changes; return how many seconds to pause afterwards."""
        snapshot = self.step()
        revision = snapshot.revision
        while not self._electors.has_pending_step():
            try:
                changes = self._store.watch(SHARDS_PREFIX, revision, WATCH_TIMEOUT_S)
            except WatchExpiredError:
                return 0.0
            if changes.log:
                return 0.0
            revision = Revision(max(revision, changes.revision))
            self.health.renew_if_due()
            self.take_due_steps(snapshot)  # some steps become due by time alone
        return ACTIVE_STEP_INTERVAL_S

    def step(self) -> RegistrySnapshot:
        """Read the records once, take each due step, and return the snapshot that was read.

        Raises DivisionDiffersError if the store holds the records of another division, and
        StoreUnavailableError if the store does not answer.
        """
        if not self._division.is_confirmed:
            self._registry.ensure_division(self._settings)
            self._division.is_confirmed = True
        self.health.renew_if_due()
        snapshot = self._registry.read(self._electors.names())
        self._record_snapshot(snapshot)
        if self._node not in snapshot.healthy:
            # A late write of an earlier process may have removed the key.
            self.health.discard_lease()
        self.take_due_steps(snapshot)
        return snapshot

    def take_due_steps(self, snapshot: RegistrySnapshot) -> None:
        """Take each step that is due according to a snapshot, which may be outdated.

        A controller whose own health key is missing only resigns from shards that it may not lead.
        """
        for name, stored in snapshot.shards.items():
            self._steps.resign_if_not_owner(name, stored)
        if self._node not in snapshot.healthy:
            return
        for name, stored in snapshot.shards.items():
            self._steps.take_due_step(name, stored, snapshot)
        self.rebalancer.begin_move_if_due(snapshot)

    def _record_snapshot(self, snapshot: RegistrySnapshot) -> None:
        """Record a snapshot in the objects that depend on it, and update the electors."""
        now = monotonic_now()
        self._selector.observe(snapshot)
        for name, stored in snapshot.shards.items():
            if stored.record is None:
                continue
            self._steps.record_phase(name, stored.record, now)
            self._electors.set_ownership(name, stored.record)
