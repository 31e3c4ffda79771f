"""Requests and responses of users: job specs and job status.

The source is PROTOCOL, "Users -> controller nodes". Its names (`pieces`, `cards`, ...) are only the
keys of the JSON, passed to each struct as `rename`; `docs/glossary.md` lists both names of each.
"""

from __future__ import annotations

import math

import msgspec

from ryewing.wire.codec import DECODE_ERRORS, MalformedError

MAX_TASKS = 100_000
"""The maximum number of tasks of a job."""
PRIORITIES = ("production", "urgent", "standard", "idle")
"""The priorities, highest first."""
ARRAY, GANG, SERVICE = SHAPES = ("batch", "group", "daemon")
"""The shapes of a job: an array of tasks that run to completion independently, a gang whose tasks
run all at the same time or not at all, and a service whose tasks (replicas) run until the job is
cancelled."""

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
_NON_EMPTY_FIELDS = ("job_class", "team", "image")
_AMOUNT_FIELDS = (
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
    """The specification of a job as submitted by a user. Times are in seconds."""

    id: str
    """Unique and chosen by the user, for example `run-000412`."""
    job_class: str
    """The class of the job, to which service-level objectives refer."""
    team: str
    """The team whose guarantee and limit apply to the job."""
    shape: str
    """One of SHAPES."""
    priority: str
    """One of PRIORITIES."""
    task_count: int
    """The number of tasks; they are numbered from 0."""
    cpus: float
    """The CPUs of each task; GPUs and memory are also per task."""
    gpus: float
    memory_gb: float
    image: str
    """The image that a machine must have in its cache before a task can start."""
    image_gb: float
    estimated_s: float
    """The user's estimate of a task's run time without the image fetch; often inaccurate."""
    checkpoint_s: float
    """The progress after which a running task saves a checkpoint; 0 means that it can't save."""
    save_s: float
    """The time that a task needs to save its progress when it is stopped."""
    machine_types: list[str] | None = None
    """The allowed machine types; None means any."""
    zone: str | None = None
    """The required zone; None means any."""
    same_zone: bool = False
    """Whether all tasks must be in the same zone."""
    spread: bool = False
    """Whether at most half of the tasks, rounded up, may be in one zone."""
    spot: bool = False
    """Whether the tasks may run on spot machines."""
    deadline_s: float | None = None
    """The time from the submission to the deadline; None means that there is no deadline."""


QUEUED, RUNNING = "queued", "running"
"""The statuses of a live job; `ryewing.state.job_records.FinalState` has the final ones."""


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "ref"}):
    """The status of a job, as sent to users."""

    id: str
    status: str
    """`queued`, `running`, `done` or `cancelled`; the last two are final."""
    done: int | None = None
    """The number of finished tasks. This and `running` are only for display."""
    running: int | None = None
    """The number of running tasks."""


class _RequiredFlags(msgspec.Struct, rename=_JOB_SPEC_KEYS):
    """The flags that a submission must contain, although stored jobs omit them if they are false.

    Users may omit only fields that may be null. `JobSpec` has defaults for these flags, so without
    this check submissions that lacked them were accepted.
    """

    same_zone: bool | msgspec.UnsetType = msgspec.UNSET
    spread: bool | msgspec.UnsetType = msgspec.UNSET
    spot: bool | msgspec.UnsetType = msgspec.UNSET


_job_spec_decoder = msgspec.json.Decoder(JobSpec)

_required_flags_decoder = msgspec.json.Decoder(_RequiredFlags)


def read_job_spec(body: bytes) -> JobSpec:
    """Decode and check a submission.

    Raise MalformedError for the first missing or invalid field; the message has the JSON key of the
    field.
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
    for name in _NON_EMPTY_FIELDS:
        if not getattr(spec, name):
            raise MalformedError(f"{_JOB_SPEC_KEYS[name]}: must not be empty")


def _check_amounts(spec: JobSpec) -> None:
    for name in _AMOUNT_FIELDS:
        value = getattr(spec, name)
        if value is not None and (not math.isfinite(value) or value < 0):
            key = _JOB_SPEC_KEYS.get(name, name)
            raise MalformedError(f"{key}: must be a finite number, 0 or more")
