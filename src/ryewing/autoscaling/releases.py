"""Machines to release, each with the reason that the log gives."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ryewing.state.machine import Machine


class ReleaseReason(enum.StrEnum):
    """Why a machine is released; the values are those in the log."""

    NEVER_BOOTED = "never-booted"
    """It sent no heartbeat for too long after it was rented."""
    SILENT = "silent"
    """Its heartbeats have stopped."""
    UNACKNOWLEDGING = "unacknowledging"
    """Its heartbeats arrive, but it has not acknowledged its fencing token for a lease."""
    IDLE = "idle"
    """It has no tasks, and nothing that waits could use it."""
    FAILED = "failed"
    """The cloud lists it as failed."""


class Release(NamedTuple):
    """A machine to release."""

    machine: Machine
    reason: ReleaseReason
