"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from pathlib import Path

from . import __version__
from . import policy as policies
from .settings import Settings, SettingsError
from .settings import load as load_settings

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
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser("check", help="check a settings file and the Lua script, and end")
    check.add_argument("file", help="the settings file")
    check.add_argument("--shards", metavar="FILE", help="a division of the fleet to check as well")
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


def _check_shards(path: str, settings: Settings) -> None:
    from .sharding.settings import load_shards  # only who asks for it pays for the import

    shards = load_shards(Path(path), settings)
    print(f"{path}: good, shards {', '.join(shards.names())}")


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    top = parser()
    arguments = top.parse_args(argv)
    path = arguments.file if arguments.command == "check" else arguments.config
    if path is None:
        top.error("give --config FILE to run a controller, or a command")
    try:
        settings, policy = _load(path, arguments.policy)
        if arguments.command == "check" and arguments.shards is not None:
            _check_shards(arguments.shards, settings)
    except (SettingsError, policies.PolicyError) as error:
        print(f"ryewing: {error}", file=sys.stderr)
        return 1
    if arguments.command == "check":
        print(f"{path}: good for node {settings.node}")
        return 0
    _log_to_stderr()
    from .node import Node  # only a controller pays for these imports

    Node(settings, policy).serve()
    return 0
