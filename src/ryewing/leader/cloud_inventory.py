"""Compares the machines known to a term with the cloud's list, one page at a time.

A list is some seconds old, so a machine's presence or absence in a single list proves little.
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
"""A machine known only from lists is removed if this many lists in a row lack it."""
FAILED_STATUS = "failed"
"""The status with which the cloud lists a machine that will never work."""


class CloudInventory:
    """Reads the cloud's list, and tracks the machines that are known only from lists."""

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
        """For each machine known only from lists, how many lists in a row lacked it."""

    def read_page(self) -> None:
        """Read the list's next page: add unknown machines and addresses, release failed machines.

        Raise CloudUnavailableError if the cloud does not answer.
        """
        now = monotonic_now()
        failed = []
        page = self.listing.read_page(now)
        for listed in page.machines:
            machine_id = MachineId(listed.id)
            if machine_id in self._term.released_machines or not self._term.scope.covers(
                listed.zone
            ):
                continue  # released, or of another shard, whose leader counts and releases it
            machine = self._term.cluster.machines.get(machine_id)
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
        """Add a machine known only from the list; it is booting until its first heartbeat."""
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

    def _forget_unlisted(self, listed_ids: frozenset[MachineId]) -> None:
        """Remove machines that are known only from lists and are no longer listed.

        Because lists are old, a new leader may add machines that its predecessor released just
        before, and would count them as booting for minutes. A list may be older than the previous
        one, so a machine is removed only if two lists in a row lack it.
        """
        for machine_id in list(self._lists_missed):
            machine = self._term.cluster.machines.get(machine_id)
            if machine is None or machine.heard_at is not None or machine.recorded:
                del self._lists_missed[machine_id]
            elif machine_id in listed_ids:
                self._lists_missed[machine_id] = 0
            else:
                self._lists_missed[machine_id] += 1
                if self._lists_missed[machine_id] >= MISSED_LISTS_MAX:
                    del self._lists_missed[machine_id]
                    self._term.cluster.remove(machine, monotonic_now())
