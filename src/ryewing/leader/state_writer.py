"""What the store lacks: merged into few conditional transactions, within the write rate.

Every transaction has the condition of the term, so that a late one of an earlier leader dies.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple, TypeVar

import gevent
import msgspec

from ryewing.clients.store import (
    Put,
    RejectedError,
    Remove,
    StoreUnavailableError,
    TxnResult,
    decode_stored,
)
from ryewing.clients.token_bucket import TokenBucket
from ryewing.leader.term_context import TermContext
from ryewing.state.job_records import (
    FINISHED_PREFIX,
    LIVE_PREFIX,
    TASKS_PER_CHUNK,
    FinalRecord,
    FinalState,
    final_key,
    finished_chunk_name,
    live_key,
)
from ryewing.state.jobs import Job
from ryewing.state.machine import Machine
from ryewing.state.paged_records import PagedRecords
from ryewing.units import JobId, KeyVersion, MachineId, MonotonicTime, Revision, monotonic_now
from ryewing.wire.cloud import MACHINE_KEYS

log = logging.getLogger(__name__)
T = TypeVar("T")

MACHINE_PREFIX = "m/"
FORGET_AT_ONCE = 32
WRITE_SHARE = 0.65
"""The part of the write rate for terms; the rest is for renewals and accepting submissions."""
ASIDE_S = 30.0
"""How long a change that the store won't take is left alone."""
TXN_BYTES = 48 * 1024
"""What one transaction may carry, below the 64 KiB that the store takes in all."""
SMALL = 256
"""What a change of a single small key counts."""


class MachineRecord(msgspec.Struct, rename=MACHINE_KEYS):
    """One machine, in a value of `m/<n>`."""

    machine_type: str
    zone: str
    spot: bool = False
    address: str = ""
    heard: bool = False
    """Written before the machine's first task: without it, it can't have any."""


class _Write:
    """One wanted change of the store: on which versions, and what follows from it."""

    __slots__ = ("conditions", "conflict", "done", "key", "ops", "refused", "size")

    def __init__(
        self,
        ops: Sequence[Put | Remove],
        key: str,
        conditions: dict[str, KeyVersion],
        done: Callable[[Revision], None],
        conflict: Callable[[str], None] | None = None,
        size: int = SMALL,
        refused: Callable[[], bool] = lambda: False,
    ) -> None:
        self.ops = ops
        self.key = key
        self.conditions = conditions
        self.done = done
        self.conflict = conflict
        """Called with the key that was found to have another version."""
        self.size = size
        self.refused = refused
        """Called when the store won't take it; True if it is to be tried again."""


class _Recorded(NamedTuple):
    """A machine in a page, and whether the page says that it was heard."""

    machine: Machine
    heard: bool


class _Finished(NamedTuple):
    """Finished tasks of a job that a page holds."""

    job: Job
    indices: set[int]


