"""Rental requests: recorded in the store, sent to the cloud until answered, then forgotten.

A request is recorded before it is sent, under a name that is never used again. A successor repeats
the recorded requests and gets the same answers, so nothing is rented twice (safety argument 10 of
docs/design.md).
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ryewing.autoscaling.capacity_backoff import CapacityBackoff
from ryewing.autoscaling.options import RentalOption
from ryewing.autoscaling.scale_out import ScaleOutPlan
from ryewing.clients.cloud import MAX_MACHINES_PER_RENTAL, Cloud, NoCapacityError
from ryewing.clients.store import Put
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.units import MachineId, Zone, monotonic_now
from ryewing.wire.cloud import RentalRequest

log = logging.getLogger(__name__)

REQUEST_PREFIX = "h/"
"""The prefix of the keys under which rental requests are recorded in the store."""


class Rentals:
    """Owns a term's rental requests, and the backoff from options without capacity."""

    def __init__(self, term: TermContext, writer: StateWriter, cloud: Cloud) -> None:
        self._term = term
        self._writer = writer
        self.cloud = cloud
        self.backoff = CapacityBackoff()
        self.pending: dict[str, RentalRequest] = {}
        """The recorded requests that the cloud has not answered, by id."""
        self._requests = 0

    def request(self, plan: ScaleOutPlan) -> bool:
        """Record a request for a plan's best option and send it; False if the term was fenced.

        Raise StoreUnavailableError or CloudUnavailableError, after which the request stays pending.
        """
        option = plan.options[0]
        self._requests += 1
        request = RentalRequest(
            self._term.scope.rental_id(self._term.number, self._requests),
            option.machine_type,
            option.zone,
            option.spot,
            min(MAX_MACHINES_PER_RENTAL, plan.machine_count),
        )
        self.pending[request.id] = request
        result = self._term.store.txn(
            self._term.leadership.fencing_conditions(),
            [Put(REQUEST_PREFIX + request.id, request)],
        )
        if not result.ok:
            self._term.end(TermEndReason.FENCED)
            return False
        self.send(request)
        return True

    def send_pending(self) -> None:
        """Send all pending requests again. Raise CloudUnavailableError at the first unanswered."""
        for request in list(self.pending.values()):
            self.send(request)

    def send(self, request: RentalRequest) -> None:
        """Send a recorded request to the cloud; it stays pending if the cloud does not answer."""
        if not self._term.may_start_operations():
            return
        option = RentalOption(request.machine_type, request.zone, request.spot)
        try:
            names = self.cloud.rent(request)
        except NoCapacityError:
            log.info("event=no-capacity machine_type=%s zone=%s spot=%s", *option)
            self.backoff.record_no_capacity(option, monotonic_now())
            names = []
        self._add_machines(request, option, names)
        self.pending.pop(request.id, None)
        # The records of the machines have to come before the request is forgotten: writes are made
        # in this order.
        self._writer.remove_key(REQUEST_PREFIX + request.id)
        self._term.writes_needed.set()

    def _add_machines(
        self, request: RentalRequest, option: RentalOption, names: Sequence[MachineId]
    ) -> None:
        """Add the machines that a request has brought."""
        now = monotonic_now()
        if names:
            if len(names) < request.count:
                self.backoff.record_no_capacity(option, now)
            else:
                self.backoff.reset(option)
            log.info(
                "event=rented count=%d requested=%d machine_type=%s zone=%s spot=%s rental=%s",
                len(names),
                request.count,
                *option,
                request.id,
            )
        for name in names:
            machine = self._term.cluster.add(
                name,
                self._term.machine_type(request.machine_type),
                Zone(request.zone),
                request.spot,
                now,
            )
            machine.rented_at = now
            self._writer.record_machine(name)
