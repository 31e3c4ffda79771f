"""The greenlets of one term: started, guarded and ended in one place."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

log = logging.getLogger(__name__)


class GuardedLoops:
    """Runs functions, each in a greenlet of its own, until all are ended together."""

    def __init__(self, on_fault: Callable[[], None]) -> None:
        self._on_fault = on_fault
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, name: str, loop: Callable[[], None]) -> None:
        """Start a greenlet that runs a function; the name is for the log."""
        self._greenlets.append(gevent.spawn(self._run, name, loop))

    def stop(self) -> None:
        """End all greenlets but the one that calls this, without waiting for them."""
        current = gevent.getcurrent()
        others = [greenlet for greenlet in self._greenlets if greenlet is not current]
        gevent.killall(others, block=False)

    def _run(self, name: str, loop: Callable[[], None]) -> None:
        """Run a function; a fault in it is reported, and doesn't end the process."""
        try:
            loop()
        except gevent.GreenletExit:
            pass
        except Exception:
            log.exception("event=loop-failed loop=%s", name)
            self._on_fault()
