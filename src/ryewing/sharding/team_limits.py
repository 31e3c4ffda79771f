"""The team limits that one shard's leader enforces: the shard's parts of the limits, in the store.

Only this leader changes its shard's parts, fenced by its term. A raised part takes effect once the
store has confirmed it; a lowered part takes effect before the write is sent. A write without an
answer may be applied later, after tasks were started again on the higher part. The lower of the two
parts therefore applies until another write of the same record is confirmed, which makes the
unanswered one fail. So tasks never use more than the confirmed part, nor more than the part to
which a write in flight may lower it (docs/design.md, argument 16).
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
from ryewing.sharding.allowance import ZERO_AMOUNT, Allowances, Amount
from ryewing.sharding.allowance_change import AllowanceChange
from ryewing.sharding.shard_store import ALLOWANCE_PREFIX
from ryewing.sharding.team_demand import TeamDemand
from ryewing.state.resources import EPSILON
from ryewing.units import KeyVersion, MonotonicTime, ShardName, monotonic_now
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.5
INITIAL_STEP_INTERVAL_S = 0.1
"""The interval at which a new term checks whether it may read the records. Before the first read no
team may use any limited resource."""
READ_INTERVAL_S = 2.0
"""The interval between reads of the records while the parts cover all requests."""
NEVER = MonotonicTime(-1e9)
ZERO_LIMIT = EPSILON / 2
"""Represents a part of 0, because a limit of 0 in a `Team` means no limit."""


class TeamRecord:
    """A team's record as last read or written, and how much of the shard's part is certain."""

    __slots__ = ("record", "unconfirmed_part", "version")

    def __init__(
        self, record: Allowances, version: KeyVersion, unconfirmed_part: Amount | None
    ) -> None:
        self.record = record
        self.version = version
        self.unconfirmed_part = unconfirmed_part
        """The part to which unanswered writes may have lowered it; None if there are none."""

    def usable(self, shard: ShardName) -> Amount:
        """Return the amount that a shard may use, whatever became of unanswered writes."""
        part = self.record.part_of(shard)
        return part if self.unconfirmed_part is None else part.at_most(self.unconfirmed_part)


class ShardTeamLimits:
    """The limits of all teams in one term; `run`, in its own greenlet, is a loop of the leader."""

    def __init__(self, leader: Leader, shard: ShardName, shards: Sequence[ShardName]) -> None:
        self._leader = leader
        self._term = leader.term
        self._shard = shard
        self._allowance_change = AllowanceChange(shard, shards)
        self._demands = {
            team.name: TeamDemand(self._term, team)
            for team in self._term.teams.values()
            if team.cpus_max or team.gpus_max
        }
        self.records: dict[str, TeamRecord] = {}
        """The newest known record of each team, without teams whose records are unreadable."""
        self._read_at = NEVER

    def teams(self) -> dict[str, Team]:
        """Return the teams with the amounts that this shard may use as their limits."""
        return {
            name: self._with_shard_limits(team) if name in self._demands else team
            for name, team in self._term.teams.items()
        }

    def _with_shard_limits(self, team: Team) -> Team:
        stored = self.records.get(team.name)
        part = stored.usable(self._shard) if stored is not None else ZERO_AMOUNT
        return msgspec.structs.replace(
            team,
            cpus_max=max(part.cpus, ZERO_LIMIT) if team.cpus_max else 0.0,
            gpus_max=max(part.gpus, ZERO_LIMIT) if team.gpus_max else 0.0,
        )

    def run(self) -> None:
        """Adjust the parts to the demand until the term ends."""
        while self._demands:
            gevent.sleep(STEP_INTERVAL_S if self.records else INITIAL_STEP_INTERVAL_S)
            try:
                self.step()
            except StoreUnavailableError as error:
                log.debug("event=allowances-failed error=%s", error)

    def step(self) -> None:
        """Read the records if that is due, and write those that have to change.

        Raises StoreUnavailableError if the store does not answer.
        """
        if not self._may_change_records():
            return
        now = monotonic_now()
        for demand in self._demands.values():
            demand.update_progress(now)
        if now - self._read_at >= READ_INTERVAL_S or self._is_read_needed():
            self.read_records()
            self._read_at = now
        changes = self._due_changes()
        if changes and self._leader.writer.try_acquire_writes(len(changes)):
            self._write(dict(list(changes.items())[: self._term.store.limits.txn_ops]))

    def _may_change_records(self) -> bool:
        """Return whether this leader has reconciled and may start tasks now."""
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
            if demand.requested() - stored.record.part_of(self._shard) != ZERO_AMOUNT:
                return True
        return False

    def read_records(self) -> None:
        """Read the records of all teams; raises StoreUnavailableError."""
        entries = {entry.key: entry for entry in self._term.store.listing(ALLOWANCE_PREFIX)[0]}
        for name in self._demands:
            self._update_record(name, entries.get(_key(name)))

    def _update_record(self, name: str, entry: Entry | None) -> None:
        """Store a record that was read in `records`.

        The unconfirmed part stays, because the unanswered write may be applied after the read.
        """
        stored = self.records.get(name)
        unconfirmed_part = stored.unconfirmed_part if stored is not None else None
        if entry is None:
            self.records[name] = TeamRecord(Allowances(), KeyVersion(0), unconfirmed_part)
            return
        record = decode_stored(entry.data, Allowances, entry.key)
        if record is None:
            # Until an operator repairs the record, the team may use nothing.
            self.records.pop(name, None)
            return
        self.records[name] = TeamRecord(record, KeyVersion(entry.key_version), unconfirmed_part)

    # -- writing ----------------------------------------------------------------------------

    def _due_changes(self) -> dict[str, Allowances]:
        """Return the new records that have to be written, by team name."""
        changes = {}
        for name, demand in self._demands.items():
            stored = self.records.get(name)
            if stored is None:
                continue
            record = self._allowance_change.next_record(stored.record, demand)
            # An unchanged record is written too if that makes an unconfirmed write fail.
            if record != stored.record or stored.unconfirmed_part is not None:
                changes[name] = record
        return changes

    def _write(self, changes: dict[str, Allowances]) -> None:
        """Write records in one transaction, fenced by this term."""
        conditions = {_key(name): self.records[name].version for name in changes}
        for name, record in changes.items():
            stored = self.records[name]
            stored.unconfirmed_part = stored.usable(self._shard).at_most(
                record.part_of(self._shard)
            )
        result = self._term.store.txn(
            self._term.leadership.fencing_conditions(conditions),
            [Put(_key(name), record) for name, record in changes.items()],
        )
        if self._term.leadership.is_superseded(result):
            self._term.end(TermEndReason.FENCED)
            return
        self._read_at = NEVER
        if not result.ok:
            return  # another shard changed a record: all are read again
        for name, record in changes.items():
            self.records[name] = TeamRecord(record, KeyVersion(result.revision), None)
        self._term.scheduling_needed.set()


def _key(name: str) -> str:
    return ALLOWANCE_PREFIX + quote(name, safe="")
