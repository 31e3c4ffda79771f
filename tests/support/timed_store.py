"""A simulated store with leases, and each controller's faulty connection to it.

Simulated are key versions, transactions, leases and the change log, and as faults outages, rejected
requests, lost or late responses, and watches that hang or lag. Rate limits, latency and HTTP are
not simulated.
"""

from __future__ import annotations

import copy
from collections.abc import Callable

import msgspec

from ryewing.clients.store import LeaseLostError, Put, Remove, StoreUnavailableError, TxnResult
from ryewing.units import KeyVersion, Revision
from ryewing.wire.store import Change, ChangeLog, Entry
from support.fakes import Clock, FakeStore


class TimedStore(FakeStore):
    """A store whose leases expire by the test's clock, and are fully renewed by an outage."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._lease_ends: dict[int, tuple[float, float]] = {}
        """By lease, when it expires, and its lifetime in seconds."""

    def grant(self, ttl_s: float) -> int:
        lease = super().grant(ttl_s)
        self._lease_ends[lease] = (self._clock() + ttl_s, ttl_s)
        return lease

    def renew(self, lease: int, deadline_s: float) -> None:
        super().renew(lease, deadline_s)
        _, ttl_s = self._lease_ends[lease]
        self._lease_ends[lease] = (self._clock() + ttl_s, ttl_s)

    def write_raw(self, key: str, data: bytes, lease: int | None = None) -> None:
        """Write any bytes as a value, without checks."""
        self.revision += 1
        self.data[key] = (data, self.revision, lease)
        self.log.append(Change(self.revision, set=key, data=msgspec.Raw(data)))

    def expire_leases(self) -> None:
        """Expire the leases that are due; during an outage, renew all leases instead."""
        now = self._clock()
        for lease in list(self.leases):
            ends_at, ttl_s = self._lease_ends[lease]
            if self.down:
                self._lease_ends[lease] = (now + ttl_s, ttl_s)
            elif now >= ends_at:
                self.expire(lease)


class StoreLink:
    """One controller's connection to the store, which can inject faults."""

    def __init__(self, store: TimedStore) -> None:
        self._store = store
        self.limits = store.limits
        self.on_throttled: Callable[[], None] | None = None
        self.refused = False
        """All requests of this controller fail, as with 503 or without a response."""
        self.watch_hangs = False
        """Watches get no response; all other requests do."""
        self.during_watch: Callable[[], None] | None = None
        """Called once, after the store has answered a watch and before the response arrives."""
        self.max_watch_revision: Revision | None = None
        """Watches return no change after this revision, as a delayed response does."""
        self.loses_answers = False
        """Transactions are applied, but their responses are lost."""
        self.delays_transactions = False
        """Transactions get no response; `apply_delayed` applies them."""
        self.delayed_transactions: list[tuple[dict[str, KeyVersion], list[Put | Remove]]] = []
        self.after_txn: Callable[[], None] | None = None
        """Called once, after a transaction was applied and before its response arrives."""
        self.before_answer: Callable[[str], None] | None = None
        """Called with the key or prefix of each read, after it and before its response arrives."""

    def check_available(self) -> None:
        """Raise StoreUnavailableError if requests of this controller fail."""
        if self.refused:
            raise StoreUnavailableError("503")

    def get(self, key: str) -> Entry | None:
        self.check_available()
        entry = self._store.get(key)
        self._call_before_answer(key)
        return entry

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        self.check_available()
        result = self._store.listing(prefix)
        self._call_before_answer(prefix)
        return result

    def _call_before_answer(self, key: str) -> None:
        if self.before_answer is not None:
            hook, self.before_answer = self.before_answer, None
            hook(key)
            if self.before_answer is None:
                self.before_answer = hook

    def txn(self, conditions: dict[str, KeyVersion], writes: list[Put | Remove]) -> TxnResult:
        self.check_available()
        if self.delays_transactions:
            self.delayed_transactions.append((dict(conditions), copy.deepcopy(list(writes))))
            raise StoreUnavailableError("no answer")
        result = self._store.txn(conditions, writes)
        if self.after_txn is not None:
            hook, self.after_txn = self.after_txn, None
            hook()
        if self.loses_answers:
            raise StoreUnavailableError("the answer was lost")
        return result

    def apply_delayed(self) -> None:
        """Apply the delayed transactions in order, and stop delaying."""
        delayed, self.delayed_transactions = self.delayed_transactions, []
        self.delays_transactions = False
        for conditions, writes in delayed:
            try:
                self._store.txn(conditions, writes)
            except LeaseLostError:
                pass  # the lease has expired: the store answers 400, and the sender waits no longer

    def grant(self, ttl_s: float) -> int:
        self.check_available()
        return self._store.grant(ttl_s)

    def renew(self, lease: int, deadline_s: float) -> None:
        self.check_available()
        self._store.renew(lease, deadline_s)

    def revoke(self, lease: int) -> None:
        self.check_available()
        self._store.expire(lease)

    def watch(self, prefix: str, since: Revision, wait_s: float) -> ChangeLog:
        self.check_available()
        if self.watch_hangs:
            raise StoreUnavailableError("deadline")
        changes = self._store.watch(prefix, since, wait_s)
        if self.during_watch is not None:
            hook, self.during_watch = self.during_watch, None
            hook()
        if self.max_watch_revision is not None:
            limit = self.max_watch_revision
            log = [change for change in changes.log if change.key_version <= limit]
            return ChangeLog(int(max(since, min(changes.revision, limit))), log)
        return changes
