"""Releases machines to the cloud, and removes them once the cloud has confirmed it."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ryewing.autoscaling.releases import Release
from ryewing.clients.cloud import MAX_MACHINES_PER_RELEASE, Cloud, CloudUnavailableError
from ryewing.leader.direct_messages import DirectMessages
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.units import MonotonicTime, monotonic_now

log = logging.getLogger(__name__)

RELEASED_MACHINES_KEPT = 20_000
"""How many ids of released machines are kept, so that late copies of their messages are ignored."""


class MachineReleaser:
    """Releases machines of one term."""

    def __init__(
        self,
        term: TermContext,
        writer: StateWriter,
        direct_messages: DirectMessages,
        cloud: Cloud,
    ) -> None:
        self._term = term
        self._writer = writer
        self._direct_messages = direct_messages
        self.cloud = cloud

    def release(self, releases: Sequence[Release]) -> None:
        """Release machines, and remove them with their tasks from the term's state.

        Only as many machines as fit into one request are released; the others stay unchanged. Raise
        CloudUnavailableError if the cloud did not confirm the request. The cloud may still execute
        it later; until then the machines are used as before.
        """
        releases = releases[:MAX_MACHINES_PER_RELEASE]
        if not self._term.may_start_operations():
            # Other requests or a pause of the process may have delayed this call for so long that
            # a successor already uses these machines.
            return
        for machine, _reason in releases:
            machine.being_released = True
        try:
            self.cloud.release([machine.id for machine, _reason in releases])
        except CloudUnavailableError:
            for machine, _reason in releases:
                machine.being_released = False
            raise
        now = monotonic_now()
        for release in releases:
            self._forget(release, now)
        self._term.scheduling_needed.set()
        self._term.writes_needed.set()

    def _forget(self, release: Release, now: MonotonicTime) -> None:
        """Remove a released machine from the term's state and from the store."""
        machine = release.machine
        log.info(
            "event=released machine=%s machine_type=%s spot=%s reason=%s tasks=%d",
            machine.id,
            machine.machine_type.name,
            machine.spot,
            release.reason,
            len(machine.assignments),
        )
        self._term.cluster.remove(machine, now)
        if machine.address:
            self._direct_messages.workers.disconnect(machine.address)
        self._writer.forget_machine(machine.id)
        self._term.released_machines[machine.id] = None
        if len(self._term.released_machines) > RELEASED_MACHINES_KEPT:
            self._term.released_machines.popitem(last=False)
