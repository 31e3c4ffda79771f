"""How the fleet is divided among terms: into one part, unless an operator asks for shards.

`sharding.division` has the division into shards.
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
    """No shard can be chosen for a new job; the message says why."""


class NoShardError(DivisionError):
    """No single shard could ever run the job: repeating the submission won't help."""


class NotReadyError(DivisionError):
    """No job can be accepted yet: the submission may be repeated."""


class Division(Protocol):
    """The terms among which the fleet is divided."""

    def scopes(self) -> Sequence[TermScope]:
        """Return the scope of each term."""

    def store_for(self, scope: TermScope, store: Store) -> KeyValueStore:
        """Return the part of the store that a term keeps its records in."""

    def choose_shard(
        self,
        spec: JobSpec,
        machine_types: Mapping[str, MachineType],
        loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose a new job's shard; None if the fleet is not divided.

        `loads` has what each shard's leader last said of its load, None without news. Raise
        NoShardError if no shard could ever run the job, NotReadyError if it's too early to choose.
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
