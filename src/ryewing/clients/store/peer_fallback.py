"""Requests to the store by way of a peer, where this controller alone can't reach the store.

Reads and conditional transactions mean the same whichever controller sends them. Lease renewals and
watches never go this way.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent

from ryewing.clients.http_client import Reply
from ryewing.clients.store.errors import StoreUnavailableError, ThrottledError

DEADLINE_S = 1.0
"""The deadline of a request to the store."""
DIRECT_S = 0.5
"""The deadline of a direct request if a peer can be asked next, so that a user gets a response
within a second."""
PROBE_S = 2.0
"""The interval at which a controller that alone lost the store probes whether it is back."""
PROBE_KEY = "lead/term"
RelayRequester = Callable[[str, str, bytes | None], Reply | None]
"""Sends method, path and body through a peer; returns None if no peer had a response."""


class DirectRequester(Protocol):
    """Sends requests to the store over this controller's own connections."""

    def request_direct(
        self, method: str, path: str, body: bytes | None, deadline_s: float = DEADLINE_S
    ) -> Reply:
        """Send one request; raise StoreUnavailableError if there is no response, or a refusal."""


class PeerFallback:
    """Chooses between the direct way to the store and the way by a peer.

    `_isolated` is set while this controller alone can't reach the store. During that time peers are
    asked first, and one greenlet probes the store until it responds again.
    """

    def __init__(self, direct: DirectRequester) -> None:
        self._direct = direct
        self._isolated = False
        self._direct_deadline_s = DIRECT_S

    def request(self, relay: RelayRequester, method: str, path: str, body: bytes | None) -> Reply:
        """Send a request directly or by a peer; raise StoreUnavailableError if neither responds."""
        if self._isolated:
            relayed = relay(method, path, body)
            if relayed is not None:
                return relayed
        try:
            return self._direct.request_direct(method, path, body, self._direct_deadline_s)
        except ThrottledError:
            raise
        except StoreUnavailableError:
            relayed = relay(method, path, body)
            if relayed is None:
                # The store is down or slow for all: direct requests get the full deadline.
                self._direct_deadline_s = DEADLINE_S
                raise
            self._enter_isolation()
            return relayed

    def _enter_isolation(self) -> None:
        """Note that a peer reached the store: the fault is on this controller's side.

        The store is probed in the background; a user's request that did so every two seconds took
        longer than a second.
        """
        if not self._isolated:
            self._isolated = True
            self._direct_deadline_s = DIRECT_S
            gevent.spawn(self._probe_until_reachable)

    def _probe_until_reachable(self) -> None:
        """Probe the store until this controller reaches it again."""
        while self._isolated:
            gevent.sleep(PROBE_S)
            try:
                self._direct.request_direct("GET", f"/store/{PROBE_KEY}", None)
            except ThrottledError:
                pass  # the store has responded
            except StoreUnavailableError:
                continue
            self._isolated = False
