"""The base of this package's errors."""

from __future__ import annotations


class ConfigError(ValueError):
    """Settings or policy can't be used; the message names the file and what is wrong in it."""
