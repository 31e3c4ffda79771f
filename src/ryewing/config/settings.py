"""The platform's settings file, checked: the first errors, each with its field's path."""

from __future__ import annotations

import math
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from ryewing.wire.codec import UNREADABLE

Address = tuple[str, int]


class SettingsError(ValueError):
    """The settings can't be used; the message names the field."""


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    node: str
    domain: str
    address: str


class Endpoints(msgspec.Struct, frozen=True):
    """Where the cloud and the state service are."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """One aim of the users."""

    kind: str
    share: float = 0.0
    job_class: str | None = None
    within_s: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """The times that workers keep to."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextLimits(msgspec.Struct, frozen=True):
    """What the state service will take from some moment on; what isn't named stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """What the state service takes, all controllers together."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits | None = None

    def strictest(self) -> StateLimits:
        """Give what may be asked both now and once the announced limits hold.

        No notice of the change comes, so this is what a controller lives by from its start.
        """
        later = self.next
        if later is None:
            return self
        return StateLimits(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """What the cloud takes, all controllers together."""

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, frozen=True):
    """What this process may use."""

    core_share: float = 1.0
    mem_mb: float = 256.0
    fd_limit: int = 1024


class Params(msgspec.Struct, frozen=True):
    """What is the same for every controller."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    count: int = 1
    objectives: list[Objective] = []
    resources: Resources = Resources()
    clock_off_ms: float = 0.0


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings."""

    node: str
    domain: str
    api_addr: str
    mesh_addr: str
    members: list[Member]
    endpoints: Endpoints
    params: Params


def parse_address(text: str) -> Address:
    """Read `10.0.0.1:8080`; raise ValueError if it is something else."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(p.isdecimal() and int(p) < 256 for p in parts)
    if not colon or not numeric or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an IPv4 address with a port")
    return host, int(port)


_POSITIVE = (
    ("workers", ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s")),
    ("state", ("rps", "write_rps", "value_kb", "txn_ops")),
    ("cloud", ("rps",)),
    ("resources", ("core_share", "mem_mb", "fd_limit")),
)


def check(settings: Settings) -> list[str]:
    """Return every problem found, each with the path of its field."""
    params = settings.params
    errors = [*_check_addresses(settings), *_check_amounts(params), *_check_teams(params)]
    if params.workers.cancel_s <= params.workers.lease_s:
        errors.append("params.workers.cancel_s: must be above params.workers.lease_s")
    return errors


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
    for group, names in _POSITIVE:
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
            # A take-over sets two keys at once, and so does a job's end.
            yield f"params.{path}.txn_ops: must be at least 2"


def _check_teams(params: Params) -> Iterator[str]:
    seen: set[str] = set()
    for i, team in enumerate(params.teams):
        if team.name in seen:
            yield f"params.teams[{i}].name: {team.name!r} appears twice"
        seen.add(team.name)
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if getattr(team, name) < 0:
                yield f"params.teams[{i}].{name}: must not be negative"


KINDS = ("wait", "finished", "deadline")
"""The kinds of objectives that the order of jobs goes by."""


def _convert(raw: dict[str, Any]) -> Settings:
    """Accept `resources` and `clock_off_ms` at the top level as well as under `params`.

    Objectives of other kinds than those used are left out unread, whatever fields they have.
    """
    params = raw.get("params")
    if isinstance(params, dict):
        objectives = params.get("objectives")
        if isinstance(objectives, list):
            params["objectives"] = [
                o for o in objectives if not isinstance(o, dict) or o.get("kind") in KINDS
            ]
        for name in ("resources", "clock_off_ms"):
            if name not in params and name in raw:
                params[name] = raw[name]
    return msgspec.convert(raw, Settings)


def load(path: str | Path) -> Settings:
    """Read and check a settings file; raise SettingsError with the first errors."""
    try:
        raw = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UNREADABLE as error:
        raise SettingsError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: not an object")
    try:
        settings = _convert(raw)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {str(error).replace('`$.', '`')}") from None
    errors = check(settings)
    if errors:
        raise SettingsError("; ".join(f"{path}: {e}" for e in errors[:5]))
    return settings
