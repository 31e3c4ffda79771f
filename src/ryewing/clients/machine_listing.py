"""Reads the cloud's machine list page by page, within a share of the cloud's rate limit.

With thousands of machines, reading the whole list took more requests than the rate limit allows
between two readings, so that none were left for rentals and releases.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.clients.cloud import Cloud
from ryewing.clients.token_bucket import TokenBucket
from ryewing.units import MachineId, MonotonicTime, monotonic_now
from ryewing.wire.cloud import ListedMachine

LIST_INTERVAL_S = 4.0
"""The interval between the starts of two readings of the whole list, in seconds. A reading that
takes longer is finished first."""
LIST_RATE_SHARE = 0.3
"""The share of the cloud's rate limit for reading pages of the list."""


class ListPage(NamedTuple):
    """One page of the list."""

    machines: list[ListedMachine]
    all_machine_ids: frozenset[MachineId] | None
    """The machines of all pages if this is the last page, else None."""


class MachineListing:
    """Reads the machine list page by page, and owns the position of the next page."""

    def __init__(self, cloud: Cloud, cloud_rps: float) -> None:
        self.cloud = cloud
        self.bucket = TokenBucket(
            LIST_RATE_SHARE * cloud_rps, LIST_RATE_SHARE * cloud_rps, monotonic_now
        )
        self._started_at = MonotonicTime(-1e9)
        self._after = ""
        self._machine_ids: set[MachineId] = set()

    def try_acquire_page(self, now: MonotonicTime) -> bool:
        """Return whether a page is due and the rate share allows reading it now.

        If so, a token of the rate share has been taken, and the caller must read the page.
        """
        if not self._after and now - self._started_at < LIST_INTERVAL_S:
            return False
        return self.bucket.try_acquire()

    def read_page(self, now: MonotonicTime) -> ListPage:
        """Read the next page, or the first one if the last page has been read.

        Raise CloudUnavailableError if there is no usable response; the position then stays.
        """
        if not self._after:
            self._started_at = now
            self._machine_ids.clear()
        page = self.cloud.machine_page(self._after)
        self._machine_ids.update(MachineId(listed.id) for listed in page.machines)
        if page.has_next and page.machines:
            self._after = page.machines[-1].id
            return ListPage(page.machines, None)
        self._after = ""
        return ListPage(page.machines, frozenset(self._machine_ids))
