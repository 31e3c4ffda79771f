"""The settings of shards: which zones belong to which shard, read from a file and checked.

Each zone belongs to exactly one shard. The form of the file is in docs/sharding.md. Errors are
`config.settings.SettingsError`, with the first problem.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from ryewing.config.settings import Settings, SettingsError
from ryewing.units import NodeName, ShardName
from ryewing.wire.codec import DECODE_ERRORS

NAME_LENGTH_MAX = 32
BY_ZONES = "zones:"
"""The prefix of an option that divides the fleet without a file."""


class ShardSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machines of one shard: all those of some zones.

    Whole zones, since machine types come and go, and a zone is lost or cut off as one.
    """

    name: str
    zones: tuple[str, ...]
    pinned_to: str | None = None
    """The only controller that may own it while that one is healthy."""


class ShardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the fleet is divided; names and zones are the same on every controller."""

    shards: tuple[ShardSpec, ...]
    moves_allowed: bool = True
    """Whether controllers may move shards without an operator's command."""
    settle_s: float = 60.0
    """For how many seconds a shard that has moved stays where it is."""

    def names(self) -> list[ShardName]:
        """Return the shards' names, in the order of the file."""
        return [ShardName(spec.name) for spec in self.shards]


def parse_shards_option(text: str, settings: Settings) -> ShardSettings:
    """Return the division that an option names, `zones:N` or a file; raise SettingsError."""
    if not text.startswith(BY_ZONES):
        return load_shards(Path(text), settings)
    count = text.removeprefix(BY_ZONES)
    if not count.isdecimal() or int(count) < 1:
        raise SettingsError(f"{text}: give {BY_ZONES} and a number of shards from 1 up")
    return divide_by_zones(int(count), settings.params.zones)


def divide_by_zones(count_max: int, zones: Sequence[str]) -> ShardSettings:
    """Divide the zones, in alphabetical order, into `count_max` shards at most of similar size.

    Each shard has at least one zone. The result depends on the settings alone, so it is the same on
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
    """Read and check a file of shard settings; raise SettingsError with the first problem."""
    try:
        shards = msgspec.json.decode(path.read_bytes(), type=ShardSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, *DECODE_ERRORS) as error:
        raise SettingsError(f"{path}: {error}") from None
    problem = next(problems(shards, settings), None)
    if problem is not None:
        raise SettingsError(f"{path}: {problem}")
    return shards


def problems(shards: ShardSettings, settings: Settings) -> Iterator[str]:
    """Yield a line for each thing that is wrong with a division of the fleet."""
    if not shards.shards:
        yield "shards: there is none"
    if not shards.settle_s >= 0:
        yield "settle_s: must not be negative"
    yield from _name_problems(shards.shards)
    nodes = known_nodes(settings)
    for spec in shards.shards:
        if not spec.zones:
            yield f"shards.{spec.name}.zones: there is none"
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
        # The name is a part of keys in the store.
        if not name or len(name) > NAME_LENGTH_MAX or not name.replace("-", "").isalnum():
            yield f"shards[{number}].name: letters, digits and hyphens, at most {NAME_LENGTH_MAX}"
        if name in earlier:
            yield f"shards[{number}].name: {name!r} is there twice"
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
