"""The policy: constants that operators may override, with defaults derived from the settings.

Operators override them by a Lua script that returns a table (see `lua_sandbox`). Every name and
value in the table is checked, so that an invalid script prevents the start of the service instead
of causing a fault while it runs.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from ryewing.config.errors import ConfigError
from ryewing.config.lua_sandbox import LuaScriptError, run_script
from ryewing.config.settings import Settings


class PolicyError(ConfigError):
    """A policy script is invalid; the message names the file and the problem."""


class Policy(msgspec.Struct, frozen=True):
    """The constants that operators may override; field names are the keys of the Lua table.

    Times are in seconds.
    """

    store_lease_s: float
    """The lifetime of the leader's lease in the store. If the leader fails, no other controller can
    become leader before the lease has expired."""
    hold_s: float
    """How long the leader may answer workers after the store's last confirmations (see
    `election.lease_validity`)."""
    gather_s: float
    """The maximum time for which a new leader waits for heartbeats of the recorded machines before
    it schedules tasks."""
    silence_s: float
    """A machine is released after this time without a heartbeat. If many machines stop sending at
    once, each is released only after its lease has expired."""
    idle_return_s: float
    """How long a machine must have been idle before it is released."""
    boot_patience: float
    """A machine is released if it has not booted within this multiple of its type's boot time, or
    within a minute if that is longer."""
    drain_target_s: float
    """The target time for completing the waiting tasks of an array; it determines how many machines
    are rented."""
    sample: int
    """If more machines than this fit a job, a scheduling cycle examines a random sample of this
    size."""
    retry_after_s: float
    """The default `Retry-After` of 503 responses. A rate limit can require a longer one, and
    submissions refused because there are too many unfinished jobs have their own."""


def default_policy(settings: Settings) -> Policy:
    """Return the policy that applies without a script, derived from the platform's settings."""
    workers = settings.params.workers
    margin_s = 0.05 * workers.cancel_s + 1.0
    return Policy(
        store_lease_s=3.0,
        hold_s=max(0.5, workers.cancel_s - workers.lease_s - margin_s),
        gather_s=3.0,
        silence_s=min(0.6 * workers.lease_s, 2.5 * workers.report_s),
        idle_return_s=40.0,
        boot_patience=4.0,
        drain_target_s=45.0,
        sample=64,
        retry_after_s=2.0,
    )


def load_policy(path: str | Path, settings: Settings) -> Policy:
    """Run a policy script and return the defaults with the values of its table applied.

    Raise PolicyError if the script can't be read or run, or if its table has an unknown name or an
    invalid value.
    """
    defaults = default_policy(settings)
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: {error}") from None
    try:
        table = run_script(source, str(path))
    except LuaScriptError as error:
        raise PolicyError(f"{path}: {error}") from None
    changes = {name: _checked_value(path, name, value, defaults) for name, value in table.items()}
    policy = msgspec.structs.replace(defaults, **changes)
    if policy.hold_s > defaults.hold_s:
        raise PolicyError(
            f"{path}: hold_s: must be at most {defaults.hold_s:g}, otherwise tasks could run "
            "longer than cancel_s after their cancellation"
        )
    return policy


def _checked_value(path: str | Path, name: Any, value: Any, defaults: Policy) -> float:
    """Return a value of the table, converted to the type of the field; raise PolicyError."""
    known = Policy.__struct_fields__
    if name not in known:
        raise PolicyError(f"{path}: unknown name {name!r}; known: {', '.join(sorted(known))}")
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise PolicyError(f"{path}: {name}: must be a number")
    if not math.isfinite(value) or value <= 0:
        raise PolicyError(f"{path}: {name}: must be a finite number above 0")
    is_whole = type(getattr(defaults, name)) is int
    if is_whole and int(value) != value:
        raise PolicyError(f"{path}: {name}: must be a whole number")
    return int(value) if is_whole else float(value)
