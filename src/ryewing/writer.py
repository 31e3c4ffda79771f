"""What the store lacks: merged into few conditional transactions, within the write rate.

Every transaction has the condition of the term, so that a late one of an earlier leader dies.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

import gevent
import msgspec

from .budget import Budget
from .jobs import CANCELLED, CHUNK, DONE, Job, done_key, final_key, live_key
from .picture import Machine
from .store import Put, Remove, StoreDown
from .term import TermContext
from .units import JobId, MachineId, Stamp

log = logging.getLogger("ryewing.writer")

MACHINE_PREFIX = "m/"


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """The value of `m/<id>`."""

    flavour: str
    site: str
    loaner: bool = False
    addr: str = ""
    heard: bool = False
    """Written before the machine's first task: without it, it can't have any."""


class _Write:
    """One wanted change of the store, and what to do once it is made."""

    __slots__ = ("condition", "done", "job", "ops")

    def __init__(
        self,
        ops: list[Put | Remove],
        done: Callable[[], None],
        condition: tuple[str, Stamp] | None = None,
        job: Job | None = None,
    ) -> None:
        self.ops = ops
        self.done = done
        self.condition = condition
        self.job = job


class Writer:
    """Owns what is to be written, and which final states are under way."""

    def __init__(
        self,
        ctx: TermContext,
        on_final: Callable[[JobId, str], None],
        on_record: Callable[[msgspec.Raw, Stamp], None],
        on_written: Callable[[], None],
    ) -> None:
        self.ctx = ctx
        self.to_record: set[MachineId] = set()
        self.to_forget: OrderedDict[str, None] = OrderedDict()
        self.final_pending: set[JobId] = set()
        """Jobs whose final state may or may not be written: only the store can tell."""
        self._on_final = on_final
        self._on_record = on_record
        self._on_written = on_written
        # Some of the write rate is left to renewals and to accepting submissions.
        limits = ctx.settings.params.state
        self._budget = Budget(0.65 * limits.write_rps, 0.65 * limits.write_rps)

    def write_loop(self) -> None:
        """Write what is wanted, as fast as the rate permits."""
        while True:
            self.ctx.write.wait(1.0)
            self.ctx.write.clear()
            if not self.ctx.may_start():
                gevent.sleep(0.1)
                continue
            try:
                more = self.write_once()
            except StoreDown as error:
                log.debug("event=write-failed error=%s", error)
                gevent.sleep(0.2)
                more = True
            if more:
                self.ctx.write.set()
            gevent.sleep(0.08)  # lets finishes gather, so that one write carries many

    def _wanted_writes(self) -> list[_Write]:
        """Name what the store lacks, the most urgent first."""
        writes: list[_Write] = []
        for name in list(self.to_record):
            machine = self.ctx.picture.machines.get(name)
            if machine is None:
                self.to_record.discard(name)
                continue
            heard = machine.heard_at is not None
            record = MachineRecord(
                machine.flavour.sku, machine.site, machine.loaner, machine.addr, heard
            )
            put = Put(MACHINE_PREFIX + name, record)
            writes.append(_Write([put], _bind(self._recorded, machine, heard)))
        finals: list[_Write] = []
        partial: list[tuple[bool, float, _Write]] = []
        for job_id in list(self.ctx.book.dirty):
            job = self.ctx.book.jobs[job_id]
            if job.cancelled:
                if not job.live and not any(True for _ in self.ctx.picture.unheard()):
                    finals.append(self._final(job, CANCELLED))
            elif job.complete:
                finals.append(self._final(job, DONE))
            else:
                for chunk in job.dirty_chunks():
                    put = Put(done_key(job.id, chunk), job.chunk_text(chunk))
                    indices = {i for i in job.unwritten if i // CHUNK == chunk}
                    partial.append(
                        (
                            job.shortfall <= 0,
                            job.at,
                            _Write([put], _bind(self._chunk_written, job, chunk, indices)),
                        )
                    )
        writes.extend(finals)
        partial.sort(key=lambda item: item[:2])
        writes.extend(write for _urgent, _at, write in partial)
        for key in list(self.to_forget)[:32]:
            writes.append(_Write([Remove(key)], _bind(self._forgotten, key)))
        return writes

    def _final(self, job: Job, status: str) -> _Write:
        return _Write(
            [Put(final_key(job.id), {"status": status}), Remove(live_key(job.id))],
            _bind(self._finalised, job, status),
            (live_key(job.id), job.stamp),
            job,
        )

    def write_once(self) -> bool:
        """Write one transaction; True if more is wanted."""
        wanted = self._wanted_writes()
        if not wanted:
            return False
        chosen: list[_Write] = []
        conditions: dict[str, Stamp] = {}
        ops: list[Put | Remove] = []
        for write in wanted:
            if len(ops) + len(write.ops) > self.ctx.settings.params.state.txn_ops:
                break
            chosen.append(write)
            ops.extend(write.ops)
            if write.condition is not None:
                conditions[write.condition[0]] = write.condition[1]
        if not self._budget.take(len(ops)):
            gevent.sleep(min(1.0, self._budget.wait_s(len(ops))))
            return True
        final_jobs = [w.job for w in chosen if w.job is not None]
        self.final_pending.update(job.id for job in final_jobs)
        result = self.ctx.store.txn(self.ctx.mandate.fenced(conditions), ops)
        if result.ok:
            for write in chosen:
                write.done()
            self._on_written()
        elif self.ctx.mandate.lost_by(result):
            self.ctx.lose("fenced")
            return False
        for job in final_jobs:
            if not result.ok and live_key(job.id) in result.failed:
                self._reconcile(job)
            self.final_pending.discard(job.id)
        return len(chosen) < len(wanted) or not result.ok

    def _reconcile(self, job: Job) -> None:
        """A final write met another version: a cancel won, or an earlier try was applied."""
        entry = self.ctx.store.get(live_key(job.id))
        if entry is not None:
            self._on_record(entry.data, Stamp(entry.stamp))
            return
        final = self.ctx.store.get(final_key(job.id))
        if final is not None:
            status = msgspec.json.decode(final.data, type=dict[str, str])["status"]
            self._finalised(job, status)

    def _recorded(self, machine: Machine, heard: bool) -> None:
        if heard or machine.heard_at is None:
            self.to_record.discard(machine.id)
        machine.recorded = machine.recorded or heard
        self.ctx.place.set()

    def _chunk_written(self, job: Job, chunk: int, indices: set[int]) -> None:
        job.unwritten -= indices
        job.chunks_written.add(chunk)
        self.ctx.book.touch(job)
        self.ctx.place.set()

    def _finalised(self, job: Job, status: str) -> None:
        job.unwritten.clear()
        for chunk in job.chunks_written:
            self.to_forget[done_key(job.id, chunk)] = None
        self.ctx.book.drop(job)
        self._on_final(job.id, status)
        log.info("event=final job=%s status=%s tasks=%d", job.id, status, job.run.pieces)

    def _forgotten(self, key: str) -> None:
        self.to_forget.pop(key, None)


def _bind(function: Callable[..., None], *args: object) -> Callable[[], None]:
    return lambda: function(*args)
