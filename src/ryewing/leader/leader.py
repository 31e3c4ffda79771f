"""The leader's term: rebuild, then loops that bring what is to what is wanted.

Everything here ends with the term. The loops share one state in one thread; gevent switches only
where a request is under way, so what is decided between two requests is consistent. What the loops
do stands in the parts: `intake` the jobs, `writer` the store, `dispatch` the workers, `scheduler`
the scheduling cycles, `autoscaler` the fleet. Here stand the lease, the rebuild and what is tended.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent
import msgspec

from ryewing.clients.peers import ImageLocality
from ryewing.clients.store import LeaseLostError, StoreUnavailableError
from ryewing.leader.autoscaler import Autoscaler
from ryewing.leader.job_watcher import JobWatcher
from ryewing.leader.recovery import Recovery
from ryewing.leader.scheduler import Scheduler
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.worker_commands import PROBE_AFTER, WorkerCommands
from ryewing.state.attempts import TaskPhase
from ryewing.units import JobId, KeyVersion, MonotonicTime, monotonic_now
from ryewing.wire.jobs import JobStatus
from ryewing.wire.workers import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

TELL_EVERY_S = 10.0
CUT = "cut-from-workers"
UNFOLLOWED = "jobs-not-followed"
UNFOLLOWED_S = 15.0
"""A leader whose lease is renewed and that can't read the jobs for so long resigns."""
CUT_MACHINES = 4
CUT_SHARE = 0.7
"""A leader that hears fewer of its machines than the rest of this share resigns."""
CUT_PROBE_S = 0.5
"""How long a late machine has to answer when asked directly, before it counts as unreachable."""
STALL_S = 2.0
"""Steps that lie so far apart say that this process stood still."""


