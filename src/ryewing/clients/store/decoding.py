"""Decoding of the store's responses and of the values that it holds."""

from __future__ import annotations

import logging
from typing import TypeVar

import msgspec

from ryewing.clients.http_client import Reply, decode_json_body
from ryewing.clients.store.errors import StoreUnavailableError
from ryewing.wire.codec import MalformedError, decode

log = logging.getLogger(__name__)
T = TypeVar("T")


def decode_reply(reply: Reply, kind: type[T]) -> T:
    """Decode a 200 from the store; raise StoreUnavailableError for any other status.

    An unreadable body raises StoreUnavailableError too.
    """
    if reply.status != 200:
        raise StoreUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
    return decode_body(reply, kind)


def decode_body(reply: Reply, kind: type[T]) -> T:
    """Decode the body of a reply, whatever its status; raise StoreUnavailableError if it can't."""
    return decode_json_body(reply, kind, "store", StoreUnavailableError)


def decode_stored(data: bytes | msgspec.Raw, kind: type[T], key: str) -> T | None:
    """Decode the value of a key; log an error and return None if it is unreadable.

    One unreadable value must not end a term or a process: the next one would meet it too.
    """
    try:
        return decode(data, kind)
    except MalformedError as error:
        log.error("event=unreadable key=%s error=%s", key, error)
        return None
