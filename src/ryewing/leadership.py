"""Election, term, fencing and authority.

Two keys: `lead/holder` hangs on a store lease and names the leading process; `lead/term` stays
and counts the terms. A take-over sets both in one transaction. Every later write by the leader
is conditional on `lead/term` being as it wrote it, so what an earlier leader left under way
can no longer be applied.
"""

from __future__ import annotations

import os

import msgspec

from .store import LeaseLost, Put, Store, TxnResult
from .units import DRIFT, Epoch, NodeName, Stamp, Steady, Term, steady_now

HOLDER_KEY = "lead/holder"
TERM_KEY = "lead/term"
PREFIX = "lead/"


class Authority:
    """What the leader may do now, by its steady clock.

    Both steps count from the moment the last *confirmed* renewal was sent: the store's lease
    can't have begun before that. Pure: the time is passed in.
    """

    __slots__ = ("_hold_s", "_lease_s", "renewed_at")

    def __init__(self, lease_s: float, hold_s: float) -> None:
        self._lease_s = lease_s * (1 - DRIFT) - 0.05
        self._hold_s = hold_s * (1 - DRIFT)
        self.renewed_at: Steady | None = None

    def confirm(self, sent_at: Steady) -> None:
        """Take note of a renewal that the store has confirmed."""
        if self.renewed_at is None or sent_at > self.renewed_at:
            self.renewed_at = sent_at

    def may_start(self, now: Steady) -> bool:
        """Starting tasks, renting and answering users need an unexpired lease."""
        return self.renewed_at is not None and now < self.renewed_at + self._lease_s

    def may_answer(self, now: Steady) -> bool:
        """Workers may be kept alive for the hold, so that a state outage costs no work.

        Bounded, since a node that alone lost the store hears of no cancels:
        hold + lease_s < cancel_s.
        """
        return self.renewed_at is not None and now < self.renewed_at + self._hold_s


class Holder(msgspec.Struct):
    """The value of `lead/holder`."""

    node: str
    boot: str
    term: int


class TermRecord(msgspec.Struct):
    """The value of `lead/term`."""

    term: int


class View(msgspec.Struct):
    """What a reading of `lead/` found."""

    holder: Holder | None
    holder_stamp: Stamp
    term: Term
    term_stamp: Stamp
    epoch: Epoch


def read_view(store: Store) -> View:
    """Read who leads."""
    entries, epoch = store.listing(PREFIX)
    view = View(None, Stamp(0), Term(0), Stamp(0), epoch)
    for entry in entries:
        if entry.k == HOLDER_KEY:
            view.holder = msgspec.json.decode(entry.data, type=Holder)
            view.holder_stamp = Stamp(entry.stamp)
        elif entry.k == TERM_KEY:
            view.term = Term(msgspec.json.decode(entry.data, type=TermRecord).term)
            view.term_stamp = Stamp(entry.stamp)
    return view


def may_campaign(view: View, node: NodeName, boot: str) -> bool:
    """Decide whether to try a take-over.

    With no holder the lease has ended. A holder that is an earlier process of this very node is
    dead, since a node runs one process at a time; its messages are fenced by the term.
    """
    if view.holder is None:
        return True
    return view.holder.node == node and view.holder.boot != boot


class Mandate:
    """A term won: what the leader needs to keep it and to write under it."""

    def __init__(self, term: Term, term_stamp: Stamp, tenancy: int, authority: Authority) -> None:
        self.term = term
        self.term_stamp = term_stamp
        self.tenancy = tenancy
        self.authority = authority

    def fenced(self, conditions: dict[str, Stamp] | None = None) -> dict[str, Stamp]:
        """Add the condition that makes a late transaction of an earlier term fail."""
        return {TERM_KEY: self.term_stamp, **(conditions or {})}

    def lost_by(self, result: TxnResult) -> bool:
        """Tell whether a failed transaction says that another term has begun."""
        return not result.ok and TERM_KEY in result.failed


def campaign(
    store: Store, view: View, node: NodeName, boot: str, lease_s: float, hold_s: float
) -> Mandate | None:
    """Try to take over; None if somebody else was first. Raises StoreDown."""
    sent_at = steady_now()
    tenancy = store.grant(lease_s)
    term = Term(view.term + 1)
    try:
        result = store.txn(
            {HOLDER_KEY: view.holder_stamp, TERM_KEY: view.term_stamp},
            [
                Put(HOLDER_KEY, {"node": node, "boot": boot, "term": term}, tenancy),
                Put(TERM_KEY, {"term": term}),
            ],
        )
    except LeaseLost:
        return None
    if not result.ok:
        return None
    authority = Authority(lease_s, hold_s)
    authority.confirm(sent_at)
    return Mandate(term, Stamp(result.epoch), tenancy, authority)


def new_boot() -> str:
    """Name this process, so that a restart can tell itself from its predecessor."""
    return os.urandom(6).hex()
