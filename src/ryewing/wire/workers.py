"""Messages between the leader and the workers: heartbeats and commands.

The source is PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". Its names
(`tenure`, `mandate`, ...) are only the keys of the JSON.
"""

from __future__ import annotations

import msgspec

from ryewing.wire.codec import DECODE_ERRORS, MalformedError

START, HALT, CLEAR = "start", "halt", "clear"
"""The verbs of commands: start a task attempt, stop it, remove an ended one from the heartbeats."""


class ReportedTask(msgspec.Struct, rename={"task_id": "piece", "attempt": "try"}):
    """The state of one task attempt as reported by its worker."""

    task_id: str
    """The job id and the task number, for example `run-000412/3`."""
    attempt: int
    status: str
    """`fetching`, `gathering` (waiting for its gang), `running`, `saving` or `ended`."""
    cause: str | None = None
    """Why the attempt ended: `done`, `stopped`, `mates_gone`, `incomplete` or `error`; or, if the
    worker refused the start, `no_room`, `in_use` or `unknown`."""
    saved: bool = False
    """Whether a stopped task saved its progress."""


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
    """The full status of a worker: the body of a heartbeat or a response of `/orders` or `/show`.

    Of two heartbeats, the one with the larger pair of incarnation and sequence is newer.
    """

    machine: str
    incarnation: int
    """Starts at 1 and increases each time the worker's lease expires."""
    sequence: int
    """Increases with every heartbeat, and every response to a direct message."""
    token: int
    """The highest fencing token that the worker has seen."""
    machine_type: str
    zone: str
    address: str = ""
    """The address on which the worker accepts direct messages."""
    spot: bool = False
    notice_s: float | None = None
    """Seconds until the cloud reclaims the machine; None if it has given no notice."""
    tasks: list[ReportedTask] = []
    """All task attempts on the machine, including ended ones until they are cleared."""


_COMMAND_KEYS = {"task_id": "piece", "attempt": "try", "grace_s": "mercy_s"}


class Command(msgspec.Struct, omit_defaults=True, rename=_COMMAND_KEYS):
    """One command for a worker.

    Commands may be repeated, except that a `start` must not be repeated after a `clear`.
    """

    verb: str
    """`start`, `halt`, or `clear`, which removes an ended attempt from the heartbeats."""
    task_id: str
    """The job id and the task number, for example `run-000412/3`."""
    attempt: int
    grace_s: float | None = None
    """For `halt`: the time for saving progress, in seconds. A task whose `save_s` is longer exits
    at once."""


class HeartbeatResponse(msgspec.Struct, rename={"token": "mandate", "commands": "orders"}):
    """The body of the 200 response to a heartbeat.

    A worker ignores the response if it has seen a higher token.
    """

    token: int
    """The leader's fencing token for this worker."""
    commands: list[Command]
    """The worker executes them in this order."""


_DIRECT_COMMANDS_KEYS = {"token": "mandate", "incarnation": "tenure", "commands": "orders"}


class DirectCommands(msgspec.Struct, rename=_DIRECT_COMMANDS_KEYS):
    """The body of `POST /orders`, a direct message to a worker; without commands it is a handshake.

    The worker executes no command if it has seen a higher token, or if the incarnation is not its
    own. A direct message does not renew its lease.
    """

    token: int
    """The leader's fencing token for this worker."""
    incarnation: int
    commands: list[Command]
    """The worker executes them in this order."""


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's heartbeat; raise MalformedError if it is invalid."""
    try:
        return _heartbeat_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedError(str(error)) from None
