"""The autoscaler loop of one term: replaces unhealthy machines, scales in and scales out.

`ryewing.autoscaling` decides which machines; the requests to the cloud are made by `rentals`,
`machine_releaser`, `cloud_inventory` and `machine_type_refresher`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

import gevent
import msgspec

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.autoscaling.scale_in import machines_to_cordon, scale_in_candidates
from ryewing.autoscaling.scale_out import plan_scale_out
from ryewing.autoscaling.unhealthy import unhealthy_machines
from ryewing.clients.cloud import Cloud, CloudUnavailableError
from ryewing.clients.machine_listing import MachineListing
from ryewing.clients.store import StoreUnavailableError
from ryewing.config.settings import parse_address
from ryewing.leader.cloud_inventory import CloudInventory
from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.machine_releaser import MachineReleaser
from ryewing.leader.machine_type_refresher import MachineTypeRefresher
from ryewing.leader.rentals import Rentals
from ryewing.leader.scheduler import Scheduler
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.state.machine import Machine
from ryewing.units import MonotonicTime, monotonic_now

log = logging.getLogger(__name__)

STEP_EVERY_S = 0.5
"""The pause between two steps."""
CLOUD_RETRY_S = 0.5
"""The additional pause after the cloud did not answer."""
CORDON_SHARE = 0.01
"""The share of the machines that may be cordoned in one step; at least one may."""
PLANS_PER_STEP = 2
"""Rental requests made in one step."""


class Autoscaler:
    """Owns the loop, and what makes the requests to the cloud."""

    def __init__(
        self,
        term: TermContext,
        writer: StateWriter,
        direct_messages: DirectMessages,
        scheduler: Scheduler,
    ) -> None:
        self._term = term
        self._scheduler = scheduler
        limits = term.settings.params.cloud
        limits = msgspec.structs.replace(limits, rps=term.scope.share * limits.rps)
        cloud = Cloud(parse_address(term.settings.endpoints.cloud), limits)
        self.rentals = Rentals(term, writer, cloud)
        self.releaser = MachineReleaser(term, writer, direct_messages, cloud)
        self.inventory = CloudInventory(
            term, direct_messages, self.releaser, MachineListing(cloud, limits.rps)
        )
        self.machine_type_refresher = MachineTypeRefresher(term, cloud)

    def autoscaling_loop(self) -> None:
        """Take a step twice a second while the term may begin new work; never returns."""
        while True:
            gevent.sleep(STEP_EVERY_S)
            if not self._term.may_start_operations():
                continue
            try:
                self.step()
            except CloudUnavailableError as error:
                log.debug("event=cloud-unavailable error=%s", error)
                gevent.sleep(CLOUD_RETRY_S)
            except StoreUnavailableError as error:
                log.debug("event=store-unavailable error=%s", error)

    def step(self) -> None:
        """Replace unhealthy machines, then scale in and out once reconciliation is over.

        Raise CloudUnavailableError or StoreUnavailableError; the next step begins anew.
        """
        now = monotonic_now()
        unhealthy = self.unhealthy_machines(now)
        if unhealthy:
            self.releaser.release(unhealthy)
        if self.machine_type_refresher.due(now):
            self.machine_type_refresher.refresh()
        if self.inventory.listing.try_acquire_page(now):
            self.inventory.read_page()
        self.rentals.send_pending()
        if not self._scheduler.reconciled or not self._term.machine_types:
            return
        self.cordon()
        self._scale_in()
        self.scale_out()

    def unhealthy_machines(self, now: MonotonicTime) -> list[Release]:
        """Return the machines that are better released than waited for."""
        return unhealthy_machines(
            self._term.cluster.machines.values(),
            self._term.began_at,
            self._term.settings.params.workers,
            self._term.policy,
            now,
        )

    def cordon(self) -> None:
        """Cordon machines with more GPUs than are wanted, a few at a time; uncordon the others."""
        machines = self._term.cluster.machines.values()
        wanted = machines_to_cordon(
            machines, self._scheduler.gpus_wanted, self._scheduler.drain_s(), self._term.policy
        )
        budget = max(1, int(CORDON_SHARE * len(machines)))
        for machine in machines:
            if machine.cordoned and machine.id not in wanted:
                machine.cordoned = False
                self._term.scheduling_needed.set()
            elif not machine.cordoned and machine.id in wanted and budget > 0:
                machine.cordoned = True
                machine.cordoned_since = monotonic_now()
                budget -= 1

    def _scale_in(self) -> None:
        """Release idle machines that nothing waiting could use."""
        idle = scale_in_candidates(
            self._term.cluster.machines.values(),
            self._scheduler.unplaced,
            self._term.policy,
            monotonic_now(),
        )
        if idle:
            self.releaser.release([Release(machine, ReleaseReason.IDLE) for machine in idle])

    def scale_out(self) -> None:
        """Rent machines for tasks that found no room, beyond those that are booting."""
        now = monotonic_now()
        plans = plan_scale_out(
            self._scheduler.unplaced,
            _booting(self._term.cluster.machines.values()),
            self._term.machine_types,
            self.rentals.backoff,
            self._term.policy,
            now,
        )
        for plan in plans[:PLANS_PER_STEP]:
            if not self.rentals.request(plan):
                return


def _booting(machines: Iterable[Machine]) -> list[Machine]:
    """Return the machines that take no tasks yet but should soon."""
    return [
        machine
        for machine in machines
        if not machine.being_released
        and not machine.assignments
        and not machine.quarantined
        and not machine.is_schedulable()
        and machine.unacknowledged_since is None
        and not machine.cordoned
        and machine.notice_s is None
    ]
