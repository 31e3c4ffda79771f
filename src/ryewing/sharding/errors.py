"""The base class of the errors that this package raises.

The subclasses are in the modules that raise them. Errors in settings are
`config.settings.SettingsError`, and errors of the store `clients.store.StoreUnavailableError`.
"""

from __future__ import annotations


class ShardingError(Exception):
    """An operation on the division of the fleet or on a shard failed."""
