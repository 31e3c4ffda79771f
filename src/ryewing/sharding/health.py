"""Which controllers are healthy: each keeps a key in the store, on a lease of its own.

A controller that is silent towards another one may be cut off from that one alone; one whose lease
has expired has not reached the store, or has stood still, for as long as the lease lasts.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ryewing.clients.store import LeaseLostError, Put, Store, StoreUnavailableError
from ryewing.units import MonotonicTime, NodeName, monotonic_now
from ryewing.wire.store import Entry

NODE_PREFIX = "shards/node/"
RENEWALS_PER_LEASE = 3
"""How many times the lease is renewed in the time that it lasts."""
NEVER = MonotonicTime(-1e9)


class NodeRecord(msgspec.Struct, frozen=True, rename={"boot_id": "boot"}):
    """The value of a controller's key."""

    boot_id: str


class ControllerHealth:
    """The health key of this controller; used by the coordinator's greenlet alone."""

    def __init__(self, store: Store, node: NodeName, boot_id: str, lease_s: float) -> None:
        self._store = store
        self._node = node
        self._boot_id = boot_id
        self._lease_s = lease_s
        self._lease: int | None = None
        self._renewed_at = NEVER

    def renew_if_due(self) -> None:
        """Renew the lease if that is due; set the key anew, on a new lease, if it is lost.

        Raises StoreUnavailableError if the store does not answer.
        """
        now = monotonic_now()
        if self._lease is not None:
            if now - self._renewed_at < self._lease_s / RENEWALS_PER_LEASE:
                return
            try:
                self._store.renew(self._lease, self._lease_s / RENEWALS_PER_LEASE)
                self._renewed_at = now
                return
            except LeaseLostError:
                self._lease = None
        lease = self._store.grant(self._lease_s)
        record = NodeRecord(self._boot_id)
        try:
            self._store.txn({}, [Put(NODE_PREFIX + self._node, record, lease)])
        except LeaseLostError as error:
            raise StoreUnavailableError(str(error)) from None
        self._lease = lease
        self._renewed_at = now

    def forget(self) -> None:
        """Give up the lease, since the key is missing: the next `renew_if_due` sets it again."""
        self._lease = None


def healthy_nodes(entries: Iterable[Entry]) -> set[NodeName]:
    """Return the controllers whose keys are among the entries."""
    return {
        NodeName(entry.key.removeprefix(NODE_PREFIX))
        for entry in entries
        if entry.key.startswith(NODE_PREFIX)
    }
