"""The base class of this package's errors."""

from __future__ import annotations


class ConfigError(ValueError):
    """The settings or the policy are invalid; the message names the file and the problem."""
