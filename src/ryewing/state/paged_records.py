"""Many small records kept in few values of the store, called pages.

The store counts changes, not bytes, so a record of its own for each machine or job costs most where
there are most of them: hundreds of machines at a start took all of the write rate for many seconds.

Every write names the version of the page that it replaces. Otherwise one that got no answer and is
applied late would take back what came after it. For the same reason a page is never removed while
its term lasts: it is emptied, so that its key keeps a version (safety argument 3 in
docs/design.md).

A record stays in the page that it was first put into, with one exception: a page that is larger
than the store takes (it was written under wider limits, or has grown) moves some of its records to
other pages. Those are written first, or in the same transaction, and only then the page without
them, so that a crash in between leaves a record twice, but never not at all. Whoever finds a record
twice merges both copies (finished tasks are a union, a machine was heard if either copy says so).
So it doesn't matter which of them an earlier version of this program has updated.

Nothing here waits: the caller asks what has to be written, writes it, and says so.
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

FILL_SHARE = 0.6
"""How full a page may become by new records. The rest is for records in it that grow."""
FULL_SHARE = 0.95
"""How full a page may become at all: the store may count a little more than we do."""
MIN_PAGE_BYTES = 512
"""The least size of a page, however small the store's values seem to be."""


class PageTransaction:
    """One transaction, which brings one or more pages up to date."""

    __slots__ = ("conditions", "modifications", "ops", "record_names", "size_bytes")

    def __init__(self) -> None:
        self.ops: list[Put] = []
        self.conditions: dict[str, KeyVersion] = {}
        """The key versions that the pages must have for the transaction to be applied."""
        self.modifications: dict[int, int] = {}
        """By page number: the latest modification of the page that this writes."""
        self.record_names: dict[int, list[str]] = {}
        """By page number: the names of the records that this writes."""
        self.size_bytes = 0
        """About how many bytes it has."""


class LoadedRecords(NamedTuple):
    """What `PagedRecords.load` has found in the store."""

    records: list[tuple[str, msgspec.Raw]]
    """Every record with its name, the one written last at the end."""
    duplicated: set[str]
    """Names of the records that were found twice: the caller has to put them again, merged."""


class _Page:
    """One page: what it should hold, and what the store has of it."""

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
        """About how many bytes the records take."""
        self.key_version = KeyVersion(0)
        self.stored_names: frozenset[str] = frozenset()
        """Names of the records that the store has in it."""
        self.stored_modification = 0
        """The latest modification of it that is in the store."""
        self.written_after: dict[int, int] = {}
        """The pages that must be written before it, each with the modification that matters.
        Their numbers are higher than its own, so that no two pages wait for each other."""


