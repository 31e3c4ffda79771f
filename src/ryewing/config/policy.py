"""What operators may tune, with defaults derived from the platform's settings.

Operators tune by a Lua script (`lupa`) that returns a table. The script runs once, at start,
in a bare environment, with a bound on the instructions it may execute, and every name and
type in its table is checked: a wrong script keeps the service from starting rather than
surprising somebody at night.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from ryewing.config.settings import Settings

_INSTRUCTION_LIMIT = 1_000_000
_MEMORY_LIMIT = 8 * 1024 * 1024


class PolicyError(ValueError):
    """The script can't be used; the message says which one and why."""


class Policy(msgspec.Struct, frozen=True):
    """Every constant that an operator might want to change."""

    store_lease_s: float
    """The leader's lease in the store: how long a dead leader is waited for."""
    hold_s: float
    """How long after the last confirmed renewal workers are still answered."""
    gather_s: float
    """The longest wait for recorded machines to be heard by a new leader."""
    silence_s: float
    """A machine not heard for so long is released, unless many fell silent together."""
    idle_return_s: float
    """A machine without tasks for so long is returned."""
    boot_patience: float
    """Times `ready_s` after which a machine that has not booted is returned."""
    drain_target_s: float
    """Machines are rented so that waiting work drains within about this time."""
    sample: int
    """With more machines than this, placement looks at a random sample of them."""
    retry_after_s: float
    """What a refused user is told to wait."""


def defaults(settings: Settings) -> Policy:
    """Derive the defaults from the platform's settings."""
    workers = settings.params.workers
    margin = 0.05 * workers.cancel_s + 1.0
    return Policy(
        store_lease_s=3.0,
        hold_s=max(0.5, workers.cancel_s - workers.lease_s - margin),
        gather_s=3.0,
        silence_s=min(0.6 * workers.lease_s, 2.5 * workers.report_s),
        idle_return_s=40.0,
        boot_patience=4.0,
        drain_target_s=45.0,
        sample=64,
        retry_after_s=2.0,
    )


def _sandboxed(source: str, name: str) -> Any:
    """Run the script with no libraries but a few pure ones, and bounded."""
    import lupa.lua54 as lupa  # only operators with a script pay for this import

    lua = lupa.LuaRuntime(
        register_eval=False,
        register_builtins=False,
        unpack_returned_tuples=True,
        max_memory=_MEMORY_LIMIT,
        attribute_filter=lambda _obj, _attr, _setting: _refuse(),
    )
    run = lua.execute(
        """
        local loader, hook, error_, pcall_ = load, debug.sethook, error, pcall
        local env = {math = math, table = table, pairs = pairs, ipairs = ipairs,
                     tonumber = tonumber, tostring = tostring, type = type}
        return function(source, name, limit)
          local chunk, why = loader(source, "=" .. name, "t", env)
          if not chunk then return nil, why end
          hook(function() hook(); error_("runs too long", 0) end, "", limit)
          local ok, value = pcall_(chunk)
          hook()
          if not ok then return nil, value end
          return value, nil
        end
        """
    )
    value, reason = run(source, name, _INSTRUCTION_LIMIT)
    if reason is not None:
        raise PolicyError(f"{name}: {reason}")
    if lupa.lua_type(value) != "table":
        raise PolicyError(f"{name}: must return a table")
    return dict(value.items())


def _refuse() -> Any:
    raise AttributeError("no access to Python objects")


def load(path: str | Path, settings: Settings) -> Policy:
    """Run an operators' script and lay its table over the defaults."""
    base = defaults(settings)
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: {error}") from None
    try:
        table = _sandboxed(source, str(path))
    except PolicyError:
        raise
    except Exception as error:  # lupa raises several kinds, also for memory
        raise PolicyError(f"{path}: {error}") from None
    known = set(Policy.__struct_fields__)
    changes: dict[str, Any] = {}
    for key, value in table.items():
        if key not in known:
            raise PolicyError(f"{path}: unknown name {key!r}; known: {', '.join(sorted(known))}")
        wanted = type(getattr(base, key))
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise PolicyError(f"{path}: {key}: must be a number")
        if not math.isfinite(value) or value <= 0:
            raise PolicyError(f"{path}: {key}: must be a finite number above 0")
        if wanted is int and int(value) != value:
            raise PolicyError(f"{path}: {key}: must be a whole number")
        changes[key] = wanted(value)
    policy = msgspec.structs.replace(base, **changes)
    if policy.hold_s > base.hold_s:
        raise PolicyError(
            f"{path}: hold_s: at most {base.hold_s:g}, or cancelled tasks could outlive cancel_s"
        )
    return policy
