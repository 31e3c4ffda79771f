"""The fleet of one term: machines rented, listed, given up and returned.

Which ones is decided by `ryewing.autoscaling`; here stand the requests, whose names and answers are
recorded so that nothing is rented twice.
"""

from __future__ import annotations

import logging

import gevent
import msgspec

from ryewing.autoscaling import planning
from ryewing.clients.cloud import (
    RELEASE_MAX,
    RENT_MAX,
    Cloud,
    CloudUnavailableError,
    NoCapacityError,
)
from ryewing.clients.machine_listing import MachineListing
from ryewing.clients.store import Put, StoreUnavailableError
from ryewing.config.settings import parse_address
from ryewing.leader.scheduler import Scheduler
from ryewing.leader.state_writer import StateWriter
from ryewing.leader.term_context import TermContext
from ryewing.leader.term_end_reason import TermEndReason
from ryewing.leader.worker_commands import WorkerCommands
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.state.machine import Machine
from ryewing.units import MachineId, MonotonicTime, Zone, monotonic_now
from ryewing.wire.cloud import MachineType, RentalRequest

log = logging.getLogger(__name__)

REQUEST_PREFIX = "h/"
MISSED_LISTS_MAX = 2
MACHINE_TYPES_EVERY_S = 60.0
UNHEARD_EXTRA_S = 0.5
RELEASED_NAMES_KEPT = 20_000
"""Names of machines that are gone, kept for as long as copies of what they said may arrive."""
CORDON_SHARE = 0.01
"""The part of the fleet that stops taking work in one step."""
MIN_BOOT_PATIENCE_S = 60.0
"""How long a machine may take to boot at the least: deleted sooner, it costs as much."""
LATE_AFTER = 1.3
"""Heartbeat intervals, a little more than the longest one, after which a heartbeat is late."""


