"""The platform's settings as typed values.

The field names are the keys of the settings file, which is JSON; unknown keys are ignored. Times
are in seconds unless the name has another unit. `settings_file` reads the file.
"""

from __future__ import annotations

import msgspec

from ryewing.config.errors import ConfigError

Address = tuple[str, int]
"""An IPv4 address in dotted-decimal notation, and a port."""


class SettingsError(ConfigError):
    """The settings are invalid; the message names the file and the field."""


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    node: str
    domain: str
    address: str
    """The address on which it accepts connections of other controllers, such as `10.0.0.2:8081`."""


class Endpoints(msgspec.Struct, frozen=True):
    """The addresses of the cloud and of the store."""

    cloud: str
    state: str
    """The address of the store."""


class Team(msgspec.Struct, frozen=True):
    """The guarantee and the limit of a team for the resources that its tasks use at the same time.

    A value of 0 means that there is no guarantee or no limit.
    """

    name: str
    cpus: float = 0.0
    """The guarantee."""
    cpus_max: float = 0.0
    """The limit."""
    gpus: float = 0.0
    """The guarantee."""
    gpus_max: float = 0.0
    """The limit."""


OBJECTIVE_KINDS = ("wait", "finished", "deadline")
"""The kinds of objectives that affect the order of jobs: started within a time, finished within a
time, and finished by the job's deadline. Other kinds are ignored."""


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective: which share of a class's jobs should start or finish in time."""

    kind: str
    """One of OBJECTIVE_KINDS."""
    share: float = 0.0
    job_class: str | None = None
    within_s: float | None = None
    """For `wait` and `finished`: the time limit, counted from the submission."""
    times: float | None = None
    """For `deadline`: the factor by which the job's deadline is multiplied."""


class WorkerTimes(msgspec.Struct, frozen=True):
    """The intervals and timeouts of workers (PROTOCOL, "Workers -> controller nodes")."""

    report_s: float
    """The interval between two heartbeats, plus or minus a quarter."""
    lease_s: float
    """A worker whose last answered heartbeat was sent longer ago than this kills all its tasks."""
    gang_wait_s: float
    """How long a task of a gang waits for the other tasks before it exits."""
    gang_peer_s: float
    """The time within which the tasks of a running gang detect that one of them is gone."""
    cancel_s: float
    """The time within which all tasks of a job must be gone after its cancellation was confirmed to
    the user."""


class NextLimits(msgspec.Struct, frozen=True):
    """The announced future limits of the store; None means that a limit does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """The limits of the store, which apply to all controllers together."""

    rps: float
    """Requests per second, including renewals of leases and openings of watches."""
    write_rps: float
    """Puts and deletes per second."""
    value_kb: float
    """The maximum size of a value, in KiB."""
    txn_ops: int
    """The maximum number of puts and deletes in one transaction."""
    next: NextLimits | None = None

    def strictest(self) -> StateLimits:
        """Return the lower of the present and the announced value for each limit.

        The time at which the announced limits take effect is not known, so a controller obeys both
        from its start.
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
    """The cloud's rate limit for all controllers together, and the delay of its machine list."""

    rps: float
    """Requests per second."""
    list_lag_s: float
    """The usual delay of the list of machines; it may be twice as long."""


class Resources(msgspec.Struct, frozen=True):
    """The resources that this process may use."""

    core_share: float = 1.0
    """The share of one CPU core."""
    mem_mb: float = 256.0
    """Memory, in megabytes."""
    fd_limit: int = 1024
    """The number of open sockets and other file descriptors."""


class Params(msgspec.Struct, frozen=True):
    """The settings that all controllers have in common."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    """The limits of the store."""
    cloud: CloudLimits
    count: int = 1
    """The number of controllers."""
    objectives: list[Objective] = []
    resources: Resources = Resources()
    clock_off_ms: float = 0.0
    """The maximum error of a machine's time of day, in milliseconds."""


class Settings(msgspec.Struct, frozen=True):
    """The settings of one controller."""

    node: str
    """The controller's name."""
    domain: str
    """The zone of the controller."""
    api_addr: str
    """The listening address for users, workers and health checks."""
    mesh_addr: str
    """The listening address for the other controllers."""
    members: list[Member]
    """The other controllers."""
    endpoints: Endpoints
    params: Params


def parse_address(text: str) -> Address:
    """Parse an IPv4 address with a port, such as `10.0.0.1:8080`; raise ValueError if invalid."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(part.isdecimal() and int(part) < 256 for part in parts)
    if not colon or not numeric or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an IPv4 address with a port")
    return host, int(port)
