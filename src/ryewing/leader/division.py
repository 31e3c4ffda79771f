"""How the fleet is divided among terms; undivided unless an operator asks for shards."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from ryewing.clients.peers import ShardLoadAnswer
from ryewing.clients.store import KeyValueStore, Store
from ryewing.leader.scope import WHOLE_FLEET, TermScope
from ryewing.units import ShardName
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec


class NoShardError(Exception):
    """No single shard could ever run a job; the message says why."""


class NotReadyError(Exception):
    """Jobs can't be taken yet; the message says why."""


class Division(Protocol):
    """The terms among which the fleet is divided."""

    def scopes(self) -> Sequence[TermScope]:
        """Give the terms' scopes."""

    def store_for(self, scope: TermScope, store: Store) -> KeyValueStore:
        """Give the part of the store that a term keeps its records in."""

    def choose(
        self,
        spec: JobSpec,
        machine_types: Mapping[str, MachineType],
        loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose a new job's shard; raise NoShardError if none could ever run it, or
        NotReadyError."""


class WholeFleet:
    """No division: one term leads everything."""

    def scopes(self) -> Sequence[TermScope]:
        """Give the one scope."""
        return [WHOLE_FLEET]

    def store_for(self, _scope: TermScope, store: Store) -> KeyValueStore:
        """Give the store itself."""
        return store

    def choose(
        self,
        _spec: JobSpec,
        _machine_types: Mapping[str, MachineType],
        _loads: Mapping[ShardName, ShardLoadAnswer | None],
    ) -> ShardName | None:
        """Choose nothing: there is no shard."""
        return None
