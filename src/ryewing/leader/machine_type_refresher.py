"""Keeps the machine types of a term, and their copy in the store, as the cloud has them."""

from __future__ import annotations

from ryewing.clients.cloud import Cloud
from ryewing.leader.term_context import TermContext
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.units import MonotonicTime, monotonic_now
from ryewing.wire.cloud import MachineType

REFRESH_EVERY_S = 60.0
"""The seconds between two readings of the cloud's machine types, which bring new prices."""


class MachineTypeRefresher:
    """Reads the cloud's machine types, and writes them to the store when types come or go."""

    def __init__(self, term: TermContext, cloud: Cloud) -> None:
        self._term = term
        self.cloud = cloud
        self._refreshed_at = MonotonicTime(-1e9)
        self._stored_names: frozenset[str] = frozenset()
        """The names of the machine types that are known to be in the store."""

    def load_stored(self) -> list[MachineType]:
        """Return the machine types in the store; none if no leader has written them yet.

        Raise StoreUnavailableError if the store does not answer.
        """
        machine_types = catalogue.read(self._term.store)
        self._stored_names = frozenset(machine_type.name for machine_type in machine_types)
        return machine_types

    def due(self, now: MonotonicTime) -> bool:
        """Return whether the machine types should be read again."""
        return now - self._refreshed_at > REFRESH_EVERY_S

    def refresh(self) -> None:
        """Read the machine types and apply them to the term; store them if their names changed.

        Raise CloudUnavailableError or StoreUnavailableError, after which it is called again.
        """
        machine_types = self.cloud.machine_types()
        self._refreshed_at = monotonic_now()
        self._term.set_machine_types(machine_types)
        names = frozenset(machine_type.name for machine_type in machine_types)
        if names != self._stored_names:
            # Noted only once they are written: other nodes accept no job before they know them.
            catalogue.write(
                self._term.store, self._term.leadership.fencing_conditions(), machine_types
            )
            self._stored_names = names
