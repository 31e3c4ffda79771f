"""The base class of the errors of this package."""

from __future__ import annotations


class ClientError(Exception):
    """A request to a system outside this controller failed, or was not sent."""
