"""Keeps a term's machine types, and their copy in the store, in line with the cloud."""

from __future__ import annotations

from ryewing.clients.cloud import Cloud
from ryewing.leader.term_context import TermContext
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.units import MonotonicTime, monotonic_now
from ryewing.wire.cloud import MachineType

REFRESH_INTERVAL_S = 60.0
"""The interval at which the machine types are read again, to get new prices."""


class MachineTypeRefresher:
    """Reads the cloud's machine types, and stores them when types were added or removed."""

    def __init__(self, term: TermContext, cloud: Cloud) -> None:
        self._term = term
        self.cloud = cloud
        self._refreshed_at = MonotonicTime(-1e9)
        self._stored_names: frozenset[str] = frozenset()
        """The names of the machine types that are in the store, as far as known."""

    def load_stored(self) -> list[MachineType]:
        """Return the machine types in the store; none if no leader has stored them yet.

        Raise StoreUnavailableError if the store does not answer.
        """
        machine_types = catalogue.read(self._term.store)
        self._stored_names = frozenset(machine_type.name for machine_type in machine_types)
        return machine_types

    def due(self, now: MonotonicTime) -> bool:
        """Return whether the machine types should be read again."""
        return now - self._refreshed_at > REFRESH_INTERVAL_S

    def refresh(self) -> None:
        """Read the machine types and apply them to the term; store them if their names changed.

        Raise CloudUnavailableError or StoreUnavailableError; the caller retries later.
        """
        machine_types = self.cloud.machine_types()
        self._refreshed_at = monotonic_now()
        self._term.set_machine_types(machine_types)
        names = frozenset(machine_type.name for machine_type in machine_types)
        if names != self._stored_names:
            # `_stored_names` is set only after a successful write, so that a failed one is retried.
            # Other nodes accept no jobs until they can read the machine types.
            catalogue.write(
                self._term.store, self._term.leadership.fencing_conditions(), machine_types
            )
            self._stored_names = names
