"""The settings of shards: which zones belong to which shard, read from a file and validated.

Each zone belongs to exactly one shard. docs/sharding.md describes the format of the file. Errors
are `config.settings.SettingsError` with the first problem.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from ryewing.config.settings import Settings, SettingsError
from ryewing.units import NodeName, ShardName
from ryewing.wire.codec import DECODE_ERRORS

MAX_NAME_LENGTH = 32
ZONES_PREFIX = "zones:"
"""The prefix of the option value that divides the fleet without a file."""


class ShardSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One shard, which contains all machines of some zones.

    Shards consist of whole zones because the set of machine types changes, and because a zone fails
    or is disconnected as a whole.
    """

    name: str
    zones: tuple[str, ...]
    pinned_to: str | None = None
    """The only controller that may own the shard while that controller is healthy."""


class ShardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the fleet is divided; names and zones are the same on every controller."""

    shards: tuple[ShardSpec, ...]
    moves_allowed: bool = True
    """Whether controllers may move shards without an operator's command."""
    settle_s: float = 60.0
    """How many seconds a shard stays with its owner after a move."""

    def names(self) -> list[ShardName]:
        """Return the shards' names, in the order of the file."""
        return [ShardName(spec.name) for spec in self.shards]


def parse_shards_option(text: str, settings: Settings) -> ShardSettings:
    """Return the division for an option value, `zones:N` or a file; raise SettingsError."""
    if not text.startswith(ZONES_PREFIX):
        return load_shards(Path(text), settings)
    count = text.removeprefix(ZONES_PREFIX)
    if not count.isdecimal() or int(count) < 1:
        raise SettingsError(
            f"{text}: the number after {ZONES_PREFIX} must be an integer of at least 1"
        )
    return divide_by_zones(int(count), settings.params.zones)


def divide_by_zones(count_max: int, zones: Sequence[str]) -> ShardSettings:
    """Divide the zones, in alphabetical order, into at most `count_max` shards of similar size.

    Each shard has at least one zone. The result depends only on the settings, so it is the same on
    every controller.
    """
    count = min(count_max, len(zones))
    ordered = sorted(zones)
    bounds = [len(ordered) * number // count for number in range(count + 1)]
    return ShardSettings(
        tuple(
            ShardSpec(f"shard-{number + 1}", tuple(ordered[start:end]))
            for number, (start, end) in enumerate(itertools.pairwise(bounds))
        )
    )


def load_shards(path: Path, settings: Settings) -> ShardSettings:
    """Read and validate a file of shard settings; raise SettingsError with the first problem."""
    try:
        shards = msgspec.json.decode(path.read_bytes(), type=ShardSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, *DECODE_ERRORS) as error:
        raise SettingsError(f"{path}: {error}") from None
    problem = next(find_problems(shards, settings), None)
    if problem is not None:
        raise SettingsError(f"{path}: {problem}")
    return shards


def find_problems(shards: ShardSettings, settings: Settings) -> Iterator[str]:
    """Yield a message for each error in a division of the fleet."""
    if not shards.shards:
        yield "shards: no shards are defined"
    if not shards.settle_s >= 0:
        yield "settle_s: must not be negative"
    yield from _name_problems(shards.shards)
    nodes = known_nodes(settings)
    for spec in shards.shards:
        if not spec.zones:
            yield f"shards.{spec.name}.zones: no zones are listed"
        if spec.pinned_to is not None and spec.pinned_to not in nodes:
            yield f"shards.{spec.name}.pinned_to: unknown controller {spec.pinned_to!r}"
    yield from _zone_problems(shards.shards, settings.params.zones)


def known_nodes(settings: Settings) -> set[NodeName]:
    """Return the names of all controllers in the settings."""
    return {NodeName(settings.node), *(NodeName(member.node) for member in settings.members)}


def _name_problems(specs: Sequence[ShardSpec]) -> Iterator[str]:
    earlier: set[str] = set()
    for number, spec in enumerate(specs):
        name = spec.name
        # The name becomes part of keys in the store.
        if not name or len(name) > MAX_NAME_LENGTH or not name.replace("-", "").isalnum():
            yield f"shards[{number}].name: letters, digits and hyphens, at most {MAX_NAME_LENGTH}"
        if name in earlier:
            yield f"shards[{number}].name: {name!r} appears twice"
        earlier.add(name)


def _zone_problems(specs: Sequence[ShardSpec], known: Sequence[str]) -> Iterator[str]:
    """Yield the zones that are unknown, in two shards, or in none."""
    shard_of: dict[str, str] = {}
    for spec in specs:
        for zone in spec.zones:
            if zone not in known:
                yield f"shards.{spec.name}.zones: unknown zone {zone!r}"
            if zone in shard_of:
                yield f"shards.{spec.name}.zones: {zone!r} is in {shard_of[zone]!r} already"
            shard_of.setdefault(zone, spec.name)
    for zone in known:
        if zone not in shard_of:
            yield f"shards: no shard has zone {zone!r}"
