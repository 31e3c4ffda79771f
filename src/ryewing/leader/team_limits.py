"""The limits of teams that a term keeps to."""

from __future__ import annotations

from typing import Protocol

from ryewing.config.settings import Team


class TeamLimits(Protocol):
    """What each team may use under one term; the limits may change while it lasts."""

    def teams(self) -> dict[str, Team]:
        """Return the teams by name, with their limits of now."""


class SettingsLimits:
    """The limits of the settings: for a term that leads the whole fleet."""

    def __init__(self, teams: dict[str, Team]) -> None:
        self._teams = teams

    def teams(self) -> dict[str, Team]:
        """Return the teams as the settings have them."""
        return self._teams
