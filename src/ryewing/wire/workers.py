"""What passes between the leader and the workers: heartbeats and commands.

The source is PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers". Its own
names (`tenure`, `mandate`, ...) are only the keys of the JSON.
"""

from __future__ import annotations

import msgspec

from ryewing.wire.codec import DECODE_ERRORS, MalformedError

START, HALT, CLEAR = "start", "halt", "clear"
"""The verbs of commands: run a task attempt, stop it, forget its result."""


class ReportedTask(msgspec.Struct, rename={"task_id": "piece", "attempt": "try"}):
    """One task attempt as its worker sees it."""

    task_id: str
    """Job and task number: `run-000412/3`."""
    attempt: int
    status: str
    """`fetching`, `gathering` (waiting for its gang), `running`, `saving` or `ended`."""
    cause: str | None = None
    """Why it ended: `done`, `stopped`, `mates_gone`, `incomplete`, `error`, or, where the start was
    refused, `no_room`, `in_use` or `unknown`."""
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
    """A worker's whole status: the body of its heartbeat, and the answer of `/orders` and `/show`.

    Of two, the one with the larger incarnation and sequence is the newer.
    """

    machine: str
    incarnation: int
    """Starts at 1 and increases each time the worker's lease expires."""
    sequence: int
    """Increases with every heartbeat, and every answer to a direct message."""
    token: int
    """The highest fencing token that the worker has seen."""
    machine_type: str
    zone: str
    address: str = ""
    """Where it takes direct messages."""
    spot: bool = False
    notice_s: float | None = None
    """Seconds until the cloud takes the machine away; None without a notice."""
    tasks: list[ReportedTask] = []
    """All tasks on the machine, and those that ended, until they are cleared."""


_COMMAND_KEYS = {"task_id": "piece", "attempt": "try", "grace_s": "mercy_s"}


class Command(msgspec.Struct, omit_defaults=True, rename=_COMMAND_KEYS):
    """One command for a worker. It may be repeated, but for a `start` after a `clear`."""

    verb: str
    """`start`, `halt`, or `clear`, which removes an ended task from the heartbeats."""
    task_id: str
    """Job and task number: `run-000412/3`."""
    attempt: int
    grace_s: float | None = None
    """For `halt`: the seconds that the task has to save; below its time to save it exits at once.
    """


class HeartbeatResponse(msgspec.Struct, rename={"token": "mandate", "commands": "orders"}):
    """The 200 to a heartbeat. A worker drops it if the token is lower than one it has seen."""

    token: int
    """The leader's fencing token for this worker."""
    commands: list[Command]
    """Executed in this order."""


_DIRECT_COMMANDS_KEYS = {"token": "mandate", "incarnation": "tenure", "commands": "orders"}


class DirectCommands(msgspec.Struct, rename=_DIRECT_COMMANDS_KEYS):
    """The body of `POST /orders`, a direct message to a worker; without commands the handshake.

    The worker executes nothing if the token is lower than one it has seen, or the incarnation is
    not its own. A direct message does not renew its lease.
    """

    token: int
    """The leader's fencing token for this worker."""
    incarnation: int
    commands: list[Command]
    """Executed in this order."""


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's heartbeat; raise MalformedError if it can't be decoded."""
    try:
        return _heartbeat_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedError(str(error)) from None
