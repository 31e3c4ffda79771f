"""The errors of requests to the store."""

from __future__ import annotations

from ryewing.clients.errors import ClientError


class StoreError(ClientError):
    """A request to the store failed."""


class StoreUnavailableError(StoreError):
    """The store could not be reached, or its response did not arrive.

    Without a response, the request may or may not have been executed, or may be executed later.
    """


class ThrottledError(StoreUnavailableError):
    """The store refused a request because its rate limit is exceeded (429)."""


class RejectedError(StoreUnavailableError):
    """The store refuses a request as it is, now or later: too large, or too many writes.

    It is a kind of StoreUnavailableError for callers that can do nothing about it.
    """


class WatchExpiredError(StoreError):
    """The revision to watch from is too old (410): the keys must be read again."""


class LeaseLostError(StoreError):
    """The lease does not exist any more."""
