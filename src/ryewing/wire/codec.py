"""Decodes JSON from external sources, and defines the errors for invalid input."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

MAX_BODY_BYTES = 64 * 1024
"""The maximum size of a request body (PROTOCOL)."""

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""The exceptions that msgspec can raise while decoding. Deeply nested input raises RecursionError;
before it was caught, a test case showed that one response of the store could end the process."""


class MalformedError(ValueError):
    """A body is invalid, so that a retry can't succeed; the message names the problem."""


def decode(data: bytes | msgspec.Raw, value_type: type[T]) -> T:
    """Decode JSON into a value of a type; raise MalformedError if that fails."""
    try:
        return msgspec.json.decode(data, type=value_type)
    except DECODE_ERRORS as error:
        raise MalformedError(str(error)) from None


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise MalformedError if `body` is not JSON or not an object."""
    try:
        value = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedError("not an object")
    return value
