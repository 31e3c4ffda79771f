"""Decoding JSON from outside, and the errors for what can't be decoded."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

MAX_BODY_BYTES = 64 * 1024
"""The largest body of a request, in bytes (PROTOCOL)."""

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What msgspec raises while decoding. Deep nesting gives a RecursionError: found by a table of test
cases, where one answer of the store ended the process."""


class MalformedError(ValueError):
    """A body that no retry can make right; the message says what is wrong with it."""


def decode(data: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode JSON as a message of a type; raise MalformedError whatever is wrong with it."""
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise MalformedError(str(error)) from None


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise MalformedError if it is not JSON, or something else."""
    try:
        value = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedError("not an object")
    return value
