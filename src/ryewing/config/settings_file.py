"""Reading the platform's settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from ryewing.config.settings import OBJECTIVE_KINDS, Settings, SettingsError
from ryewing.config.settings_check import find_problems
from ryewing.wire.codec import DECODE_ERRORS

PROBLEMS_TOLD = 5
"""How many of the problems found are told at once."""


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raise SettingsError with the first problems, each with the path of its field.
    """
    try:
        raw = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except DECODE_ERRORS as error:
        raise SettingsError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: not an object")
    try:
        settings = _convert(raw)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {str(error).replace('`$.', '`')}") from None
    problems = find_problems(settings)
    if problems:
        raise SettingsError("; ".join(f"{path}: {problem}" for problem in problems[:PROBLEMS_TOLD]))
    return settings


def _convert(raw: dict[str, Any]) -> Settings:
    """Convert the decoded JSON; raise msgspec.ValidationError if a field is missing or wrong.

    `resources` and `clock_off_ms` are accepted at the top level as well as under `params`.
    Objectives of kinds that are not used are left out unread, whatever fields they have.
    """
    params = raw.get("params")
    if isinstance(params, dict):
        objectives = params.get("objectives")
        if isinstance(objectives, list):
            params["objectives"] = [
                objective
                for objective in objectives
                if not isinstance(objective, dict) or objective.get("kind") in OBJECTIVE_KINDS
            ]
        for name in ("resources", "clock_off_ms"):
            if name not in params and name in raw:
                params[name] = raw[name]
    return msgspec.convert(raw, Settings)
