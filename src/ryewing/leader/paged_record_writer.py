"""Writes of paged records: many small records in few values of the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Container, Mapping, Sequence
from typing import Generic, TypeVar

from ryewing.clients.store import KeyValueStore
from ryewing.leader.write import TXN_BYTES, Write
from ryewing.state.paged_records import PagedRecords, PageTransaction
from ryewing.units import Revision

RecordT = TypeVar("RecordT")


class PagedRecordWriter(ABC, Generic[RecordT]):
    """Names the writes of one kind of paged records; a subclass says what follows from them."""

    def __init__(self, store: KeyValueStore, pages: PagedRecords) -> None:
        self.store = store
        self.pages = pages

    @abstractmethod
    def on_written(self, records: Sequence[RecordT]) -> None:
        """Act on the records of a page being in the store."""

    def writes(self, wanted: Mapping[int, Sequence[RecordT]], ops_max: int) -> list[Write]:
        """Return the writes of pages, by their number, that the store lacks.

        The others are in the store already: it has them like this, or the change of another page
        brought them along.
        """
        writes: list[Write] = []
        for number, records in wanted.items():
            if self.pages.is_dirty(number):
                writes.append(PageWrite(self, number, records, ops_max))
            else:
                self.on_written(records)
        return writes

    def removals(self, wanted: Container[int], ops_max: int) -> list[Write]:
        """Return the writes of changed pages without wanted records: records were dropped there."""
        numbers = [number for number in self.pages.dirty_pages() if number not in wanted]
        return [PageWrite(self, number, None, ops_max) for number in numbers]


class PageWrite(Write, Generic[RecordT]):
    """The write of one page, together with the pages that must be written before it.

    If those fill the transaction, the page itself comes with a later write.
    """

    __slots__ = ("_change", "_number", "_records", "_writer")

    def __init__(
        self,
        writer: PagedRecordWriter[RecordT],
        number: int,
        records: Sequence[RecordT] | None,
        ops_max: int,
    ) -> None:
        change: PageTransaction = writer.pages.next_transaction(number, ops_max, TXN_BYTES)
        super().__init__(writer.pages.key(number), change.ops, change.conditions, change.size_bytes)
        self._writer = writer
        self._number = number
        self._records = records
        """The records whose writing is waited for; None if nothing waits for this write."""
        self._change = change

    def on_applied(self, revision: Revision) -> None:
        """Note the new versions of the pages, and which records are in the store now."""
        self._writer.pages.record_applied(self._change, revision)
        if self._records is not None and self._number in self._change.modifications:
            self._writer.on_written(self._records)

    def on_conflict(self, key: str) -> None:
        """Take note of the version that the store has of a page."""
        self._writer.pages.record_conflict(key, self._writer.store.get(key))

    def on_refused(self) -> bool:
        """Make the pages smaller, if that can help."""
        return self._writer.pages.shrink_pages(self._change)
