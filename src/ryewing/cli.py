"""The command line: runs a controller, checks settings, and lists or moves shards."""

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
EXIT_INVALID_CONFIG = 1


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all options and commands."""
    parser = argparse.ArgumentParser(
        prog="ryewing",
        description="One controller of the ryewing cluster scheduler.",
        epilog="The variable LOG_LEVEL (error, info, debug) sets the level of the log on stderr.",
    )
    parser.add_argument("--version", action="version", version=f"ryewing {__version__}")
    parser.add_argument(
        "--policy",
        metavar="LUA",
        default=os.environ.get(POLICY_VARIABLE),
        help=f"Lua script that overrides policy defaults (default: the variable {POLICY_VARIABLE})",
    )
    parser.add_argument("--config", metavar="FILE", help="run a controller with this settings file")
    parser.add_argument(
        "--shards",
        metavar=SHARDS_METAVAR,
        help="divide the fleet into the shards of a file, or into N shards of whole zones",
    )
    _add_subparsers(parser)
    return parser


def _add_subparsers(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check", help="check a settings file and the Lua script, then exit")
    check.add_argument("file", help="the settings file")
    check.add_argument(
        "--shards",
        metavar=SHARDS_METAVAR,
        dest="checked_shards",
        help="also check this division of the fleet",
    )
    shards = commands.add_parser("shards", help="list the shards and their owners, or move one")
    shards.add_argument("file", help="the settings file of any controller")
    shards.add_argument("--move", metavar="SHARD", help="the shard to move to another controller")
    shards.add_argument("--to", metavar="NODE", help="the controller to move it to")


def _configure_logging() -> None:
    level = os.environ.get(LOG_LEVEL_VARIABLE, "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="time=%(asctime)s level=%(levelname)s part=%(name)s %(message)s",
    )


def _run_command(
    arguments: argparse.Namespace, settings: Settings, parser: argparse.ArgumentParser
) -> int:
    """Run the command `check` or `shards` and return the exit code."""
    if arguments.command == "check":
        return _check(arguments, settings)
    if (arguments.move is None) != (arguments.to is None):
        parser.error("--move SHARD and --to NODE go together")
    # Imported here so that other commands do not load the sharding package.
    from ryewing.sharding import command

    return command.run(settings, arguments.move, arguments.to)


def _check(arguments: argparse.Namespace, settings: Settings) -> int:
    if arguments.checked_shards is not None:
        # Imported here so that a check without --shards does not load the sharding package.
        from ryewing.sharding.check import describe_division

        for line in describe_division(arguments.checked_shards, settings):
            print(line)
    print(f"{arguments.file}: good for node {settings.node}")
    return EXIT_OK


def _serve(arguments: argparse.Namespace, settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is killed.

    The imports are local so that other commands do not load the controller, and a controller
    without shards does not load the sharding package.
    """
    if arguments.shards is not None:
        from ryewing.sharding import serve
        from ryewing.sharding.settings import parse_shards_option

        shards = parse_shards_option(arguments.shards, settings)
        _configure_logging()
        serve.serve(settings, policy, shards)
        return
    _configure_logging()
    from ryewing.process.node import Node

    Node(settings, policy).serve()


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    `argv` defaults to the arguments of the process. On a usage error argparse exits with code 2.
    """
    parser = make_parser()
    arguments = parser.parse_args(argv)
    path = arguments.file if arguments.command is not None else arguments.config
    if path is None:
        parser.error("either --config FILE or a command is required")
    try:
        settings = load_settings(path)
        script = arguments.policy
        policy = load_policy(script, settings) if script else default_policy(settings)
        if arguments.command is not None:
            return _run_command(arguments, settings, parser)
        _serve(arguments, settings, policy)
    except ConfigError as error:
        print(f"ryewing: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    return EXIT_OK
