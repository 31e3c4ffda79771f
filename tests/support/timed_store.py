"""A simulated store with leases, and each controller's connection to it with its faults.

Simulated are versions of keys, transactions on them, leases and the log of changes; outages,
requests that are refused, lost or late answers, and watches that hang or lag. Left out are rates,
latency and HTTP itself.
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
    """A store whose leases expire by the test's clock; an outage gives each its full time again."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._ends: dict[int, tuple[float, float]] = {}

    def grant(self, ttl_s: float) -> int:
        lease = super().grant(ttl_s)
        self._ends[lease] = (self._clock() + ttl_s, ttl_s)
        return lease

    def renew(self, lease: int, deadline_s: float) -> None:
        super().renew(lease, deadline_s)
        _, ttl_s = self._ends[lease]
        self._ends[lease] = (self._clock() + ttl_s, ttl_s)

    def write_raw(self, key: str, data: bytes, lease: int | None = None) -> None:
        """Write a value that no controller wrote, whatever its bytes."""
        self.revision += 1
        self.data[key] = (data, self.revision, lease)
        self.log.append(Change(self.revision, set=key, data=msgspec.Raw(data)))

    def expire_leases(self) -> None:
        """Expire the leases whose time is over; during an outage, give each its full time again."""
        now = self._clock()
        for lease in list(self.leases):
            until, ttl_s = self._ends[lease]
            if self.down:
                self._ends[lease] = (now + ttl_s, ttl_s)
            elif now >= until:
                self.expire(lease)


class StoreLink:
    """The connection of one controller to the store, with switches for its faults."""

    def __init__(self, store: TimedStore) -> None:
        self._store = store
        self.limits = store.limits
        self.on_throttled: Callable[[], None] | None = None
        self.refused = False
        """The store refuses this controller's requests, with 503 or without an answer."""
        self.watch_hangs = False
        """Watches get no answer; all other requests do."""
        self.during_watch: Callable[[], None] | None = None
        """Called once, after the store has answered a watch and before the answer arrives."""
        self.stale_watch: Revision | None = None
        """Watches show no change newer than this revision, as an answer that took long does."""
        self.loses_answers = False
        """Transactions are applied, but their answers are lost."""
        self.delays_transactions = False
        """Transactions get no answer, and are applied when `apply_delayed` is called."""
        self.delayed_transactions: list[tuple[dict[str, KeyVersion], list[Put | Remove]]] = []
        self.after_txn: Callable[[], None] | None = None
        """Called once, after a transaction was applied and before its answer arrives."""
        self.before_answer: Callable[[str], None] | None = None
        """Called with the key or prefix of each read, after the store has read it."""

    def check_available(self) -> None:
        """Raise StoreUnavailableError if the store refuses this controller's requests."""
        if self.refused:
            raise StoreUnavailableError("503")

    def get(self, key: str) -> Entry | None:
        self.check_available()
        found = self._store.get(key)
        self._interrupt(key)
        return found

    def listing(self, prefix: str) -> tuple[list[Entry], Revision]:
        self.check_available()
        found = self._store.listing(prefix)
        self._interrupt(prefix)
        return found

    def _interrupt(self, key: str) -> None:
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
            meanwhile, self.after_txn = self.after_txn, None
            meanwhile()
        if self.loses_answers:
            raise StoreUnavailableError("the answer was lost")
        return result

    def apply_delayed(self) -> None:
        """Apply the delayed transactions in their order, and delay no more of them."""
        delayed, self.delayed_transactions = self.delayed_transactions, []
        self.delays_transactions = False
        for conditions, writes in delayed:
            try:
                self._store.txn(conditions, writes)
            except LeaseLostError:
                pass  # its lease has expired: the store answers 400, and nobody waits for that

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
        found = self._store.watch(prefix, since, wait_s)
        if self.during_watch is not None:
            meanwhile, self.during_watch = self.during_watch, None
            meanwhile()
        if self.stale_watch is not None:
            until = self.stale_watch
            log = [change for change in found.log if change.key_version <= until]
            return ChangeLog(int(max(since, min(found.revision, until))), log)
        return found
