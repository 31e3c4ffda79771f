"""The resource limits of teams that a term enforces."""

from __future__ import annotations

from typing import Protocol

from ryewing.config.settings import Team


class TeamLimits(Protocol):
    """The limits of each team within one term; they may change during the term."""

    def teams(self) -> dict[str, Team]:
        """Return the teams by name, with their current limits."""


class SettingsLimits:
    """The limits of the settings, for a term that leads the whole fleet."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams

    def teams(self) -> dict[str, Team]:
        """Return the teams with the limits of the settings."""
        return self._teams