class PagedRecords:
    """Records by name, in pages with a common prefix of their keys: `<prefix><number>`."""

    def __init__(self, prefix: str, value_kb: float) -> None:
        self._prefix = prefix
        self._page_bytes = value_kb * 1024
        self._pages: dict[int, _Page] = {}
        self._page_of: dict[str, int] = {}
        """The number of the page of each record, by the record's name."""
        self._modified: dict[int, int] = {}
        """The pages that the store lacks, each with its latest modification."""
        self._modifications = 0
        """A count of the modifications of all pages, of which each one's number is unique."""

    # -- records ----------------------------------------------------------------------------

    def load(self, entries: Iterable[Entry]) -> LoadedRecords:
        """Replace all records by those of the store, after a failover.

        To be called again from the start if reading them had failed half-way.
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
        """Take over one page; of a record found twice, only the page of higher number keeps it."""
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
            self._touch(low)
            self._touch(high)
            self._write_after(low, high)

    def put(self, name: str, record: object) -> int:
        """Add or replace a record; return the number of its page.

        Nothing has to be written if the record is as before.
        """
        data = msgspec.json.encode(record)
        number = self._page_of.get(name)
        if number is None:
            number = self._page_with_room(_record_size(name, data))
            self._page_of[name] = number
        else:
            if bytes(self._pages[number].records[name]) == data:
                return number
            self._pages[number].size -= _record_size(name, self._pages[number].records[name])
        page = self._pages[number]
        page.size += _record_size(name, data)
        page.records[name] = msgspec.Raw(data)
        self._touch(number)
        self._spill(number)
        return self._page_of[name]

    def drop(self, name: str) -> None:
        """Remove a record, if it is there."""
        number = self._page_of.pop(name, None)
        if number is not None:
            self._remove(number, name)
            self._touch(number)

    def _remove(self, number: int, name: str) -> msgspec.Raw:
        """Take a record out of a page."""
        page = self._pages[number]
        record = page.records.pop(name)
        page.size -= _record_size(name, record)
        return record

    # -- the size of pages ------------------------------------------------------------------

    def _page_with_room(self, size: int, above: int = -1) -> int:
        """Return the first page above a number that has room for a new record, or a new page."""
        for number, page in self._pages.items():
            if number > above and page.size + size <= FILL_SHARE * self._page_bytes:
                return number
        number = max(self._pages, default=-1) + 1
        self._pages[number] = _Page()
        return number

    def _spill(self, number: int) -> None:
        """Move records of a page that is too large to pages of higher numbers, the last first."""
        page = self._pages[number]
        if page.size <= FULL_SHARE * self._page_bytes:
            return
        for name in list(page.records)[:0:-1]:
            if page.size <= FILL_SHARE * self._page_bytes:
                break
            size = _record_size(name, page.records[name])
            other = self._page_with_room(size, number)
            self._pages[other].records[name] = self._remove(number, name)
            self._pages[other].size += size
            self._page_of[name] = other
            self._touch(number)
            self._touch(other)
            if name in page.stored_names:
                self._write_after(number, other)

    def shrink_pages(self, change: PageTransaction) -> bool:
        """Make pages smaller, since the store rejects a change; return False if that can't help."""
        largest = max((self._pages[number].size for number in change.modifications), default=0)
        if largest <= MIN_PAGE_BYTES or all(
            len(self._pages[number].records) < 2 for number in change.modifications
        ):
            return False
        self._page_bytes = max(MIN_PAGE_BYTES, min(self._page_bytes, largest) / 2)
        for number in sorted(self._pages):
            self._spill(number)
        return True

    # -- what has to be written -------------------------------------------------------------

    def _touch(self, number: int) -> None:
        """Record that a page was modified, and has to be written."""
        self._modifications += 1
        self._modified[number] = self._modifications

    def _write_after(self, number: int, other: int) -> None:
        """Have a page written only after the present modification of another one."""
        self._pages[number].written_after[other] = self._modified[other]

    def dirty_pages(self) -> Iterator[int]:
        """Yield the numbers of the pages that the store lacks."""
        yield from self._modified

    def is_dirty(self, number: int) -> bool:
        """Return whether a page has still to be written."""
        return number in self._modified

    def key(self, number: int) -> str:
        """Return the key of a page."""
        return f"{self._prefix}{number}"

    def next_transaction(self, number: int, ops_max: int, bytes_max: int) -> PageTransaction:
        """Return the transaction that brings a page up to date.

        If other pages must be written before it, and all of them don't fit into one transaction,
        return the first part of the way.
        """
        needed: dict[int, None] = {}
        self._add_needed(number, needed)
        change = PageTransaction()
        for each in needed:
            page = self._pages[each]
            size = page.size + len(self.key(each))
            if change.ops and (len(change.ops) >= ops_max or change.size_bytes + size > bytes_max):
                break
            change.ops.append(Put(self.key(each), dict(page.records)))
            change.conditions[self.key(each)] = page.key_version
            change.modifications[each] = self._modified.get(each, 0)
            change.record_names[each] = list(page.records)
            change.size_bytes += size
        return change

    def _add_needed(self, number: int, needed: dict[int, None]) -> None:
        """Add a page to `needed`, after all that must be written before it."""
        for other, modification in self._pages[number].written_after.items():
            if self._pages[other].stored_modification < modification:
                self._add_needed(other, needed)
        needed[number] = None

    # -- what the store has answered --------------------------------------------------------

    def record_applied(self, change: PageTransaction, revision: Revision) -> None:
        """Record that the store has applied a change, at a revision."""
        for number, modification in change.modifications.items():
            page = self._pages[number]
            page.key_version = KeyVersion(revision)
            page.stored_modification = modification
            page.stored_names = frozenset(change.record_names[number])
            if self._modified.get(number) == modification:
                del self._modified[number]
                page.written_after.clear()

    def record_conflict(self, key: str, entry: Entry | None) -> None:
        """Record that the store has another version of a page than the change had named.

        An earlier write, whose answer was lost, was applied after all.
        """
        number = int(key[len(self._prefix) :])
        page = self._pages[number]
        page.key_version = KeyVersion(entry.key_version if entry is not None else 0)
        page.stored_names = frozenset(_records(entry) if entry is not None else ())
        self._touch(number)
        for name in page.stored_names:
            other = self._page_of.get(name, number)
            if other > number and other in self._modified:
                self._write_after(number, other)


def _record_size(name: str, data: bytes | msgspec.Raw) -> int:
    """Return about how many bytes a record takes of its page."""
    return len(name) + len(bytes(data)) + 4


def _records(entry: Entry) -> dict[str, msgspec.Raw]:
    return decode_stored(entry.data, dict[str, msgspec.Raw], entry.key) or {}
