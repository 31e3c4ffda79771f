"""The final states of jobs that this process has seen: they never change."""

from __future__ import annotations

from collections import OrderedDict

from ryewing.units import JobId

FINAL_STATES_KEPT = 20_000


class FinalStateCache:
    """Final states that were seen, which never change; bounded."""

    def __init__(self, kept: int = FINAL_STATES_KEPT) -> None:
        self._kept = kept
        self._states: OrderedDict[JobId, str] = OrderedDict()

    def put(self, job: JobId, status: str) -> None:
        """Remember a final state."""
        self._states[job] = status
        self._states.move_to_end(job)
        if len(self._states) > self._kept:
            self._states.popitem(last=False)

    def get(self, job: JobId) -> str | None:
        """Recall a final state."""
        return self._states.get(job)
