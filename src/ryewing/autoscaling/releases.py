"""Machines to release, each with the reason that is logged."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ryewing.state.machine import Machine


class ReleaseReason(enum.StrEnum):
    """Why a machine is released; the values are written to the log."""

    NEVER_BOOTED = "never-booted"
    """It sent no heartbeat within the boot timeout after it was rented."""
    SILENT = "silent"
    """It has sent no heartbeat for longer than the silence timeout."""
    UNACKNOWLEDGING = "unacknowledging"
    """Its heartbeats arrive, but for a lease time it has not acknowledged its fencing token."""
    IDLE = "idle"
    """It has no tasks, and no waiting task could use it."""
    FAILED = "failed"
    """The cloud lists it as failed."""


class Release(NamedTuple):
    """A machine to release."""

    machine: Machine
    reason: ReleaseReason
