"""Decoding of the store's responses and stored values."""

from __future__ import annotations

import logging
from typing import TypeVar

import msgspec

from ryewing.clients.http_client import Reply, decode_json_body
from ryewing.clients.store.errors import StoreUnavailableError
from ryewing.wire.codec import MalformedError, decode

log = logging.getLogger(__name__)
T = TypeVar("T")


def decode_reply(reply: Reply, body_type: type[T]) -> T:
    """Decode a 200 from the store; raise StoreUnavailableError for any other status.

    An unreadable body raises StoreUnavailableError too.
    """
    if reply.status != 200:
        raise StoreUnavailableError(f"{reply.status}: {reply.body[:200]!r}")
    return decode_body(reply, body_type)


def decode_body(reply: Reply, body_type: type[T]) -> T:
    """Decode the body of a reply, whatever its status.

    Raise StoreUnavailableError if the body is unreadable.
    """
    return decode_json_body(reply, body_type, "store", StoreUnavailableError)


def decode_stored(data: bytes | msgspec.Raw, value_type: type[T], key: str) -> T | None:
    """Decode the value of a key; log an error and return None if it is unreadable.

    One unreadable value must not end a term or a process, because the next term or process would
    read it too.
    """
    try:
        return decode(data, value_type)
    except MalformedError as error:
        log.error("event=unreadable key=%s error=%s", key, error)
        return None
