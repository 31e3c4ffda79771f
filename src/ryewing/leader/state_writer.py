"""The loop that writes a term's state to the store, batched and within the write rate.

Every transaction is conditional on the term, so that a delayed one of an earlier leader fails
(docs/design.md, safety argument 1). The pending writes come from `machine_records`,
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
from ryewing.leader.finished_task_records import FinishedTaskWriter, PagedFinishedTasks
from ryewing.leader.machine_records import MachineRecordWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.write import KeyRemoval, Write, select_writes
from ryewing.units import KeyVersion, MachineId, MonotonicTime, monotonic_now

log = logging.getLogger(__name__)

MAX_KEY_REMOVALS_PER_ROUND = 32
"""How many key removals are considered for one transaction."""
WRITE_SHARE = 0.65
"""The share of the write rate for terms. The rest is for lease renewals and submissions."""
REJECTED_WRITE_RETRY_S = 30.0
"""How long a write that the store rejected is not retried."""
IDLE_WAIT_S = 1.0
"""How long the loop waits to be woken before it looks for pending writes anyway."""
NO_LEASE_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.2
BATCHING_PAUSE_S = 0.08
"""The pause between transactions, in which finished tasks accumulate for one write."""
RATE_WAIT_MAX_S = 1.0


class StateWriter:
    """Owns the write rate of a term, and its single transaction in flight."""

    def __init__(
        self, term: TermContext, on_record: Callable[[str, msgspec.Raw, KeyVersion], None]
    ) -> None:
        self.term = term
        # The store does not announce when its limits are lowered, so writes always comply with the
        # strictest ones.
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
        self._ops_max = self._ops_max_by_settings = limits.txn_ops
        """The bound on changes in one transaction: the current one, and that of the settings."""
        self._rejected_until: dict[str, MonotonicTime] = {}
        """By key of a rejected write: when it is to be retried."""
        rate = WRITE_SHARE * term.scope.share * limits.write_rps
        self.bucket = TokenBucket(rate, rate)
        """Limits the changes written per second to this term's share of the write rate."""

    # -- for other parts of the term --------------------------------------------------------

    def record_machine(self, machine: MachineId) -> None:
        """Schedule the write of a machine's record."""
        self.machine_records.pending.add(machine)

    def forget_machine(self, machine: MachineId) -> None:
        """Schedule the removal of the record of a machine that no longer exists."""
        self.machine_records.forget(machine)

    def remove_key(self, key: str) -> None:
        """Schedule the removal of a key from the store."""
        self._key_removals[key] = None

    def try_acquire_writes(self, changes: int) -> bool:
        """Take a number of changes from the term's write rate; return False if it is used up."""
        return self.bucket.try_acquire(changes)

    def has_transaction_in_flight(self) -> bool:
        """Return whether a transaction was sent and its response is still awaited."""
        return self._sending

    # -- the loop ---------------------------------------------------------------------------

    def write_loop(self) -> None:
        """Send pending writes as fast as the write rate permits, until the greenlet is killed."""
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
        """Write one transaction; return True if more writes are pending.

        Raise StoreUnavailableError if the store did not answer; the transaction may have been
        executed.
        """
        now = monotonic_now()
        pending = [
            write
            for write in self._pending_writes()
            if self._rejected_until.get(write.key, now) <= now
        ]
        if not pending:
            return False
        selected = select_writes(pending, self._ops_max)
        ops = [op for write in selected for op in write.ops]
        if not self.bucket.try_acquire(len(ops)):
            gevent.sleep(min(RATE_WAIT_MAX_S, self.bucket.wait_s(len(ops))))
            return True
        finals = {write.job.id for write in selected if isinstance(write, FinalWrite)}
        self.final_states.mark_pending(finals)
        try:
            result = self._send(selected, ops)
        except RejectedError as error:
            self.final_states.mark_answered(finals)  # it was certainly not executed
            self._on_rejected(selected, len(ops), now, error)
            return True
        except StoreUnavailableError:
            self.final_states.mark_unanswered(finals)
            raise
        if not result.ok and self.term.leadership.is_superseded(result):
            self.term.end(TermEndReason.FENCED)
            return False
        self._apply_result(selected, result)
        self.final_states.mark_answered(finals)
        return len(selected) < len(pending) or not result.ok

    def _pending_writes(self) -> list[Write]:
        """Return the pending writes, the most urgent first."""
        machines = self.machine_records.update_pages()
        writes = self.machine_records.writes(machines, self._ops_max)
        tasks_by_page: dict[int, list[PagedFinishedTasks]] = {}
        for job_id in list(self.term.job_table.dirty):
            job = self.term.job_table.jobs[job_id]
            status = self.final_states.status(job)
            if status is not None:
                writes.append(FinalWrite(self.final_states, job, status))
            elif not job.cancelled:
                self.finished_tasks.update_pages(job, tasks_by_page)
        writes += self.finished_tasks.writes(tasks_by_page, self._ops_max)
        # Removals come last because nothing waits for them.
        writes += self.machine_records.removals(machines, self._ops_max)
        writes += self.finished_tasks.removals(tasks_by_page, self._ops_max)
        for key in list(self._key_removals)[:MAX_KEY_REMOVALS_PER_ROUND]:
            writes.append(KeyRemoval(key, self._key_removals))
        return writes

    def _send(self, selected: Sequence[Write], ops: Sequence[Put | Remove]) -> TxnResult:
        conditions: dict[str, KeyVersion] = {}
        for write in selected:
            conditions.update(write.conditions)
        self._sending = True
        try:
            return self.term.store.txn(self.term.leadership.fencing_conditions(conditions), ops)
        finally:
            self._sending = False

    def _apply_result(self, selected: Sequence[Write], result: TxnResult) -> None:
        for write in selected:
            if result.ok:
                write.on_applied(result.revision)
                continue
            for key in write.conditions.keys() & result.failed_keys:
                write.on_conflict(key)

    def _on_rejected(
        self, selected: Sequence[Write], ops: int, now: MonotonicTime, error: RejectedError
    ) -> None:
        """Find out whether the store rejects the number of changes or a particular change.

        Halve the transaction down to one small write, and postpone that one if it is rejected.
        A value that can't be written must not block all others: when rejections were handled like
        outages, the same transaction was retried forever.
        """
        log.error(
            "event=write-rejected changes=%d keys=%s error=%s",
            ops,
            ",".join(write.key for write in selected),
            error,
        )
        if len(selected) > 1 or ops > 2:
            self._ops_max = max(2 if ops > 2 else 1, ops // 2)
            return
        self._ops_max = self._ops_max_by_settings
        if not selected[0].on_rejected():
            self._rejected_until[selected[0].key] = MonotonicTime(now + REJECTED_WRITE_RETRY_S)
