"""The operators' command `shards`: shows which controller owns which shard, and moves a shard.

It sends requests to the store alone, and changes only a shard's ownership record, by the same step
as the rebalancer (`ownership.begin_move`).
"""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable

import gevent

from ryewing.clients.store import Store, StoreUnavailableError, decode_stored
from ryewing.config.settings import Settings, parse_address
from ryewing.sharding.errors import ShardingError
from ryewing.sharding.ownership import MoveRefusedError, Ownership, Phase, begin_move
from ryewing.sharding.registry import DIVISION_KEY, RegistrySnapshot, ShardRegistry, ShardZones
from ryewing.units import NodeName, ShardName, monotonic_now, wall_now

MOVE_TIMEOUT_S = 60.0
"""How long the command waits for a move that it began."""
POLL_EVERY_S = 0.25


class ExitCode(enum.IntEnum):
    """The exit codes of the command."""

    DONE = 0
    REFUSED = 3
    """Nothing was changed, for the reason given."""
    NO_STORE = 4
    """The store did not answer; a move may have been begun."""
    NOT_FINISHED = 5
    """The move was begun, and was undone, or not finished when the command ended."""


class CommandError(ShardingError):
    """Ends the command with an exit code; the message is the line to print."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class ShardsCommand:
    """One call of the command.

    Both methods raise CommandError if they can't do what is asked, and StoreUnavailableError if the
    store does not answer.
    """

    def __init__(
        self,
        store: Store,
        write: Callable[[str], None] = print,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._store = store
        self._registry = ShardRegistry(store)
        self._write = write
        self._sleep = sleep

    def show(self) -> None:
        """Print a line for each shard."""
        names = self._names()
        registration = self._registry.read(names)
        self._write(
            f"{'SHARD':<16} {'OWNER':<16} {'HEALTHY':<8} {'PHASE':<8} {'TARGET':<16} EPOCH AGE"
        )
        for name in names:
            self._write(_line(name, registration))

    def move(self, name: ShardName, target: NodeName) -> None:
        """Begin a move, and print its phases until it is finished."""
        names = self._names()
        if name not in names:
            raise CommandError(ExitCode.REFUSED, f"unknown shard {name!r}: {', '.join(names)}")
        registration = self._registry.read(names)
        stored = registration.shards[name]
        if stored.record is None:
            raise CommandError(ExitCode.REFUSED, f"shard {name!r} has no readable owner yet")
        try:
            begun = self._registry.advance(
                name, stored, lambda old: begin_move(old, target, registration.healthy)
            )
        except MoveRefusedError as error:
            raise CommandError(ExitCode.REFUSED, f"shard {name!r}: {error}") from None
        if begun is None:
            raise CommandError(ExitCode.REFUSED, f"shard {name!r} changed just now: ask again")
        self._write(f"shard {name}: moving from {begun.owner} to {target}")
        self._follow(name, begun, target)

    def _follow(self, name: ShardName, begun: Ownership, target: NodeName) -> None:
        began_at = monotonic_now()
        phase = begun.phase
        while monotonic_now() - began_at < MOVE_TIMEOUT_S:
            self._sleep(POLL_EVERY_S)
            record = self._registry.read([name]).shards[name].record
            if record is None or record.epoch == begun.epoch:
                continue
            if record.phase is Phase.OWNED:
                self._write_outcome(name, record, target, monotonic_now() - began_at)
                return
            if record.phase is not phase:
                phase = record.phase
                self._write(f"shard {name}: {phase.value}")
        raise CommandError(
            ExitCode.NOT_FINISHED,
            f"shard {name!r}: still {phase.value} after {MOVE_TIMEOUT_S:g} s",
        )

    def _write_outcome(
        self, name: ShardName, record: Ownership, target: NodeName, took_s: float
    ) -> None:
        if record.owner != target:
            raise CommandError(
                ExitCode.NOT_FINISHED, f"shard {name!r}: the move was undone, owner {record.owner}"
            )
        self._write(f"shard {name}: owned by {target} after {took_s:.1f} s")

    def _names(self) -> list[ShardName]:
        entry = self._store.get(DIVISION_KEY)
        if entry is None:
            raise CommandError(ExitCode.REFUSED, "the fleet is not divided into shards")
        shards = decode_stored(entry.data, list[ShardZones], entry.key)
        if shards is None:
            raise CommandError(ExitCode.REFUSED, f"{DIVISION_KEY} can't be read")
        return [ShardName(shard.name) for shard in shards]


def _line(name: ShardName, registration: RegistrySnapshot) -> str:
    stored = registration.shards[name]
    record = stored.record
    if record is None:
        return f"{name:<16} {'-' if stored.readable else 'unreadable'}"
    healthy = "yes" if record.owner in registration.healthy else "no"
    age_s = max(0.0, wall_now() - record.changed_at)
    return (
        f"{name:<16} {record.owner:<16} {healthy:<8} {record.phase.value:<8} "
        f"{record.target or '-':<16} {record.epoch:<5} {age_s:.0f}s"
    )


def run(settings: Settings, name: str | None, target: str | None) -> int:
    """Run the command and return its exit code: show the shards, or move the named one."""
    store = Store(parse_address(settings.endpoints.state), settings.params.state.strictest())
    command = ShardsCommand(store)
    try:
        if name is None:
            command.show()
        else:
            command.move(ShardName(name), NodeName(target or ""))
    except CommandError as error:
        print(f"ryewing: {error}", file=sys.stderr)
        return error.code
    except StoreUnavailableError as error:
        print(f"ryewing: the state service does not answer: {error}", file=sys.stderr)
        return ExitCode.NO_STORE
    return ExitCode.DONE
