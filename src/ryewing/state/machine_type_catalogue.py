"""The machine types in the store, so that submissions can be checked without the cloud.

They are stored as one value, `flavours`, unless it exceeds the store's value size; then as several:
`flavours`, `flavours/1` and so on. Earlier versions of this program read only the first value and
would refuse jobs that fit only machine types in the others. The list is therefore split only when
the store rejects it as one value, which does not happen before every controller runs a version that
reads all values.
"""

from __future__ import annotations

import logging

import msgspec

from ryewing.clients.store import KeyValueStore, Put, RejectedError, Remove, decode_stored
from ryewing.units import KeyVersion
from ryewing.wire.cloud import MachineType, MachineTypeList

log = logging.getLogger(__name__)

KEY = "flavours"
"""The key of the first value, and the prefix of the others."""


def read(store: KeyValueStore) -> list[MachineType]:
    """Read all machine types; return an empty list if none have been written yet.

    Blocks on the store. Raises `StoreUnavailableError`.
    """
    entries, _ = store.listing(KEY)
    by_name: dict[str, MachineType] = {}
    for entry in entries:
        stored = decode_stored(entry.data, MachineTypeList, entry.key)
        for machine_type in stored.machine_types if stored is not None else ():
            by_name[machine_type.name] = machine_type
    return list(by_name.values())


def write(
    store: KeyValueStore, fence: dict[str, KeyVersion], machine_types: list[MachineType]
) -> None:
    """Write the machine types as one value, or as several if the store rejects one value.

    Each transaction is conditional on `fence`. Blocks on the store. Raises `StoreUnavailableError`.
    """
    try:
        store.txn(fence, [Put(KEY, MachineTypeList(machine_types))])
        parts = [machine_types]
    except RejectedError as error:
        parts = split(machine_types, store.limits.value_kb * 1024)
        log.info("event=machine-types-split values=%d reason=%s", len(parts), error)
        # Write the first value last: until then it still has its earlier content.
        for number in reversed(range(len(parts))):
            store.txn(fence, [Put(_key(number), MachineTypeList(parts[number]))])
    entries, _ = store.listing(KEY)
    written = {_key(number) for number in range(len(parts))}
    for entry in entries:
        if entry.key not in written:
            store.txn(fence, [Remove(entry.key)])


def split(machine_types: list[MachineType], limit_bytes: float) -> list[list[MachineType]]:
    """Split machine types into lists whose values fit the limit; a single type may exceed it."""
    parts: list[list[MachineType]] = [[]]
    for machine_type in machine_types:
        extended = MachineTypeList([*parts[-1], machine_type])
        if parts[-1] and len(msgspec.json.encode(extended)) > limit_bytes:
            parts.append([])
        parts[-1].append(machine_type)
    return parts


def _key(number: int) -> str:
    return f"{KEY}/{number}" if number else KEY
