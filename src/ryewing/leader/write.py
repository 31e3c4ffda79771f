"""Wanted changes of the store, and how many of them one transaction carries."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence

from ryewing.clients.store import Put, Remove
from ryewing.units import KeyVersion, Revision

TXN_BYTES = 48 * 1024
"""How many bytes one transaction may carry: below the 64 KiB that the store takes in all."""
SMALL_WRITE_BYTES = 256
"""What a change of a single small key counts towards `TXN_BYTES`."""


class Write(ABC):
    """One wanted change of the store: on which versions, and what follows from its outcome."""

    __slots__ = ("conditions", "key", "ops", "size")

    def __init__(
        self,
        key: str,
        ops: Sequence[Put | Remove],
        conditions: dict[str, KeyVersion],
        size: int = SMALL_WRITE_BYTES,
    ) -> None:
        self.key = key
        """Identifies the change among all that are wanted."""
        self.ops = ops
        self.conditions = conditions
        """The versions that the keys must have for the change to be applied."""
        self.size = size
        """Bytes in a transaction."""

    @abstractmethod
    def on_applied(self, revision: Revision) -> None:
        """Act on the change being in the store, since this revision."""

    @abstractmethod
    def on_conflict(self, key: str) -> None:
        """Act on a key being found to have another version; may read the store.

        Raise StoreUnavailableError if the store can't be read.
        """

    def on_refused(self) -> bool:
        """Act on the store not taking the change; return True if it is to be tried again."""
        return False


class KeyRemoval(Write):
    """Removes a key that nobody needs any more, and then forgets that this was wanted."""

    __slots__ = ("_wanted",)

    def __init__(self, key: str, wanted: OrderedDict[str, None]) -> None:
        super().__init__(key, [Remove(key)], {})
        self._wanted = wanted

    def on_applied(self, revision: Revision) -> None:  # noqa: ARG002  as `Write` has it
        """Take the key out of the wanted removals."""
        self._wanted.pop(self.key, None)

    def on_conflict(self, key: str) -> None:
        """Do nothing: a removal has no conditions."""


def choose_writes(wanted: Sequence[Write], ops_max: int) -> list[Write]:
    """Choose the writes, from the first one on, that one transaction carries; at least one.

    No key is written twice: a change that another chosen one already brings along is left out.
    """
    chosen: list[Write] = []
    keys: set[str] = set()
    ops = size = 0
    for write in wanted:
        if write.conditions.keys() & keys:
            continue
        ops += len(write.ops)
        size += write.size
        if chosen and (ops > ops_max or size > TXN_BYTES):
            break
        chosen.append(write)
        keys |= write.conditions.keys()
    return chosen
