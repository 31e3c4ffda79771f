"""The machine records that a term keeps in the store (`m/<n>`) for its successors.

A machine is recorded as heard before its first task starts (docs/design.md, safety argument 3).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from gevent.event import Event

from ryewing.clients.store import KeyValueStore
from ryewing.leader.paged_record_writer import PagedRecordWriter
from ryewing.state.cluster_state import ClusterState
from ryewing.state.machine import Machine
from ryewing.state.paged_records import PagedRecords
from ryewing.units import MachineId
from ryewing.wire.cloud import MACHINE_KEYS

MACHINE_PREFIX = "m/"


class MachineRecord(msgspec.Struct, rename=MACHINE_KEYS):
    """The record of one machine, stored in a page `m/<n>`."""

    machine_type: str
    zone: str
    spot: bool = False
    address: str = ""
    heard: bool = False
    """Whether a leader has received a heartbeat of the machine. This is stored before the machine's
    first task starts, so a machine that is not recorded as heard has no tasks."""


class PagedMachine(NamedTuple):
    """A machine recorded in a page, and whether it is recorded as heard."""

    machine: Machine
    heard: bool


class MachineRecordWriter(PagedRecordWriter[PagedMachine]):
    """Owns the machine records, and tracks which of them still have to be written."""

    def __init__(
        self, store: KeyValueStore, value_kb: float, cluster: ClusterState, scheduling_needed: Event
    ) -> None:
        super().__init__(store, PagedRecords(MACHINE_PREFIX, value_kb))
        self._cluster = cluster
        self._scheduling_needed = scheduling_needed
        self.pending: set[MachineId] = set()
        """Machines whose record is new or changed, and not written yet."""

    def forget(self, machine: MachineId) -> None:
        """Remove the record of a machine that no longer exists."""
        self.pending.discard(machine)
        self.pages.drop(machine)

    def update_pages(self) -> dict[int, list[PagedMachine]]:
        """Update the pages with the pending records; return their machines by page number."""
        by_page: dict[int, list[PagedMachine]] = {}
        for machine_id in list(self.pending):
            machine = self._cluster.machines.get(machine_id)
            if machine is None:
                self.pending.discard(machine_id)
                continue
            # A record keeps `heard` once it is set. Otherwise, a successor that repeated a rental
            # request recorded machines as never heard although its predecessor had heard them.
            heard = machine.heard_at is not None or machine.recorded
            record = MachineRecord(
                machine.machine_type.name, machine.zone, machine.spot, machine.address, heard
            )
            number = self.pages.put(machine_id, record)
            by_page.setdefault(number, []).append(PagedMachine(machine, heard))
        return by_page

    def on_written(self, records: Sequence[PagedMachine]) -> None:
        """Let tasks start on machines that are now recorded as heard."""
        for machine, heard in records:
            if heard or machine.heard_at is None:
                self.pending.discard(machine.id)
            machine.recorded = machine.recorded or heard
        self._scheduling_needed.set()
