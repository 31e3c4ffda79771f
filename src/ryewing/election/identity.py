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
    """Return a random name for this process, which tells it from its predecessor after a restart.

    Returns:
        Twelve hexadecimal digits.
    """
    return os.urandom(6).hex()
