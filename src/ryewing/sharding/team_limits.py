"""The team limits that one shard's leader enforces: its parts of the teams' limits, in the store.

Only this leader changes its shard's parts, under its term. A part counts as raised once the store
has confirmed it, and as lowered from before the change is sent. A change that gets no answer may be
carried out later, when tasks were started again on the higher part; so the lower of both counts
until another write of the same record is confirmed, which makes the lost one fail. With that, tasks
are started by no more than what the store has confirmed and no write on its way may still lower
(docs/design.md, argument 16).
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from urllib.parse import quote

import gevent
import msgspec

from ryewing.clients.store import Put, StoreUnavailableError, decode_stored
from ryewing.config.settings import Team
from ryewing.leader.leader import Leader
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.sharding.allowance import NOTHING, Allowances, Amount
from ryewing.sharding.allowance_change import AllowanceChange
from ryewing.sharding.shard_store import ALLOWANCE_PREFIX
from ryewing.sharding.team_demand import TeamDemand
from ryewing.state.resources import EPSILON
from ryewing.units import KeyVersion, MonotonicTime, ShardName, monotonic_now
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

STEP_S = 0.5
FIRST_STEP_S = 0.1
"""How often a new term checks whether it may read the records: until then no team may use any
limited resource."""
READ_EVERY_S = 2.0
"""How often the records are read while no more is requested than the parts allow."""
NEVER = MonotonicTime(-1e9)
NO_ROOM = EPSILON / 2
"""Stands for a part of 0: a team's limit of 0 would mean that there is none."""


class TeamRecord:
    """A team's record as it was last read or written, and how much of it may be relied on."""

    __slots__ = ("record", "unconfirmed_part", "version")

    def __init__(
        self, record: Allowances, version: KeyVersion, unconfirmed_part: Amount | None
    ) -> None:
        self.record = record
        self.version = version
        self.unconfirmed_part = unconfirmed_part
        """What changes without an answer may have lowered the part to; None if there are none."""

    def usable(self, shard: ShardName) -> Amount:
        """Return how much of its part a shard may use for certain."""
        part = self.record.of(shard)
        return part if self.unconfirmed_part is None else part.at_most(self.unconfirmed_part)


class ShardTeamLimits:
    """The limits of all teams in one term; its greenlet is `run`, one of the leader's loops."""

    def __init__(self, leader: Leader, shard: ShardName, shards: Sequence[ShardName]) -> None:
        self._leader = leader
        self._term = leader.term
        self._shard = shard
        self._change = AllowanceChange(shard, shards)
        self._demands = {
            team.name: TeamDemand(self._term, team)
            for team in self._term.teams.values()
            if team.cpus_max or team.gpus_max
        }
        self.records: dict[str, TeamRecord] = {}
        """The newest known record of each team; none of a team whose record can't be read."""
        self._read_at = NEVER

    def teams(self) -> dict[str, Team]:
        """Return the teams with what this shard may use as their limits."""
        return {
            name: self._with_part(team) if name in self._demands else team
            for name, team in self._term.teams.items()
        }

    def _with_part(self, team: Team) -> Team:
        stored = self.records.get(team.name)
        part = stored.usable(self._shard) if stored is not None else NOTHING
        return msgspec.structs.replace(
            team,
            cpus_max=max(part.cpus, NO_ROOM) if team.cpus_max else 0.0,
            gpus_max=max(part.gpus, NO_ROOM) if team.gpus_max else 0.0,
        )

    def run(self) -> None:
        """Adapt the parts to the demand until the term ends."""
        while self._demands:
            gevent.sleep(STEP_S if self.records else FIRST_STEP_S)
            try:
                self.step()
            except StoreUnavailableError as error:
                log.debug("event=allowances-failed error=%s", error)

    def step(self) -> None:
        """Read the records if they may have changed, and write those that have to change.

        Raises StoreUnavailableError if the store does not answer.
        """
        if not self._may_change_records():
            return
        now = monotonic_now()
        for demand in self._demands.values():
            demand.note_progress(now)
        if now - self._read_at >= READ_EVERY_S or self._is_read_needed():
            self.read_records()
            self._read_at = now
        changes = self._due_changes()
        if changes and self._leader.writer.try_acquire_writes(len(changes)):
            self._write(dict(list(changes.items())[: self._term.store.limits.txn_ops]))

    def _may_change_records(self) -> bool:
        """Return whether this leader is past reconciliation and may start tasks now."""
        return (
            bool(self._demands)
            and self._term.may_start_operations()
            and self._leader.scheduler.reconciled
        )

    # -- reading ----------------------------------------------------------------------------

    def _is_read_needed(self) -> bool:
        """Return whether a team requests more than its part, or a record is uncertain."""
        for name, demand in self._demands.items():
            stored = self.records.get(name)
            if stored is None or stored.unconfirmed_part is not None:
                return True
            if demand.requested() - stored.record.of(self._shard) != NOTHING:
                return True
        return False

    def read_records(self) -> None:
        """Read the records of all teams; raises StoreUnavailableError."""
        entries = {entry.key: entry for entry in self._term.store.listing(ALLOWANCE_PREFIX)[0]}
        for name in self._demands:
            self._keep_record(name, entries.get(_key(name)))

    def _keep_record(self, name: str, entry: Entry | None) -> None:
        """Keep what was read; an unconfirmed write may still be carried out after the reading."""
        stored = self.records.get(name)
        unconfirmed_part = stored.unconfirmed_part if stored is not None else None
        if entry is None:
            self.records[name] = TeamRecord(Allowances(), KeyVersion(0), unconfirmed_part)
            return
        record = decode_stored(entry.data, Allowances, entry.key)
        if record is None:
            self.records.pop(name, None)  # the team may use nothing until an operator mends it
            return
        self.records[name] = TeamRecord(record, KeyVersion(entry.key_version), unconfirmed_part)

    # -- writing ----------------------------------------------------------------------------

    def _due_changes(self) -> dict[str, Allowances]:
        """Return the new records of the teams whose records have to be written, by team name."""
        changes = {}
        for name, demand in self._demands.items():
            stored = self.records.get(name)
            if stored is None:
                continue
            record = self._change.next_record(stored.record, demand)
            # An unchanged record is written as well if that makes an unconfirmed write fail.
            if record != stored.record or stored.unconfirmed_part is not None:
                changes[name] = record
        return changes

    def _write(self, changes: dict[str, Allowances]) -> None:
        """Write records in one transaction, fenced by this term."""
        conditions = {_key(name): self.records[name].version for name in changes}
        for name, record in changes.items():
            stored = self.records[name]
            stored.unconfirmed_part = stored.usable(self._shard).at_most(record.of(self._shard))
        result = self._term.store.txn(
            self._term.leadership.fencing_conditions(conditions),
            [Put(_key(name), record) for name, record in changes.items()],
        )
        if self._term.leadership.is_superseded(result):
            self._term.end(TermEndReason.FENCED)
            return
        self._read_at = NEVER
        if not result.ok:
            return  # another shard changed one of them: all are read again
        for name, record in changes.items():
            self.records[name] = TeamRecord(record, KeyVersion(result.revision), None)
        self._term.scheduling_needed.set()


def _key(name: str) -> str:
    return ALLOWANCE_PREFIX + quote(name, safe="")
