"""What a new leader reads back: the store's records, and what its predecessor told of images.

The workers hold the truth about tasks; they are asked by a handshake afterwards. Jobs are read
before their finishes, and everything after the take-over, so that whatever an earlier leader wrote
is known.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import decode_stored
from ryewing.leader.autoscaler import REQUEST_PREFIX, Autoscaler
from ryewing.leader.job_watcher import JobWatcher
from ryewing.leader.machine_records import MACHINE_PREFIX, MachineRecord
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.state.failure_detector import BACKOFF_MAX_S, BACKOFF_MIN_S
from ryewing.state.job_records import FINISHED_PREFIX, LIVE_PREFIX, read_record
from ryewing.state.jobs import Job
from ryewing.units import DRIFT, JobId, KeyVersion, MachineId, MonotonicTime, Zone, monotonic_now
from ryewing.wire.cloud import RentalRequest

HANDOVER_MARGIN_S = 1.0
"""Added to the time for which workers may hold tasks of an earlier leader."""


class _Chunk(NamedTuple):
    """Names one record of finished tasks."""

    job: JobId
    number: int | None


def _parse_chunk(name: str) -> _Chunk:
    job, _, number = name.rpartition("/")
    return _Chunk(JobId(job), int(number) if number.isdecimal() else None)


class Recovery:
    """Fills the parts of a new term from the store."""

    def __init__(
        self,
        term: TermContext,
        job_watcher: JobWatcher,
        writer: StateWriter,
        autoscaler: Autoscaler,
        image_locality: ImageLocality | None,
    ) -> None:
        self._term = term
        self._intake = job_watcher
        self._writer = writer
        self._renter = autoscaler
        self._image_locality = image_locality

    def load(self) -> None:
        """Read everything; raise StoreUnavailableError to be called again."""
        now = monotonic_now()
        types = self._renter.load_machine_types()
        if types:
            self._term.set_machine_types(types)
        self._load_jobs(now)
        self._load_finishes()
        self._load_machines(now)
        if self._image_locality is not None:
            self._apply_image_locality(self._image_locality, now)
        self._load_requests()

    def _load_jobs(self, now: MonotonicTime) -> None:
        entries, self._intake.revision = self._term.store.listing(LIVE_PREFIX)
        for entry in entries:
            record = read_record(entry.data, entry.key)
            if record is not None:
                self._intake.put(record, KeyVersion(entry.key_version), inherited=True)
        self._term.lease_validity.confirm_jobs(now)

    def _load_finishes(self) -> None:
        entries, _ = self._term.store.listing(FINISHED_PREFIX)
        finishes = self._writer.finished_tasks.pages
        records, twice = finishes.load(entries)
        for name, bits in records:
            chunk = _parse_chunk(name)
            job = self._ending_job(chunk)
            text = decode_stored(bits, str, name)
            if job is None or chunk.number is None or text is None:
                finishes.drop(name)
            else:
                job.load_chunk(chunk.number, text)
                self._term.job_table.touch(job)
        for name in twice:
            chunk = _parse_chunk(name)
            job = self._ending_job(chunk)
            if job is not None and chunk.number is not None:
                finishes.put(name, job.chunk_text(chunk.number))

    def _ending_job(self, chunk: _Chunk) -> Job | None:
        """Find the job of a record of finishes; replicas never finish."""
        job = self._term.job_table.get(chunk.job)
        return None if job is None or job.is_service else job

    def _load_machines(self, now: MonotonicTime) -> None:
        # Whoever led before may have answered workers until its hold ended, and the last of
        # these answers is good for one lease.
        lease_s = self._term.settings.params.workers.lease_s
        longest_s = (self._term.policy.hold_s + lease_s) * (1 + 2 * DRIFT) + HANDOVER_MARGIN_S
        entries, _ = self._term.store.listing(MACHINE_PREFIX)
        records, twice = self._writer.machine_records.pages.load(entries)
        for name, raw in records:
            record = decode_stored(raw, MachineRecord, MACHINE_PREFIX + name)
            if record is None:
                continue
            machine = self._term.cluster.add(
                MachineId(name),
                self._term.machine_type(record.machine_type),
                Zone(record.zone),
                record.spot,
                now,
            )
            machine.address = record.address
            if record.heard:
                machine.recorded = True
                machine.may_hold_until = MonotonicTime(now + longest_s)
        self._writer.machine_records.wanted.update(MachineId(name) for name in twice)

    def _apply_image_locality(self, image_locality: ImageLocality, now: MonotonicTime) -> None:
        self._term.cluster.restore_images(image_locality.images, image_locality.machines)
        # Without it each new leader let whole batches of such jobs fail once more.
        for name, delay_s in image_locality.failing.items():
            job = self._term.job_table.get(JobId(name))
            if job is not None and not job.done_count:
                job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, delay_s))
                job.backoff_until = now

    def _load_requests(self) -> None:
        entries, _ = self._term.store.listing(REQUEST_PREFIX)
        for entry in entries:
            request = decode_stored(entry.data, RentalRequest, entry.key)
            if request is not None:
                self._renter.pending_requests[request.id] = request
