"""The command `shards` for operators: shows which controller owns which shard, or moves a shard.

The command sends requests only to the store. It changes only the ownership record of a shard, by
the same step as the rebalancer (`ownership.begin_move`).
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
"""How long the command waits for the end of its move."""
POLL_INTERVAL_S = 0.25


class ExitCode(enum.IntEnum):
    """The exit codes of the command."""

    DONE = 0
    REFUSED = 3
    """Nothing was changed; the message gives the reason."""
    NO_STORE = 4
    """The store did not answer; a move may have begun."""
    NOT_FINISHED = 5
    """The move began, but was undone or did not finish before the timeout."""


class CommandError(ShardingError):
    """Ends the command with an exit code; the message is the line to print."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class ShardsCommand:
    """One run of the command.

    `show` and `move` raise CommandError if they fail, and StoreUnavailableError if the store does
    not answer.
    """

    def __init__(
        self,
        store: Store,
        write: Callable[[str], None] = print,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._store = store
        self._registry = ShardRegistry(store)
        self._print_line = write
        self._sleep = sleep

    def show(self) -> None:
        """Print a line for each shard."""
        names = self._names()
        snapshot = self._registry.read(names)
        self._print_line(
            f"{'SHARD':<16} {'OWNER':<16} {'HEALTHY':<8} {'PHASE':<8} {'TARGET':<16} EPOCH AGE"
        )
        for name in names:
            self._print_line(_line(name, snapshot))

    def move(self, name: ShardName, target: NodeName) -> None:
        """Begin a move and print its phases until it has finished."""
        names = self._names()
        if name not in names:
            raise CommandError(ExitCode.REFUSED, f"unknown shard {name!r}: {', '.join(names)}")
        snapshot = self._registry.read(names)
        stored = snapshot.shards[name]
        if stored.record is None:
            raise CommandError(ExitCode.REFUSED, f"shard {name!r} has no readable ownership record")
        try:
            started = self._registry.apply_step_to_existing(
                name, stored, lambda old: begin_move(old, target, snapshot.healthy)
            )
        except MoveRefusedError as error:
            raise CommandError(ExitCode.REFUSED, f"shard {name!r}: {error}") from None
        if started is None:
            raise CommandError(
                ExitCode.REFUSED, f"shard {name!r} changed concurrently: run the command again"
            )
        self._print_line(f"shard {name}: moving from {started.owner} to {target}")
        self._follow(name, started, target)

    def _follow(self, name: ShardName, started: Ownership, target: NodeName) -> None:
        started_at = monotonic_now()
        phase = started.phase
        while monotonic_now() - started_at < MOVE_TIMEOUT_S:
            self._sleep(POLL_INTERVAL_S)
            record = self._registry.read([name]).shards[name].record
            if record is None or record.epoch == started.epoch:
                continue
            if record.phase is Phase.OWNED:
                self._print_outcome(name, record, target, monotonic_now() - started_at)
                return
            if record.phase is not phase:
                phase = record.phase
                self._print_line(f"shard {name}: {phase.value}")
        raise CommandError(
            ExitCode.NOT_FINISHED,
            f"shard {name!r}: still {phase.value} after {MOVE_TIMEOUT_S:g} s",
        )

    def _print_outcome(
        self, name: ShardName, record: Ownership, target: NodeName, took_s: float
    ) -> None:
        if record.owner != target:
            raise CommandError(
                ExitCode.NOT_FINISHED, f"shard {name!r}: the move was undone, owner {record.owner}"
            )
        self._print_line(f"shard {name}: owned by {target} after {took_s:.1f} s")

    def _names(self) -> list[ShardName]:
        entry = self._store.get(DIVISION_KEY)
        if entry is None:
            raise CommandError(ExitCode.REFUSED, "the fleet is not divided into shards")
        shards = decode_stored(entry.data, list[ShardZones], entry.key)
        if shards is None:
            raise CommandError(ExitCode.REFUSED, f"{DIVISION_KEY} can't be read")
        return [ShardName(shard.name) for shard in shards]


def _line(name: ShardName, snapshot: RegistrySnapshot) -> str:
    stored = snapshot.shards[name]
    record = stored.record
    if record is None:
        return f"{name:<16} {'-' if stored.readable else 'unreadable'}"
    healthy = "yes" if record.owner in snapshot.healthy else "no"
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
