"""One shard's part of the state service: the same keys as ever, under a prefix of its own.

What a leader keeps of its own (lease, term, finishes, machines, requests) is written by the modules
that know nothing of shards, through this. So a shard is the undivided design in small: its records
are fenced by its own term, and nothing that one shard's leader does touches another's keys. Jobs,
their final states and the machine types are not a shard's: any controller answers for any job with
the reads that it always took.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ryewing.clients.store import Put, Remove, Store, TxnResult
from ryewing.config.settings import StateLimits
from ryewing.state import machine_type_catalogue as catalogue
from ryewing.state.job_records import FINAL_PREFIX, LIVE_PREFIX
from ryewing.units import KeyVersion, Revision, ShardName
from ryewing.wire.store import Change, ChangeLog, Entry

SHARD_PREFIX = "s/"
ALLOWANCE_PREFIX = "allowance/"
SHARED_PREFIXES = (LIVE_PREFIX, FINAL_PREFIX, catalogue.KEY, ALLOWANCE_PREFIX)
"""Keys that are the same for all shards. A job's record names its shard; a team's allowances are in
one record, so that their parts are changed one after the other."""


class ShardStore:
    """The store as one shard's leader sees it; leases are the store's own."""

    def __init__(self, store: Store, shard: ShardName) -> None:
        self._store = store
        self._prefix = f"{SHARD_PREFIX}{shard}/"

    @property
    def limits(self) -> StateLimits:
        """What may be asked of the store, all shards together."""
        return self._store.limits

    def get(self, key: str) -> Entry | None:
        """Read one key."""
        entry = self._store.get(self._key(key))
        return self._inside(entry) if entry is not None else None

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Read every key with the prefix, and the revision from which to watch."""
        entries, revision = self._store.listing(self._key(prefix))
        return [self._inside(entry) for entry in entries], revision

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key has the given version."""
        result = self._store.txn(
            {self._key(key): version for key, version in conditions.items()},
            [self._outside(write) for write in writes],
        )
        failed = frozenset(key.removeprefix(self._prefix) for key in result.failed)
        return TxnResult(result.ok, result.revision, failed)

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait for changes under the prefix."""
        changes = self._store.watch(self._key(prefix), since, wait_s)
        return ChangeLog(changes.revision, [self._inside_change(change) for change in changes.log])

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""
        return self._store.grant(ttl_s)

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it is gone."""
        self._store.renew(lease, deadline_s)

    def resign(self, lease: int) -> None:
        """End a lease at once."""
        self._store.resign(lease)

    def _key(self, key: str) -> str:
        return key if key.startswith(SHARED_PREFIXES) else self._prefix + key

    def _inside(self, entry: Entry) -> Entry:
        return msgspec.structs.replace(entry, key=entry.key.removeprefix(self._prefix))

    def _inside_change(self, change: Change) -> Change:
        if change.set is not None:
            return msgspec.structs.replace(change, set=change.set.removeprefix(self._prefix))
        if change.remove is not None:
            return msgspec.structs.replace(change, remove=change.remove.removeprefix(self._prefix))
        return change

    def _outside(self, write: Put | Remove) -> Put | Remove:
        key = self._key(write.key)
        return Put(key, write.value, write.lease) if isinstance(write, Put) else Remove(key)
