"""A term that has been won, and the fencing of the writes made in it.

Every write by the leader is conditional on `lead/term` being as the leader wrote it (safety
argument 1 of `docs/design.md`). A failover rewrites that key, so what an earlier leader still has
under way can no longer be applied.
"""

from __future__ import annotations

from ryewing.clients.store import TxnResult
from ryewing.election.election_record import TERM_KEY
from ryewing.election.lease_validity import LeaseValidity
from ryewing.units import KeyVersion, TermNumber


class Leadership:
    """A term that has been won: what its leader needs to keep it and to write in it."""

    def __init__(
        self,
        term: TermNumber,
        term_key_version: KeyVersion,
        lease: int,
        lease_validity: LeaseValidity,
    ) -> None:
        self.term = term
        self.term_key_version = term_key_version
        """The version of `lead/term` as this leader wrote it."""
        self.lease = lease
        """The store's number of the lease."""
        self.lease_validity = lease_validity

    def fencing_conditions(
        self, conditions: dict[str, KeyVersion] | None = None
    ) -> dict[str, KeyVersion]:
        """Return the conditions of a transaction with that on the term added.

        The transaction then fails, however late it is applied, once another term has begun.
        """
        return {TERM_KEY: self.term_key_version, **(conditions or {})}

    def is_superseded(self, result: TxnResult) -> bool:
        """Return whether a transaction failed because another term has begun."""
        return not result.ok and TERM_KEY in result.failed_keys
