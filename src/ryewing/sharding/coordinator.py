"""The loop of one controller that brings the ownership of all shards to its desired state.

Everything it decides by is in the store: the ownership records and the health of the controllers.
`ownership_steps` takes the steps that are due, `rebalancer` begins moves, `shard_electors` tells
the electors what they may do. Leading itself is left to each shard's elector.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

import gevent

from ryewing.clients.store import Store, StoreUnavailableError, WatchExpiredError
from ryewing.process.leader_elector import LeaderElector
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.health import ControllerHealth
from ryewing.sharding.owner_choice import OwnerChoice
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

WATCH_S = 1.0
"""How long one watch of the records waits for a change; also the pause after a fault."""
BUSY_STEP_S = 0.2
"""The pause between steps while a shard of this controller changes hands, or the store is
unavailable."""
DISAGREEING_S = 5.0
"""How long until a division that the store does not agree to is compared again."""


class Coordinator:
    """The loop of one controller; `run` is its greenlet."""

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
        self._choice = OwnerChoice(settings)
        self._electors = ShardElectors(node, electors)
        self._steps = OwnershipSteps(node, members, self._registry, self._choice, self._electors)
        self.rebalancer = Rebalancer(node, self._registry, self._choice, self._electors)
        """What begins moves while this controller is the one to plan."""

    def run(self) -> None:
        """Take steps until the process is killed."""
        while True:
            try:
                pause_s = self._step_until_changed()
            except DivisionDiffersError as error:
                log.error("event=division-differs reason=%r", str(error))
                pause_s = DISAGREEING_S
            except StoreUnavailableError as error:
                log.debug("event=store-unavailable error=%s", error)
                pause_s = BUSY_STEP_S
            except Exception:
                log.exception("event=coordination-failed")
                pause_s = WATCH_S
            gevent.sleep(pause_s)

    def _step_until_changed(self) -> float:
        """Take the due steps until a record changes; return how many seconds to pause then."""
        registration = self.step()
        revision = registration.revision
        while not self._electors.awaiting_step():
            try:
                changes = self._store.watch(SHARDS_PREFIX, revision, WATCH_S)
            except WatchExpiredError:
                return 0.0
            if changes.log:
                return 0.0
            revision = Revision(max(revision, changes.revision))
            self.health.renew_if_due()
            self.take_due_steps(registration)  # some steps are due by the clock alone
        return BUSY_STEP_S

    def step(self) -> RegistrySnapshot:
        """Read the records once, take each step that is due, and return what was read.

        Raises DivisionDiffersError if the store holds the records of another division, and
        StoreUnavailableError if the store does not answer.
        """
        if not self._division.is_confirmed:
            self._registry.ensure_division(self._settings)
            self._division.is_confirmed = True
        self.health.renew_if_due()
        registration = self._registry.read(self._electors.names())
        self._note(registration)
        if self._node not in registration.healthy:
            self.health.forget()  # a late write of an earlier process may have removed the key
        self.take_due_steps(registration)
        return registration

    def take_due_steps(self, registration: RegistrySnapshot) -> None:
        """Take each step that is due by what was read, though it may be out of date by now.

        A controller whose own health key is missing only resigns what it does not own.
        """
        for name, stored in registration.shards.items():
            self._steps.resign_if_not_owner(name, stored)
        if self._node not in registration.healthy:
            return
        for name, stored in registration.shards.items():
            self._steps.take_due_step(name, stored, registration)
        self.rebalancer.begin_move_if_due(registration)

    def _note(self, registration: RegistrySnapshot) -> None:
        """Remember what was read, and tell the electors."""
        now = monotonic_now()
        self._choice.note(registration)
        for name, stored in registration.shards.items():
            if stored.record is None:
                continue
            self._steps.note_phase(name, stored.record, now)
            self._electors.set_ownership(name, stored.record)
