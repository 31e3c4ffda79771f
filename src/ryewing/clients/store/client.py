"""The HTTP client of the store (PROTOCOL, "Controller nodes -> state service").

Transactions are conditional. A transaction without a response may still be applied later, which is
why every caller names the versions it has read (and the leader always the key of its own term).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from urllib.parse import quote

import msgspec

from ryewing.clients.http_client import HttpClient, Reply, UnreachableError
from ryewing.clients.store.decoding import decode_body, decode_reply
from ryewing.clients.store.errors import (
    LeaseLostError,
    RejectedError,
    StoreUnavailableError,
    ThrottledError,
    WatchExpiredError,
)
from ryewing.clients.store.peer_fallback import DEADLINE_S, PeerFallback, RelayRequester
from ryewing.clients.store.protocol import TxnResult
from ryewing.config.settings import Address, StateLimits
from ryewing.units import KeyVersion, Revision
from ryewing.wire.store import (
    ChangeLog,
    Entry,
    EntryPage,
    KeyCondition,
    LeaseRequest,
    LeaseResponse,
    Put,
    Remove,
    Transaction,
    TransactionResponse,
)

TXN_PATH = "/txn"
LEASE_GONE = b"lease"
"""Part of the error in the 400 to a write that hangs on an expired lease (PROTOCOL)."""
PAGE_SIZE = 1000
"""Entries in one page of a listing: the most that the store returns."""
KEPT_CONNECTIONS = 6
"""Idle connections that are kept for requests other than watches."""
WATCHES_PER_TERM = 2
"""Watches that each term has open: of its lease and of the jobs."""
WATCH_MARGIN_S = 2.0
"""How long the response of a watch may take beyond the time for which the store holds it open."""


class Store:
    """Requests to the store.

    A controller that alone can't reach the store may send a request through a peer (`relay`):
    see `PeerFallback`. Each request switches greenlets.
    """

    def __init__(self, address: Address, limits: StateLimits, terms: int = 1) -> None:
        self._http = HttpClient(address, KEPT_CONNECTIONS)
        self._watches = HttpClient(address, WATCHES_PER_TERM * terms)
        self._peer_fallback = PeerFallback(self)
        self.limits = limits
        """The limits on requests, now and after the announced change."""
        self.relay: RelayRequester | None = None
        """Sends a request through a peer; None if there is no fallback."""
        self.on_throttled: Callable[[], None] | None = None
        """Called when the store refuses a request without writes by its rate limit. A refused
        write may be due to the limit of writes, which has its own budget."""

    def request_direct(
        self, method: str, path: str, body: bytes | None, deadline_s: float = DEADLINE_S
    ) -> Reply:
        """Send one request; raise StoreUnavailableError if there is no response, or a refusal."""
        try:
            reply = self._http.request(method, path, body, deadline_s)
        except UnreachableError as error:
            raise StoreUnavailableError(str(error)) from None
        if reply.status == 429:
            if path != TXN_PATH:
                self._note_throttled()
            raise ThrottledError("429")
        if reply.status >= 500:
            raise StoreUnavailableError(str(reply.status))
        return reply

    def _note_throttled(self) -> None:
        if self.on_throttled is not None:
            self.on_throttled()

    def _request(self, method: str, path: str, body: bytes | None = None) -> Reply:
        relay = self.relay
        if relay is None:
            return self.request_direct(method, path, body)
        return self._peer_fallback.request(relay, method, path, body)

    def get(self, key: str) -> Entry | None:
        """Read one key; None if it does not exist."""
        reply = self._request("GET", f"/store/{quote(key)}")
        if reply.status == 404:
            return None
        return decode_reply(reply, Entry)

    def pages(self, prefix: str) -> Iterator[EntryPage]:
        """Read every key with the prefix, page by page."""
        since = ""
        while True:
            path = f"/store?starts={quote(prefix)}&page={PAGE_SIZE}"
            if since:
                path += f"&since={quote(since)}"
            page = decode_reply(self._request("GET", path), EntryPage)
            yield page
            if not page.has_next or not page.entries:
                return
            since = page.entries[-1].key

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Read every key with the prefix, and the revision from which to watch.

        This is the revision of the first page: the watch reports changes made during the reading
        once more.
        """
        entries: list[Entry] = []
        revision: int | None = None
        for page in self.pages(prefix):
            entries.extend(page.entries)
            if revision is None:
                revision = page.revision
        return entries, Revision(revision or 0)

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key in the conditions has the given version.

        Raise LeaseLostError if a write hangs on a lease that is gone, and RejectedError if the
        store refuses the transaction as it is.
        """
        transaction = Transaction(
            [KeyCondition(key, key_version) for key, key_version in conditions.items()],
            list(writes),
        )
        reply = self._request("POST", TXN_PATH, msgspec.json.encode(transaction))
        if reply.status == 400 and LEASE_GONE in reply.body:
            raise LeaseLostError(reply.body.decode("utf-8", "replace"))
        if reply.status == 400:
            raise RejectedError(f"400: {reply.body[:200]!r}")
        if reply.status not in (200, 409):
            raise StoreUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
        answer = decode_body(reply, TransactionResponse)
        return TxnResult(reply.status == 200, Revision(answer.revision), frozenset(answer.failed))

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease that lasts for `ttl_s` seconds unless it is renewed."""
        body = msgspec.json.encode(LeaseRequest(int(ttl_s * 1000)))
        return decode_reply(self.request_direct("POST", "/holds", body), LeaseResponse).lease

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it does not exist any more."""
        reply = self.request_direct("POST", f"/holds/{lease}/renew", b"{}", deadline_s)
        if reply.status == 404:
            raise LeaseLostError(str(lease))
        if reply.status != 200:
            raise StoreUnavailableError(str(reply.status))

    def revoke(self, lease: int) -> None:
        """End a lease at once."""
        try:
            self._http.request("DELETE", f"/holds/{lease}", None, DEADLINE_S)
        except UnreachableError as error:
            raise StoreUnavailableError(str(error)) from None

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait up to `wait_s` seconds for changes under the prefix after a revision.

        Raise WatchExpiredError if the revision is too old.
        """
        path = f"/changes?starts={quote(prefix)}&since={since}&wait_ms={int(wait_s * 1000)}"
        try:
            reply = self._watches.request("GET", path, None, wait_s + WATCH_MARGIN_S)
        except UnreachableError as error:
            raise StoreUnavailableError(str(error)) from None
        if reply.status == 410:
            raise WatchExpiredError
        if reply.status == 429:
            self._note_throttled()
            raise ThrottledError("429")
        return decode_reply(reply, ChangeLog)
