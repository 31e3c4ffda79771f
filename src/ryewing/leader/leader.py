"""One term of leadership: its parts, and the greenlets in which they run.

Everything here ends with the term. All loops share one state in one thread; gevent switches only
where a request is under way, so what is decided between two requests is consistent. What the loops
do is in the parts: `lease_keeper` the lease, `job_watcher` the jobs, `state_writer` the store,
`heartbeats` and `direct_messages` the workers, `scheduler` the scheduling cycles, `autoscaler`
the machines, `maintenance` what is due by the clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import gevent
import msgspec

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import StoreUnavailableError
from ryewing.leader.autoscaler import Autoscaler
from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.early_heartbeats import EarlyHeartbeats
from ryewing.leader.guarded_loops import GuardedLoops
from ryewing.leader.heartbeat_effects import HeartbeatEffects
from ryewing.leader.heartbeats import HeartbeatHandler
from ryewing.leader.job_watcher import JobWatcher
from ryewing.leader.lease_keeper import LeaseKeeper
from ryewing.leader.maintenance import Maintenance
from ryewing.leader.recovery import Recovery
from ryewing.leader.scheduler import Scheduler
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.terminations import TaskTerminator
from ryewing.state.attempts import TaskPhase
from ryewing.state.machine import Machine
from ryewing.units import JobId, KeyVersion, MonotonicTime, monotonic_now
from ryewing.wire.jobs import JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

LOAD_RETRY_S = 0.2


class Leader:
    """One term: what the process asks of it, and the start and end of its loops."""

    def __init__(self, term: TermContext, image_locality: ImageLocality | None = None) -> None:
        """Make the parts; `image_locality` is what the previous leader told of images, if any."""
        self._image_locality = image_locality
        self.term = term
        self.writer = StateWriter(term, self._on_record)
        self.direct_messages = DirectMessages(term, self._on_newer_heartbeat)
        self.terminator = TaskTerminator(term, self.direct_messages)
        self.heartbeat_effects = HeartbeatEffects(term, self.terminator)
        self.heartbeats = HeartbeatHandler(term, self.writer, self.heartbeat_effects)
        self.early_heartbeats = EarlyHeartbeats(term, self.direct_messages)
        self.job_watcher = JobWatcher(term, self.writer, self.terminator)
        self.scheduler = Scheduler(term, self.terminator, self.early_heartbeats)
        self.autoscaler = Autoscaler(term, self.writer, self.direct_messages, self.scheduler)
        self.lease_keeper = LeaseKeeper(term)
        self.maintenance = Maintenance(
            term, self.direct_messages, self.scheduler, self.lease_keeper
        )
        # A fault in one loop ends the term, not the process: another term starts clean.
        self._loops = GuardedLoops(on_fault=partial(term.end, TermEndReason.FAULT))
        self.extra_loops: list[Callable[[], None]] = []
        """Run for as long as the term lasts, besides its own loops, once the state is loaded."""

    # -- what other parts of the process ask ------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the answer to a worker, or None if this node must not answer 200 now."""
        return self.heartbeats.on_heartbeat(heartbeat)

    def job_status(self, job_id: JobId) -> JobStatus | None:
        """Return a job's state, or None if only the store can tell."""
        return self.job_watcher.job_status(job_id)

    def apply_cancel(self, job_id: JobId) -> bool:
        """Take in a cancel that the store has; True once no older state can be told from here."""
        return self.job_watcher.apply_cancel(job_id)

    def job_memory_full(self) -> bool:
        """Return whether more jobs would endanger the memory of this process."""
        return self.job_watcher.job_memory_full()

    def image_locality(self) -> ImageLocality:
        """Return what a successor should know of the machines' images and of failing jobs."""
        backoff_s: dict[str, float] = {
            job.id: job.backoff_s for job in self.term.job_table if job.backoff_s
        }
        return ImageLocality(int(self.term.number), *self.term.cluster.cached_images(), backoff_s)

    def is_quiesced(self) -> bool:
        """Return whether nothing is under way whose outcome a successor would have to find out.

        What is not written yet does not count: workers keep their finishes until they are.
        """
        if not self.term.state_loaded.is_set():
            return True
        return not self.writer.in_flight() and not any(
            machine.being_released
            or any(
                assignment.phase == TaskPhase.SENT for assignment in machine.assignments.values()
            )
            for machine in self.term.cluster.machines.values()
        )

    def resign(self, reason: TermEndReason) -> None:
        """End the term and leave leadership to another node."""
        self.lease_keeper.resign(reason)

    # -- life -------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the term: the lease is kept from the first moment on.

        The names of the loops are what the log says when one fails.
        """
        self._loops.start("_renew_loop", self.lease_keeper.renewal_loop)
        self._loops.start("_begin", self._begin)

    def stop(self) -> None:
        """End everything that belongs to the term; called by whoever is told that it ends."""
        self.term.stopped = True
        self._loops.stop()
        self.direct_messages.stop()

    def load(self) -> None:
        """Read the state from the store; raise StoreUnavailableError to be called again."""
        Recovery(
            self.term, self.job_watcher, self.writer, self.autoscaler, self._image_locality
        ).load()

    def _begin(self) -> None:
        """Read the state, shake hands with all workers, and start the loops that need the state."""
        self._load_until_answered()
        self.term.state_loaded.set()
        for machine in list(self.term.cluster.machines.values()):
            if machine.address:
                self.direct_messages.schedule(machine)
        self._loops.start("watch_loop", self.job_watcher.watch_loop)
        self._loops.start("write_loop", self.writer.write_loop)
        self._loops.start("scheduling_loop", self.scheduler.scheduling_loop)
        self._loops.start("_maintenance_loop", self.maintenance.maintenance_loop)
        self._loops.start("autoscaling_loop", self.autoscaler.autoscaling_loop)
        for loop in self.extra_loops:
            self._loops.start(loop.__name__, loop)

    def _load_until_answered(self) -> None:
        """Read the state from the store, as often as it takes to get an answer."""
        while True:
            try:
                self.load()
                break
            except StoreUnavailableError as error:
                log.info("event=load-failed term=%d error=%s", self.term.number, error)
                gevent.sleep(LOAD_RETRY_S)
        log.info(
            "event=state-loaded term=%d jobs=%d machines=%d rentals=%d took_s=%.3f",
            self.term.number,
            len(self.term.job_table.jobs),
            len(self.term.cluster.machines),
            len(self.autoscaler.rentals.pending),
            monotonic_now() - self.term.began_at,
        )

    def _on_record(self, key: str, data: msgspec.Raw, key_version: KeyVersion) -> None:
        self.job_watcher.apply_record(key, data, key_version)

    def _on_newer_heartbeat(self, machine: Machine, now: MonotonicTime) -> None:
        self.heartbeat_effects.apply(machine, now)
