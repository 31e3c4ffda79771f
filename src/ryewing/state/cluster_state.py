"""The leader's view of all machines and their tasks. The workers' own state is the truth.

The cluster state is in memory only, and each heartbeat replaces what was known of its machine. What
no heartbeat can tell is kept as an assumption until it is settled: a start that was sent, a silent
machine whose lease may still run, and a machine known from the store that this leader has not heard
yet (safety arguments 3 to 5 in docs/design.md).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ryewing.state.assignment_table import AssignmentTable
from ryewing.state.failure_detector import FailureDetector
from ryewing.state.heartbeat_applier import HeartbeatApplier
from ryewing.state.image_fetches import FetchContention
from ryewing.state.job_table import JobTable
from ryewing.state.machine import Machine
from ryewing.state.pending_terminations import PendingTerminations
from ryewing.units import (
    CLOCK_DRIFT_MARGIN,
    FencingToken,
    MachineId,
    MonotonicTime,
    TermNumber,
    Zone,
    fencing_token,
)
from ryewing.wire.cloud import MachineType

LEASE_MARGIN_S = 0.5
"""How much longer than its lease a worker is assumed to keep its tasks."""


class CachedImages(NamedTuple):
    """Which images are in the caches of which machines, with every name once."""

    images: list[tuple[str, float]]
    """All images that are known to be anywhere, with their sizes in GB."""
    machines: dict[str, list[int]]
    """For each machine that has any, its images as indexes into `images`."""


class ClusterState(AssignmentTable):
    """All machines of one term, with their assignments and the life cycle of their leases.

    One greenlet at a time changes it, since no method waits.
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
        """Applies a worker's message; see `HeartbeatApplier.apply`. It is bound here, without a
        method around it, as it is called for every heartbeat of every machine."""
        self._hold_s = lease_s * (1 + CLOCK_DRIFT_MARGIN) + LEASE_MARGIN_S
        """How long after a 200 response a worker may still hold its tasks."""

    def token(self, machine: Machine) -> FencingToken:
        """Return the token for any message to this machine: the highest one sent to it so far."""
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
        """Return the machine of this id, which is added if it is not known."""
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, machine_type, zone, spot, now)
            self.machines[machine_id] = machine
        return machine

    def remove(self, machine: Machine, now: MonotonicTime) -> None:
        """Forget a machine that is certainly gone, with all that was on it."""
        self.drop_all(machine, now)
        self.terminations.remove_machine(machine.id)
        self.machines.pop(machine.id, None)

    def extend_lease(self, machine: Machine, now: MonotonicTime) -> None:
        """Extend the time for which a machine may hold tasks.

        To be called just before a 200 response, from which the worker's lease may run anew.
        """
        until = MonotonicTime(now + self._hold_s)
        if machine.lease_expires_by is None or until > machine.lease_expires_by:
            machine.lease_expires_by = until

    def expire_leases(self, now: MonotonicTime) -> list[Machine]:
        """Drop all on machines whose lease has certainly ended; return those machines."""
        expired = []
        for machine in self.machines.values():
            if machine.lease_expires_by is not None and now >= machine.lease_expires_by:
                machine.lease_expires_by = None
                machine.expired_incarnation = machine.version.incarnation
                self.drop_all(machine, now)
                expired.append(machine)
        return expired

    def unreconciled(self) -> Iterator[Machine]:
        """Yield the machines that may hold tasks which this leader has not seen."""
        for machine in self.machines.values():
            if (
                machine.recorded
                and not machine.acknowledged_term
                and machine.lease_expires_by is not None
            ):
                yield machine

    def reset_worker(self, machine: Machine, now: MonotonicTime) -> None:
        """Start over with a restarted worker; see `HeartbeatApplier.reset_worker`."""
        self._heartbeats.reset_worker(machine, now)

    # -- images -----------------------------------------------------------------------------

    @property
    def fetch_slowdown(self) -> float:
        """How much longer fetches beside others took than single ones, as learned; 1 at first."""
        return self._fetch_contention.slowdown

    def is_fetch_rate_shared(self) -> bool:
        """Return whether images fetched at once seem to share a machine's rate."""
        return self._fetch_contention.is_rate_shared()

    def cached_images(self) -> CachedImages:
        """Return the image locality, of which other controllers are told."""
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
        """Take over the image locality of an earlier leader, as `cached_images` returned it there.

        Unknown machines and indexes out of range are skipped: it came from another process.
        """
        for machine_id, indexes in machines.items():
            machine = self.machines.get(MachineId(machine_id))
            if machine is None:
                continue
            for index in indexes:
                if 0 <= index < len(images):
                    machine.record_image(*images[index])
