"""What the cloud is asked and answers: machine types, rental requests, lists of machines.

The protocol's own names (`flavour`, `site`, ...) are only the keys of the JSON.
"""

from __future__ import annotations

import msgspec

_MACHINE_TYPE_KEYS = {
    "name": "sku",
    "cpus": "vcpus",
    "memory_gb": "mem_gb",
    "zones": "sites",
    "gpus": "cards",
    "cache_gb": "local_gb",
    "boot_s": "ready_s",
}


class MachineType(msgspec.Struct, frozen=True, rename=_MACHINE_TYPE_KEYS):
    """A machine type of the cloud."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    zones: tuple[str, ...]
    gpus: float = 0.0
    spot_price: float | None = None
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    boot_s: float = 30.0


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavours"}):
    """The answer of `/machine_types`; also how the types are kept in the store."""

    machine_types: list[MachineType]


_RENTAL_KEYS = {
    "id": "hire",
    "machine_type": "flavour",
    "zone": "site",
    "spot": "loaner",
    "count": "how_many",
}


class RentalRequest(msgspec.Struct, rename=_RENTAL_KEYS):
    """A request for machines. Its id is never used for another one."""

    id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines, rented or to be released."""

    machines: list[str]


MACHINE_KEYS = {
    "id": "ref",
    "machine_type": "flavour",
    "zone": "site",
    "address": "addr",
    "spot": "loaner",
}


class ListedMachine(msgspec.Struct, rename=MACHINE_KEYS):
    """One line of the cloud's machine list."""

    id: str
    machine_type: str
    zone: str
    status: str
    address: str = ""
    spot: bool = False
    age_s: float = 0.0


class MachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    """One page of the machine list."""

    machines: list[ListedMachine]
    has_next: bool = False
