"""The errors of requests to the store."""

from __future__ import annotations

from ryewing.clients.errors import ClientError


class StoreError(ClientError):
    """A request to the store failed."""


class StoreUnavailableError(StoreError):
    """The store could not be reached, did not respond, or can't execute the request now.

    Without a response, the request may or may not have been executed, or may be executed later.
    """


class ThrottledError(StoreUnavailableError):
    """The store refused a request because its rate limit is exceeded (429)."""


class RejectedError(StoreUnavailableError):
    """The store refuses a request permanently because it is too large or has too many writes.

    It is a subclass of StoreUnavailableError for callers that handle both in the same way.
    """


class WatchExpiredError(StoreError):
    """The revision to watch from is too old (410), so that the keys must be read again."""


class LeaseLostError(StoreError):
    """The lease does not exist any more."""
