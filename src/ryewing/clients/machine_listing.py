"""Reads the cloud's machine list page by page, within a share of the cloud's rate limit.

At thousands of machines one reading of the whole list took more requests than the rate has in the
time between two readings, so that renting and releasing found none left.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.clients.cloud import Cloud
from ryewing.clients.token_bucket import TokenBucket
from ryewing.units import MachineId, MonotonicTime, monotonic_now
from ryewing.wire.cloud import ListedMachine

LIST_EVERY_S = 4.0
"""The interval from the begin of one reading of the whole list to the begin of the next. A reading
that takes longer is finished first."""
LIST_RATE_SHARE = 0.3
"""The share of the cloud's rate that pages of the list may take."""


class ListPage(NamedTuple):
    """One page of the list; the last page has the names of all machines that were listed."""

    machines: list[ListedMachine]
    all_machine_ids: frozenset[MachineId] | None
    """None before the last page."""


class MachineListing:
    """Owns the position up to which the list has been read."""

    def __init__(self, cloud: Cloud, cloud_rps: float) -> None:
        self.cloud = cloud
        self.bucket = TokenBucket(
            LIST_RATE_SHARE * cloud_rps, LIST_RATE_SHARE * cloud_rps, monotonic_now
        )
        self._began_at = MonotonicTime(-1e9)
        self._since = ""
        self._names: set[MachineId] = set()

    def try_acquire_page(self, now: MonotonicTime) -> bool:
        """Return whether a page should be read now.

        The caller must then read it: its share of the rate has been taken.
        """
        if not self._since and now - self._began_at < LIST_EVERY_S:
            return False
        return self.bucket.try_acquire()

    def read_page(self, now: MonotonicTime) -> ListPage:
        """Read the next page, or the first one if the last has been read.

        Raise CloudUnavailableError if the cloud has no usable response; the position stays.
        """
        if not self._since:
            self._began_at = now
            self._names.clear()
        page = self.cloud.machine_page(self._since)
        self._names.update(MachineId(listed.id) for listed in page.machines)
        if page.has_next and page.machines:
            self._since = page.machines[-1].id
            return ListPage(page.machines, None)
        self._since = ""
        return ListPage(page.machines, frozenset(self._names))
