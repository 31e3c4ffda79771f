"""Requests and responses of the cloud: machine types, rental requests, lists of machines.

The source is PROTOCOL, "Controller nodes -> cloud". Its names (`flavour`, `site`, ...) are only the
keys of the JSON.
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
    """A machine type that can be rented from the cloud."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    """The hourly price of an on-demand machine, charged by the second from the rental request."""
    zones: tuple[str, ...]
    """The zones in which machines of this type can be rented."""
    gpus: float = 0.0
    spot_price: float | None = None
    """The current price per hour of a spot machine; None if the cloud does not report one."""
    cache_gb: float = 0.0
    """The size of a machine's image cache, in GB."""
    fetch_gb_per_s: float = 1.0
    """The rate at which a machine fetches images, plus or minus a third; concurrent fetches may
    share it."""
    boot_s: float = 30.0
    """The usual time from the rental request to the first heartbeat, in seconds."""


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavours"}):
    """The response to `GET /machine_types`, also the form in which the types are stored."""

    machine_types: list[MachineType]


_RENTAL_KEYS = {
    "id": "hire",
    "machine_type": "flavour",
    "zone": "site",
    "spot": "loaner",
    "count": "how_many",
}


class RentalRequest(msgspec.Struct, rename=_RENTAL_KEYS):
    """The body of `POST /machines`: a request for machines of one type in one zone.

    The request is idempotent: the cloud answers a repeated id as it answered the first request.
    Therefore an id is never reused for another request.
    """

    id: str
    machine_type: str
    zone: str
    spot: bool
    count: int
    """The number of machines, at most 50; the cloud may provide fewer."""


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines that were rented or are to be released."""

    machines: list[str]


MACHINE_KEYS = {
    "id": "ref",
    "machine_type": "flavour",
    "zone": "site",
    "address": "addr",
    "spot": "loaner",
}


class ListedMachine(msgspec.Struct, rename=MACHINE_KEYS):
    """One machine in the cloud's list, whose delay is `CloudLimits.list_lag_s`."""

    id: str
    machine_type: str
    zone: str
    status: str
    """`booting`, `running` or `failed`; `failed` means that the machine stopped by itself."""
    address: str = ""
    """The address on which its worker accepts direct messages."""
    spot: bool = False
    age_s: float = 0.0
    """Seconds from the rental request to the moment that the list describes."""


class MachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    """One page of the cloud's list, ordered by machine name."""

    machines: list[ListedMachine]
    has_next: bool = False
    """Whether there are more machines after the last one of this page."""
