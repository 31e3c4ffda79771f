"""Periodic maintenance of a term, several times a second."""

from __future__ import annotations

import logging

import gevent

from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.lease_keeper import LeaseKeeper
from ryewing.leader.scheduler import Scheduler
from ryewing.leader.state_log import StateLog
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.worker_reachability import WorkerReachability
from ryewing.units import MonotonicTime, monotonic_now

log = logging.getLogger(__name__)

MAINTENANCE_PAUSE_S = 0.25


class Maintenance:
    """Expires machine leases, resends terminations, and probes silent machines."""

    def __init__(
        self,
        term: TermContext,
        direct_messages: DirectMessages,
        scheduler: Scheduler,
        lease_keeper: LeaseKeeper,
    ) -> None:
        self._term = term
        self._direct_messages = direct_messages
        self._scheduler = scheduler
        self._lease_keeper = lease_keeper
        self._state_log = StateLog(term.job_table, term.cluster, scheduler)
        self.reachability = WorkerReachability(
            term.cluster, term.settings.params.workers.report_s, term.started_at
        )

    def maintenance_loop(self) -> None:
        """Run maintenance until the term has ended."""
        while not self._term.stopped:
            gevent.sleep(MAINTENANCE_PAUSE_S)
            self.run_once()

    def run_once(self) -> None:
        """Do all maintenance that is due; resign if most workers can't be reached."""
        term = self._term
        now = monotonic_now()
        self.reachability.record_round(now)
        self._state_log.log_if_due(now)
        self._expire_leases(now)
        if not term.lease_validity.may_answer_workers(now):
            return
        self._resend_terminations(now)
        self._direct_messages.probe(now)
        if (
            term.settings.members
            and self._scheduler.reconciled
            and self.reachability.are_workers_unreachable(now)
        ):
            # Another node may be able to reach the workers. Without a change of leader, the leases
            # of all machines would expire and their tasks be lost.
            self._lease_keeper.resign(TermEndReason.WORKERS_UNREACHABLE)

    def _expire_leases(self, now: MonotonicTime) -> None:
        """Drop the tasks of machines whose lease has expired."""
        for machine in self._term.cluster.expire_leases(now):
            log.info("event=lease-expired machine=%s", machine.id)
            self._term.scheduling_needed.set()

    def _resend_terminations(self, now: MonotonicTime) -> None:
        """Resend the terminations that are due; drop those of machines that no longer exist."""
        for machine_id in list(self._term.terminations.due(now)):
            machine = self._term.cluster.machines.get(machine_id)
            if machine is None:
                self._term.terminations.remove_machine(machine_id)
            else:
                self._direct_messages.schedule(machine)
