"""Starts and stops the greenlets of one term, and handles their unhandled exceptions."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

log = logging.getLogger(__name__)


class GuardedLoops:
    """Runs functions in greenlets of their own, until all are stopped together."""

    def __init__(self, on_fault: Callable[[], None]) -> None:
        self._on_fault = on_fault
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, name: str, loop: Callable[[], None]) -> None:
        """Start a greenlet that runs a function; its name is logged if it fails."""
        self._greenlets.append(gevent.spawn(self._run, name, loop))

    def stop(self) -> None:
        """Kill all greenlets except the calling one, without waiting for them to end."""
        current = gevent.getcurrent()
        others = [greenlet for greenlet in self._greenlets if greenlet is not current]
        gevent.killall(others, block=False)

    def _run(self, name: str, loop: Callable[[], None]) -> None:
        """Run a function; log an unhandled exception and report it to `on_fault`."""
        try:
            loop()
        except gevent.GreenletExit:
            pass
        except Exception:
            log.exception("event=loop-failed loop=%s", name)
            self._on_fault()
