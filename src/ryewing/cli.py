"""The command line: runs a controller, checks settings, lists the shards or moves one."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from ryewing import __version__
from ryewing.config.errors import ConfigError
from ryewing.config.policy import Policy, default_policy, load_policy
from ryewing.config.settings import Settings
from ryewing.config.settings_file import load_settings

LOG_LEVEL_VARIABLE = "LOG_LEVEL"
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
POLICY_VARIABLE = "RYEWING_POLICY"
SHARDS_METAVAR = "FILE|zones:N"

EXIT_OK = 0
EXIT_UNUSABLE_CONFIG = 1


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ryewing",
        description="One controller of the ryewing cluster scheduler.",
        epilog="LOG_LEVEL (error, info, debug) sets the amount of logging on standard error.",
    )
    parser.add_argument("--version", action="version", version=f"ryewing {__version__}")
    parser.add_argument(
        "--policy",
        metavar="LUA",
        default=os.environ.get(POLICY_VARIABLE),
        help=f"operators' Lua script (default: the variable {POLICY_VARIABLE})",
    )
    parser.add_argument("--config", metavar="FILE", help="run a controller with this settings file")
    parser.add_argument(
        "--shards",
        metavar=SHARDS_METAVAR,
        help="divide the fleet among the controllers: by a file, or into N shards of whole zones",
    )
    _add_commands(parser)
    return parser


def _add_commands(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check", help="check a settings file and the Lua script, and end")
    check.add_argument("file", help="the settings file")
    check.add_argument(
        "--shards",
        metavar=SHARDS_METAVAR,
        dest="checked_shards",
        help="a division of the fleet to check as well",
    )
    shards = commands.add_parser("shards", help="list the shards and their owners, or move one")
    shards.add_argument("file", help="the settings file of any controller")
    shards.add_argument("--move", metavar="SHARD", help="a shard to be led by another controller")
    shards.add_argument("--to", metavar="NODE", help="the controller that is to lead it")


def _log_to_stderr() -> None:
    level = os.environ.get(LOG_LEVEL_VARIABLE, "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="time=%(asctime)s level=%(levelname)s part=%(name)s %(message)s",
    )


def _run_command(
    arguments: argparse.Namespace, settings: Settings, parser: argparse.ArgumentParser
) -> int:
    """Run a command other than the controller; return the exit code."""
    if arguments.command == "check":
        return _check(arguments, settings)
    if (arguments.move is None) != (arguments.to is None):
        parser.error("--move SHARD and --to NODE go together")
    # The import is paid for only by who asks for this command.
    from ryewing.sharding import command

    return command.run(settings, arguments.move, arguments.to)


def _check(arguments: argparse.Namespace, settings: Settings) -> int:
    if arguments.checked_shards is not None:
        # The import is paid for only by who asks for this check.
        from ryewing.sharding.check import describe_division

        for line in describe_division(arguments.checked_shards, settings):
            print(line)
    print(f"{arguments.file}: good for node {settings.node}")
    return EXIT_OK


def _serve(arguments: argparse.Namespace, settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is killed.

    Only a controller pays for these imports, and for those of shards only one that leads some.
    """
    if arguments.shards is not None:
        from ryewing.sharding import serve
        from ryewing.sharding.settings import parse_shards_option

        shards = parse_shards_option(arguments.shards, settings)
        _log_to_stderr()
        serve.serve(settings, policy, shards)
        return
    _log_to_stderr()
    from ryewing.process.node import Node

    Node(settings, policy).serve()


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Without `argv` the process's own arguments are used. Wrong usage ends the process with
    argparse's exit code 2.
    """
    parser = make_parser()
    arguments = parser.parse_args(argv)
    path = arguments.file if arguments.command is not None else arguments.config
    if path is None:
        parser.error("give --config FILE to run a controller, or a command")
    try:
        settings = load_settings(path)
        script = arguments.policy
        policy = load_policy(script, settings) if script else default_policy(settings)
        if arguments.command is not None:
            return _run_command(arguments, settings, parser)
        _serve(arguments, settings, policy)
    except ConfigError as error:
        print(f"ryewing: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    return EXIT_OK
