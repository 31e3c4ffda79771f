"""The base class of the errors that this package raises.

The subclasses stand in the modules that raise them. Errors of reading settings are
`config.settings.SettingsError`, and those of the store `clients.store.StoreUnavailableError`.
"""

from __future__ import annotations


class ShardingError(Exception):
    """Something about the division of the fleet or the ownership of a shard failed."""
