"""Checks of the platform's settings beyond the types of the fields."""

from __future__ import annotations

import math
from collections.abc import Iterator

from ryewing.config.settings import NextLimits, Params, Settings, parse_address

_POSITIVE_FIELDS = (
    ("workers", ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s")),
    ("state", ("rps", "write_rps", "value_kb", "txn_ops")),
    ("cloud", ("rps",)),
    ("resources", ("core_share", "mem_mb", "fd_limit")),
)
_TEAM_AMOUNTS = ("cpus", "cpus_max", "gpus", "gpus_max")


def find_problems(settings: Settings) -> list[str]:
    """Return a message for each invalid field, beginning with the path of the field."""
    params = settings.params
    problems = [*_check_addresses(settings), *_check_amounts(params), *_check_teams(params)]
    if params.workers.cancel_s <= params.workers.lease_s:
        problems.append("params.workers.cancel_s: must be above params.workers.lease_s")
    return problems


def _check_addresses(settings: Settings) -> Iterator[str]:
    addresses = {
        "api_addr": settings.api_addr,
        "mesh_addr": settings.mesh_addr,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
    }
    seen = {settings.node}
    for i, member in enumerate(settings.members):
        addresses[f"members[{i}].address"] = member.address
        if member.node in seen:
            yield f"members[{i}].node: {member.node!r} appears twice"
        seen.add(member.node)
    for path, address in addresses.items():
        try:
            parse_address(address)
        except ValueError as error:
            yield f"{path}: {error}"


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _check_amounts(params: Params) -> Iterator[str]:
    for group, names in _POSITIVE_FIELDS:
        for name in names:
            if not _is_positive(getattr(getattr(params, group), name)):
                yield f"params.{group}.{name}: must be above 0"
    if params.state.next is not None:
        for name in NextLimits.__struct_fields__:
            value = getattr(params.state.next, name)
            if value is not None and not _is_positive(value):
                yield f"params.state.next.{name}: must be above 0"
    for path, limits in (("state", params.state), ("state.next", params.state.next)):
        if limits is not None and limits.txn_ops == 1:
            # An election and the end of a job each change two keys in one transaction.
            yield f"params.{path}.txn_ops: must be at least 2"


def _check_teams(params: Params) -> Iterator[str]:
    seen: set[str] = set()
    for i, team in enumerate(params.teams):
        if team.name in seen:
            yield f"params.teams[{i}].name: {team.name!r} appears twice"
        seen.add(team.name)
        for name in _TEAM_AMOUNTS:
            if getattr(team, name) < 0:
                yield f"params.teams[{i}].{name}: must not be negative"
