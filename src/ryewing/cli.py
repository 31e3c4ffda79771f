"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from ryewing import __version__
from ryewing.config import policy as policies
from ryewing.config.settings import Settings, SettingsError
from ryewing.config.settings import load as load_settings

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
POLICY_VARIABLE = "RYEWING_POLICY"


def parser() -> argparse.ArgumentParser:
    """Describe the command line."""
    top = argparse.ArgumentParser(
        prog="ryewing",
        description="One controller of the ryewing cluster scheduler.",
        epilog="LOG_LEVEL (error, info, debug) sets the amount of logging on standard error.",
    )
    top.add_argument("--version", action="version", version=f"ryewing {__version__}")
    top.add_argument(
        "--policy",
        metavar="LUA",
        default=os.environ.get(POLICY_VARIABLE),
        help=f"operators' Lua script (default: the variable {POLICY_VARIABLE})",
    )
    top.add_argument("--config", metavar="FILE", help="run a controller with this settings file")
    top.add_argument(
        "--shards",
        metavar="FILE|zones:N",
        help="divide the fleet among the controllers: by a file, or into N shards of whole zones",
    )
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check", help="check a settings file and the Lua script, and end")
    check.add_argument("file", help="the settings file")
    check.add_argument(
        "--shards",
        metavar="FILE|zones:N",
        dest="checked_shards",
        help="a division of the fleet to check as well",
    )
    shards = commands.add_parser("shards", help="list the shards and their owners, or move one")
    shards.add_argument("file", help="the settings file of any controller")
    shards.add_argument("--move", metavar="SHARD", help="a shard to be led by another controller")
    shards.add_argument("--to", metavar="NODE", help="the controller that is to lead it")
    return top


def _log_to_stderr() -> None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(name, logging.INFO),
        format="time=%(asctime)s level=%(levelname)s part=%(name)s %(message)s",
    )


def _load(path: str, script: str | None) -> tuple[Settings, policies.Policy]:
    settings = load_settings(path)
    if script:
        return settings, policies.load(script, settings)
    return settings, policies.defaults(settings)


def _check_shards(text: str, settings: Settings) -> None:
    from ryewing.sharding.check import describe  # only who asks for it pays for the import

    for line in describe(text, settings):
        print(line)


def _command(
    arguments: argparse.Namespace, settings: Settings, top: argparse.ArgumentParser
) -> int:
    if arguments.command == "check":
        if arguments.checked_shards is not None:
            _check_shards(arguments.checked_shards, settings)
        print(f"{arguments.file}: good for node {settings.node}")
        return 0
    if (arguments.move is None) != (arguments.to is None):
        top.error("--move SHARD and --to NODE go together")
    from ryewing.sharding import command

    return command.run(settings, arguments.move, arguments.to)


def _serve(arguments: argparse.Namespace, settings: Settings, policy: policies.Policy) -> None:
    # Only a controller pays for these imports, and for shards only one that leads some.
    if arguments.shards is not None:
        from ryewing.sharding import serve
        from ryewing.sharding.settings import shards_from

        shards = shards_from(arguments.shards, settings)
        _log_to_stderr()
        serve.serve(settings, policy, shards)
        return
    _log_to_stderr()
    from ryewing.process.node import Node

    Node(settings, policy).serve()


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    top = parser()
    arguments = top.parse_args(argv)
    path = arguments.file if arguments.command is not None else arguments.config
    if path is None:
        top.error("give --config FILE to run a controller, or a command")
    try:
        settings, policy = _load(path, arguments.policy)
        if arguments.command is not None:
            return _command(arguments, settings, top)
        _serve(arguments, settings, policy)
    except (SettingsError, policies.PolicyError) as error:
        print(f"ryewing: {error}", file=sys.stderr)
        return 1
    return 0
