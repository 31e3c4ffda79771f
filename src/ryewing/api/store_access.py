"""Store access for users' requests, limited in number and charged to the users' rate share."""

from __future__ import annotations

from ryewing.api.controller import Controller
from ryewing.api.responses import RefusedError, unavailable
from ryewing.clients.store import Put, TxnResult
from ryewing.units import KeyVersion
from ryewing.wire.store import Entry

MAX_STORE_READS_IN_FLIGHT = 24
"""Maximum number of concurrent reads for users."""


class StoreAccess:
    """Reads and writes the store on behalf of users.

    Callers have the request admitted by the `UserRequestLimiter` first; each access is only charged
    here. All methods may raise StoreUnavailableError, and switch greenlets.
    """

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self.reads_in_flight = 0
        """Reads that wait for a response of the store."""

    def read(self, key: str) -> Entry | None:
        """Read one key; raise RefusedError with a 503 if too many reads are in flight."""
        if self.reads_in_flight >= MAX_STORE_READS_IN_FLIGHT:
            raise RefusedError(unavailable(self._controller.policy, "too many requests at once"))
        self.reads_in_flight += 1
        self._controller.user_limiter.charge()
        try:
            return self._controller.store.get(key)
        finally:
            self.reads_in_flight -= 1

    def txn(self, conditions: dict[str, KeyVersion], writes: list[Put]) -> TxnResult:
        """Apply the writes if every key in the conditions has the given version."""
        self._controller.user_limiter.charge()
        return self._controller.store.txn(conditions, writes)
