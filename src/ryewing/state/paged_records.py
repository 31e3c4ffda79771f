"""Packs many small records into few values of the store, called pages.

The store limits the rate of changes, not of bytes. With one key per machine or job, a start of
hundreds of machines used the whole write rate for many seconds.

Every write is conditional on the version of the page that it replaces. Otherwise a write that got
no answer and is applied late would undo later writes. For the same reason a page is never removed
during a term: it is emptied, so that its key keeps a version (safety argument 3 in
docs/design.md).

A record stays in the page that it was first put into, with one exception: some records of a page
that exceeds the store's value size (it was written under larger limits, or has grown) are moved to
other pages. The other pages are written first, or in the same transaction, so a crash in between
can duplicate a record but can't lose it. A reader that finds a record twice merges both copies
(the union of the finished tasks; a machine has sent a heartbeat if either copy says so). It
therefore does not matter which copy an earlier version of this program has updated.

Nothing in this module blocks: the caller gets the transactions to write, executes them, and reports
the results.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from ryewing.clients.store import Put, decode_stored
from ryewing.units import KeyVersion, Revision
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

FILL_FACTOR = 0.6
"""The share of a page that new records may fill. The rest is reserved for growth of its records."""
MAX_FILL_FACTOR = 0.95
"""The share of a page that all its records may fill. It is below 1 because the size that the store
counts may be slightly larger than the size calculated here."""
MIN_PAGE_BYTES = 512
"""The lower bound to which `PagedRecords.shrink_pages` reduces the page size."""


class PageTransaction:
    """A transaction that writes one or more dirty pages."""

    __slots__ = ("conditions", "modifications", "ops", "record_names", "size_bytes")

    def __init__(self) -> None:
        self.ops: list[Put] = []
        self.conditions: dict[str, KeyVersion] = {}
        """The key versions that the pages must have for the transaction to be applied."""
        self.modifications: dict[int, int] = {}
        """By page number: the latest modification of the page that the transaction contains."""
        self.record_names: dict[int, list[str]] = {}
        """By page number: the names of the records that the transaction contains."""
        self.size_bytes = 0
        """The approximate size of its keys and values in bytes."""


class LoadedRecords(NamedTuple):
    """The result of `PagedRecords.load`."""

    records: list[tuple[str, msgspec.Raw]]
    """All records with their names, in the order in which their pages were written."""
    duplicated: set[str]
    """The names of records that were in two pages. The caller has to merge the copies and put them
    again."""


class _Page:
    """A page: its current records, and its last known state in the store."""

    __slots__ = (
        "key_version",
        "records",
        "size",
        "stored_modification",
        "stored_names",
        "written_after",
    )

    def __init__(self) -> None:
        self.records: dict[str, msgspec.Raw] = {}
        self.size = 0
        """The approximate size of the records in bytes."""
        self.key_version = KeyVersion(0)
        self.stored_names: frozenset[str] = frozenset()
        """The names of the records that the page has in the store."""
        self.stored_modification = 0
        """The latest modification of the page that is in the store."""
        self.written_after: dict[int, int] = {}
        """By number: the pages that have to be written before this one, each with the required
        modification. Their numbers are higher than that of this page, so there are no cycles."""


class PagedRecords:
    """Records by name, stored in pages whose keys are `<prefix><number>`."""

    def __init__(self, prefix: str, value_kb: float) -> None:
        self._prefix = prefix
        self._page_bytes = value_kb * 1024
        self._pages: dict[int, _Page] = {}
        self._page_of: dict[str, int] = {}
        """By record name: the number of the record's page."""
        self._modified: dict[int, int] = {}
        """By number: the pages that have to be written, each with its latest modification."""
        self._modifications = 0
        """A counter over all pages, which gives every modification a unique number."""

    # -- records ----------------------------------------------------------------------------

    def load(self, entries: Iterable[Entry]) -> LoadedRecords:
        """Replace all records by those of the store, after a failover.

        Call this again with all entries if reading them failed before the end.
        """
        self._pages.clear()
        self._page_of.clear()
        self._modified.clear()
        loaded = LoadedRecords([], set())
        for entry in sorted(entries, key=lambda entry: entry.key_version):
            if not entry.key[len(self._prefix) :].isdecimal():
                log.error("event=unreadable key=%s error=no number", entry.key)
                continue
            number = int(entry.key[len(self._prefix) :])
            self._load_page(number, entry, loaded)
        for number in sorted(self._pages):
            self._spill(number)
        return loaded

    def _load_page(self, number: int, entry: Entry, loaded: LoadedRecords) -> None:
        """Load one page. Of a record in two pages, only the page of higher number keeps a copy."""
        records = {name: msgspec.Raw(bytes(record)) for name, record in _records(entry).items()}
        loaded.records.extend(records.items())
        page = self._pages.setdefault(number, _Page())
        page.records = records
        page.size = sum(_record_size(name, record) for name, record in records.items())
        page.key_version = KeyVersion(entry.key_version)
        page.stored_names = frozenset(records)
        for name in list(records):
            other = self._page_of.get(name)
            if other is None:
                self._page_of[name] = number
                continue
            loaded.duplicated.add(name)
            low, high = sorted((number, other))
            self._page_of[name] = high
            self._remove(low, name)
            self._mark_modified(low)
            self._mark_modified(high)
            self._write_after(low, high)

    def put(self, name: str, record: object) -> int:
        """Add or replace a record; return the number of its page.

        The page does not become dirty if the record is unchanged.
        """
        data = msgspec.json.encode(record)
        number = self._page_of.get(name)
        if number is None:
            number = self._page_with_space(_record_size(name, data))
            self._page_of[name] = number
        else:
            if bytes(self._pages[number].records[name]) == data:
                return number
            self._pages[number].size -= _record_size(name, self._pages[number].records[name])
        page = self._pages[number]
        page.size += _record_size(name, data)
        page.records[name] = msgspec.Raw(data)
        self._mark_modified(number)
        self._spill(number)
        return self._page_of[name]

    def drop(self, name: str) -> None:
        """Remove a record if it exists."""
        number = self._page_of.pop(name, None)
        if number is not None:
            self._remove(number, name)
            self._mark_modified(number)

    def _remove(self, number: int, name: str) -> msgspec.Raw:
        """Remove a record from a page and return it."""
        page = self._pages[number]
        record = page.records.pop(name)
        page.size -= _record_size(name, record)
        return record

    # -- page sizes -------------------------------------------------------------------------

    def _page_with_space(self, size: int, above: int = -1) -> int:
        """Return the first page above number `above` with space for a record, or a new page."""
        for number, page in self._pages.items():
            if number > above and page.size + size <= FILL_FACTOR * self._page_bytes:
                return number
        number = max(self._pages, default=-1) + 1
        self._pages[number] = _Page()
        return number

    def _spill(self, number: int) -> None:
        """Move records of a page that is too large to pages of higher numbers, the last first."""
        page = self._pages[number]
        if page.size <= MAX_FILL_FACTOR * self._page_bytes:
            return
        for name in list(page.records)[:0:-1]:
            if page.size <= FILL_FACTOR * self._page_bytes:
                break
            size = _record_size(name, page.records[name])
            other = self._page_with_space(size, number)
            self._pages[other].records[name] = self._remove(number, name)
            self._pages[other].size += size
            self._page_of[name] = other
            self._mark_modified(number)
            self._mark_modified(other)
            if name in page.stored_names:
                self._write_after(number, other)

    def shrink_pages(self, transaction: PageTransaction) -> bool:
        """Reduce the page size after a rejected transaction; return False if that can't help."""
        largest = max((self._pages[number].size for number in transaction.modifications), default=0)
        if largest <= MIN_PAGE_BYTES or all(
            len(self._pages[number].records) < 2 for number in transaction.modifications
        ):
            return False
        self._page_bytes = max(MIN_PAGE_BYTES, min(self._page_bytes, largest) / 2)
        for number in sorted(self._pages):
            self._spill(number)
        return True

    # -- dirty pages ------------------------------------------------------------------------

    def _mark_modified(self, number: int) -> None:
        """Record that a page was modified and has to be written."""
        self._modifications += 1
        self._modified[number] = self._modifications

    def _write_after(self, number: int, other: int) -> None:
        """Require the current modification of another page to be written before a page."""
        self._pages[number].written_after[other] = self._modified[other]

    def dirty_pages(self) -> Iterator[int]:
        """Yield the numbers of the pages that have to be written."""
        yield from self._modified

    def is_dirty(self, number: int) -> bool:
        """Return whether a page has to be written."""
        return number in self._modified

    def key(self, number: int) -> str:
        """Return the key of a page."""
        return f"{self._prefix}{number}"

    def next_transaction(self, number: int, ops_max: int, bytes_max: int) -> PageTransaction:
        """Return a transaction that writes a page and the pages that have to be written before it.

        If they don't all fit into one transaction, the returned one contains only the first of
        them.
        """
        required: dict[int, None] = {}
        self._add_required(number, required)
        transaction = PageTransaction()
        for page_number in required:
            page = self._pages[page_number]
            size = page.size + len(self.key(page_number))
            if transaction.ops and (
                len(transaction.ops) >= ops_max or transaction.size_bytes + size > bytes_max
            ):
                break
            transaction.ops.append(Put(self.key(page_number), dict(page.records)))
            transaction.conditions[self.key(page_number)] = page.key_version
            transaction.modifications[page_number] = self._modified.get(page_number, 0)
            transaction.record_names[page_number] = list(page.records)
            transaction.size_bytes += size
        return transaction

    def _add_required(self, number: int, required: dict[int, None]) -> None:
        """Add a page to `required`, after all pages that have to be written before it."""
        for other, modification in self._pages[number].written_after.items():
            if self._pages[other].stored_modification < modification:
                self._add_required(other, required)
        required[number] = None

    # -- results of transactions ------------------------------------------------------------

    def record_applied(self, transaction: PageTransaction, revision: Revision) -> None:
        """Record that the store has applied a transaction at a revision."""
        for number, modification in transaction.modifications.items():
            page = self._pages[number]
            page.key_version = KeyVersion(revision)
            page.stored_modification = modification
            page.stored_names = frozenset(transaction.record_names[number])
            if self._modified.get(number) == modification:
                del self._modified[number]
                page.written_after.clear()

    def record_conflict(self, key: str, entry: Entry | None) -> None:
        """Record that the store has another version of a page than the transaction required.

        The cause is an earlier write that was applied although its answer was lost.
        """
        number = int(key[len(self._prefix) :])
        page = self._pages[number]
        page.key_version = KeyVersion(entry.key_version if entry is not None else 0)
        page.stored_names = frozenset(_records(entry) if entry is not None else ())
        self._mark_modified(number)
        for name in page.stored_names:
            other = self._page_of.get(name, number)
            if other > number and other in self._modified:
                self._write_after(number, other)


def _record_size(name: str, data: bytes | msgspec.Raw) -> int:
    """Return the approximate number of bytes that a record takes in its page."""
    return len(name) + len(bytes(data)) + 4


def _records(entry: Entry) -> dict[str, msgspec.Raw]:
    return decode_stored(entry.data, dict[str, msgspec.Raw], entry.key) or {}
