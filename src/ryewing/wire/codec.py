"""Decoding of JSON from outside, and the error for what can't be read."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
BODY_LIMIT = 64 * 1024
UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What decoding raises. Deep nesting is a RecursionError: found by a table, where one answer of the
store ended the process."""


class MalformedError(ValueError):
    """A body that no retry can make right."""


def decode(data: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode JSON from outside, or raise MalformedError whatever is wrong with it."""
    try:
        return msgspec.json.decode(data, type=kind)
    except UNREADABLE as error:
        raise MalformedError(str(error)) from None


def read_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise MalformedError."""
    try:
        value = msgspec.json.decode(body)
    except UNREADABLE as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedError("not an object")
    return value
