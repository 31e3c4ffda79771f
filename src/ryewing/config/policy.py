"""What operators may tune: constants with defaults that are derived from the platform's settings.

Operators tune by a Lua script that returns a table of them (see `lua_sandbox`). Every name and
value in the table is checked: a wrong script keeps the service from starting rather than surprising
somebody at night.
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
    """A script can't be used; the message says which one and why."""


class Policy(msgspec.Struct, frozen=True):
    """Every constant that an operator might want to change; the names are those of the Lua table.

    Times are in seconds.
    """

    store_lease_s: float
    """The leader's lease in the store: how long a dead leader is waited for."""
    hold_s: float
    """For how long after the last confirmed renewal workers are still answered."""
    gather_s: float
    """The longest time for which a new leader waits to hear from the recorded machines."""
    silence_s: float
    """A machine that was silent for this long is released, unless many fell silent together."""
    idle_return_s: float
    """A machine without tasks for this long is returned."""
    boot_patience: float
    """This many times its type's boot time after its rental, a machine that has not booted is
    returned."""
    drain_target_s: float
    """Machines are rented so that waiting work drains within about this time."""
    sample: int
    """With more machines than this, a scheduling cycle looks at a random sample of them."""
    retry_after_s: float
    """How long a refused user is told to wait."""


def default_policy(settings: Settings) -> Policy:
    """Derive the policy that applies without a script from the platform's settings."""
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
    """Run an operators' script and apply its table to the defaults.

    Raise PolicyError if the script can't be read or run, or its table has an unknown name or an
    unusable value.
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
            f"{path}: hold_s: at most {defaults.hold_s:g}, or cancelled tasks could outlive "
            "cancel_s"
        )
    return policy


def _checked_value(path: str | Path, name: Any, value: Any, defaults: Policy) -> float:
    """Return a value of the table in the type of its constant, or raise PolicyError."""
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
