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

from ..jobs import EPSILON, Job
from ..leader import Leader
from ..settings import Team
from ..store import Put, StoreUnavailableError, readable
from ..units import KeyVersion, ShardName, Steady, TeamName, steady_now
from ..wire import Entry
from .allowance import (
    NOTHING,
    Allowances,
    Amount,
    Claim,
    limit_of,
    lowered,
    raised,
    target_of,
    whole_units,
)
from .shard_store import ALLOWANCE_PREFIX

log = logging.getLogger("ryewing.sharding")

STEP_S = 0.5
FIRST_STEP_S = 0.1
"""How often a new term looks whether it may read the records: until then nothing may be used."""
READ_EVERY_S = 2.0
"""How often the records are read while nothing is wanted of them."""
SMALL_PART = 0.05
"""A change of what is asked for that is no larger than this part of the limit is not told."""
RESERVATION_S = 60.0
"""How long room is asked for in vain, and for how long after that it is not."""
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


class _Progress:
    """Whether a team's work in this shard gets on.

    Room that is kept for a gang lies idle until there is enough of it, and room that no machine has
    lies idle as well, while another shard may have work and machines for it. So what was asked for
    and brought no start in a minute is not asked for in the next one: without any such room a large
    gang would never start beside a steady demand, without an end small work elsewhere would wait
    for ever.
    """

    __slots__ = ("_running", "_since")

    def __init__(self, now: Steady) -> None:
        self._running = NOTHING
        self._since = now

    def note(self, running: Amount, waits: bool, now: Steady) -> None:
        """Take note of what runs now, and whether anything waits."""
        rose = running - self._running != NOTHING
        if rose or not waits or now - self._since >= 2 * RESERVATION_S:
            self._since = now
        self._running = running

    def stuck(self, now: Steady) -> bool:
        """Tell whether nothing has been started for too long."""
        return now - self._since >= RESERVATION_S


