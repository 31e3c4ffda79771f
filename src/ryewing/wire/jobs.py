"""What users send and are told: job specs and job status.

The attributes have the usual names of the field; the protocol's own names (`pieces`, `cards`, ...)
are only the keys of the JSON, given to each struct as `rename`. `docs/glossary.md` sets both beside
each other.
"""

from __future__ import annotations

import math

import msgspec

from ryewing.wire.codec import UNREADABLE, MalformedError

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


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "ref"}):
    """What a user is told of a job."""

    id: str
    status: str
    done: int | None = None
    running: int | None = None


class _RequiredFlags(msgspec.Struct, rename=_JOB_SPEC_KEYS):
    """The fields of a submission that a stored job leaves out where they are false.

    A user has to say them: only what may be null may be omitted. Jobs without them were accepted.
    """

    same_zone: bool | msgspec.UnsetType = msgspec.UNSET
    spread: bool | msgspec.UnsetType = msgspec.UNSET
    spot: bool | msgspec.UnsetType = msgspec.UNSET


_job_spec_decoder = msgspec.json.Decoder(JobSpec)

_required_flags_decoder = msgspec.json.Decoder(_RequiredFlags)


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
