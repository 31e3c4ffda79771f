"""The client of the state service: the only place that outlives a controller.

Transactions are conditional; what got no answer may still be applied later, which is why
every caller names the versions it has read (and the leader always its own term's key).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import gevent
import msgspec

from ryewing.clients.http_client import HttpClient, Reply, UnreachableError, decode_answer
from ryewing.config.settings import Address, StateLimits
from ryewing.units import KeyVersion, Revision
from ryewing.wire.codec import MalformedError, decode
from ryewing.wire.store import ChangeLog, Entry, EntryPage, LeaseGranted, TxnAnswer

log = logging.getLogger(__name__)

DEADLINE_S = 1.0
DIRECT_S = 0.5
"""How long the store is waited for where a peer can be asked next, so that a user is told within a
second."""
PROBE_S = 2.0
"""How often a node that was alone in losing the store tries again whether it can be reached."""
PROBE_KEY = "lead/term"
TXN_PATH = "/txn"
KEPT_CONNECTIONS = 6
WATCHES_PER_TERM = 2
"""Watches that each term has open: of its lease and of the jobs."""
T = TypeVar("T")
Relay = Callable[[str, str, bytes | None], Reply | None]


class StoreUnavailableError(Exception):
    """The store could not be asked, or its answer did not come."""


class ThrottledError(StoreUnavailableError):
    """The store says that it is asked too much."""


class RejectedError(StoreUnavailableError):
    """The store won't take a request as it is, now or later: too large, or too many writes.

    A kind of StoreUnavailableError to whoever can't do anything about it.
    """


class WatchExpiredError(Exception):
    """The watch's revision is too old: read the keys again."""


class LeaseLostError(Exception):
    """The lease is gone."""


class Put:
    """A key to be set, with the lease that it hangs on, if any."""

    __slots__ = ("key", "lease", "value")

    def __init__(self, key: str, value: Any, lease: int | None = None) -> None:
        self.key = key
        self.value = value
        self.lease = lease

    def encode(self) -> dict[str, Any]:
        """Give the form that goes into a transaction."""
        write: dict[str, Any] = {"set": self.key, "data": self.value}
        if self.lease is not None:
            write["tenancy"] = self.lease
        return write


class Remove:
    """A key to be deleted."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key

    def encode(self) -> dict[str, Any]:
        """Give the form that goes into a transaction."""
        return {"remove": self.key}


class TxnResult:
    """How a transaction ended: applied, or the keys whose condition failed."""

    __slots__ = ("failed", "ok", "revision")

    def __init__(self, ok: bool, revision: Revision, failed: frozenset[str]) -> None:
        self.ok = ok
        self.revision = revision
        self.failed = failed


class TermStore(Protocol):
    """The store as a term sees it: the whole of it, or a shard's part."""

    @property
    def limits(self) -> StateLimits:
        """What may be asked of it, now and later."""

    def get(self, key: str) -> Entry | None:
        """Read one key."""

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Read every key with the prefix, and the revision from which to watch."""

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key has the given version."""

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait for changes under the prefix."""

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it is gone."""

    def resign(self, lease: int) -> None:
        """End a lease at once."""


