"""msgspec structs of every body that crosses the service's outside border.

The protocol's own field names (`mandate`, `pieces`, `loaner`, ...) appear here and in the
clients that fill these structs; inside, the domain words are used.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

BODY_LIMIT = 64 * 1024
MAX_TASKS = 100_000
RANKS = ("production", "urgent", "standard", "idle")
"""From the most to the least important."""
BATCH, GROUP, DAEMON = SHAPES = ("batch", "group", "daemon")
"""Tasks that run to completion, tasks that run all at once, and tasks (replicas) that run until the
job is cancelled."""


class Run(msgspec.Struct, omit_defaults=True):
    """A job as its user submits it."""

    ref: str
    jobclass: str
    owner: str
    shape: str
    rank: str
    pieces: int
    vcpus: float
    cards: float
    mem_gb: float
    bundle: str
    image_gb: float
    guess_s: float
    savepoint_s: float
    flush_s: float
    flavours: list[str] | None = None
    site: str | None = None
    together: bool = False
    spread: bool = False
    loaner: bool = False
    due_s: float | None = None


class ReportedPiece(msgspec.Struct):
    """One task attempt as its worker sees it."""

    piece: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    saved: bool = False


class Report(msgspec.Struct):
    """What a worker reports; also the body of `/orders` and `/show`."""

    host: str
    tenure: int
    tick: int
    mandate: int
    flavour: str
    site: str
    addr: str = ""
    loaner: bool = False
    warning_s: float | None = None
    pieces: list[ReportedPiece] = []


class Order(msgspec.Struct, omit_defaults=True):
    """One command for a worker."""

    verb: str
    piece: str
    attempt: int = msgspec.field(name="try")
    mercy_s: float | None = None


class ReportAnswer(msgspec.Struct):
    """The 200 to a report."""

    mandate: int
    orders: list[Order]


class Orders(msgspec.Struct):
    """The body of a direct command."""

    mandate: int
    tenure: int
    orders: list[Order]


class RunStatus(msgspec.Struct, omit_defaults=True):
    """What a user is told of a job."""

    ref: str
    status: str
    done: int | None = None
    running: int | None = None


class Flavour(msgspec.Struct, frozen=True):
    """A machine type of the cloud."""

    sku: str
    vcpus: float
    mem_gb: float
    price: float
    sites: tuple[str, ...]
    cards: float = 0.0
    spot_price: float | None = None
    local_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    ready_s: float = 30.0


class FlavourList(msgspec.Struct):
    """The answer of `/machine_types`; also how the types are kept in the store."""

    flavours: list[Flavour]


class Hire(msgspec.Struct):
    """A request for machines. Its name is never used for another one."""

    hire: str
    flavour: str
    site: str
    loaner: bool
    how_many: int


class Hosts(msgspec.Struct):
    """Names of machines, rented or to be released."""

    hosts: list[str]


class ListedHost(msgspec.Struct):
    """One line of the cloud's machine list."""

    ref: str
    flavour: str
    site: str
    status: str
    addr: str = ""
    loaner: bool = False
    age_s: float = 0.0


class HostPage(msgspec.Struct):
    """One page of the machine list."""

    hosts: list[ListedHost]
    has_next: bool = False


class Entry(msgspec.Struct):
    """One key of the store."""

    k: str
    data: msgspec.Raw
    stamp: int


class EntryPage(msgspec.Struct):
    """One page of a listing."""

    pairs: list[Entry]
    epoch: int
    has_next: bool = False


class Change(msgspec.Struct):
    """One change from a watch: a `set` with data, or a `remove`."""

    stamp: int
    set: str | None = None
    remove: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")


class ChangeLog(msgspec.Struct):
    """The answer of a watch."""

    epoch: int
    log: list[Change] = []


class TxnAnswer(msgspec.Struct):
    """The answer of a transaction."""

    epoch: int = 0
    failed: list[str] = []


class HoldAnswer(msgspec.Struct):
    """The answer to a request for a lease of the store."""

    tenancy: int


class Malformed(ValueError):
    """A body that no retry can make right."""


class _Given(msgspec.Struct):
    """The fields of a submission that a stored job may lack."""

    together: bool | msgspec.UnsetType = msgspec.UNSET
    spread: bool | msgspec.UnsetType = msgspec.UNSET
    loaner: bool | msgspec.UnsetType = msgspec.UNSET


STORED_WITHOUT = _Given.__struct_fields__
"""False is left out of what is stored, but a user has to say it: only what may be null may be
omitted. Jobs without these fields were accepted."""

_run_decoder = msgspec.json.Decoder(Run)
_given_decoder = msgspec.json.Decoder(_Given)
_report_decoder = msgspec.json.Decoder(Report)


def read_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise Malformed."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise Malformed("not an object")
    return value


def read_run(body: bytes) -> Run:
    """Decode and check a submission; raise Malformed with the field's name."""
    try:
        run = _run_decoder.decode(body)
        given = _given_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from None
    for name in STORED_WITHOUT:
        if getattr(given, name) is msgspec.UNSET:
            raise Malformed(f"{name}: missing")
    if run.shape not in SHAPES:
        raise Malformed(f"shape: must be one of {', '.join(SHAPES)}")
    if run.rank not in RANKS:
        raise Malformed(f"rank: must be one of {', '.join(RANKS)}")
    if not 1 <= run.pieces <= MAX_TASKS:
        raise Malformed(f"pieces: must be from 1 to {MAX_TASKS}")
    for name in ("vcpus", "cards", "mem_gb", "image_gb", "guess_s", "savepoint_s", "flush_s"):
        value = getattr(run, name)
        if not math.isfinite(value) or value < 0:
            raise Malformed(f"{name}: must be a finite number, 0 or more")
    if run.due_s is not None and (not math.isfinite(run.due_s) or run.due_s < 0):
        raise Malformed("due_s: must be a finite number, 0 or more")
    for name in ("jobclass", "owner", "bundle"):
        if not getattr(run, name):
            raise Malformed(f"{name}: must not be empty")
    return run


def read_report(body: bytes) -> Report:
    """Decode a worker's message, or raise Malformed."""
    try:
        return _report_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from None
