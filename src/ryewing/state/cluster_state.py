"""The leader's view of all machines and their tasks; the workers' own state is authoritative.

The cluster state is held in memory only, and each heartbeat replaces the known state of its
machine. The leader keeps assumptions about facts that heartbeats have not shown, until they are
confirmed or refuted: a start that was sent, a silent machine whose lease may still be valid, and a
machine recorded in the store that has sent this leader no heartbeat yet (safety arguments 3 to 5 in
docs/design.md).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ryewing.state.assignment_table import AssignmentTable
from ryewing.state.failure_detector import FailureDetector
from ryewing.state.heartbeat_applier import HeartbeatApplier, version_in_term
from ryewing.state.image_fetches import FetchContention
from ryewing.state.job_table import JobTable
from ryewing.state.machine import ExpiredIncarnation, Machine
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import (
    CLOCK_DRIFT_MARGIN,
    FencingToken,
    HeartbeatVersion,
    MachineId,
    MonotonicTime,
    TermNumber,
    Zone,
    fencing_token,
)
from ryewing.wire.cloud import MachineType
from ryewing.wire.workers import Heartbeat

LEASE_MARGIN_S = 0.5
"""How much longer than its lease a worker is assumed to keep its tasks, in seconds."""


class CachedImages(NamedTuple):
    """Which machines have which images in their caches; every image name is listed once."""

    images: list[tuple[str, float]]
    """All images that are in the cache of any machine, with their sizes in GB."""
    machines: dict[str, list[int]]
    """For each machine that has images: their indexes into `images`."""


class ClusterState(AssignmentTable):
    """All machines of one term, with their assignments and the life cycle of their leases.

    No method blocks, so a call completes before another greenlet runs.
    """

    def __init__(
        self,
        term: TermNumber,
        lease_s: float,
        job_table: JobTable,
        terminations: PendingTerminations,
    ) -> None:
        super().__init__(job_table, terminations)
        self.term = term
        self.failure_detector = FailureDetector(self)
        self._fetch_contention = FetchContention()
        self._heartbeats = HeartbeatApplier(
            term, self, self.failure_detector, self._fetch_contention
        )
        self.apply_heartbeat = self._heartbeats.apply
        """Applies a worker's message; see `HeartbeatApplier.apply`. It is bound directly, without a
        wrapper method, because it is called for every heartbeat of every machine."""
        self._hold_s = lease_s * (1 + CLOCK_DRIFT_MARGIN) + LEASE_MARGIN_S
        """How long after a 200 response a worker may still keep its tasks, in seconds."""

    def token(self, machine: Machine) -> FencingToken:
        """Return the token for a message to this machine: the highest token of this term so far."""
        return fencing_token(self.term, machine.token_bumps)

    # -- machines ---------------------------------------------------------------------------

    def add(
        self,
        machine_id: MachineId,
        machine_type: MachineType,
        zone: Zone,
        spot: bool,
        now: MonotonicTime,
    ) -> Machine:
        """Return the machine of this id; add it if it is not known."""
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, machine_type, zone, spot, now)
            self.machines[machine_id] = machine
        return machine

    def remove(self, machine: Machine, now: MonotonicTime) -> None:
        """Remove a machine that certainly no longer exists, with everything on it."""
        self.drop_all(machine, now)
        self.terminations.remove_machine(machine.id)
        self.machines.pop(machine.id, None)

    def extend_lease(self, machine: Machine, now: MonotonicTime) -> None:
        """Extend the time for which a worker may keep its tasks.

        Call this immediately before a 200 response, because the response renews the worker's lease.
        """
        until = MonotonicTime(now + self._hold_s)
        if machine.lease_expires_by is None or until > machine.lease_expires_by:
            machine.lease_expires_by = until

    def expire_leases(self, now: MonotonicTime) -> list[Machine]:
        """Drop everything on machines whose lease has certainly expired; return those machines."""
        expired = []
        for machine in self.machines.values():
            if machine.lease_expires_by is not None and now >= machine.lease_expires_by:
                machine.lease_expires_by = None
                machine.expired = ExpiredIncarnation(
                    machine.token_bumps, machine.version.incarnation
                )
                self.drop_all(machine, now)
                expired.append(machine)
        return expired

    def unreconciled(self) -> Iterator[Machine]:
        """Yield the machines that may hold tasks unknown to this leader."""
        for machine in self.machines.values():
            if (
                machine.recorded
                and not machine.acknowledged_term
                and machine.lease_expires_by is not None
            ):
                yield machine

    def version_of(self, heartbeat: Heartbeat) -> HeartbeatVersion:
        """Return the version of a worker's message in this term."""
        return version_in_term(heartbeat, self.term)

    def raise_token(self, machine: Machine) -> None:
        """Give the next message to this machine a token that was never sent to it."""
        machine.token_bumps += 1

    def require_new_token(self, machine: Machine, now: MonotonicTime) -> None:
        """Ignore a worker until it returns a new token; see `HeartbeatApplier`."""
        self._heartbeats.require_new_token(machine, now)

    # -- images -----------------------------------------------------------------------------

    @property
    def fetch_slowdown(self) -> float:
        """How much longer concurrent fetches take than single ones, as observed; 1 at first."""
        return self._fetch_contention.slowdown

    def is_fetch_rate_shared(self) -> bool:
        """Return whether concurrent fetches seem to share a machine's rate."""
        return self._fetch_contention.is_rate_shared()

    def cached_images(self) -> CachedImages:
        """Return the image locality, which the leader sends to the other controllers."""
        indexes: dict[str, int] = {}
        images: list[tuple[str, float]] = []
        machines: dict[str, list[int]] = {}
        for machine in self.machines.values():
            for image, size_gb in machine.images.items():
                if image not in indexes:
                    indexes[image] = len(images)
                    images.append((image, size_gb))
            if machine.images:
                machines[machine.id] = [indexes[image] for image in machine.images]
        return CachedImages(images, machines)

    def restore_images(
        self, images: list[tuple[str, float]], machines: dict[str, list[int]]
    ) -> None:
        """Restore the image locality that an earlier leader's `cached_images` returned.

        Unknown machines and indexes out of range are skipped, because the data comes from another
        process.
        """
        for machine_id, indexes in machines.items():
            machine = self.machines.get(MachineId(machine_id))
            if machine is None:
                continue
            for index in indexes:
                if 0 <= index < len(images):
                    machine.record_image(*images[index])
