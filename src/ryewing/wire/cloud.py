"""What the cloud is sent and answers: machine types, rental requests, lists of machines.

The source is PROTOCOL, "Controller nodes -> cloud". Its own names (`flavour`, `site`, ...) are only
the keys of the JSON.
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
    """A type of machine that the cloud rents."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    """Of an ordinary machine, per hour, charged by the second from the rental request on."""
    zones: tuple[str, ...]
    """The zones where it can be rented."""
    gpus: float = 0.0
    spot_price: float | None = None
    """The current price of a spot machine, per hour; None if the cloud gives none."""
    cache_gb: float = 0.0
    """The room for the images that a machine keeps."""
    fetch_gb_per_s: float = 1.0
    """How fast a machine fetches an image, give or take a third; fetches at once may share it."""
    boot_s: float = 30.0
    """The usual time in seconds from the rental request until the worker reports."""


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavours"}):
    """The answer of `GET /machine_types`; the store keeps the types in this form, too."""

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

    Its id is never used for another request: the cloud answers a repetition as it did the first.
    """

    id: str
    machine_type: str
    zone: str
    spot: bool
    count: int
    """At most 50; the cloud may rent fewer."""


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines: those rented, or those to be released."""

    machines: list[str]


MACHINE_KEYS = {
    "id": "ref",
    "machine_type": "flavour",
    "zone": "site",
    "address": "addr",
    "spot": "loaner",
}


class ListedMachine(msgspec.Struct, rename=MACHINE_KEYS):
    """One machine in the cloud's list, which lags behind."""

    id: str
    machine_type: str
    zone: str
    status: str
    """`booting`, `running` or `failed`; a failed one stopped on its own."""
    address: str = ""
    """Where its worker takes direct messages."""
    spot: bool = False
    age_s: float = 0.0
    """Seconds since the rental request, as of the moment that the list describes."""


class MachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    """One page of the cloud's list, in the order of the machines' names."""

    machines: list[ListedMachine]
    has_next: bool = False
    """Whether the list goes on after the last machine of this page."""
