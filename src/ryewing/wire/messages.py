"""msgspec structs of every body that crosses the service's outside border.

The attributes have the usual names of the field; the protocol's own names (`mandate`, `pieces`,
`spot`, ...) are only the keys of the JSON, given to each struct as `rename`. The glossary in
`docs/design.md` sets both beside each other.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

BODY_LIMIT = 64 * 1024
MAX_TASKS = 100_000
PRIORITIES = ("production", "urgent", "standard", "idle")
"""From the most to the least important."""
ARRAY, GANG, SERVICE = SHAPES = ("batch", "group", "daemon")
"""Tasks that run to completion, tasks that run all at once, and tasks (replicas) that run until the
job is cancelled."""


_JOB_SPEC_KEYS = {
    "id": "ref",
    "job_class": "jobclass",
    "team": "owner",
    "priority": "rank",
    "task_count": "pieces",
    "cpus": "vcpus",
    "gpus": "cards",
    "memory_gb": "mem_gb",
    "image": "bundle",
    "estimated_s": "guess_s",
    "checkpoint_s": "savepoint_s",
    "save_s": "flush_s",
    "machine_types": "flavours",
    "zone": "site",
    "same_zone": "together",
    "spot": "loaner",
    "deadline_s": "due_s",
}


class JobSpec(msgspec.Struct, omit_defaults=True, rename=_JOB_SPEC_KEYS):
    """A job as its user submits it."""

    id: str
    job_class: str
    team: str
    shape: str
    priority: str
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    estimated_s: float
    checkpoint_s: float
    save_s: float
    machine_types: list[str] | None = None
    zone: str | None = None
    same_zone: bool = False
    spread: bool = False
    spot: bool = False
    deadline_s: float | None = None


class ReportedTask(msgspec.Struct, rename={"task_id": "piece", "attempt": "try"}):
    """One task attempt as its worker sees it."""

    task_id: str
    attempt: int
    status: str
    cause: str | None = None
    saved: bool = False


_HEARTBEAT_KEYS = {
    "machine": "host",
    "incarnation": "tenure",
    "sequence": "tick",
    "token": "mandate",
    "machine_type": "flavour",
    "zone": "site",
    "address": "addr",
    "spot": "loaner",
    "notice_s": "warning_s",
    "tasks": "pieces",
}


class Heartbeat(msgspec.Struct, rename=_HEARTBEAT_KEYS):
    """What a worker reports; also the body of `/orders` and `/show`."""

    machine: str
    incarnation: int
    sequence: int
    token: int
    machine_type: str
    zone: str
    address: str = ""
    spot: bool = False
    notice_s: float | None = None
    tasks: list[ReportedTask] = []


_COMMAND_KEYS = {"task_id": "piece", "attempt": "try", "grace_s": "mercy_s"}


class Command(msgspec.Struct, omit_defaults=True, rename=_COMMAND_KEYS):
    """One command for a worker."""

    verb: str
    task_id: str
    attempt: int
    grace_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"token": "mandate", "commands": "orders"}):
    """The 200 to a heartbeat."""

    token: int
    commands: list[Command]


_DIRECT_COMMANDS_KEYS = {"token": "mandate", "incarnation": "tenure", "commands": "orders"}


class DirectCommands(msgspec.Struct, rename=_DIRECT_COMMANDS_KEYS):
    """The body of a direct command."""

    token: int
    incarnation: int
    commands: list[Command]


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "ref"}):
    """What a user is told of a job."""

    id: str
    status: str
    done: int | None = None
    running: int | None = None


_MACHINE_TYPE_KEYS = {
    "name": "sku",
    "cpus": "vcpus",
    "memory_gb": "mem_gb",
    "zones": "sites",
    "gpus": "cards",
    "cache_gb": "local_gb",
    "boot_s": "ready_s",
}


class MachineType(msgspec.Struct, frozen=True, rename=_MACHINE_TYPE_KEYS):
    """A machine type of the cloud."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    zones: tuple[str, ...]
    gpus: float = 0.0
    spot_price: float | None = None
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    boot_s: float = 30.0


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavours"}):
    """The answer of `/machine_types`; also how the types are kept in the store."""

    machine_types: list[MachineType]


_RENTAL_KEYS = {
    "id": "hire",
    "machine_type": "flavour",
    "zone": "site",
    "spot": "loaner",
    "count": "how_many",
}


