"""The platform's settings as typed values.

The names are those of the fields in the settings file, which is JSON; fields that are not known
here are ignored. Times are in seconds unless a name says otherwise. `settings_file` reads the file.
"""

from __future__ import annotations

import msgspec

from ryewing.config.errors import ConfigError

Address = tuple[str, int]
"""An IPv4 address in dotted notation, and a port."""


class SettingsError(ConfigError):
    """Settings can't be used; the message names the file and the field."""


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    node: str
    domain: str
    address: str
    """Where it answers other controllers: `10.0.0.2:8081`."""


class Endpoints(msgspec.Struct, frozen=True):
    """The addresses of the cloud and of the store."""

    cloud: str
    state: str
    """The store's."""


class Team(msgspec.Struct, frozen=True):
    """What a team is guaranteed, and what its tasks may use at most at any moment; 0 means none."""

    name: str
    cpus: float = 0.0
    """Guaranteed."""
    cpus_max: float = 0.0
    """The limit."""
    gpus: float = 0.0
    """Guaranteed."""
    gpus_max: float = 0.0
    """The limit."""


OBJECTIVE_KINDS = ("wait", "finished", "deadline")
"""The kinds of objectives that the order of jobs goes by: begun within a time, finished within a
time, and finished by the job's deadline. Others are ignored."""


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective: what share of a class's jobs should start or finish in time."""

    kind: str
    """One of OBJECTIVE_KINDS."""
    share: float = 0.0
    job_class: str | None = None
    within_s: float | None = None
    """For `wait` and `finished`: in what time after the submission."""
    times: float | None = None
    """For `deadline`: the job's deadline counts multiplied by this."""


class WorkerTimes(msgspec.Struct, frozen=True):
    """The times that workers keep to, in seconds (PROTOCOL, "Workers -> controller nodes")."""

    report_s: float
    """Between two heartbeats, plus or minus a quarter."""
    lease_s: float
    """A worker whose last answered heartbeat was sent longer ago kills all its tasks."""
    gang_wait_s: float
    """How long a task of a gang waits for the others before it exits."""
    gang_peer_s: float
    """Within what time the tasks of a running gang notice that one of them is gone."""
    cancel_s: float
    """When its user has been told that a job is cancelled, its tasks must be gone in this time."""


class NextLimits(msgspec.Struct, frozen=True):
    """What the store will take from some moment on; a limit that isn't named stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """What the store takes from all controllers together."""

    rps: float
    """Requests a second; renewals of leases and the opening of watches count."""
    write_rps: float
    """Puts and deletes a second."""
    value_kb: float
    """The size of one value, in KiB."""
    txn_ops: int
    """Puts and deletes in one transaction."""
    next: NextLimits | None = None

    def strictest(self) -> StateLimits:
        """Return the limits that hold both now and once the announced ones apply.

        Nobody tells when they begin to apply, so a controller keeps to these from its start.
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
    """What the cloud takes from all controllers together, and how old its list may be."""

    rps: float
    """Requests a second."""
    list_lag_s: float
    """How far the list of machines usually lags behind; at times it is twice that."""


class Resources(msgspec.Struct, frozen=True):
    """What this process may use."""

    core_share: float = 1.0
    """The part of one core."""
    mem_mb: float = 256.0
    """Memory, in megabytes."""
    fd_limit: int = 1024
    """Open sockets, or other file descriptors."""


class Params(msgspec.Struct, frozen=True):
    """The settings that are the same for every controller."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    """What the store takes."""
    cloud: CloudLimits
    count: int = 1
    """How many controllers there are."""
    objectives: list[Objective] = []
    resources: Resources = Resources()
    clock_off_ms: float = 0.0
    """How far the time of day of a machine may be off, in milliseconds."""


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings."""

    node: str
    """The controller's name."""
    domain: str
    """The zone that it is in."""
    api_addr: str
    """Where it answers users, workers and health checks."""
    mesh_addr: str
    """Where it answers the other controllers."""
    members: list[Member]
    """The other controllers."""
    endpoints: Endpoints
    params: Params


def parse_address(text: str) -> Address:
    """Parse an address such as `10.0.0.1:8080`; raise ValueError if it is something else."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(part.isdecimal() and int(part) < 256 for part in parts)
    if not colon or not numeric or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an IPv4 address with a port")
    return host, int(port)
