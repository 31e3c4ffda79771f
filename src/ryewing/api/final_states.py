"""The final states of jobs that this process has seen, in a bounded cache."""

from __future__ import annotations

from collections import OrderedDict

from ryewing.units import JobId

FINAL_STATES_KEPT = 20_000
"""Jobs whose final states are kept, the most recently seen ones."""


class FinalStateCache:
    """The final states (`done`, `cancelled`) of jobs. A final state never changes.

    What a user is told after a look-up elsewhere is checked against this cache, so that no status
    older than one reported before is sent (docs/design.md, safety argument 9).
    """

    def __init__(self, capacity: int = FINAL_STATES_KEPT) -> None:
        self._capacity = capacity
        self._states: OrderedDict[JobId, str] = OrderedDict()

    def put(self, job: JobId, status: str) -> None:
        """Add a final state; the one added longest ago is dropped if there are too many."""
        self._states[job] = status
        self._states.move_to_end(job)
        if len(self._states) > self._capacity:
            self._states.popitem(last=False)

    def get(self, job: JobId) -> str | None:
        """Return a job's final state; None if it is not known here."""
        return self._states.get(job)
