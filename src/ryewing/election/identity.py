"""Which process of which controller takes part in elections."""

from __future__ import annotations

import os
from typing import NamedTuple

from ryewing.units import NodeName


class ProcessIdentity(NamedTuple):
    """One process of one controller."""

    node: NodeName
    boot_id: str
    """Differs for each process that the controller starts, see `new_boot_id`."""


def new_boot_id() -> str:
    """Return a random name, by which a restarted process is told apart from its predecessor."""
    return os.urandom(6).hex()
