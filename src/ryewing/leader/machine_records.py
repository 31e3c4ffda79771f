"""The machine records that a term keeps in the store (`m/<n>`), for its successors.

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
    """One machine, in a value of `m/<n>`."""

    machine_type: str
    zone: str
    spot: bool = False
    address: str = ""
    heard: bool = False
    """Written before the machine's first task: without it, the machine can't have any."""


class PagedMachine(NamedTuple):
    """A machine whose record is in a page, and whether that record says that it was heard."""

    machine: Machine
    heard: bool


class MachineRecordWriter(PagedRecordWriter[PagedMachine]):
    """Owns the machine records, and which of them the store lacks."""

    def __init__(
        self, store: KeyValueStore, value_kb: float, cluster: ClusterState, scheduling_needed: Event
    ) -> None:
        super().__init__(store, PagedRecords(MACHINE_PREFIX, value_kb))
        self._cluster = cluster
        self._scheduling_needed = scheduling_needed
        self.pending: set[MachineId] = set()
        """Machines to be recorded, or to be recorded anew."""

    def forget(self, machine: MachineId) -> None:
        """Remove the record of a machine that is gone."""
        self.pending.discard(machine)
        self.pages.drop(machine)

    def update_pages(self) -> dict[int, list[PagedMachine]]:
        """Bring the pages up to date; return the wanted machines by the number of their page."""
        by_page: dict[int, list[PagedMachine]] = {}
        for name in list(self.pending):
            machine = self._cluster.machines.get(name)
            if machine is None:
                self.pending.discard(name)
                continue
            # Once written, it stays: found when a successor repeated a request whose machines had
            # been heard by its predecessor, and wrote that they never were.
            heard = machine.heard_at is not None or machine.recorded
            record = MachineRecord(
                machine.machine_type.name, machine.zone, machine.spot, machine.address, heard
            )
            number = self.pages.put(name, record)
            by_page.setdefault(number, []).append(PagedMachine(machine, heard))
        return by_page

    def on_written(self, records: Sequence[PagedMachine]) -> None:
        """Let tasks start on the machines that are recorded as heard now."""
        for machine, heard in records:
            if heard or machine.heard_at is None:
                self.pending.discard(machine.id)
            machine.recorded = machine.recorded or heard
        self._scheduling_needed.set()
