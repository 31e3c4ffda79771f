"""Many small records packed into few values of the store.

The store counts changes, not bytes, so a record of its own for each machine or job costs most
where there are most of them: hundreds of machines at a start took the write rate for many seconds.
A record stays in the value it was first put into. Every write names the version of the value that
it replaces: one that got no answer and is applied late would else take back what came after it.
Pure: tells what has to be written; the caller writes it, and says so.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from .store import Put, Remove
from .units import Stamp
from .wire import Entry

FILL = 0.6
"""How full a value may get by new records. The rest is for those in it that grow: a record never
moves to another value, since a crash between two writes could lose it."""


class Packed:
    """Records under one prefix, by name."""

    def __init__(self, prefix: str, value_kb: float) -> None:
        self._prefix = prefix
        self._limit = int(FILL * value_kb * 1024)
        self._records: dict[int, dict[str, msgspec.Raw]] = {}
        self._sizes: dict[int, int] = {}
        self._where: dict[str, int] = {}
        self._changes: dict[int, int] = {}
        """Values that the store lacks, with a count of their changes."""
        self._count = 0
        self._stamps: dict[int, Stamp] = {}

    @staticmethod
    def _size(name: str, data: bytes | msgspec.Raw) -> int:
        return len(name) + len(bytes(data)) + 4

    def load(self, entry: Entry) -> dict[str, msgspec.Raw]:
        """Take up a value as the store has it, after a take-over."""
        number = int(entry.k[len(self._prefix) :])
        records = {
            name: msgspec.Raw(bytes(record))
            for name, record in msgspec.json.decode(entry.data, type=dict[str, msgspec.Raw]).items()
        }
        self._records[number] = records
        self._stamps[number] = Stamp(entry.stamp)
        self._sizes[number] = sum(self._size(name, record) for name, record in records.items())
        for name in records:
            self._where[name] = number
        return dict(records)  # the caller drops some while it reads

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
        return number

    def drop(self, name: str) -> None:
        """Want a record to be forgotten."""
        number = self._where.pop(name, None)
        if number is not None:
            self._sizes[number] -= self._size(name, self._records[number].pop(name))
            self._touch(number)

    def _with_room(self, size: int) -> int:
        for number, used in self._sizes.items():
            if used + size <= self._limit:
                return number
        number = max(self._records, default=-1) + 1
        self._records[number] = {}
        self._sizes[number] = 0
        return number

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

    def stamp(self, number: int) -> Stamp:
        """Tell which version of a value the next write replaces."""
        return self._stamps.get(number, Stamp(0))

    def write(self, number: int) -> tuple[Put | Remove, int, int]:
        """Give the change that brings a value up to date, its version, and its size."""
        records = self._records[number]
        op: Put | Remove
        op = Put(self.key(number), dict(records)) if records else Remove(self.key(number))
        return op, self._changes.get(number, 0), self._sizes[number] + len(self.key(number))

    def written(self, number: int, version: int, stamp: Stamp) -> None:
        """The change of this version is in the store, under this stamp."""
        self._stamps[number] = stamp
        if self._changes.get(number) == version:
            del self._changes[number]

    def found(self, number: int, stamp: Stamp) -> None:
        """The store has another version: an earlier write of ours was applied after all."""
        self._stamps[number] = stamp
        self._touch(number)
