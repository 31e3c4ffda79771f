"""What one shard's leader may let each team use: its parts of the teams' limits, kept in the store.

Only this leader changes its shard's parts. A part counts as raised once the store has confirmed it,
and as lowered from before the change is sent. A change that gets no answer may be carried out
later, when work was begun again on the higher part; so until another write of the same record is
confirmed, which makes the lost one fail, the lower of both counts.
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
from ryewing.sharding.allowance import NOTHING, Allowances, Amount, lowered, raised, target_of
from ryewing.sharding.shard_store import ALLOWANCE_PREFIX
from ryewing.sharding.team_demand import TeamDemand
from ryewing.state.resources import EPSILON
from ryewing.units import KeyVersion, MonotonicTime, ShardName, monotonic_now
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

STEP_S = 0.5
FIRST_STEP_S = 0.1
"""How often a new term looks whether it may read the records: until then nothing may be used."""
READ_EVERY_S = 2.0
"""How often the records are read while nothing is wanted of them."""
SMALL_PART = 0.05
"""A change of what is asked for that is no larger than this part of the limit is not told."""
NO_ROOM = EPSILON / 2
"""Stands for a part of nothing: a limit of 0 would say that there is none."""


class _TeamRecord:
    """A team's record as the store was last seen to have it, and what of it may be relied on."""

    __slots__ = ("ceiling", "record", "version")

    def __init__(self, record: Allowances, version: KeyVersion, ceiling: Amount | None) -> None:
        self.record = record
        self.version = version
        self.ceiling = ceiling
        """What a change without an answer may have lowered the part to."""

    def usable(self, shard: ShardName) -> Amount:
        """Tell what may be used for certain."""
        part = self.record.of(shard)
        return part if self.ceiling is None else part.at_most(self.ceiling)


