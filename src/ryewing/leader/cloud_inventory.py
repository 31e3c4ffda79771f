"""Compares the machines known to a term with the cloud's list, one page of it at a time.

Lists are some seconds old, so what they lack or still have proves little by itself.
"""

from __future__ import annotations

import logging

from ryewing.autoscaling.releases import Release, ReleaseReason
from ryewing.clients.machine_listing import MachineListing
from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.machine_releaser import MachineReleaser
from ryewing.leader.term_context import TermContext
from ryewing.state.machine import Machine
from ryewing.units import MachineId, MonotonicTime, Zone, monotonic_now
from ryewing.wire.cloud import ListedMachine

log = logging.getLogger(__name__)

MISSED_LISTS_MAX = 2
"""A machine known from lists alone is forgotten when so many in a row have lacked it."""
FAILED_STATUS = "failed"
"""The status with which the cloud lists a machine that will never work."""


class CloudInventory:
    """Owns the reading of the cloud's list and what is known from lists alone."""

    def __init__(
        self,
        term: TermContext,
        direct_messages: DirectMessages,
        releaser: MachineReleaser,
        listing: MachineListing,
    ) -> None:
        self._term = term
        self._direct_messages = direct_messages
        self._releaser = releaser
        self.listing = listing
        self._lists_missed: dict[MachineId, int] = {}
        """For machines known from lists alone: how many lists in a row have lacked them."""

    def read_page(self) -> None:
        """Read the list's next page: add unknown machines and addresses, release failed machines.

        Raise CloudUnavailableError if the cloud does not answer.
        """
        now = monotonic_now()
        failed = []
        page = self.listing.read_page(now)
        for listed in page.machines:
            name = MachineId(listed.id)
            if name in self._term.released_machines or not self._term.scope.covers(listed.zone):
                continue  # gone, or another shard's, whose leader alone counts and releases it
            machine = self._term.cluster.machines.get(name)
            if machine is None:
                machine = self._add_listed(listed, now)
            if listed.address and not machine.address:
                machine.address = listed.address
                if machine.recorded and not machine.acknowledged_term:
                    self._direct_messages.schedule(machine)
            if listed.status == FAILED_STATUS:
                failed.append(Release(machine, ReleaseReason.FAILED))
        if failed:
            self._releaser.release(failed)
        if page.all_machine_ids is not None:
            self._forget_unlisted(page.all_machine_ids)

    def _add_listed(self, listed: ListedMachine, now: MonotonicTime) -> Machine:
        """Add a machine that only the list knows; it counts as booting until it is heard."""
        machine = self._term.cluster.add(
            MachineId(listed.id),
            self._term.machine_type(listed.machine_type),
            Zone(listed.zone),
            listed.spot,
            now,
        )
        machine.rented_at = MonotonicTime(now - listed.age_s)
        self._lists_missed[machine.id] = 0
        log.info("event=listed-machine machine=%s status=%s", machine.id, listed.status)
        return machine

    def _forget_unlisted(self, names: frozenset[MachineId]) -> None:
        """Forget machines that were listed once, were never heard, and are no longer listed.

        Found by reading: lists are old, so a new leader took up machines that its predecessor had
        released just before, and counted them as booting, for minutes. A list may be older than the
        one before it, so two have to agree.
        """
        for name in list(self._lists_missed):
            machine = self._term.cluster.machines.get(name)
            if machine is None or machine.heard_at is not None or machine.recorded:
                del self._lists_missed[name]
            elif name in names:
                self._lists_missed[name] = 0
            else:
                self._lists_missed[name] += 1
                if self._lists_missed[name] >= MISSED_LISTS_MAX:
                    del self._lists_missed[name]
                    self._term.cluster.remove(machine, monotonic_now())