class Autoscaler:
    """Owns the rental requests, and what the cloud was seen not to have."""

    def __init__(
        self,
        term: TermContext,
        writer: StateWriter,
        worker_commands: WorkerCommands,
        scheduler: Scheduler,
    ) -> None:
        self.term = term
        self.writer = writer
        self.worker_commands = worker_commands
        self.scheduler = scheduler
        limits = term.settings.params.cloud
        limits = msgspec.structs.replace(limits, rps=term.scope.share * limits.rps)
        self.cloud = Cloud(parse_address(term.settings.endpoints.cloud), limits)
        self.listing = MachineListing(self.cloud, limits.rps)
        self.capacity_backoff = planning.CapacityBackoff()
        self.pending_requests: dict[str, RentalRequest] = {}
        self._requests = 0
        self._machine_types_at = MonotonicTime(-1e9)
        self._only_listed: dict[MachineId, int] = {}
        """Machines known from lists alone, and how many lists in a row have lacked them."""
        self._stored_machine_types: frozenset[str] = frozenset()
        """The machine types that the store has."""

    def load_machine_types(self) -> list[MachineType]:
        """Read the machine types that an earlier leader left in the store."""
        machine_types = catalogue.read(self.term.store)
        self._stored_machine_types = frozenset(machine_type.name for machine_type in machine_types)
        return machine_types

    def autoscaling_loop(self) -> None:
        """Bring the fleet to what is wanted."""
        while True:
            gevent.sleep(0.5)
            if not self.term.may_begin():
                continue
            try:
                self.step()
            except CloudUnavailableError as error:
                log.debug("event=cloud-unavailable error=%s", error)
                gevent.sleep(0.5)
            except StoreUnavailableError as error:
                log.debug("event=store-unavailable error=%s", error)

    def step(self) -> None:
        """Take one step: replace unhealthy machines, scale in, scale out."""
        now = monotonic_now()
        gone = self.unhealthy_machines(now)
        if gone:
            self.release(gone)
        if now - self._machine_types_at > MACHINE_TYPES_EVERY_S:
            self._read_machine_types()
        if self.listing.due(now):
            self.read_list()
        for request in list(self.pending_requests.values()):
            self.send_request(request)
        if not self.scheduler.reconciled or not self.term.machine_types:
            return
        self.cordon()
        returned = planning.scale_in_candidates(
            self.term.cluster.machines.values(),
            self.scheduler.unplaced,
            self.term.policy,
            monotonic_now(),
        )
        if returned:
            self.release([(machine, "idle") for machine in returned])
        self.scale_out()

    def cordon(self) -> None:
        """Bring the machines that take no more work to what the GPUs wanted ask for."""
        machines = self.term.cluster.machines.values()
        wanted = planning.machines_to_cordon(
            machines, self.scheduler.gpus_wanted, self.scheduler.drain_s(), self.term.policy
        )
        budget = max(1, int(CORDON_SHARE * len(machines)))
        for machine in machines:
            if machine.cordoned and machine.id not in wanted:
                machine.cordoned = False
                self.term.scheduling_needed.set()
            elif not machine.cordoned and machine.id in wanted and budget > 0:
                machine.cordoned = True
                machine.cordoned_since = monotonic_now()
                budget -= 1

    def unhealthy_machines(self, now: MonotonicTime) -> list[tuple[Machine, str]]:
        """Machines that are better released than waited for.

        When many fall silent at once the fault may be on our side, and then each is only given
        up once its lease is over and nothing on it can be lost.
        """
        times = self.term.settings.params.workers
        never_booted: list[Machine] = []
        silent: list[Machine] = []
        unacknowledging: list[Machine] = []
        late = known = 0
        for machine in self.term.cluster.machines.values():
            since = self._heard_since(machine)
            if since is None:
                if now - machine.rented_at > self._boot_patience_s(machine):
                    never_booted.append(machine)
                continue
            known += 1
            late += now - since > LATE_AFTER * times.report_s
            deaf_since = machine.unacknowledged_since
            if now - since > self._silence_s(machine):
                silent.append(machine)
            elif deaf_since is not None and now - deaf_since > times.lease_s:
                unacknowledging.append(machine)
        # Judged by those that are late by one heartbeat, not by those silent for long: when all
        # fall silent, their last heartbeats lie an interval apart.
        most = max(2, known // 3)
        few = late <= most
        result = [(machine, "never-booted") for machine in never_booted]
        result += [
            (machine, "silent") for machine in silent if few or machine.may_hold_until is None
        ]
        if few and len(unacknowledging) <= most:
            # Its heartbeats come, our answers don't reach it: it can't be used, but it is paid for.
            result += [(machine, "unacknowledging") for machine in unacknowledging]
        return result

    def _heard_since(self, machine: Machine) -> MonotonicTime | None:
        """Tell when a machine was last heard; None if it may never have booted."""
        if machine.heard_at is not None:
            return machine.heard_at
        return self.term.began_at if machine.recorded else None  # heard in an earlier term

    def _boot_patience_s(self, machine: Machine) -> float:
        return max(
            self.term.policy.boot_patience * machine.machine_type.boot_s, MIN_BOOT_PATIENCE_S
        )

    def _silence_s(self, machine: Machine) -> float:
        """Tell how long a machine is waited for.

        One that has answered neither the handshake nor reported since the take-over blocks
        whatever it may hold, so it is waited for no longer than the gathering.
        """
        patience_s = self.term.policy.silence_s
        if machine.heard_at is None:
            return min(patience_s, self.term.policy.gather_s + UNHEARD_EXTRA_S)
        return patience_s

    def release(self, chosen: list[tuple[Machine, str]]) -> None:
        """Return machines; once it is confirmed, nothing on them is there any more.

        As many as one request takes: what was not in it is not gone.
        """
        chosen = chosen[:RELEASE_MAX]
        if not self.term.may_begin():
            # Requests were made, or the process stood still, since this was decided: a successor
            # may use these machines by now.
            return
        for machine, _reason in chosen:
            machine.being_released = True
        try:
            self.cloud.release([machine.id for machine, _reason in chosen])
        except CloudUnavailableError:
            # It may still be carried out late; until then the machine is used as before.
            for machine, _reason in chosen:
                machine.being_released = False
            raise
        now = monotonic_now()
        for machine, reason in chosen:
            log.info(
                "event=released machine=%s machine_type=%s spot=%s reason=%s tasks=%d",
                machine.id,
                machine.machine_type.name,
                machine.spot,
                reason,
                len(machine.assignments),
            )
            self.term.cluster.remove(machine, now)
            if machine.address:
                self.worker_commands.workers.forget(machine.address)
            self.writer.forget_machine(machine.id)
            self.term.released[machine.id] = None
            if len(self.term.released) > RELEASED_NAMES_KEPT:
                self.term.released.popitem(last=False)
        self.term.scheduling_needed.set()
        self.term.writes_needed.set()

    def _read_machine_types(self) -> None:
        machine_types = self.cloud.machine_types()
        self._machine_types_at = monotonic_now()
        self.term.set_machine_types(machine_types)
        kept = frozenset(machine_type.name for machine_type in machine_types)
        if kept != self._stored_machine_types:
            # Noted only once it is written: other nodes take no job before they know the types.
            catalogue.write(
                self.term.store, self.term.leadership.fencing_conditions(), machine_types
            )
            self._stored_machine_types = kept

    def read_list(self) -> None:
        """Read a page of the cloud's list, and take in what it tells."""
        now = monotonic_now()
        failed = []
        page = self.listing.read_page(now)
        for listed in page.machines:
            name = MachineId(listed.id)
            if name in self.term.released or not self.term.scope.covers(listed.zone):
                continue  # gone, or another shard's, whose leader alone counts and returns it
            machine = self.term.cluster.machines.get(name)
            if machine is None:
                machine = self.term.cluster.add(
                    name,
                    self.term.machine_type(listed.machine_type),
                    Zone(listed.zone),
                    listed.spot,
                    now,
                )
                machine.rented_at = MonotonicTime(now - listed.age_s)
                self._only_listed[name] = 0
                log.info("event=listed-machine machine=%s status=%s", name, listed.status)
            if listed.address and not machine.address:
                machine.address = listed.address
                if machine.recorded and not machine.handshaken:
                    self.worker_commands.schedule_direct_message(machine)
            if listed.status == "failed":
                failed.append((machine, "failed"))
        if failed:
            self.release(failed)
        if page.all_names is not None:
            self._forget_unlisted(page.all_names)

    def _forget_unlisted(self, found: frozenset[MachineId]) -> None:
        """Forget machines that a list has brought, nobody has heard, and lists lack again.

        Found by reading: lists are old, so a new leader took up what its predecessor had returned
        just before, and counted it as booting, for minutes. One list may be older than the one
        before it, so two have to agree.
        """
        for name in list(self._only_listed):
            machine = self.term.cluster.machines.get(name)
            if machine is None or machine.heard_at is not None or machine.recorded:
                del self._only_listed[name]
            elif name in found:
                self._only_listed[name] = 0
            else:
                self._only_listed[name] += 1
                if self._only_listed[name] >= MISSED_LISTS_MAX:
                    del self._only_listed[name]
                    self.term.cluster.remove(machine, monotonic_now())

    def scale_out(self) -> None:
        """Ask for what is short, beyond what is booting."""
        now = monotonic_now()
        booting = [
            m
            for m in self.term.cluster.machines.values()
            if not m.being_released
            and not m.assignments
            and not m.quarantined
            and not m.usable()
            and m.unacknowledged_since is None
            and not m.cordoned
            and m.notice_s is None
        ]
        for plan in planning.plan_scale_out(
            self.scheduler.unplaced,
            booting,
            self.term.machine_types,
            self.capacity_backoff,
            self.term.policy,
            now,
        )[:2]:
            sku, zone, spot = plan.options[0]
            self._requests += 1
            request = RentalRequest(
                self.term.scope.request_name(self.term.number, self._requests),
                sku,
                zone,
                spot,
                min(RENT_MAX, plan.count),
            )
            # The request is recorded first: a successor repeats it under the same name and learns
            # what was rented, instead of renting again.
            self.pending_requests[request.id] = request
            result = self.term.store.txn(
                self.term.leadership.fencing_conditions(),
                [Put(REQUEST_PREFIX + request.id, request)],
            )
            if not result.ok:
                self.term.end(TermEndReason.FENCED)
                return
            self.send_request(request)

    def send_request(self, request: RentalRequest) -> None:
        """Ask the cloud for one recorded request, as often as it takes to get an answer."""
        if not self.term.may_begin():
            return
        option = (request.machine_type, request.zone, request.spot)
        try:
            names = self.cloud.rent(request)
        except NoCapacityError:
            log.info("event=no-capacity machine_type=%s zone=%s spot=%s", *option)
            self.capacity_backoff.refused(option, monotonic_now())
            names = []
        now = monotonic_now()
        if names:
            if len(names) < request.count:
                self.capacity_backoff.refused(option, now)
            else:
                self.capacity_backoff.granted(option)
            log.info(
                "event=rented count=%d requested=%d machine_type=%s zone=%s spot=%s rental=%s",
                len(names),
                request.count,
                *option,
                request.id,
            )
        for name in names:
            machine = self.term.cluster.add(
                name,
                self.term.machine_type(request.machine_type),
                Zone(request.zone),
                request.spot,
                now,
            )
            machine.rented_at = now
            self.writer.record_machine(name)
        self.pending_requests.pop(request.id, None)
        # The records of the machines are wanted before the request is forgotten: writes are made
        # in this order.
        self.writer.remove_key(REQUEST_PREFIX + request.id)
        self.term.writes_needed.set()
