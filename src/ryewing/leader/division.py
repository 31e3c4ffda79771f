"""The division of the fleet among terms; by default one term leads the whole fleet.

`sharding.division` implements the division into shards.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from ryewing.clients.peers import ShardLoadAnswer
from ryewing.clients.store import KeyValueStore, Store
from ryewing.leader.scope import WHOLE_FLEET, TermScope
from ryewing.units import ShardName
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec


class DivisionError(Exception):
    """No shard can be chosen for a new job; the message gives the reason."""


class NoShardError(DivisionError):
    """No single shard could ever run the job, so retrying the submission won't help."""


class NotReadyError(DivisionError):
    """No job can be accepted yet; the submission may be retried."""


class Division(Protocol):
    """The division of the fleet into the scopes of its terms."""

    def scopes(self) -> Sequence[TermScope]:
        """Return the scope of each term."""

    def store_for(self, scope: TermScope, store: Store) -> KeyValueStore:
        """Return the part of the store in which a term keeps its records."""

    def choose_shard(
        self,
        spec: JobSpec,
        machine_types: Mapping[str, MachineType],
        loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose a new job's shard; None if the fleet is not divided.

        `loads` has the last known load of each shard, None if unknown. Raise NoShardError if no
        shard could ever run the job, and NotReadyError if no shard can be chosen yet.
        """


class WholeFleet:
    """No division: one term leads all machines and jobs."""

    def scopes(self) -> Sequence[TermScope]:
        """Return the one scope."""
        return [WHOLE_FLEET]

    def store_for(self, _scope: TermScope, store: Store) -> KeyValueStore:
        """Return the store itself."""
        return store

    def choose_shard(
        self,
        _spec: JobSpec,
        _machine_types: Mapping[str, MachineType],
        _loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Return None: there is no shard."""
        return None
