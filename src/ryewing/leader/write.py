"""Pending writes to the store, and the selection of those that fit into one transaction."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence

from ryewing.clients.store import Put, Remove
from ryewing.units import KeyVersion, Revision

TXN_BYTES = 48 * 1024
"""The bound on the size of one transaction, below the 64 KiB that the store accepts in total."""
SMALL_WRITE_BYTES = 256
"""The size at which a change of one small key is counted towards `TXN_BYTES`."""


class Write(ABC):
    """One pending write: its changes, their conditions, and the handling of its outcome."""

    __slots__ = ("conditions", "key", "ops", "size")

    def __init__(
        self,
        key: str,
        ops: Sequence[Put | Remove],
        conditions: dict[str, KeyVersion],
        size: int = SMALL_WRITE_BYTES,
    ) -> None:
        self.key = key
        """Identifies this write among all pending ones."""
        self.ops = ops
        self.conditions = conditions
        """By key, the version that it must have for the changes to be applied."""
        self.size = size
        """The bytes that this write adds to a transaction."""

    @abstractmethod
    def on_applied(self, revision: Revision) -> None:
        """Handle the successful write of the changes, at this revision of the store."""

    @abstractmethod
    def on_conflict(self, key: str) -> None:
        """Handle a key that has another version than expected; may read the store.

        Raise StoreUnavailableError if the store can't be read.
        """

    def on_rejected(self) -> bool:
        """Handle the rejection of this write by the store; return True to retry it at once."""
        return False


class KeyRemoval(Write):
    """Removes a key that is no longer needed, and then its entry in the pending removals."""

    __slots__ = ("_pending",)

    def __init__(self, key: str, pending: OrderedDict[str, None]) -> None:
        super().__init__(key, [Remove(key)], {})
        self._pending = pending

    def on_applied(self, revision: Revision) -> None:  # noqa: ARG002  as `Write` has it
        """Remove the key from the pending removals."""
        self._pending.pop(self.key, None)

    def on_conflict(self, key: str) -> None:
        """Do nothing: a removal has no conditions."""


def select_writes(pending: Sequence[Write], ops_max: int) -> list[Write]:
    """Select writes for one transaction, in order, until it is full; at least one.

    No key is written twice: a write is skipped if a selected one already includes one of its keys.
    """
    selected: list[Write] = []
    keys: set[str] = set()
    ops = size = 0
    for write in pending:
        if write.conditions.keys() & keys:
            continue
        ops += len(write.ops)
        size += write.size
        if selected and (ops > ops_max or size > TXN_BYTES):
            break
        selected.append(write)
        keys |= write.conditions.keys()
    return selected
