"""What passes between the leader and the workers: heartbeats and commands.

The protocol's own names (`tenure`, `mandate`, ...) are only the keys of the JSON.
"""

from __future__ import annotations

import msgspec

from ryewing.wire.codec import UNREADABLE, MalformedError


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


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's message, or raise MalformedError."""
    try:
        return _heartbeat_decoder.decode(body)
    except UNREADABLE as error:
        raise MalformedError(str(error)) from None
