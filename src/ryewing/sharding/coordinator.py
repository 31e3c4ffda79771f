"""Brings the ownership of all shards to what is wanted, one step at a time.

One loop at each controller. What it goes by is in the store: the ownership records and the health
of the controllers. Each step is one conditional write, so any controller may take any step that is
due, at any time and on old news: it is taken once or not at all. Leading itself is left to the
shard's elector, which this tells whether it may.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial

import gevent

from ryewing.clients.store import Store, StoreUnavailableError, WatchExpiredError
from ryewing.leader.leader import Leader
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.process.leader_elector import LeaderElector
from ryewing.sharding.division import ShardDivision
from ryewing.sharding.health import ControllerHealth
from ryewing.sharding.owner_choice import OwnerChoice
from ryewing.sharding.ownership import (
    MoveRefusedError,
    Ownership,
    Phase,
    begin_move,
    finish,
    first_owner,
    hand_off,
    repair,
    settle,
)
from ryewing.sharding.registry import (
    SHARDS_PREFIX,
    DivisionDiffersError,
    Registration,
    ShardRegistry,
    StoredOwnership,
)
from ryewing.sharding.settings import ShardSettings
from ryewing.sharding.team_limits import ShardTeamLimits
from ryewing.units import MonotonicTime, NodeName, Revision, ShardName, monotonic_now

log = logging.getLogger(__name__)

WATCH_S = 1.0
BUSY_STEP_S = 0.2
"""The pause between steps while a shard of this controller changes hands."""
DISAGREEING_S = 5.0
"""How long until a division that the store does not agree to is looked at again."""
DRAIN_MAX_S = 6.0
"""How long the owner of a sealed shard waits for what is under way before it resigns anyway: safety
does not rest on it, but a successor has to find out more."""
START_GRACE_S = 5.0
"""How long after its start a controller leaves shards that nobody has owned yet to others that may
be starting as well."""
ORPHAN_PATIENCE_S = 5.0
"""How long a shard without a healthy owner is left to the controller that is chosen for it; after
that any controller takes it."""
PLAN_EVERY_S = 5.0


class Coordinator:
    """The loop of one controller."""

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
        self._members = members
        self._settings = settings
        self._division = division
        self._store = store
        self._registry = ShardRegistry(store)
        self._health = health
        self._candidacies = electors
        self._choice = OwnerChoice(settings)
        self.records: dict[ShardName, Ownership] = {}
        """The ownership of each shard as it was last read."""
        self._began = monotonic_now()
        self._sealed_since: dict[ShardName, MonotonicTime] = {}
        self._orphaned_since: dict[ShardName, MonotonicTime] = {}
        self._planned_at = self._began
        for name, elector in electors.items():
            elector.eligible = partial(self._eligible, name)
            elector.on_elected = partial(self._on_elected, name)

    def run(self) -> None:
        """Take steps until the process is killed."""
        while True:
            try:
                pause_s = self._round()
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

    def _round(self) -> float:
        """Take the steps that are due until the store has news; tell how long to pause then."""
        found = self.step()
        revision = found.revision
        while not self._busy():
            try:
                changes = self._store.watch(SHARDS_PREFIX, revision, WATCH_S)
            except WatchExpiredError:
                return 0.0
            if changes.log:
                return 0.0
            revision = Revision(max(revision, changes.revision))
            self._health.keep()
            self._act(found)  # some steps are due by the clock alone
        return BUSY_STEP_S

    def step(self) -> Registration:
        """Read the records and take each step that is due now."""
        if not self._division.in_force:
            self._registry.agree_on(self._settings)
            self._division.in_force = True
        self._health.keep()
        found = self._registry.read(self._candidacies)
        self._take_note(found)
        if self._node not in found.healthy:
            self._health.forget()  # a late write of an earlier process may have taken the key away
        self._act(found)
        return found

    def _act(self, found: Registration) -> None:
        for name, seen in found.shards.items():
            self._give_way(name, seen)
        if self._node not in found.healthy:
            return
        for name, seen in found.shards.items():
            self._advance(name, seen, found)
        self._plan(found)

    # -- what the electors ask -----------------------------------------------------------

    def _eligible(self, name: ShardName) -> bool:
        record = self.records.get(name)
        return record is not None and record.may_campaign(self._node)

    def _on_elected(self, name: ShardName, leader: Leader) -> None:
        leader.term.sealed = not self._may_begin(name)
        limits = ShardTeamLimits(leader, name, list(self._candidacies))
        leader.term.team_limits = limits
        leader.extra_loops.append(limits.run)

    def _may_begin(self, name: ShardName) -> bool:
        record = self.records.get(name)
        return record is not None and record.may_start(self._node)

    # -- news -------------------------------------------------------------------------------

    def _take_note(self, found: Registration) -> None:
        now = monotonic_now()
        self._choice.note(found)
        for name, seen in found.shards.items():
            if seen.record is None:
                continue
            self.records[name] = seen.record
            self._note_phase(name, seen.record, now)
            self._update_seal(name)

    def _note_phase(self, name: ShardName, record: Ownership, now: MonotonicTime) -> None:
        if record.phase is Phase.SEALED:
            self._sealed_since.setdefault(name, now)
        else:
            self._sealed_since.pop(name, None)

    def _update_seal(self, name: ShardName) -> None:
        """Let a leader here begin what it may by the shard's record, and nothing more."""
        leader = self._candidacies[name].leader
        sealed = not self._may_begin(name)
        if leader is None or leader.term.sealed == sealed:
            return
        leader.term.sealed = sealed
        log.info(
            "event=%s shard=%s term=%d",
            "sealed" if sealed else "unsealed",
            name,
            leader.term.number,
        )
        leader.term.scheduling_needed.set()

    def _busy(self) -> bool:
        """Tell whether a step may be due without any change in the store."""
        return any(
            record.phase is not Phase.OWNED and self._node in (record.owner, record.target)
            for record in self.records.values()
        ) or any(name not in self.records for name in self._candidacies)

    # -- steps ------------------------------------------------------------------------------

    def _advance(self, name: ShardName, seen: StoredOwnership, found: Registration) -> None:
        """Take the step of one shard that is due, if any."""
        if not seen.readable:
            return
        record = seen.record
        leader = self._candidacies[name].leader
        if record is None or self._is_orphan(record, found.healthy):
            self._adopt(name, seen, found)
            return
        self._orphaned_since.pop(name, None)
        if record.phase is Phase.OWNED:
            self._hand_off_if_unfit(name, seen, found)
        elif record.phase is Phase.SEALED and record.owner == self._node:
            self._settle(name, seen, leader)
        elif leader is not None and leader.term.state_loaded.is_set():
            self._take(name, seen, lambda old: finish(old, self._node) if old else None)

    def _give_way(self, name: ShardName, seen: StoredOwnership) -> None:
        """Resign if the record names another owner, who waits for the lease."""
        leader = self._candidacies[name].leader
        if leader is not None and seen.record is not None and not seen.record.leads(self._node):
            leader.resign(TermEndReason.NOT_OWNER)

    def _settle(self, name: ShardName, seen: StoredOwnership, leader: Leader | None) -> None:
        """Resign once nothing is under way, then say so."""
        if leader is not None:
            waited_s = monotonic_now() - self._sealed_since[name]
            if not leader.drained() and waited_s < DRAIN_MAX_S:
                return
            leader.resign(TermEndReason.SHARD_MOVING)
        self._take(name, seen, lambda old: settle(old, self._node) if old else None)

    def _hand_off_if_unfit(
        self, name: ShardName, seen: StoredOwnership, found: Registration
    ) -> None:
        """Leave a shard to another controller if this one has resigned for a fault of its own."""
        if not self._candidacies[name].is_abstaining():
            return
        others = found.healthy - {self._node}
        if not others:
            return
        target = self._choice.assignment(found, others)[name]
        self._take(name, seen, lambda old: hand_off(old, self._node, target) if old else None)

    def _is_orphan(self, record: Ownership, healthy: set[NodeName]) -> bool:
        """Tell whether those who should take the next step of a shard are not there to do so."""
        owner, target = NodeName(record.owner), NodeName(record.target or "")
        if record.phase is Phase.OWNED:
            return owner not in healthy
        if record.phase is Phase.SEALED:
            return owner not in healthy or target not in healthy
        return target not in healthy

    def _adopt(self, name: ShardName, seen: StoredOwnership, found: Registration) -> None:
        """See to a shard that nobody healthy owns: one controller is chosen by the same rule
        everywhere, and if it does nothing any other one acts."""
        now = monotonic_now()
        since = self._orphaned_since.setdefault(name, now)
        nodes = found.healthy
        if seen.record is None and now - self._began < START_GRACE_S:
            nodes = nodes | self._members
        chosen = self._choice.assignment(found, nodes)[name]
        if chosen != self._node and now - since < ORPHAN_PATIENCE_S:
            return
        self._take(name, seen, partial(self._adoption, healthy=found.healthy))

    def _adoption(self, old: Ownership | None, healthy: set[NodeName]) -> Ownership | None:
        if old is None:
            return first_owner(self._node)
        return repair(old, self._node, healthy)

    def _take(
        self,
        name: ShardName,
        seen: StoredOwnership,
        step: Callable[[Ownership | None], Ownership | None],
    ) -> None:
        taken = self._registry.take(name, seen, step)
        if taken is not None:
            self.records[name] = taken
            self._update_seal(name)

    # -- planning ---------------------------------------------------------------------------

    def _plan(self, found: Registration) -> None:
        """Begin a move that evens out the shards, if this controller is the one to plan."""
        now = monotonic_now()
        if self._node != min(found.healthy) or now - self._planned_at < PLAN_EVERY_S:
            return
        self._planned_at = now
        move = self._choice.move(found)
        if move is None:
            return
        try:
            self._take(
                move.shard,
                found.shards[move.shard],
                lambda old: begin_move(old, move.target, found.healthy) if old else None,
            )
        except MoveRefusedError as error:
            log.info("event=move-refused shard=%s reason=%r", move.shard, str(error))
