"""Accesses to the store that users' requests cause: bounded, and charged to the users' share."""

from __future__ import annotations

from ryewing.api.controller import Controller
from ryewing.api.responses import RefusedError, unavailable
from ryewing.clients.store import Put, TxnResult
from ryewing.units import KeyVersion
from ryewing.wire.store import Entry

MAX_STORE_READS_IN_FLIGHT = 24
"""Reads for users that may wait for the store at any time."""


class StoreAccess:
    """Reads and writes the store on behalf of users.

    The caller has had the request admitted by the `UserRequestLimiter`; here each access is only
    charged. All methods may raise StoreUnavailableError, and switch greenlets.
    """

    def __init__(self, node: Controller) -> None:
        self._node = node
        self.reads_in_flight = 0
        """Reads that wait for the store."""

    def read(self, key: str) -> Entry | None:
        """Read one key; respond with 503 if too many reads are in flight."""
        if self.reads_in_flight >= MAX_STORE_READS_IN_FLIGHT:
            raise RefusedError(unavailable(self._node.policy, "too many requests at once"))
        self.reads_in_flight += 1
        self._node.user_limiter.charge()
        try:
            return self._node.store.get(key)
        finally:
            self.reads_in_flight -= 1

    def txn(self, conditions: dict[str, KeyVersion], writes: list[Put]) -> TxnResult:
        """Apply the writes if every key in the conditions has the given version."""
        self._node.user_limiter.charge()
        return self._node.store.txn(conditions, writes)
