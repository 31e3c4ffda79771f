"""Which controllers are healthy: each keeps a key in the store, on a lease of its own.

A controller that is silent to another one may be cut off from that one alone; whose lease has ended
has been out of the store's reach, or has stood still, for as long as the lease lasts.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ryewing.clients.store import LeaseLostError, Put, Store, StoreUnavailableError
from ryewing.units import MonotonicTime, NodeName, monotonic_now
from ryewing.wire.store import Entry

NODE_PREFIX = "shards/node/"
RENEWALS_PER_LEASE = 3


class NodeRecord(msgspec.Struct, frozen=True, rename={"boot_id": "boot"}):
    """The value of a controller's key."""

    boot_id: str


class ControllerHealth:
    """This controller's key, and the reading of all of them."""

    def __init__(self, store: Store, node: NodeName, boot_id: str, lease_s: float) -> None:
        self._store = store
        self._node = node
        self._boot_id = boot_id
        self._lease_s = lease_s
        self._lease: int | None = None
        self._renewed_at = MonotonicTime(-1e9)

    def keep(self) -> None:
        """Keep this controller's key; raise StoreUnavailableError if that is not possible now."""
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
        """The key is not there: it is set anew the next time."""
        self._lease = None


def healthy_nodes(entries: Iterable[Entry]) -> set[NodeName]:
    """Name the controllers whose keys are there."""
    return {
        NodeName(entry.key.removeprefix(NODE_PREFIX))
        for entry in entries
        if entry.key.startswith(NODE_PREFIX)
    }
