"""Releases machines to the cloud, and forgets them once the cloud has confirmed it."""

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
"""How many released machines are remembered: copies of their messages may still arrive."""


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
        """Release machines; when this returns, nothing on those released is there any more.

        Only as many as one request takes; the others stay as they are. Raise CloudUnavailableError
        if the cloud did not confirm; it may still carry the request out late, and until then the
        machines are used as before.
        """
        releases = releases[:MAX_MACHINES_PER_RELEASE]
        if not self._term.may_start_operations():
            # Requests were made, or the process stood still, since this was decided: a successor
            # may use these machines by now.
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
