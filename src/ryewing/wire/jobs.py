"""What users send and are told: job specs and job status.

The source is PROTOCOL, "Users -> controller nodes". Its own names (`pieces`, `cards`, ...) are only
the keys of the JSON, given to each struct as `rename`; `docs/glossary.md` lists both side by side.
"""

from __future__ import annotations

import math

import msgspec

from ryewing.wire.codec import DECODE_ERRORS, MalformedError

MAX_TASKS = 100_000
"""The most tasks that one job may have."""
PRIORITIES = ("production", "urgent", "standard", "idle")
"""From the most to the least important."""
ARRAY, GANG, SERVICE = SHAPES = ("batch", "group", "daemon")
"""The shapes of a job: tasks that run to completion one by one, tasks that run all at the same
time or not at all, and tasks (replicas) that run until the job is cancelled."""

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
_NAMES = ("job_class", "team", "image")
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


class JobSpec(msgspec.Struct, omit_defaults=True, rename=_JOB_SPEC_KEYS):
    """A job as its user submits it. Times are in seconds."""

    id: str
    """Unique and chosen by the user: `run-000412`."""
    job_class: str
    """The class of jobs for which there are service-level objectives."""
    team: str
    """The team whose guarantee and limit apply."""
    shape: str
    """One of SHAPES."""
    priority: str
    """One of PRIORITIES."""
    task_count: int
    """The tasks are numbered from 0."""
    cpus: float
    """Of each task, as are GPUs and memory."""
    gpus: float
    memory_gb: float
    image: str
    """What a machine must have before a task can start."""
    image_gb: float
    estimated_s: float
    """The user's estimate of a task's run time without the fetch of the image; often wrong."""
    checkpoint_s: float
    """The progress after which a running task saves by itself; 0: it can never save."""
    save_s: float
    """The time that a task needs to save when it is stopped."""
    machine_types: list[str] | None = None
    """The allowed ones; None: any."""
    zone: str | None = None
    """The only allowed one; None: any."""
    same_zone: bool = False
    """All tasks must be in the same zone."""
    spread: bool = False
    """At most half of the tasks, rounded up, may be in one zone."""
    spot: bool = False
    """The tasks may run on spot machines."""
    deadline_s: float | None = None
    """When the job should be complete, counted from its submission; None: no deadline."""


QUEUED, RUNNING = "queued", "running"
"""The states of a live job; `ryewing.state.job_records.FinalState` has the final ones."""


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "ref"}):
    """What a user is told about a job."""

    id: str
    status: str
    """`queued`, `running`, `done` or `cancelled`; the last two never change."""
    done: int | None = None
    """How many tasks are done; for display, as is the next."""
    running: int | None = None


class _RequiredFlags(msgspec.Struct, rename=_JOB_SPEC_KEYS):
    """The fields that a submission must have although a stored job omits them where they are false.

    Only what may be null may be omitted by a user. Without this, jobs that lacked them were
    accepted.
    """

    same_zone: bool | msgspec.UnsetType = msgspec.UNSET
    spread: bool | msgspec.UnsetType = msgspec.UNSET
    spot: bool | msgspec.UnsetType = msgspec.UNSET


_job_spec_decoder = msgspec.json.Decoder(JobSpec)

_required_flags_decoder = msgspec.json.Decoder(_RequiredFlags)


def read_job_spec(body: bytes) -> JobSpec:
    """Decode and check a submission.

    Raise MalformedError for the first field that is missing or invalid, with the protocol's name of
    the field.
    """
    try:
        spec = _job_spec_decoder.decode(body)
        flags = _required_flags_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedError(str(error)) from None
    _check_flags(flags)
    _check_spec(spec)
    return spec


def _check_flags(flags: _RequiredFlags) -> None:
    for field in msgspec.structs.fields(flags):
        if getattr(flags, field.name) is msgspec.UNSET:
            raise MalformedError(f"{field.encode_name}: missing")


def _check_spec(spec: JobSpec) -> None:
    if spec.shape not in SHAPES:
        raise MalformedError(f"shape: must be one of {', '.join(SHAPES)}")
    if spec.priority not in PRIORITIES:
        raise MalformedError(f"rank: must be one of {', '.join(PRIORITIES)}")
    if not 1 <= spec.task_count <= MAX_TASKS:
        raise MalformedError(f"pieces: must be from 1 to {MAX_TASKS}")
    _check_amounts(spec)
    for name in _NAMES:
        if not getattr(spec, name):
            raise MalformedError(f"{_JOB_SPEC_KEYS[name]}: must not be empty")


def _check_amounts(spec: JobSpec) -> None:
    for name in _AMOUNTS:
        value = getattr(spec, name)
        if value is not None and (not math.isfinite(value) or value < 0):
            key = _JOB_SPEC_KEYS.get(name, name)
            raise MalformedError(f"{key}: must be a finite number, 0 or more")