class Store:
    """Requests to the state service.

    A node that alone can't reach the service may hand a request to a peer (`relay`): reads
    and conditional transactions mean the same whoever sends them.
    """

    def __init__(self, address: Address, limits: StateLimits, terms: int = 1) -> None:
        self._http = HttpClient(address, KEPT_CONNECTIONS)
        self._watches = HttpClient(address, WATCHES_PER_TERM * terms)
        self.limits = limits
        """What may be asked of it, now and later."""
        self.relay: Relay | None = None
        self.on_throttled: Callable[[], None] | None = None
        """Called when the store refuses a request without changes as one too many. A refused
        change may speak of the rate of changes, which has its own budget."""
        self._alone = False
        self._direct_s = DIRECT_S

    def raw(
        self, method: str, path: str, body: bytes | None, deadline_s: float = DEADLINE_S
    ) -> Reply:
        """Do one request; raise StoreUnavailableError without an answer, or with a refusal."""
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
            return self.raw(method, path, body)
        if self._alone:
            relayed = relay(method, path, body)
            if relayed is not None:
                return relayed
        try:
            reply = self.raw(method, path, body, self._direct_s)
        except ThrottledError:
            raise
        except StoreUnavailableError:
            relayed = relay(method, path, body)
            if relayed is None:
                # Not this node's side: where the store is slow it must be given its time.
                self._direct_s = DEADLINE_S
                raise
            # A peer has reached it: the fault is on this node's side. It is tried again in the
            # background; a user's request that did so every two seconds took longer than a second.
            if not self._alone:
                self._alone = True
                self._direct_s = DIRECT_S
                gevent.spawn(self._probe)
            return relayed
        return reply

    def _probe(self) -> None:
        """Find out when the store can be reached from here again."""
        while self._alone:
            gevent.sleep(PROBE_S)
            try:
                self.raw("GET", f"/store/{PROBE_KEY}", None)
            except ThrottledError:
                pass  # it has answered
            except StoreUnavailableError:
                continue
            self._alone = False

    def get(self, key: str) -> Entry | None:
        """Read one key."""
        reply = self._request("GET", f"/store/{quote(key)}")
        if reply.status == 404:
            return None
        return _decode(reply, Entry)

    def pages(self, prefix: str) -> Iterator[EntryPage]:
        """Read every key with the prefix, page by page."""
        since = ""
        while True:
            path = f"/store?starts={quote(prefix)}&page=1000"
            if since:
                path += f"&since={quote(since)}"
            page = _decode(self._request("GET", path), EntryPage)
            yield page
            if not page.has_next or not page.entries:
                return
            since = page.entries[-1].key

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        """Read every key with the prefix, and the revision from which to watch.

        The first page's revision counts: changes during the reading are seen by the watch again.
        """
        entries: list[Entry] = []
        revision: int | None = None
        for page in self.pages(prefix):
            entries.extend(page.entries)
            if revision is None:
                revision = page.revision
        return entries, Revision(revision or 0)

    def txn(self, conditions: dict[str, KeyVersion], writes: Iterable[Put | Remove]) -> TxnResult:
        """Apply the writes if every key has the given version."""
        body = msgspec.json.encode(
            {
                "if": [{"k": key, "stamp": key_version} for key, key_version in conditions.items()],
                "writes": [write.encode() for write in writes],
            }
        )
        reply = self._request("POST", TXN_PATH, body)
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseLostError(reply.body.decode("utf-8", "replace"))
        if reply.status == 400:
            raise RejectedError(f"400: {reply.body[:200]!r}")
        if reply.status not in (200, 409):
            raise StoreUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
        answer = decode_answer(reply, TxnAnswer, "store", StoreUnavailableError)
        return TxnResult(reply.status == 200, Revision(answer.revision), frozenset(answer.failed))

    def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        return _decode(self.raw("POST", "/holds", body), LeaseGranted).lease

    def renew(self, lease: int, deadline_s: float) -> None:
        """Renew a lease; raise LeaseLostError if it is gone."""
        reply = self.raw("POST", f"/holds/{lease}/renew", b"{}", deadline_s)
        if reply.status == 404:
            raise LeaseLostError(str(lease))
        if reply.status != 200:
            raise StoreUnavailableError(str(reply.status))

    def resign(self, lease: int) -> None:
        """End a lease at once."""
        try:
            self._http.request("DELETE", f"/holds/{lease}", None, DEADLINE_S)
        except UnreachableError as error:
            raise StoreUnavailableError(str(error)) from None

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        """Wait for changes under the prefix."""
        path = f"/changes?starts={quote(prefix)}&since={since}&wait_ms={int(wait_s * 1000)}"
        try:
            reply = self._watches.request("GET", path, None, wait_s + 2.0)
        except UnreachableError as error:
            raise StoreUnavailableError(str(error)) from None
        if reply.status == 410:
            raise WatchExpiredError
        if reply.status == 429:
            self._note_throttled()
            raise ThrottledError("429")
        return _decode(reply, ChangeLog)


def decode_stored(data: bytes | msgspec.Raw, kind: type[T], key: str) -> T | None:
    """Decode what the store holds under a key; None, and a line in the log, if it can't be read.

    One value that can't be read must not end a term or a process: the next one would meet it too.
    """
    try:
        return decode(data, kind)
    except MalformedError as error:
        log.error("event=unreadable key=%s error=%s", key, error)
        return None


def _decode(reply: Reply, kind: type[T]) -> T:
    if reply.status != 200:
        raise StoreUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
    return decode_answer(reply, kind, "store", StoreUnavailableError)