class StateWriter:
    """Owns what is to be written, and which final states are under way."""

    def __init__(
        self,
        term: TermContext,
        on_final: Callable[[JobId, str], None],
        on_record: Callable[[str, msgspec.Raw, KeyVersion], None],
    ) -> None:
        self.term = term
        # No notice comes of limits that fall: what is written keeps to the stricter ones.
        limits = term.settings.params.state.strictest()
        value_kb = limits.value_kb
        self.machines = PagedRecords(MACHINE_PREFIX, value_kb)
        self.finishes = PagedRecords(FINISHED_PREFIX, value_kb)
        self.to_record: set[MachineId] = set()
        self.to_forget: OrderedDict[str, None] = OrderedDict()
        self.final_pending: set[JobId] = set()
        """Jobs whose final state may or may not be written: only the store can tell."""
        self._unanswered: set[JobId] = set()
        """Those of them for which a write got no answer: it may be carried out after later ones."""
        self._sending = False
        self._on_final = on_final
        self._on_record = on_record
        self._ops_max = self._ops_allowed = limits.txn_ops
        """How many changes a transaction may hold, and how many are known to be too many."""
        self._set_aside: dict[str, MonotonicTime] = {}
        """Keys that the store would not take, and until when it isn't asked again."""
        rate = WRITE_SHARE * term.scope.share * limits.write_rps
        self._bucket = TokenBucket(rate, rate)

    def may_write(self, changes: int) -> bool:
        """Take room in the term's write rate for another part's changes, if there is some."""
        return self._bucket.take(changes)

    def write_loop(self) -> None:
        """Write what is wanted, as fast as the rate permits."""
        while True:
            self.term.writes_needed.wait(1.0)
            self.term.writes_needed.clear()
            if not self.term.may_start():
                gevent.sleep(0.1)
                continue
            try:
                more = self.write_once()
            except StoreUnavailableError as error:
                log.debug("event=write-failed error=%s", error)
                gevent.sleep(0.2)
                more = True
            if more:
                self.term.writes_needed.set()
            gevent.sleep(0.08)  # lets finishes gather, so that one write carries many

    def in_flight(self) -> bool:
        """Tell whether a transaction waits for its answer."""
        return self._sending

    def _wanted_writes(self) -> list[_Write]:
        """Name what the store lacks, the most urgent first."""
        recorded = self._put_machines()
        writes = self._page_writes(self.machines, recorded, self._recorded)
        finished: dict[int, list[_Finished]] = {}
        for job_id in list(self.term.job_table.dirty):
            job = self.term.job_table.jobs[job_id]
            status = self._final_status(job)
            if status is not None:
                writes.append(self._final(job, status))
            elif not job.cancelled:
                self._put_finishes(job, finished)
        writes += self._page_writes(self.finishes, finished, self._finishes_written)
        # What is only to be forgotten comes last.
        for pages, urgent in ((self.machines, set(recorded)), (self.finishes, set(finished))):
            forgotten = [number for number in pages.changed() if number not in urgent]
            writes += [self._page_write(pages, number, _nothing) for number in forgotten]
        for key in list(self.to_forget)[:FORGET_AT_ONCE]:
            writes.append(_Write([Remove(key)], key, {}, self._forget(key)))
        return writes

    def _put_machines(self) -> dict[int, list[_Recorded]]:
        """Bring the pages of machines up to date; name which machines each page is to hold."""
        recorded: dict[int, list[_Recorded]] = {}
        for name in list(self.to_record):
            machine = self.term.cluster.machines.get(name)
            if machine is None:
                self.to_record.discard(name)
                continue
            # Once written, it stays: found when a successor repeated a request whose machines had
            # been heard by its predecessor, and wrote that they never were.
            heard = machine.heard_at is not None or machine.recorded
            record = MachineRecord(
                machine.machine_type.name, machine.zone, machine.spot, machine.address, heard
            )
            number = self.machines.put(name, record)
            recorded.setdefault(number, []).append(_Recorded(machine, heard))
        return recorded

    def _final_status(self, job: Job) -> str | None:
        """Tell how a job has ended; None while it has not, or may still have tasks somewhere."""
        if not job.cancelled:
            return FinalState.DONE if job.complete else None
        if job.live or any(True for _ in self.term.cluster.unreconciled()):
            return None
        return FinalState.CANCELLED

    def _put_finishes(self, job: Job, finished: dict[int, list[_Finished]]) -> None:
        """Bring the pages of a job's finished tasks up to date."""
        for chunk in job.dirty_chunks():
            number = self.finishes.put(finished_chunk_name(job.id, chunk), job.chunk_text(chunk))
            job.chunks_written.add(chunk)
            indices = {index for index in job.unwritten if index // TASKS_PER_CHUNK == chunk}
            finished.setdefault(number, []).append(_Finished(job, indices))

    def _page_writes(
        self, pages: PagedRecords, wanted: dict[int, list[T]], done: Callable[[list[T]], None]
    ) -> list[_Write]:
        """Name the writes of pages that the store lacks; the others are done already."""
        writes = []
        for number, records in wanted.items():
            if pages.lacks(number):
                writes.append(self._page_write(pages, number, partial(done, records)))
            else:
                done(records)  # it has them like this, or another page's change brought them along
        return writes

    def _page_write(self, pages: PagedRecords, number: int, done: Callable[[], None]) -> _Write:
        change = pages.change(number, self._ops_max, TXN_BYTES)

        def written(revision: Revision) -> None:
            pages.written(change, revision)
            if number in change.versions:
                done()

        def conflict(key: str) -> None:
            pages.found(key, self.term.store.get(key))

        return _Write(
            change.ops,
            pages.key(number),
            change.conditions,
            written,
            conflict,
            change.size,
            partial(pages.lower, change),
        )

    def _final(self, job: Job, status: str) -> _Write:
        return _Write(
            [Put(final_key(job.id), {"status": status}), Remove(live_key(job.id))],
            live_key(job.id),
            {live_key(job.id): job.key_version},
            lambda _revision: self._finalised(job, status),
            lambda _key: self._reconcile(job),
        )

    def write_once(self) -> bool:
        """Write one transaction; True if more is wanted."""
        now = monotonic_now()
        wanted = [w for w in self._wanted_writes() if self._set_aside.get(w.key, now) <= now]
        if not wanted:
            return False
        chosen = self._choose(wanted)
        ops = [op for write in chosen for op in write.ops]
        if not self._bucket.take(len(ops)):
            gevent.sleep(min(1.0, self._bucket.wait_s(len(ops))))
            return True
        finals = {JobId(w.key[len(LIVE_PREFIX) :]) for w in chosen if w.key.startswith(LIVE_PREFIX)}
        self.final_pending |= finals
        try:
            result = self._send(chosen, ops)
        except RejectedError as error:
            self.final_pending -= finals - self._unanswered  # it was certainly not executed
            self._on_rejected(chosen, len(ops), now, error)
            return True
        except StoreUnavailableError:
            self._unanswered |= finals
            raise
        if not result.ok and self.term.leadership.is_superseded(result):
            self.term.end("fenced")
            return False
        self._take_result(chosen, result)
        # Found where the next try failed for another key: the first one, still on its way, was
        # carried out after that, and users were told `running` from memory beside `done`.
        self.final_pending -= finals - self._unanswered
        return len(chosen) < len(wanted) or not result.ok

    def _choose(self, wanted: Sequence[_Write]) -> list[_Write]:
        """Choose the writes, from the first on, that one transaction takes."""
        chosen: list[_Write] = []
        keys: set[str] = set()
        changes = size = 0
        for write in wanted:
            if write.conditions.keys() & keys:
                continue  # a change of one value that another one brings along
            changes += len(write.ops)
            size += write.size
            if chosen and (changes > self._ops_max or size > TXN_BYTES):
                break
            chosen.append(write)
            keys |= write.conditions.keys()
        return chosen

    def _send(self, chosen: Sequence[_Write], ops: Sequence[Put | Remove]) -> TxnResult:
        conditions: dict[str, KeyVersion] = {}
        for write in chosen:
            conditions.update(write.conditions)
        self._sending = True
        try:
            return self.term.store.txn(self.term.leadership.fencing_conditions(conditions), ops)
        finally:
            self._sending = False

    def _take_result(self, chosen: Sequence[_Write], result: TxnResult) -> None:
        for write in chosen:
            if result.ok:
                write.done(result.revision)
                continue
            for key in write.conditions.keys() & result.failed:
                if write.conflict is not None:
                    write.conflict(key)

    def _on_rejected(
        self, chosen: list[_Write], ops: int, now: MonotonicTime, error: RejectedError
    ) -> None:
        """The store won't take this: find out whether it is the number of changes or one of them.

        One value that can't be written must not hold up all others: taken for an outage, it was
        tried for ever.
        """
        log.error(
            "event=write-rejected changes=%d keys=%s error=%s",
            ops,
            ",".join(write.key for write in chosen),
            error,
        )
        if len(chosen) > 1 or ops > 2:
            self._ops_max = max(2 if ops > 2 else 1, ops // 2)
            return
        self._ops_max = self._ops_allowed
        if not chosen[0].refused():
            self._set_aside[chosen[0].key] = MonotonicTime(now + ASIDE_S)

    def _forget(self, key: str) -> Callable[[Revision], None]:
        return lambda _revision: self.to_forget.pop(key, None)

    def _reconcile(self, job: Job) -> None:
        """A final write met another version: a cancel won, or an earlier try was applied."""
        entry = self.term.store.get(live_key(job.id))
        if entry is not None:
            self._on_record(entry.key, entry.data, KeyVersion(entry.key_version))
            return
        final = self.term.store.get(final_key(job.id))
        if final is not None:
            record = decode_stored(final.data, FinalRecord, final.key)
            if record is not None:
                self._finalised(job, record.status)

    def settled(self, job: Job) -> None:
        """The store has no live record of the job any more."""
        self._unanswered.discard(job.id)
        self.final_pending.discard(job.id)
        self.term.job_table.drop(job)

    def _recorded(self, machines: list[_Recorded]) -> None:
        for machine, heard in machines:
            if heard or machine.heard_at is None:
                self.to_record.discard(machine.id)
            machine.recorded = machine.recorded or heard
        self.term.scheduling_needed.set()

    def _finishes_written(self, jobs: list[_Finished]) -> None:
        for job, indices in jobs:
            job.unwritten -= indices
            self.term.job_table.touch(job)
        self.term.scheduling_needed.set()

    def _finalised(self, job: Job, status: str) -> None:
        job.unwritten.clear()
        for chunk in job.chunks_written:
            self.finishes.drop(finished_chunk_name(job.id, chunk))
        self._on_final(job.id, status)
        self.settled(job)
        log.info("event=final job=%s status=%s tasks=%d", job.id, status, job.spec.task_count)


def _nothing() -> None:
    """Nobody waits for this write."""
