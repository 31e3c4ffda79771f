"""One shard's part of the store: the keys of an undivided fleet, under a prefix of its own.

The records of a leader (lease, term, finishes, machines, rental requests) are written through this
by modules that know nothing of shards. So each shard works as an undivided fleet does: its records
are fenced by its own term, and no shard's leader touches another's keys. Jobs, their final states
and the machine types are under the same keys for all shards: any controller answers for any job,
with as many reads as in an undivided fleet.
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
one record, so that its parts are changed one after the other."""


class ShardStore:
    """The store as one shard's leader sees it; leases have no prefix.

    Each method raises what the same method of `Store` raises.
    """

    def __init__(self, store: Store, shard: ShardName) -> None:
        self._store = store
        self._prefix = f"{SHARD_PREFIX}{shard}/"

    @property
    def limits(self) -> StateLimits:
        """The store's limits, which hold for all shards together."""
        return self._store.limits

    def get(self, key: str) -> Entry | None:
        """Return the entry of one key, or None."""
        entry = self._store.get(self._full_key(key))
        return self._without_prefix(entry) if entry is not None else None

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Return every entry with the prefix, and the revision from which to watch."""
        entries, revision = self._store.listing(self._full_key(prefix))
        return [self._without_prefix(entry) for entry in entries], revision

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key has the given version."""
        result = self._store.txn(
            {self._full_key(key): version for key, version in conditions.items()},
            [self._with_prefix(write) for write in writes],
        )
        failed = frozenset(key.removeprefix(self._prefix) for key in result.failed_keys)
        return TxnResult(result.ok, result.revision, failed)

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait for changes under the prefix."""
        changes = self._store.watch(self._full_key(prefix), since, wait_s)
        return ChangeLog(
            changes.revision, [self._change_without_prefix(change) for change in changes.log]
        )

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""
        return self._store.grant(ttl_s)

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it is gone."""
        self._store.renew(lease, deadline_s)

    def revoke(self, lease: int) -> None:
        """End a lease at once."""
        self._store.revoke(lease)

    def _full_key(self, key: str) -> str:
        return key if key.startswith(SHARED_PREFIXES) else self._prefix + key

    def _without_prefix(self, entry: Entry) -> Entry:
        return msgspec.structs.replace(entry, key=entry.key.removeprefix(self._prefix))

    def _change_without_prefix(self, change: Change) -> Change:
        if change.set is not None:
            return msgspec.structs.replace(change, set=change.set.removeprefix(self._prefix))
        if change.remove is not None:
            return msgspec.structs.replace(change, remove=change.remove.removeprefix(self._prefix))
        return change

    def _with_prefix(self, write: Put | Remove) -> Put | Remove:
        key = self._full_key(write.key)
        return Put(key, write.value, write.lease) if isinstance(write, Put) else Remove(key)
