"""What users of the store call, and the result of a transaction."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ryewing.config.settings import StateLimits
from ryewing.units import KeyVersion, Revision
from ryewing.wire.store import ChangeLog, Entry, Put, Remove


class TxnResult:
    """How a transaction ended: it was applied, or the conditions on some keys failed."""

    __slots__ = ("failed_keys", "ok", "revision")

    def __init__(self, ok: bool, revision: Revision, failed_keys: frozenset[str]) -> None:
        self.ok = ok
        self.revision = revision
        self.failed_keys = failed_keys


class KeyValueStore(Protocol):
    """The store as a term uses it: the whole store, or the part of one shard.

    Every method may raise StoreUnavailableError, and switches greenlets while it waits.
    """

    @property
    def limits(self) -> StateLimits:
        """The limits on requests, now and after the announced change."""

    def get(self, key: str) -> Entry | None:
        """Read one key; None if it does not exist."""

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Read every key with the prefix, and the revision from which to watch."""

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key in the conditions has the given version."""

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait up to `wait_s` seconds for changes under the prefix after a revision.

        Raise WatchExpiredError if the revision is too old.
        """

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease that lasts for `ttl_s` seconds unless it is renewed."""

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it does not exist any more."""

    def revoke(self, lease: int) -> None:
        """End a lease at once."""
