"""Many small records paged into few values of the store.

The store counts changes, not bytes, so a record of its own for each machine or job costs most
where there are most of them: hundreds of machines at a start took the write rate for many seconds.
Every write names the version of the value that it replaces: one that got no answer and is applied
late would else take back what came after it. For the same reason a value is never removed while
its term lasts: emptied, its key keeps a version.

A record stays in the value it was first put into, but for one case: a value that is larger than
the store takes (it was written under wider limits, or has grown) gives some of its records to
others. Those are written first, or in the same transaction, and only then the value without them:
a crash in between leaves a record twice, never not at all. Whoever reads both takes both into
account (finishes are a union, a machine was heard if either says so), so it doesn't matter which of
them an earlier version of this program had gone on with.

Pure: tells what has to be written; the caller writes it, and says so.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

import msgspec

from ryewing.clients.store import Put, decode_stored
from ryewing.units import KeyVersion, Revision
from ryewing.wire.store import Entry

log = logging.getLogger(__name__)

FILL = 0.6
"""How full a value may get by new records. The rest is for those in it that grow."""
FULL = 0.95
"""How full a value may get at all: the store may count a little more than we do."""
LEAST_BYTES = 512
"""However small the store's values seem to be, they aren't taken to be smaller than this."""


class Change:
    """One transaction's worth of values: on which versions, and what it brings up to date."""

    __slots__ = ("conditions", "names", "ops", "size", "versions")

    def __init__(self) -> None:
        self.ops: list[Put] = []
        self.conditions: dict[str, KeyVersion] = {}
        self.versions: dict[int, int] = {}
        self.names: dict[int, list[str]] = {}
        self.size = 0


