"""Which machines belong to which shard, checked: no machine in two shards, none without one."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from ryewing.config.settings import Settings, SettingsError
from ryewing.units import NodeName, ShardName
from ryewing.wire.codec import UNREADABLE

NAME_LENGTH_MAX = 32
BY_ZONES = "zones:"
"""Begins an option that divides the fleet without a file."""


class ShardSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machines of one shard: all those of some zones.

    Whole zones, since machine types come and go, and a zone is lost or cut off as one.
    """

    name: str
    zones: tuple[str, ...]
    pinned_to: str | None = None
    """The only controller that may own it while that one is healthy."""


class ShardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the fleet is divided; the same on every controller."""

    shards: tuple[ShardSpec, ...]
    moves_allowed: bool = True
    """Whether the planner may move shards by itself."""
    settle_s: float = 60.0
    """How long a shard that has moved stays where it is."""

    def names(self) -> list[ShardName]:
        """Name the shards, in the order of the file."""
        return [ShardName(spec.name) for spec in self.shards]


def shards_from(text: str, settings: Settings) -> ShardSettings:
    """Give the division that an option names: `zones:N`, or else a file."""
    if not text.startswith(BY_ZONES):
        return load_shards(Path(text), settings)
    count = text.removeprefix(BY_ZONES)
    if not count.isdecimal() or int(count) < 1:
        raise SettingsError(f"{text}: give {BY_ZONES} and a number of shards from 1 up")
    return by_zones(int(count), settings.params.zones)


def by_zones(most: int, zones: Sequence[str]) -> ShardSettings:
    """Divide the zones in their order into shards as even as they come, one zone each at the least.

    It follows from the settings alone, so every controller comes to the same.
    """
    count = min(most, len(zones))
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
        found = msgspec.json.decode(path.read_bytes(), type=ShardSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, *UNREADABLE) as error:
        raise SettingsError(f"{path}: {error}") from None
    problem = next(problems(found, settings), None)
    if problem is not None:
        raise SettingsError(f"{path}: {problem}")
    return found


def problems(shards: ShardSettings, settings: Settings) -> Iterator[str]:
    """Say what is wrong with a division of the fleet."""
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
    """Name all controllers."""
    return {NodeName(settings.node), *(NodeName(member.node) for member in settings.members)}


def _name_problems(specs: Sequence[ShardSpec]) -> Iterator[str]:
    seen: set[str] = set()
    for number, spec in enumerate(specs):
        name = spec.name
        # The name is a part of keys in the store.
        if not name or len(name) > NAME_LENGTH_MAX or not name.replace("-", "").isalnum():
            yield f"shards[{number}].name: letters, digits and hyphens, at most {NAME_LENGTH_MAX}"
        if name in seen:
            yield f"shards[{number}].name: {name!r} is there twice"
        seen.add(name)


def _zone_problems(specs: Sequence[ShardSpec], known: Sequence[str]) -> Iterator[str]:
    """Find zones that aren't known, are in two shards, or in none."""
    first: dict[str, str] = {}
    for spec in specs:
        for zone in spec.zones:
            if zone not in known:
                yield f"shards.{spec.name}.zones: unknown zone {zone!r}"
            if zone in first:
                yield f"shards.{spec.name}.zones: {zone!r} is in {first[zone]!r} already"
            first.setdefault(zone, spec.name)
    for zone in known:
        if zone not in first:
            yield f"shards: no shard has zone {zone!r}"
