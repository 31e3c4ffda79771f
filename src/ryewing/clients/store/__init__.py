"""The client of the store, which holds the only state that outlives a controller process.

The package owns the requests to the consensus-backed key-value store: reads, compare-and-swap
transactions, leases and watches. Other packages import the names from here, not from the modules of
this package.
"""

from __future__ import annotations

from ryewing.clients.store.client import Store
from ryewing.clients.store.decoding import decode_stored
from ryewing.clients.store.errors import (
    LeaseLostError,
    RejectedError,
    StoreError,
    StoreUnavailableError,
    ThrottledError,
    WatchExpiredError,
)
from ryewing.clients.store.protocol import KeyValueStore, TxnResult
from ryewing.wire.store import Put, Remove

__all__ = [
    "KeyValueStore",
    "LeaseLostError",
    "Put",
    "RejectedError",
    "Remove",
    "Store",
    "StoreError",
    "StoreUnavailableError",
    "ThrottledError",
    "TxnResult",
    "WatchExpiredError",
    "decode_stored",
]
