"""What a new leader reads back: the store's records, and what its predecessor told of images.

The workers hold the truth about tasks; they are asked by a handshake afterwards. Jobs are read
before their finished tasks, and everything after the failover, so that whatever an earlier leader
wrote is known.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import decode_stored
from ryewing.leader.autoscaler import Autoscaler
from ryewing.leader.job_watcher import JobWatcher
from ryewing.leader.machine_records import MACHINE_PREFIX, MachineRecord
from ryewing.leader.rentals import REQUEST_PREFIX
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.state.failure_detector import BACKOFF_MAX_S, BACKOFF_MIN_S
from ryewing.state.job_records import FINISHED_PREFIX, LIVE_PREFIX, read_record
from ryewing.state.jobs import Job
from ryewing.units import (
    CLOCK_DRIFT_MARGIN,
    JobId,
    KeyVersion,
    MachineId,
    MonotonicTime,
    Zone,
    monotonic_now,
)
from ryewing.wire.cloud import RentalRequest

HANDOVER_MARGIN_S = 1.0
"""Added to the time for which machines may hold tasks of an earlier leader."""


class _ChunkName(NamedTuple):
    """The name of one record of finished tasks."""

    job: JobId
    chunk: int | None
    """None if the name has no number: the record can't be used."""


def _parse_chunk_name(name: str) -> _ChunkName:
    job, _, chunk = name.rpartition("/")
    return _ChunkName(JobId(job), int(chunk) if chunk.isdecimal() else None)


class Recovery:
    """Fills the parts of a new term with what the store has."""

    def __init__(
        self,
        term: TermContext,
        job_watcher: JobWatcher,
        writer: StateWriter,
        autoscaler: Autoscaler,
        image_locality: ImageLocality | None,
    ) -> None:
        self._term = term
        self._job_watcher = job_watcher
        self._writer = writer
        self._autoscaler = autoscaler
        self._image_locality = image_locality

    def load(self) -> None:
        """Read everything; may be repeated.

        Raise StoreUnavailableError if the store did not answer: everything has to be read again.
        """
        now = monotonic_now()
        machine_types = self._autoscaler.machine_type_refresher.load_stored()
        if machine_types:
            self._term.set_machine_types(machine_types)
        self._load_jobs(now)
        self._load_finished_tasks()
        self._load_machines(now)
        if self._image_locality is not None:
            self._apply_image_locality(self._image_locality, now)
        self._load_rental_requests()

    def _load_jobs(self, now: MonotonicTime) -> None:
        """Take up the live jobs, as of the revision from which they are watched."""
        entries, self._job_watcher.revision = self._term.store.listing(LIVE_PREFIX)
        for entry in entries:
            record = read_record(entry.data, entry.key)
            if record is not None:
                self._job_watcher.put(record, KeyVersion(entry.key_version), inherited=True)
        self._term.lease_validity.confirm_jobs(now)

    def _load_finished_tasks(self) -> None:
        """Take up the finished tasks; those found twice are put together and written anew."""
        entries, _ = self._term.store.listing(FINISHED_PREFIX)
        pages = self._writer.finished_tasks.pages
        records, found_twice = pages.load(entries)
        for name, bits in records:
            chunk_name = _parse_chunk_name(name)
            job = self._finishing_job(chunk_name)
            text = decode_stored(bits, str, name)
            if job is None or chunk_name.chunk is None or text is None:
                pages.drop(name)
            else:
                job.load_chunk(chunk_name.chunk, text)
                self._term.job_table.reindex(job)
        for name in found_twice:
            chunk_name = _parse_chunk_name(name)
            job = self._finishing_job(chunk_name)
            if job is not None and chunk_name.chunk is not None:
                pages.put(name, job.chunk_text(chunk_name.chunk))

    def _finishing_job(self, chunk_name: _ChunkName) -> Job | None:
        """Return the live job of a record of finished tasks; None for a service.

        Its replicas never finish, whatever a record says.
        """
        job = self._term.job_table.get(chunk_name.job)
        return None if job is None or job.is_service else job

    def _load_machines(self, now: MonotonicTime) -> None:
        """Take up the machines; those that were heard count as occupied (safety argument 3)."""
        # Whoever led before may have answered workers until its hold ended, and the last of
        # these answers keeps a worker's tasks for one lease.
        lease_s = self._term.settings.params.workers.lease_s
        may_hold_s = (self._term.policy.hold_s + lease_s) * (
            1 + 2 * CLOCK_DRIFT_MARGIN
        ) + HANDOVER_MARGIN_S
        entries, _ = self._term.store.listing(MACHINE_PREFIX)
        records, found_twice = self._writer.machine_records.pages.load(entries)
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
                machine.lease_expires_by = MonotonicTime(now + may_hold_s)
        self._writer.machine_records.pending.update(MachineId(name) for name in found_twice)

    def _apply_image_locality(self, image_locality: ImageLocality, now: MonotonicTime) -> None:
        """Take up which machines have which images, and the backoff of failing jobs."""
        self._term.cluster.restore_images(image_locality.images, image_locality.machines)
        # Without it each new leader let whole batches of such jobs fail once more.
        for name, backoff_s in image_locality.failing.items():
            job = self._term.job_table.get(JobId(name))
            if job is not None and not job.done_count:
                job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, backoff_s))
                job.backoff_until = now

    def _load_rental_requests(self) -> None:
        """Take up the recorded rental requests, to be repeated (safety argument 10)."""
        entries, _ = self._term.store.listing(REQUEST_PREFIX)
        for entry in entries:
            request = decode_stored(entry.data, RentalRequest, entry.key)
            if request is not None:
                self._autoscaler.rentals.pending[request.id] = request
