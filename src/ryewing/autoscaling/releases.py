"""Machines to release, each with the reason that is logged."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ryewing.state.machine import Machine


class ReleaseReason(enum.StrEnum):
    """Why a machine is released; the values are written to the log."""

    NEVER_BOOTED = "never-booted"
    """The machine sent no heartbeat within the boot timeout after it was rented."""
    SILENT = "silent"
    """The machine has sent no heartbeat for longer than the silence timeout."""
    UNACKNOWLEDGING = "unacknowledging"
    """The machine's heartbeats arrive, but it has not acknowledged its fencing token for more than
    `lease_s` seconds."""
    IDLE = "idle"
    """The machine has no tasks, and it is cordoned, quarantined or not needed by waiting tasks."""
    FAILED = "failed"
    """The cloud lists the machine as failed."""


class Release(NamedTuple):
    """A machine to release."""

    machine: Machine
    reason: ReleaseReason
