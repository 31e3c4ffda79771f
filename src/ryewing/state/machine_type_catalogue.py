"""The machine types as the store keeps them, so that a submission can be judged without the cloud.

One value as long as they fit. Where the store won't take it, they are in several: `flavours`, and
`flavours/1` and up. An earlier version reads the first alone, and would refuse what fits the others
only; so they are split no sooner than the store asks for it, which it does not before every
controller is of a version that reads all.
"""

from __future__ import annotations

import logging

import msgspec

from ryewing.clients.store import KeyValueStore, Put, RejectedError, Remove, decode_stored
from ryewing.units import KeyVersion
from ryewing.wire.cloud import MachineType, MachineTypeList

log = logging.getLogger(__name__)

KEY = "flavours"


def read(store: KeyValueStore) -> list[MachineType]:
    """Read all types; none if nobody has written them yet."""
    entries, _ = store.listing(KEY)
    found: dict[str, MachineType] = {}
    for entry in entries:
        kept = decode_stored(entry.data, MachineTypeList, entry.key)
        for machine_type in kept.machine_types if kept is not None else ():
            found[machine_type.name] = machine_type
    return list(found.values())


def write(
    store: KeyValueStore, fence: dict[str, KeyVersion], machine_types: list[MachineType]
) -> None:
    """Keep the types: in one value if the store takes it, else in as many as it needs."""
    try:
        store.txn(fence, [Put(KEY, MachineTypeList(machine_types))])
        parts = [machine_types]
    except RejectedError as error:
        parts = part(machine_types, store.limits.value_kb * 1024)
        log.info("event=machine-types-split values=%d reason=%s", len(parts), error)
        # The first comes last: until then, what was there before is there still.
        for number in reversed(range(len(parts))):
            store.txn(fence, [Put(_key(number), MachineTypeList(parts[number]))])
    entries, _ = store.listing(KEY)
    wanted = {_key(number) for number in range(len(parts))}
    for entry in entries:
        if entry.key not in wanted:
            store.txn(fence, [Remove(entry.key)])


def part(machine_types: list[MachineType], limit: float) -> list[list[MachineType]]:
    """Share the types out to values of a size."""
    parts: list[list[MachineType]] = [[]]
    for machine_type in machine_types:
        if (
            parts[-1]
            and len(msgspec.json.encode(MachineTypeList([*parts[-1], machine_type]))) > limit
        ):
            parts.append([])
        parts[-1].append(machine_type)
    return parts


def _key(number: int) -> str:
    return f"{KEY}/{number}" if number else KEY
