"""The identity of a controller process in elections."""

from __future__ import annotations

import os
from typing import NamedTuple

from ryewing.units import NodeName


class ProcessIdentity(NamedTuple):
    """One process of one controller."""

    node: NodeName
    boot_id: str
    """A random id that is different for each process of the controller; see `new_boot_id`."""


def new_boot_id() -> str:
    """Return a random id that distinguishes a restarted process from its predecessor."""
    return os.urandom(6).hex()
