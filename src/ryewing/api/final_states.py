"""A bounded cache of the final states of jobs that this process has read or reported."""

from __future__ import annotations

from collections import OrderedDict

from ryewing.units import JobId

FINAL_STATES_KEPT = 20_000
"""Jobs whose final states are cached; the most recently added ones are kept."""


class FinalStateCache:
    """The final states (`done`, `cancelled`) of jobs. A final state never changes.

    Before a status from the leader or the store is sent to a user, it is checked against this
    cache, so that it is never older than one reported before (docs/design.md, safety argument 9).
    """

    def __init__(self, capacity: int = FINAL_STATES_KEPT) -> None:
        self._capacity = capacity
        self._states: OrderedDict[JobId, str] = OrderedDict()

    def put(self, job: JobId, status: str) -> None:
        """Add a final state; evict the one added longest ago if the cache is above its capacity."""
        self._states[job] = status
        self._states.move_to_end(job)
        if len(self._states) > self._capacity:
            self._states.popitem(last=False)

    def get(self, job: JobId) -> str | None:
        """Return a job's final state; None if it is not cached."""
        return self._states.get(job)
