"""The output of `check --shards`: what a division of the fleet means before it is used."""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.config.settings import Settings
from ryewing.sharding.division import SPREAD_ZONES
from ryewing.sharding.settings import parse_shards_option


def describe_division(text: str, settings: Settings) -> Iterator[str]:
    """Check a division and yield the lines to print; raise SettingsError with the first problem."""
    shards = parse_shards_option(text, settings)
    yield f"{text}: good, shards {', '.join(shards.names())}"
    narrow = [spec.name for spec in shards.shards if len(spec.zones) < SPREAD_ZONES]
    if len(narrow) == len(shards.shards):
        yield f"{text}: jobs that are spread over zones are refused (422): every shard has one zone"
    elif narrow:
        yield f"{text}: jobs that are spread over zones never run in {', '.join(narrow)}"
    yield f"{text}: a job runs in one shard, so a gang is no larger than a shard's room"