class ShardTeamLimits:
    """The parts of one term; ends with it."""

    def __init__(self, leader: Leader, shard: ShardName, shards: Sequence[ShardName]) -> None:
        self._leader = leader
        self._term = leader.term
        self._shard = shard
        self._shards = shards
        self._demands = {
            team.name: TeamDemand(self._term, team)
            for team in self._term.teams.values()
            if team.cpus_max or team.gpus_max
        }
        self._records: dict[str, _TeamRecord] = {}
        self._read_at = MonotonicTime(-1e9)

    def teams(self) -> dict[str, Team]:
        """Give the teams with what this shard may use as their limits."""
        return {
            name: self._with_part(team) if name in self._demands else team
            for name, team in self._term.teams.items()
        }

    def _with_part(self, team: Team) -> Team:
        known = self._records.get(team.name)
        part = known.usable(self._shard) if known is not None else NOTHING
        return msgspec.structs.replace(
            team,
            cpus_max=max(part.cpus, NO_ROOM) if team.cpus_max else 0.0,
            gpus_max=max(part.gpus, NO_ROOM) if team.gpus_max else 0.0,
        )

    def run(self) -> None:
        """Keep the parts to what is wanted, until the term ends."""
        while self._demands:
            gevent.sleep(STEP_S if self._records else FIRST_STEP_S)
            try:
                self.step()
            except StoreUnavailableError as error:
                log.debug("event=allowances-failed error=%s", error)

    def step(self) -> None:
        """Read the records if they may have changed, and write what has to change."""
        if not self._demands or not self._term.may_begin() or not self._leader.scheduler.reconciled:
            return
        now = monotonic_now()
        for demand in self._demands.values():
            demand.note_progress(now)
        if now - self._read_at >= READ_EVERY_S or self._wants_more():
            self._read()
            self._read_at = now
        changes = {name: wanted for name in self._demands if (wanted := self._change(name))}
        if changes and self._leader.writer.may_write(len(changes)):
            self._write(dict(list(changes.items())[: self._term.store.limits.txn_ops]))

    def _wants_more(self) -> bool:
        """Tell whether a team's demand is above its part, or a record is in doubt."""
        for name, demand in self._demands.items():
            known = self._records.get(name)
            if known is None or known.ceiling is not None:
                return True
            if demand.wanted() - known.record.of(self._shard) != NOTHING:
                return True
        return False

    def _read(self) -> None:
        entries = {entry.key: entry for entry in self._term.store.listing(ALLOWANCE_PREFIX)[0]}
        for name in self._demands:
            self._take_in(name, entries.get(_key(name)))

    def _take_in(self, name: str, entry: Entry | None) -> None:
        """Note a record; it may not be newer than the write that it is in doubt about."""
        known = self._records.get(name)
        ceiling = known.ceiling if known is not None else None
        if entry is None:
            self._records[name] = _TeamRecord(Allowances(), KeyVersion(0), ceiling)
            return
        record = decode_stored(entry.data, Allowances, entry.key)
        if record is None:
            self._records.pop(name, None)  # nothing may be used until an operator has seen to it
            return
        self._records[name] = _TeamRecord(record, KeyVersion(entry.key_version), ceiling)

    # -- what is wanted ---------------------------------------------------------------------

    def _change(self, name: str) -> Allowances | None:
        """Give a team's record as it should be, or None if it can stay."""
        known = self._records.get(name)
        if known is None:
            return None
        demand = self._demands[name]
        wanted = demand.wanted()
        record = self._with_demand(known.record, demand, wanted)
        target = target_of(record, self._shard, self._shards, demand.limit)
        least, most = demand.in_whole_tasks(target, wanted)
        if record.someone_lacks(self._shard):
            record = lowered(record, self._shard, least, demand.in_use()) or record
        if self._pays(record.of(self._shard), most, wanted, demand.limit):
            record = self._raised(record, (most, least), demand.limit)
        if record == known.record and known.ceiling is None:
            return None
        return record

    def _raised(
        self, record: Allowances, amounts: tuple[Amount, Amount], limit: Amount
    ) -> Allowances:
        """Raise the part to the first of the amounts for which there is room."""
        for amount in amounts:
            more = raised(record, self._shard, amount, limit)
            if more is not None and more.of(self._shard).at_least(amount) == amount:
                return more
        return record

    def _with_demand(self, record: Allowances, demand: TeamDemand, wanted: Amount) -> Allowances:
        """Give the record with what is asked for now, if that is worth telling."""
        part = record.of(self._shard)
        lacks = wanted - part != NOTHING
        claim = demand.claim() if lacks else None
        told = record.demand.get(self._shard, NOTHING)
        told_lacks = told - part != NOTHING
        if not lacks and not told_lacks and not record.someone_lacks(self._shard):
            return record  # nobody goes by it
        if claim == record.claims.get(self._shard) and _similar(told, wanted, demand.limit):
            return record
        return record.asking(self._shard, wanted, claim)

    def _pays(self, part: Amount, target: Amount, wanted: Amount, limit: Amount) -> bool:
        """Tell whether a raise is worth a write: for work that waits, or for much of the limit."""
        return wanted - part != NOTHING or not _similar(part, target, limit)

    # -- writing ----------------------------------------------------------------------------

    def _write(self, changes: dict[str, Allowances]) -> None:
        conditions = {_key(name): self._records[name].version for name in changes}
        for name, wanted in changes.items():
            known = self._records[name]
            known.ceiling = known.usable(self._shard).at_most(wanted.of(self._shard))
        result = self._term.store.txn(
            self._term.leadership.fencing_conditions(conditions),
            [Put(_key(name), wanted) for name, wanted in changes.items()],
        )
        if self._term.leadership.is_superseded(result):
            self._term.end(TermEndReason.FENCED)
            return
        self._read_at = MonotonicTime(-1e9)
        if not result.ok:
            return  # another shard changed one of them: all are read again
        for name, wanted in changes.items():
            self._records[name] = _TeamRecord(wanted, KeyVersion(result.revision), None)
        self._term.scheduling_needed.set()


def _similar(one: Amount, other: Amount, limit: Amount) -> bool:
    """Tell whether two amounts differ by a small part of a limit at most."""
    return all(
        abs(a - b) <= SMALL_PART * most and (a > 0) == (b > 0)
        for a, b, most in (
            (one.cpus, other.cpus, limit.cpus),
            (one.gpus, other.gpus, limit.gpus),
        )
    )


def _key(name: str) -> str:
    return ALLOWANCE_PREFIX + quote(name, safe="")
