"""The machine types as the store keeps them, so that submissions can be checked without the cloud.

They are one value, `flavours`, as long as the store takes it, else several: `flavours`, and
`flavours/1` and up. An earlier version of this program reads the first alone, and would refuse jobs
that fit only a type in the others. So they are split no sooner than the store demands it, which it
doesn't before every controller is of a version that reads all.
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
    """Read all machine types; an empty list if nobody has written them yet.

    Waits for the store. Raises `StoreUnavailableError`.
    """
    entries, _ = store.listing(KEY)
    found: dict[str, MachineType] = {}
    for entry in entries:
        stored = decode_stored(entry.data, MachineTypeList, entry.key)
        for machine_type in stored.machine_types if stored is not None else ():
            found[machine_type.name] = machine_type
    return list(found.values())


def write(
    store: KeyValueStore, fence: dict[str, KeyVersion], machine_types: list[MachineType]
) -> None:
    """Write the machine types: one value if the store takes it, else as many as it needs.

    Each transaction is conditional on `fence`. Waits for the store. Raises `StoreUnavailableError`.
    """
    try:
        store.txn(fence, [Put(KEY, MachineTypeList(machine_types))])
        parts = [machine_types]
    except RejectedError as error:
        parts = split(machine_types, store.limits.value_kb * 1024)
        log.info("event=machine-types-split values=%d reason=%s", len(parts), error)
        # The first value comes last: until then its earlier content is still there.
        for number in reversed(range(len(parts))):
            store.txn(fence, [Put(_key(number), MachineTypeList(parts[number]))])
    entries, _ = store.listing(KEY)
    written = {_key(number) for number in range(len(parts))}
    for entry in entries:
        if entry.key not in written:
            store.txn(fence, [Remove(entry.key)])


def split(machine_types: list[MachineType], limit_bytes: float) -> list[list[MachineType]]:
    """Split machine types into lists that fit values of a size; a list has at least one."""
    parts: list[list[MachineType]] = [[]]
    for machine_type in machine_types:
        extended = MachineTypeList([*parts[-1], machine_type])
        if parts[-1] and len(msgspec.json.encode(extended)) > limit_bytes:
            parts.append([])
        parts[-1].append(machine_type)
    return parts


def _key(number: int) -> str:
    return f"{KEY}/{number}" if number else KEY
