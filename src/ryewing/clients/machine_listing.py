"""Reading the cloud's list of machines page by page, within a share of the cloud's rate.

At thousands of machines one reading of the whole list took more requests than the rate has in the
time between two readings, so that renting and returning found none left.
"""

from __future__ import annotations

from typing import NamedTuple

from ryewing.clients.cloud import Cloud
from ryewing.clients.token_bucket import TokenBucket
from ryewing.units import MachineId, MonotonicTime, monotonic_now
from ryewing.wire.cloud import ListedMachine

LIST_EVERY_S = 4.0
"""How long after its begin a reading of the whole list is begun again, if it is over by then."""
LIST_SHARE = 0.3
"""The part of the cloud's rate that pages of the list may take."""


class ListPage(NamedTuple):
    """Some machines of the list, and after the last page the names on all of them."""

    machines: list[ListedMachine]
    all_names: frozenset[MachineId] | None


class MachineListing:
    """Owns the place up to which the list has been read."""

    def __init__(self, cloud: Cloud, cloud_rps: float) -> None:
        self.cloud = cloud
        self._bucket = TokenBucket(LIST_SHARE * cloud_rps, LIST_SHARE * cloud_rps, monotonic_now)
        self._began_at = MonotonicTime(-1e9)
        self._since = ""
        self._names: set[MachineId] = set()

    def due(self, now: MonotonicTime) -> bool:
        """Tell whether a page should be read now; it has to be, if so."""
        if not self._since and now - self._began_at < LIST_EVERY_S:
            return False
        return self._bucket.take()

    def read_page(self, now: MonotonicTime) -> ListPage:
        """Read the next page, the first one after the last."""
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
