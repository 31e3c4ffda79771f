"""The loop that writes what the store lacks, in few transactions and within the write rate.

Every transaction has the condition of the term, so that a late one of an earlier leader fails
(docs/design.md, safety argument 1). What is to be written is named by `machine_records`,
`finished_task_records` and `final_states`.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Sequence

import gevent
import msgspec

from ryewing.clients.store import Put, RejectedError, Remove, StoreUnavailableError, TxnResult
from ryewing.clients.token_bucket import TokenBucket
from ryewing.leader.final_states import FinalStates, FinalWrite
from ryewing.leader.finished_task_records import FinishedTaskWriter, PagedFinishes
from ryewing.leader.machine_records import MachineRecordWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.write import KeyRemoval, Write, choose_writes
from ryewing.units import KeyVersion, MachineId, MonotonicTime, monotonic_now

log = logging.getLogger(__name__)

KEY_REMOVALS_AT_ONCE = 32
WRITE_SHARE = 0.65
"""The part of the write rate for terms; the rest is for renewals and accepting submissions."""
REJECTED_WRITE_RETRY_S = 30.0
"""How long a change that the store won't take is left alone."""
IDLE_WAIT_S = 1.0
"""How long the loop waits for something to write before it looks by itself."""
NO_LEASE_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.2
BATCHING_PAUSE_S = 0.08
"""Lets finishes gather, so that one write carries many."""
RATE_WAIT_MAX_S = 1.0


class StateWriter:
    """Owns the write rate of a term, and the one transaction that may be under way."""

    def __init__(
        self, term: TermContext, on_record: Callable[[str, msgspec.Raw, KeyVersion], None]
    ) -> None:
        self.term = term
        # No notice comes of limits that fall: what is written keeps to the stricter ones.
        limits = term.settings.params.state.strictest()
        self.machine_records = MachineRecordWriter(
            term.store, limits.value_kb, term.cluster, term.scheduling_needed
        )
        self.finished_tasks = FinishedTaskWriter(
            term.store, limits.value_kb, term.job_table, term.scheduling_needed
        )
        self.final_states = FinalStates(term, self.finished_tasks, on_record)
        self._key_removals: OrderedDict[str, None] = OrderedDict()
        self._sending = False
        self._ops_max = self._ops_allowed = limits.txn_ops
        """How many changes a transaction may hold now, and by the settings."""
        self._set_aside: dict[str, MonotonicTime] = {}
        """Writes, by their key, that the store would not take, and until when they are left."""
        rate = WRITE_SHARE * term.scope.share * limits.write_rps
        self.bucket = TokenBucket(rate, rate)
        """The term's part of the write rate."""

    # -- what other parts of the term ask ---------------------------------------------------

    def record_machine(self, machine: MachineId) -> None:
        """Want a machine's record to be written."""
        self.machine_records.pending.add(machine)

    def forget_machine(self, machine: MachineId) -> None:
        """Want the record of a machine that is gone to be removed."""
        self.machine_records.forget(machine)

    def remove_key(self, key: str) -> None:
        """Want a key to be removed from the store."""
        self._key_removals[key] = None

    def try_acquire_writes(self, changes: int) -> bool:
        """Take room in the term's write rate for another part's changes, if there is some."""
        return self.bucket.try_acquire(changes)

    def in_flight(self) -> bool:
        """Return whether a transaction waits for its answer."""
        return self._sending

    # -- the loop ---------------------------------------------------------------------------

    def write_loop(self) -> None:
        """Write what is wanted, as fast as the rate permits, until the greenlet is killed."""
        while True:
            self.term.writes_needed.wait(IDLE_WAIT_S)
            self.term.writes_needed.clear()
            if not self.term.has_authority():
                gevent.sleep(NO_LEASE_PAUSE_S)
                continue
            try:
                more = self.write_once()
            except StoreUnavailableError as error:
                log.debug("event=write-failed error=%s", error)
                gevent.sleep(RETRY_PAUSE_S)
                more = True
            if more:
                self.term.writes_needed.set()
            gevent.sleep(BATCHING_PAUSE_S)

    def write_once(self) -> bool:
        """Write one transaction; return True if more is wanted.

        Raise StoreUnavailableError if it got no answer: it may have been carried out.
        """
        now = monotonic_now()
        wanted = [
            write for write in self._wanted_writes() if self._set_aside.get(write.key, now) <= now
        ]
        if not wanted:
            return False
        chosen = choose_writes(wanted, self._ops_max)
        ops = [op for write in chosen for op in write.ops]
        if not self.bucket.try_acquire(len(ops)):
            gevent.sleep(min(RATE_WAIT_MAX_S, self.bucket.wait_s(len(ops))))
            return True
        finals = {write.job.id for write in chosen if isinstance(write, FinalWrite)}
        self.final_states.begin(finals)
        try:
            result = self._send(chosen, ops)
        except RejectedError as error:
            self.final_states.note_answered(finals)  # it was certainly not executed
            self._on_rejected(chosen, len(ops), now, error)
            return True
        except StoreUnavailableError:
            self.final_states.note_unanswered(finals)
            raise
        if not result.ok and self.term.leadership.is_superseded(result):
            self.term.end(TermEndReason.FENCED)
            return False
        self._take_result(chosen, result)
        self.final_states.note_answered(finals)
        return len(chosen) < len(wanted) or not result.ok

    def _wanted_writes(self) -> list[Write]:
        """Return the writes that the store lacks, the most urgent first."""
        machines = self.machine_records.update_pages()
        writes = self.machine_records.writes(machines, self._ops_max)
        finishes: dict[int, list[PagedFinishes]] = {}
        for job_id in list(self.term.job_table.dirty):
            job = self.term.job_table.jobs[job_id]
            status = self.final_states.status(job)
            if status is not None:
                writes.append(FinalWrite(self.final_states, job, status))
            elif not job.cancelled:
                self.finished_tasks.update_pages(job, finishes)
        writes += self.finished_tasks.writes(finishes, self._ops_max)
        # Nothing waits for removals: they come last.
        writes += self.machine_records.removals(machines, self._ops_max)
        writes += self.finished_tasks.removals(finishes, self._ops_max)
        for key in list(self._key_removals)[:KEY_REMOVALS_AT_ONCE]:
            writes.append(KeyRemoval(key, self._key_removals))
        return writes

    def _send(self, chosen: Sequence[Write], ops: Sequence[Put | Remove]) -> TxnResult:
        conditions: dict[str, KeyVersion] = {}
        for write in chosen:
            conditions.update(write.conditions)
        self._sending = True
        try:
            return self.term.store.txn(self.term.leadership.fencing_conditions(conditions), ops)
        finally:
            self._sending = False

    def _take_result(self, chosen: Sequence[Write], result: TxnResult) -> None:
        for write in chosen:
            if result.ok:
                write.on_applied(result.revision)
                continue
            for key in write.conditions.keys() & result.failed_keys:
                write.on_conflict(key)

    def _on_rejected(
        self, chosen: Sequence[Write], ops: int, now: MonotonicTime, error: RejectedError
    ) -> None:
        """Find out whether the store won't take the number of changes, or one of them.

        One value that can't be written must not hold up all others: when a refusal was taken for
        an outage, the transaction was tried for ever.
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
        if not chosen[0].on_refused():
            self._set_aside[chosen[0].key] = MonotonicTime(now + REJECTED_WRITE_RETRY_S)
