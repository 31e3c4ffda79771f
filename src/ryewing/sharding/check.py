"""The output of `check --shards`: validates a division of the fleet and shows its consequences."""

from __future__ import annotations

from collections.abc import Iterator

from ryewing.config.settings import Settings
from ryewing.sharding.division import MIN_SPREAD_ZONES
from ryewing.sharding.settings import parse_shards_option


def describe_division(text: str, settings: Settings) -> Iterator[str]:
    """Check a division and yield the lines to print; raise SettingsError with the first error."""
    shards = parse_shards_option(text, settings)
    yield f"{text}: good, shards {', '.join(shards.names())}"
    single_zone = [spec.name for spec in shards.shards if len(spec.zones) < MIN_SPREAD_ZONES]
    if len(single_zone) == len(shards.shards):
        yield f"{text}: jobs that are spread over zones are refused (422): every shard has one zone"
    elif single_zone:
        yield f"{text}: jobs that are spread over zones never run in {', '.join(single_zone)}"
    yield f"{text}: a job runs in one shard, so a gang must fit into the capacity of one shard"