class PagedRecords:
    """Records under one prefix, by name."""

    def __init__(self, prefix: str, value_kb: float) -> None:
        self._prefix = prefix
        self._bytes = value_kb * 1024
        self._records: dict[int, dict[str, msgspec.Raw]] = {}
        self._sizes: dict[int, int] = {}
        self._where: dict[str, int] = {}
        self._changes: dict[int, int] = {}
        """Values that the store lacks, with a count of their changes."""
        self._count = 0
        self._key_versions: dict[int, KeyVersion] = {}
        self._there: dict[int, frozenset[str]] = {}
        """Names of the records that the store has in a value."""
        self._stored: dict[int, int] = {}
        """The newest change of a value that is in the store."""
        self._after: dict[int, dict[int, int]] = {}
        """Values that must not be written before others: those, and which change of them. Always
        others of a higher number, so that no two wait for each other."""

    @staticmethod
    def _size(name: str, data: bytes | msgspec.Raw) -> int:
        return len(name) + len(bytes(data)) + 4

    def load(self, entries: Iterable[Entry]) -> tuple[list[tuple[str, msgspec.Raw]], set[str]]:
        """Take up the values as the store has them, after a take-over.

        Return every record found, the one written last at the end, and the names of those found
        twice: the caller has to put them again, made of both.
        """
        for kept in (self._records, self._sizes, self._where, self._changes):
            kept.clear()  # a reading that failed half-way is done again
        for known in (self._key_versions, self._stored, self._after, self._there):
            known.clear()
        found: list[tuple[str, msgspec.Raw]] = []
        twice: set[str] = set()
        for entry in sorted(entries, key=lambda entry: entry.key_version):
            if not entry.key[len(self._prefix) :].isdecimal():
                log.error("event=unreadable key=%s error=no number", entry.key)
                continue
            number = int(entry.key[len(self._prefix) :])
            records = {name: msgspec.Raw(bytes(record)) for name, record in _records(entry).items()}
            self._there[number] = frozenset(records)
            found.extend(records.items())
            self._records[number] = records
            self._key_versions[number] = KeyVersion(entry.key_version)
            self._sizes[number] = sum(self._size(name, record) for name, record in records.items())
            for name in list(records):
                other = self._where.get(name)
                self._where[name] = number if other is None else max(number, other)
                if other is not None:
                    twice.add(name)
                    low, high = sorted((number, other))
                    record = self._records[low].pop(name)
                    self._sizes[low] -= self._size(name, record)
                    self._touch(low)
                    self._touch(high)
                    self._wait_for(low, high)
        for number in sorted(self._records):
            self._spill(number)
        return found, twice

    def put(self, name: str, record: object) -> int:
        """Want a record to be kept; return the number of its value."""
        data = msgspec.json.encode(record)
        number = self._where.get(name)
        if number is None:
            number = self._with_room(self._size(name, data))
            self._where[name] = number
        else:
            old = self._records[number][name]
            if bytes(old) == data:
                return number
            self._sizes[number] -= self._size(name, old)
        self._sizes[number] += self._size(name, data)
        self._records[number][name] = msgspec.Raw(data)
        self._touch(number)
        self._spill(number)
        return self._where[name]

    def drop(self, name: str) -> None:
        """Want a record to be forgotten."""
        number = self._where.pop(name, None)
        if number is not None:
            self._sizes[number] -= self._size(name, self._records[number].pop(name))
            self._touch(number)

    def _with_room(self, size: int, above: int = -1) -> int:
        for number, used in self._sizes.items():
            if number > above and used + size <= FILL * self._bytes:
                return number
        number = max(self._records, default=-1) + 1
        self._records[number] = {}
        self._sizes[number] = 0
        return number

    def _spill(self, number: int) -> None:
        """Give away records of a value that has become too large."""
        if self._sizes[number] <= FULL * self._bytes:
            return
        records = self._records[number]
        for name in list(records)[:0:-1]:
            if self._sizes[number] <= FILL * self._bytes:
                break
            size = self._size(name, records[name])
            other = self._with_room(size, number)
            self._records[other][name] = records.pop(name)
            self._where[name] = other
            self._sizes[number] -= size
            self._sizes[other] += size
            self._touch(number)
            self._touch(other)
            if name in self._there.get(number, ()):
                self._wait_for(number, other)

    def lower(self, change: Change) -> bool:
        """The store won't take values of this size: make them smaller; False if that's no help."""
        largest = max((self._sizes[number] for number in change.versions), default=0)
        if largest <= LEAST_BYTES or all(len(self._records[n]) < 2 for n in change.versions):
            return False
        self._bytes = max(LEAST_BYTES, min(self._bytes, largest) / 2)
        for number in sorted(self._records):
            self._spill(number)
        return True

    def _wait_for(self, number: int, other: int) -> None:
        self._after.setdefault(number, {})[other] = self._changes[other]

    def _touch(self, number: int) -> None:
        self._count += 1
        self._changes[number] = self._count

    def changed(self) -> Iterator[int]:
        """Name the values that the store lacks."""
        yield from self._changes

    def lacks(self, number: int) -> bool:
        """Tell whether a value is still to be written."""
        return number in self._changes

    def key(self, number: int) -> str:
        """Name the key of a value."""
        return f"{self._prefix}{number}"

    def _needed(self, number: int, found: dict[int, None]) -> None:
        """Name a value after all that must be written before it."""
        for other, version in self._after.get(number, {}).items():
            if self._stored.get(other, 0) < version:
                self._needed(other, found)
        found[number] = None

    def change(self, number: int, ops_max: int, bytes_max: int) -> Change:
        """Give the transaction that brings a value up to date, or the first part of the way."""
        needed: dict[int, None] = {}
        self._needed(number, needed)
        change = Change()
        for each in needed:
            size = self._sizes[each] + len(self.key(each))
            if change.ops and (len(change.ops) >= ops_max or change.size + size > bytes_max):
                break
            change.ops.append(Put(self.key(each), dict(self._records[each])))
            change.conditions[self.key(each)] = self._key_versions.get(each, KeyVersion(0))
            change.versions[each] = self._changes.get(each, 0)
            change.names[each] = list(self._records[each])
            change.size += size
        return change

    def written(self, change: Change, revision: Revision) -> None:
        """The change is in the store."""
        for number, version in change.versions.items():
            self._key_versions[number] = KeyVersion(revision)
            self._stored[number] = version
            self._there[number] = frozenset(change.names[number])
            if self._changes.get(number) == version:
                del self._changes[number]
                self._after.pop(number, None)

    def found(self, key: str, entry: Entry | None) -> None:
        """The store has another version: an earlier write of ours was applied after all."""
        number = int(key[len(self._prefix) :])
        self._key_versions[number] = KeyVersion(entry.key_version if entry is not None else 0)
        self._there[number] = frozenset(_records(entry) if entry is not None else ())
        self._touch(number)
        for name in self._there[number]:
            other = self._where.get(name, number)
            if other > number and other in self._changes:
                self._wait_for(number, other)


def _records(entry: Entry) -> dict[str, msgspec.Raw]:
    return decode_stored(entry.data, dict[str, msgspec.Raw], entry.key) or {}
