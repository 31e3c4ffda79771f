"""Writes paged records: many small records stored in few values."""

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
    """Creates the writes of one kind of paged records; a subclass handles their completion."""

    def __init__(self, store: KeyValueStore, pages: PagedRecords) -> None:
        self.store = store
        self.pages = pages

    @abstractmethod
    def on_written(self, records: Sequence[RecordT]) -> None:
        """Handle the successful write of these records of a page."""

    def writes(self, records_by_page: Mapping[int, Sequence[RecordT]], ops_max: int) -> list[Write]:
        """Return the writes of those pages, given by number, whose changes are not stored yet.

        The records of the other pages are stored already: they did not change, or were written
        along with another page.
        """
        writes: list[Write] = []
        for number, records in records_by_page.items():
            if self.pages.is_dirty(number):
                writes.append(PageWrite(self, number, records, ops_max))
            else:
                self.on_written(records)
        return writes

    def removals(self, pages_with_records: Container[int], ops_max: int) -> list[Write]:
        """Return the writes of the other changed pages, from which records were removed."""
        numbers = [
            number for number in self.pages.dirty_pages() if number not in pages_with_records
        ]
        return [PageWrite(self, number, None, ops_max) for number in numbers]


class PageWrite(Write, Generic[RecordT]):
    """The write of one page, together with the pages that must be written before it.

    If those fill the transaction, the page itself is written later.
    """

    __slots__ = ("_number", "_records", "_transaction", "_writer")

    def __init__(
        self,
        writer: PagedRecordWriter[RecordT],
        number: int,
        records: Sequence[RecordT] | None,
        ops_max: int,
    ) -> None:
        transaction: PageTransaction = writer.pages.next_transaction(number, ops_max, TXN_BYTES)
        super().__init__(
            writer.pages.key(number),
            transaction.ops,
            transaction.conditions,
            transaction.size_bytes,
        )
        self._writer = writer
        self._number = number
        self._records = records
        """The records to report as written; None if nothing waits for this write."""
        self._transaction = transaction

    def on_applied(self, revision: Revision) -> None:
        """Record the new versions of the pages, and report the records that are stored now."""
        self._writer.pages.record_applied(self._transaction, revision)
        if self._records is not None and self._number in self._transaction.modifications:
            self._writer.on_written(self._records)

    def on_conflict(self, key: str) -> None:
        """Read the page's current version from the store."""
        self._writer.pages.record_conflict(key, self._writer.store.get(key))

    def on_rejected(self) -> bool:
        """Shrink the pages, and return whether a retry may succeed."""
        return self._writer.pages.shrink_pages(self._transaction)