class RentalRequest(msgspec.Struct, rename=_RENTAL_KEYS):
    """A request for machines. Its id is never used for another one."""

    id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hosts"}):
    """Names of machines, rented or to be released."""

    machines: list[str]


MACHINE_KEYS = {
    "id": "ref",
    "machine_type": "flavour",
    "zone": "site",
    "address": "addr",
    "spot": "loaner",
}


class ListedMachine(msgspec.Struct, rename=MACHINE_KEYS):
    """One line of the cloud's machine list."""

    id: str
    machine_type: str
    zone: str
    status: str
    address: str = ""
    spot: bool = False
    age_s: float = 0.0


class MachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    """One page of the machine list."""

    machines: list[ListedMachine]
    has_next: bool = False


class Entry(msgspec.Struct, rename={"key": "k", "key_version": "stamp"}):
    """One key of the store."""

    key: str
    data: msgspec.Raw
    key_version: int


class EntryPage(msgspec.Struct, rename={"entries": "pairs", "revision": "epoch"}):
    """One page of a listing."""

    entries: list[Entry]
    revision: int
    has_next: bool = False


class Change(msgspec.Struct, rename={"key_version": "stamp"}):
    """One change from a watch: a `set` with data, or a `remove`."""

    key_version: int
    set: str | None = None
    remove: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")


class ChangeLog(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a watch."""

    revision: int
    log: list[Change] = []


class TxnAnswer(msgspec.Struct, rename={"revision": "epoch"}):
    """The answer of a transaction."""

    revision: int
    failed: list[str] = []


class LeaseGranted(msgspec.Struct, rename={"lease": "tenancy"}):
    """The answer to a request for a lease of the store."""

    lease: int


UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""What decoding raises. Deep nesting is a RecursionError: found by a table, where one answer of the
store ended the process."""


class MalformedError(ValueError):
    """A body that no retry can make right."""


class _RequiredFlags(msgspec.Struct, rename=_JOB_SPEC_KEYS):
    """The fields of a submission that a stored job leaves out where they are false.

    A user has to say them: only what may be null may be omitted. Jobs without them were accepted.
    """

    same_zone: bool | msgspec.UnsetType = msgspec.UNSET
    spread: bool | msgspec.UnsetType = msgspec.UNSET
    spot: bool | msgspec.UnsetType = msgspec.UNSET


T = TypeVar("T")


def decode(data: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode JSON from outside, or raise MalformedError whatever is wrong with it."""
    try:
        return msgspec.json.decode(data, type=kind)
    except UNREADABLE as error:
        raise MalformedError(str(error)) from None


_job_spec_decoder = msgspec.json.Decoder(JobSpec)
_required_flags_decoder = msgspec.json.Decoder(_RequiredFlags)
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise MalformedError."""
    try:
        value = msgspec.json.decode(body)
    except UNREADABLE as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise MalformedError("not an object")
    return value


def read_job_spec(body: bytes) -> JobSpec:
    """Decode and check a submission; raise MalformedError with the protocol's name of the field."""
    try:
        spec = _job_spec_decoder.decode(body)
        flags = _required_flags_decoder.decode(body)
    except UNREADABLE as error:
        raise MalformedError(str(error)) from None
    for field in msgspec.structs.fields(flags):
        if getattr(flags, field.name) is msgspec.UNSET:
            raise MalformedError(f"{field.encode_name}: missing")
    if spec.shape not in SHAPES:
        raise MalformedError(f"shape: must be one of {', '.join(SHAPES)}")
    if spec.priority not in PRIORITIES:
        raise MalformedError(f"rank: must be one of {', '.join(PRIORITIES)}")
    if not 1 <= spec.task_count <= MAX_TASKS:
        raise MalformedError(f"pieces: must be from 1 to {MAX_TASKS}")
    _check_amounts(spec)
    for name in ("job_class", "team", "image"):
        if not getattr(spec, name):
            raise MalformedError(f"{_JOB_SPEC_KEYS[name]}: must not be empty")
    return spec


_AMOUNTS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimated_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)


def _check_amounts(spec: JobSpec) -> None:
    for name in _AMOUNTS:
        value = getattr(spec, name)
        if value is not None and (not math.isfinite(value) or value < 0):
            key = _JOB_SPEC_KEYS.get(name, name)
            raise MalformedError(f"{key}: must be a finite number, 0 or more")


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's message, or raise MalformedError."""
    try:
        return _heartbeat_decoder.decode(body)
    except UNREADABLE as error:
        raise MalformedError(str(error)) from None