class Leader:
    """One term."""

    def __init__(
        self,
        term: TermContext,
        on_final: Callable[[JobId, str], None],
        image_locality: ImageLocality | None = None,
    ) -> None:
        self._image_locality = image_locality
        self.term = term
        self.writer = StateWriter(self.term, on_final, self._on_record)
        self.worker_commands = WorkerCommands(self.term, self.writer)
        self.job_watcher = JobWatcher(self.term, self.writer, self.worker_commands)
        self.scheduler = Scheduler(self.term, self.worker_commands)
        self.autoscaler = Autoscaler(self.term, self.writer, self.worker_commands, self.scheduler)
        self._greenlets: list[gevent.Greenlet] = []
        self.extra_loops: list[Callable[[], None]] = []
        """Run for as long as the term lasts, besides its own."""
        self._state_logged_at = MonotonicTime(-1e9)
        self._maintained_at = self._running_since = self.term.began_at

    # -- what other parts of the process ask ------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker, or None if this node must not answer 200 now."""
        return self.worker_commands.on_heartbeat(heartbeat)

    def poll(self, job_id: JobId) -> JobStatus | None:
        """Tell a job's state, or None if only the store can tell."""
        return self.job_watcher.poll(job_id)

    def apply_cancel(self, job_id: JobId) -> bool:
        """A cancel is in the store; True once no older state can be told from here."""
        return self.job_watcher.apply_cancel(job_id)

    def full(self) -> bool:
        """Tell whether more jobs would endanger the memory of this process."""
        return self.job_watcher.full()

    def image_locality(self) -> ImageLocality:
        """Tell what a successor should know of the machines' images."""
        failing: dict[str, float] = {
            job.id: job.backoff_s for job in self.term.job_table if job.backoff_s
        }
        return ImageLocality(int(self.term.number), *self.term.cluster.images(), failing)

    def drained(self) -> bool:
        """Tell whether nothing is under way whose outcome a successor would have to find out.

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

    def _on_record(self, key: str, data: msgspec.Raw, key_version: KeyVersion) -> None:
        self.job_watcher.apply_record(key, data, key_version)

    # -- life -------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the term: the lease is kept from the first moment on."""
        self._spawn(self._renew_loop)
        self._spawn(self._begin)

    def stop(self) -> None:
        """End everything that belongs to the term."""
        self.term.stopped = True
        current = gevent.getcurrent()
        others = [g for g in self._greenlets if g is not current]
        gevent.killall(others, block=False)
        self.worker_commands.stop()

    def _spawn(self, loop: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(self._guard, loop))

    def _guard(self, loop: Callable[[], None]) -> None:
        """A fault in one loop ends the term, not the process: another term starts clean."""
        try:
            loop()
        except gevent.GreenletExit:
            pass
        except Exception:
            log.exception("event=loop-failed loop=%s", loop.__name__)
            self.term.end("fault")

    def _renew_loop(self) -> None:
        lease_s = self.term.policy.store_lease_s
        gap = lease_s / 4
        while not self.term.stopped:
            gevent.sleep(gap)
            gap = lease_s / (4 if self.renew_once() else 8)

    def renew_once(self) -> bool:
        """Ask the store to renew the lease; False if it did not answer."""
        sent_at = monotonic_now()
        try:
            self.term.store.renew(self.term.leadership.lease, self.term.policy.store_lease_s / 3)
        except LeaseLostError:
            self.term.end("lease")
            return True
        except StoreUnavailableError as error:
            log.debug("event=renew-failed error=%s", error)
            return False
        if self.term.lease_validity.lease_expired(sent_at):
            log.info("event=lease-confirmed-again term=%d", self.term.number)
            self.term.scheduling_needed.set()
            self.term.writes_needed.set()
        self.term.lease_validity.confirm_renewal(sent_at)
        since = max(
            self.term.lease_validity.jobs_known_at or self.term.began_at, self.term.began_at
        )
        if self.term.settings.members and sent_at - since > UNFOLLOWED_S:
            # It keeps the lease and may do nothing with it: another node may be able to read.
            self.resign(UNFOLLOWED)
        return True

    def resign(self, reason: str) -> None:
        """Leave leadership to another node. LeaseValidity ends before the lease does: the end of
        that may be made known late."""
        self.term.end(reason)
        try:
            self.term.store.resign(self.term.leadership.lease)
        except StoreUnavailableError as error:
            log.debug("event=resign-failed error=%s", error)

    def _begin(self) -> None:
        while True:
            try:
                self._load()
                break
            except StoreUnavailableError as error:
                log.info("event=load-failed term=%d error=%s", self.term.number, error)
                gevent.sleep(0.2)
        log.info(
            "event=state-loaded term=%d jobs=%d machines=%d rentals=%d took_s=%.3f",
            self.term.number,
            len(self.term.job_table.jobs),
            len(self.term.cluster.machines),
            len(self.autoscaler.pending_requests),
            monotonic_now() - self.term.began_at,
        )
        self.term.state_loaded.set()
        for machine in list(self.term.cluster.machines.values()):
            if machine.address:
                self.worker_commands.schedule_direct_message(machine)
        self._spawn(self.job_watcher.watch_loop)
        self._spawn(self.writer.write_loop)
        self._spawn(self.scheduler.scheduling_loop)
        self._spawn(self._maintenance_loop)
        self._spawn(self.autoscaler.autoscaling_loop)
        for loop in self.extra_loops:
            self._spawn(loop)

    def _load(self) -> None:
        Recovery(
            self.term, self.job_watcher, self.writer, self.autoscaler, self._image_locality
        ).load()

    def _maintenance_loop(self) -> None:
        """Leases that end, and stops that must be sent again."""
        while not self.term.stopped:
            gevent.sleep(0.25)
            self.run_maintenance()

    def run_maintenance(self) -> None:
        """See to leases that have ended, stops that are due, and silent machines."""
        now = monotonic_now()
        if now - self._maintained_at > STALL_S:
            self._running_since = now
        self._maintained_at = now
        self._log_state(now)
        for machine in self.term.cluster.expire(now):
            log.info("event=lease-expired machine=%s", machine.id)
            self.term.scheduling_needed.set()
        if not self.term.lease_validity.may_answer_workers(now):
            return
        for name in list(self.term.terminations.due(now)):
            stopping = self.term.cluster.machines.get(name)
            if stopping is None:
                self.term.terminations.machine_gone(name)
            else:
                self.worker_commands.schedule_direct_message(stopping)
        self.worker_commands.probe(now)
        if (
            self.term.settings.members
            and self.scheduler.reconciled
            and self.is_cut_from_workers(now)
        ):
            # Another node may reach them; waiting for it costs every machine its tasks.
            self.resign(CUT)

    def is_cut_from_workers(self, now: MonotonicTime) -> bool:
        """Tell whether most machines fell silent at once, so that the fault is likely here.

        Each has missed a heartbeat and not answered when asked directly. Time in which this process
        stood still does not count: found in replays, where a leader that was itself again resigned
        for it, and left leadership alone for a while.
        """
        report_s = self.term.settings.params.workers.report_s
        longest_s = PROBE_AFTER * report_s + CUT_PROBE_S
        silent = known = 0
        for machine in self.term.cluster.machines.values():
            if machine.heard_at is None or machine.may_hold_until is None:
                continue
            known += 1
            silent += now - max(machine.heard_at, self._running_since) > longest_s
        return known >= CUT_MACHINES and silent > CUT_SHARE * known

    def _log_state(self, now: MonotonicTime) -> None:
        """Tell a reader of the log, every ten seconds, what there is and what waits."""
        if now - self._state_logged_at < TELL_EVERY_S:
            return
        self._state_logged_at = now
        kinds: dict[str, list[float]] = {}
        for machine in self.term.cluster.machines.values():
            kind = machine.machine_type.name + ("/spot" if machine.spot else "")
            row = kinds.setdefault(kind, [0, 0, 0.0, 0.0])
            row[0] += 1
            if machine.usable():
                row[1] += 1
                row[2] += machine.cpus
                row[3] += machine.gpus
        phases: dict[str, float] = {}
        for machine in self.term.cluster.machines.values():
            for assignment in machine.assignments.values():
                if assignment.job is not None and assignment.job.spec.gpus > 0:
                    phases[assignment.phase] = (
                        phases.get(assignment.phase, 0.0) + assignment.job.spec.gpus
                    )
        waiting: dict[str, int] = {}
        for job, count in self.scheduler.unplaced:
            waiting[job.spec.job_class] = waiting.get(job.spec.job_class, 0) + count
        log.info(
            "event=state jobs=%d cycles=%d machines_examined=%d fetch_slowdown=%.2f gpus=%s "
            "machines=%s unplaced=%s",
            len(self.term.job_table.jobs),
            self.scheduler.cycles,
            self.scheduler.machines_examined,
            self.term.cluster.fetch_slowdown,
            ",".join(f"{phase}:{n:g}" for phase, n in sorted(phases.items())) or "-",
            ",".join(
                f"{kind}:{int(n)}(up={int(up)};cpus_free={v:g};gpus_free={c:g})"
                for kind, (n, up, v, c) in sorted(kinds.items())
            )
            or "-",
            ",".join(f"{name}:{count}" for name, count in sorted(waiting.items())) or "-",
        )