class ShardTeamLimits:
    """The parts of one term; ends with it."""

    def __init__(self, leader: Leader, shard: ShardName, shards: Sequence[ShardName]) -> None:
        self._leader = leader
        self._ctx = leader.ctx
        self._shard = shard
        self._shards = shards
        self._limited = {
            team.name: team for team in self._ctx.teams.values() if team.cpus_max or team.gpus_max
        }
        self._records: dict[str, _TeamRecord] = {}
        self._progress = {name: _Progress(steady_now()) for name in self._limited}
        self._read_at = Steady(-1e9)

    def teams(self) -> dict[str, Team]:
        """Give the teams with what this shard may use as their limits."""
        return {
            name: self._with_part(team) if name in self._limited else team
            for name, team in self._ctx.teams.items()
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
        while self._limited:
            gevent.sleep(STEP_S if self._records else FIRST_STEP_S)
            try:
                self.step()
            except StoreUnavailableError as error:
                log.debug("event=allowances-failed error=%s", error)

    def step(self) -> None:
        """Read the records if they may have changed, and write what has to change."""
        if not self._limited or not self._ctx.may_begin() or not self._leader.placer.gathered:
            return
        now = steady_now()
        for name, progress in self._progress.items():
            progress.note(self._running(name), bool(self._waiting(name)), now)
        if now - self._read_at >= READ_EVERY_S or self._wants_more():
            self._read()
            self._read_at = now
        changes = {name: wanted for name in self._limited if (wanted := self._change(name))}
        if changes and self._leader.writer.may_write(len(changes)):
            self._write(dict(list(changes.items())[: self._ctx.store.limits.txn_ops]))

    def _wants_more(self) -> bool:
        """Tell whether a team's demand is above its part, or a record is in doubt."""
        for name in self._limited:
            known = self._records.get(name)
            if known is None or known.ceiling is not None:
                return True
            if self._demand(name) - known.record.of(self._shard) != NOTHING:
                return True
        return False

    def _read(self) -> None:
        entries = {entry.key: entry for entry in self._ctx.store.listing(ALLOWANCE_PREFIX)[0]}
        for name in self._limited:
            self._take_in(name, entries.get(_key(name)))

    def _take_in(self, name: str, entry: Entry | None) -> None:
        """Note a record; it may not be newer than the write that it is in doubt about."""
        known = self._records.get(name)
        ceiling = known.ceiling if known is not None else None
        if entry is None:
            self._records[name] = _TeamRecord(Allowances(), KeyVersion(0), ceiling)
            return
        record = readable(entry.data, Allowances, entry.key)
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
        limit = limit_of(self._limited[name])
        record = self._with_demand(known.record, name, limit)
        target = target_of(record, self._shard, self._shards, limit)
        demand = self._demand(name).at_most(limit)
        least, most = self._bounds(name, target, demand)
        if record.someone_lacks(self._shard):
            less = lowered(record, self._shard, least, self._in_use(name))
            record = less if less is not None else record
        if self._pays(record.of(self._shard), most, demand, limit):
            for wanted in (most, least):
                more = raised(record, self._shard, wanted, limit)
                if more is not None and more.of(self._shard).at_least(wanted) == wanted:
                    record = more
                    break
        if record == known.record and known.ceiling is None:
            return None
        return record

    def _bounds(self, name: str, target: Amount, demand: Amount) -> tuple[Amount, Amount]:
        """Give the target rounded down and up to whole tasks, where not all of them fit."""
        waiting = self._waiting(name)
        if demand - target == NOTHING or not waiting:
            return target, target
        smallest = min(waiting, key=_size)
        tasks = smallest.shortfall if smallest.gang else 1
        unit = self._limited_only(name, self._needed(smallest, tasks))
        used = self._limited_only(name, self._running(name))
        return whole_units(target, used, unit, up=False), whole_units(target, used, unit, up=True)

    def _with_demand(self, record: Allowances, name: str, limit: Amount) -> Allowances:
        """Give the record with what is asked for now, if that is worth telling."""
        demand = self._demand(name).at_most(limit)
        part = record.of(self._shard)
        lacks = demand - part != NOTHING
        claim = self._claim(name, limit) if lacks else None
        told = record.demand.get(self._shard, NOTHING)
        told_lacks = told - part != NOTHING
        if not lacks and not told_lacks and not record.someone_lacks(self._shard):
            return record  # nobody goes by it
        if claim == record.claims.get(self._shard) and _similar(told, demand, limit):
            return record
        return record.asking(self._shard, demand, claim)

    def _pays(self, part: Amount, target: Amount, demand: Amount, limit: Amount) -> bool:
        """Tell whether a raise is worth a write: for work that waits, or for much of the limit."""
        return demand - part != NOTHING or not _similar(part, target, limit)

    def _demand(self, name: str) -> Amount:
        """Tell what a team's running and waiting work would use."""
        stuck = self._progress[name].stuck(steady_now())
        waiting = [self._needed(job, 1 if stuck else job.shortfall) for job in self._asking(name)]
        return self._limited_only(name, sum(waiting, start=self._running(name)))

    def _asking(self, name: str) -> list[Job]:
        """List the jobs that room is asked for: while nothing gets on, one small one."""
        waiting = self._waiting(name)
        if not self._progress[name].stuck(steady_now()):
            return waiting
        small = [job for job in waiting if not job.gang]
        return [min(small, key=_size)] if small else []

    def _claim(self, name: str, limit: Amount) -> Claim | None:
        """Claim room for the oldest job that can't be begun with less than it needs."""
        oldest = min(self._asking(name), key=lambda job: (job.accepted_at, job.id), default=None)
        if oldest is None:
            return None
        if oldest.gang:
            amount = self._running(name) + self._needed(oldest, oldest.shortfall)
        else:
            amount = self._needed(oldest, 1)
        return Claim(self._limited_only(name, amount).at_most(limit), oldest.accepted_at)

    def _waiting(self, name: str) -> list[Job]:
        table = self._ctx.job_table
        jobs = (table.jobs[job_id] for job_id in table.waiting)
        return [job for job in jobs if job.spec.team == name and job.shortfall > 0]

    def _needed(self, job: Job, tasks: int) -> Amount:
        return Amount(job.spec.cpus * tasks, job.spec.gpus * tasks)

    def _running(self, name: str) -> Amount:
        cluster = self._ctx.cluster
        team = TeamName(name)
        return Amount(
            max(0.0, cluster.team_cpus.get(team, 0.0)), max(0.0, cluster.team_gpus.get(team, 0.0))
        )

    def _in_use(self, name: str) -> Amount:
        """Tell what a team may be using: machines that were not heard may hold anything."""
        unheard = [machine.machine_type for machine in self._ctx.cluster.unheard()]
        hidden = Amount(
            sum(machine_type.cpus for machine_type in unheard),
            sum(machine_type.gpus for machine_type in unheard),
        )
        return self._limited_only(name, self._running(name) + hidden)

    def _limited_only(self, name: str, amount: Amount) -> Amount:
        """Leave out what the team may use without a limit."""
        team = self._limited[name]
        return Amount(amount.cpus if team.cpus_max else 0.0, amount.gpus if team.gpus_max else 0.0)

    # -- writing ----------------------------------------------------------------------------

    def _write(self, changes: dict[str, Allowances]) -> None:
        conditions = {_key(name): self._records[name].version for name in changes}
        for name, wanted in changes.items():
            known = self._records[name]
            known.ceiling = known.usable(self._shard).at_most(wanted.of(self._shard))
        result = self._ctx.store.txn(
            self._ctx.leadership.fenced(conditions),
            [Put(_key(name), wanted) for name, wanted in changes.items()],
        )
        if self._ctx.leadership.lost_by(result):
            self._ctx.lose("fenced")
            return
        self._read_at = Steady(-1e9)
        if not result.ok:
            return  # another shard changed one of them: all are read again
        for name, wanted in changes.items():
            self._records[name] = _TeamRecord(wanted, KeyVersion(result.revision), None)
        self._ctx.place.set()


def _size(job: Job) -> tuple[float, float, str]:
    """Order jobs by what a task takes."""
    return job.spec.gpus, job.spec.cpus, job.id


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
