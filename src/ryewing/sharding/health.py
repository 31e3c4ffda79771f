"""Controller health: each controller keeps a health key in the store, attached to its own lease.

Silence between two controllers does not show a failure, because they may only be disconnected from
each other. An expired lease shows that the controller could not reach the store, or was paused, for
the duration of the lease.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ryewing.clients.store import LeaseLostError, Put, Store, StoreUnavailableError
from ryewing.units import MonotonicTime, NodeName, monotonic_now
from ryewing.wire.store import Entry

NODE_PREFIX = "shards/node/"
RENEWALS_PER_LEASE = 3
"""How many times the lease is renewed within its duration."""
NEVER = MonotonicTime(-1e9)


class NodeRecord(msgspec.Struct, frozen=True, rename={"boot_id": "boot"}):
    """The value of a controller's health key."""

    boot_id: str


class ControllerHealth:
    """The health key of this controller; only the coordinator's greenlet uses it."""

    def __init__(self, store: Store, node: NodeName, boot_id: str, lease_s: float) -> None:
        self._store = store
        self._node = node
        self._boot_id = boot_id
        self._lease_s = lease_s
        self._lease: int | None = None
        self._renewed_at = NEVER

    def renew_if_due(self) -> None:
        """Renew the lease if that is due; if it is lost, write the key again on a new lease.

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

    def discard_lease(self) -> None:
        """Drop the lease since its key is missing; the next `renew_if_due` writes the key again."""
        self._lease = None


def healthy_nodes(entries: Iterable[Entry]) -> set[NodeName]:
    """Return the controllers whose health keys are among the entries."""
    return {
        NodeName(entry.key.removeprefix(NODE_PREFIX))
        for entry in entries
        if entry.key.startswith(NODE_PREFIX)
    }
