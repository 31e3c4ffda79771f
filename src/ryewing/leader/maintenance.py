"""What a leader sees to several times a second, whatever else happens."""

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

MAINTENANCE_EVERY_S = 0.25


class Maintenance:
    """Sees to expired machine leases, stops that are due, and silent machines."""

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
            term.cluster, term.settings.params.workers.report_s, term.began_at
        )

    def maintenance_loop(self) -> None:
        """Run maintenance until the term has ended."""
        while not self._term.stopped:
            gevent.sleep(MAINTENANCE_EVERY_S)
            self.run_once()

    def run_once(self) -> None:
        """Do all that is due now; resign if this leader is cut off from its workers."""
        term = self._term
        now = monotonic_now()
        self.reachability.note_round(now)
        self._state_log.log_if_due(now)
        self._expire_leases(now)
        if not term.lease_validity.may_answer_workers(now):
            return
        self._resend_stops(now)
        self._direct_messages.probe(now)
        if (
            term.settings.members
            and self._scheduler.reconciled
            and self.reachability.are_workers_unreachable(now)
        ):
            # Another node may reach them; waiting for it costs every machine its tasks.
            self._lease_keeper.resign(TermEndReason.WORKERS_UNREACHABLE)

    def _expire_leases(self, now: MonotonicTime) -> None:
        """Drop what was on machines whose lease has ended."""
        for machine in self._term.cluster.expire_leases(now):
            log.info("event=lease-expired machine=%s", machine.id)
            self._term.scheduling_needed.set()

    def _resend_stops(self, now: MonotonicTime) -> None:
        """Send the stops again whose task is still reported, and forget those of gone machines."""
        for name in list(self._term.terminations.due(now)):
            machine = self._term.cluster.machines.get(name)
            if machine is None:
                self._term.terminations.remove_machine(name)
            else:
                self._direct_messages.schedule(machine)
