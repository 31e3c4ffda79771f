"""Requests to the store through a peer, used if only this controller can't reach the store.

Reads and conditional transactions have the same effect whichever controller sends them. Lease
renewals and watches are never sent through a peer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent

from ryewing.clients.http_client import Reply
from ryewing.clients.store.errors import StoreUnavailableError, ThrottledError

DEADLINE_S = 1.0
"""The deadline of a request to the store."""
DIRECT_DEADLINE_S = 0.5
"""The deadline of a direct request that can be repeated through a peer. It is shorter, so that a
user gets a response within a second."""
PROBE_INTERVAL_S = 2.0
"""The interval at which an isolated controller probes whether it reaches the store again."""
PROBE_KEY = "lead/term"
"""The key that the probe reads."""
RelayRequester = Callable[[str, str, bytes | None], Reply | None]
"""Sends method, path and body through a peer; returns None if no peer got a response."""


class DirectRequester(Protocol):
    """Sends requests to the store over this controller's own connections."""

    def request_direct(
        self, method: str, path: str, body: bytes | None, deadline_s: float = DEADLINE_S
    ) -> Reply:
        """Send one request; raise StoreUnavailableError if there is no response, or a refusal."""


class PeerFallback:
    """Chooses whether a request to the store is sent directly or through a peer.

    `_isolated` is set while only this controller can't reach the store. During that time requests
    are sent through peers first, and one greenlet probes the store until it responds again.
    """

    def __init__(self, direct: DirectRequester) -> None:
        self._direct = direct
        self._isolated = False
        self._direct_deadline_s = DIRECT_DEADLINE_S

    def request(self, relay: RelayRequester, method: str, path: str, body: bytes | None) -> Reply:
        """Send a request directly or through a peer; raise StoreUnavailableError if both fail.

        A direct request refused with 429 raises ThrottledError, and is not sent through a peer.
        """
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
                # The store is down or slow for all nodes: direct requests get the full deadline.
                self._direct_deadline_s = DEADLINE_S
                raise
            self._enter_isolation()
            return relayed

    def _enter_isolation(self) -> None:
        """Mark this controller isolated, because a peer reached the store, and start probing.

        The probes run in the background, because a user's request that probed every two seconds
        took longer than a second.
        """
        if not self._isolated:
            self._isolated = True
            self._direct_deadline_s = DIRECT_DEADLINE_S
            gevent.spawn(self._probe_until_reachable)

    def _probe_until_reachable(self) -> None:
        """Probe the store until this controller reaches it again."""
        while self._isolated:
            gevent.sleep(PROBE_INTERVAL_S)
            try:
                self._direct.request_direct("GET", f"/store/{PROBE_KEY}", None)
            except ThrottledError:
                pass  # the store has responded
            except StoreUnavailableError:
                continue
            self._isolated = False
