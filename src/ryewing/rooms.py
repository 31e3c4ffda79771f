"""What there is room for during one pass of placement: machines, teams' limits, who may use what.

Pure: snapshots that a pass claims from; nothing here decides where a task goes.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from .jobs import EPSILON, Job, count_fitting
from .picture import COLD, Hold, Machine
from .settings import Team
from .units import TeamName
from .wire import RANKS, Run

LARGE_SHARE = 0.125
"""A task that takes so much of a machine is large: a few replicas can be in its way."""


class PerCard(NamedTuple):
    """The most that recent tasks took beside each card.

    Without it, tasks that need no card fill the processors of machines with cards, and the
    dearest room of the fleet lies idle.
    """

    vcpus: float = 0.0
    mem_gb: float = 0.0
    rank: int = len(RANKS)
    """The most important rank of those tasks: more important work needs to leave nothing."""

    def widened(self, job: Job) -> PerCard:
        """Take a job into account."""
        run = job.run
        if run.cards <= 0:
            return self
        return PerCard(
            max(self.vcpus, run.vcpus / run.cards),
            max(self.mem_gb, run.mem_gb / run.cards),
            min(self.rank, job.rank),
        )

    def for_job(self, job: Job) -> PerCard:
        """Give what this job has to leave."""
        return self if job.run.cards <= 0 and job.rank >= self.rank else NO_CARDS


NO_CARDS = PerCard()
MANY = 1_000_000


class Room:
    """A machine's room during one pass."""

    __slots__ = (
        "_displaced",
        "_lasting",
        "_replicas",
        "_yielding",
        "cards",
        "dying_cards",
        "dying_mem",
        "dying_vcpus",
        "machine",
        "mem",
        "report_in",
        "reserved_s",
        "seeded",
        "stopping",
        "vcpus",
        "victims",
        "wanted",
    )

    def __init__(self, machine: Machine, stopping: frozenset[Hold] = frozenset()) -> None:
        self.machine = machine
        self.vcpus = machine.vcpus
        self.cards = machine.cards
        self.mem = machine.mem_gb
        self.reserved_s: float | None = None
        """A gang waits for this machine, and for so long at the least."""
        self.report_in: float | None = None
        """How soon its worker is thought to report, found once a pass."""
        self.stopping: set[Hold] = set(stopping)
        self.victims: dict[tuple[int, str | None, bool], list[Hold]] = {}
        """Whom a job of some rank (or a team's guarantee) may stop here, found once a pass."""
        self.seeded: set[str] = set()
        """Images for which this pass has placed a task here."""
        self.wanted = {False: 0, True: 0}
        """How many images that waiting arrays want are here, without and with cards."""
        self._lasting: tuple[float, float, float] | None = None
        """What is left beside the replicas here: what work that ends can count on."""
        self._displaced: dict[tuple[float, float, float], float] = {}
        self._replicas: int | None = None
        self._yielding: float | None = None
        self.dying_vcpus = self.dying_cards = self.dying_mem = 0.0
        for held in stopping:
            self._add_dying(held)

    def _add_dying(self, held: Hold) -> None:
        if held.job is not None:
            run = held.job.run
            self.dying_vcpus += run.vcpus
            self.dying_cards += run.cards
            self.dying_mem += run.mem_gb

    def stop(self, held: Hold) -> None:
        """Count a task as being stopped."""
        self.stopping.add(held)
        self._add_dying(held)

    def may_fit(self, run: Run) -> bool:
        """Tell, quickly, whether a task might fit once what is being stopped is gone."""
        return (
            self.vcpus + self.dying_vcpus + EPSILON >= run.vcpus
            and self.mem + self.dying_mem + EPSILON >= run.mem_gb
            and self.cards + self.dying_cards + EPSILON >= run.cards
        )

    def count(
        self, run: Run, limit: int, with_dying: bool = False, per_card: PerCard = NO_CARDS
    ) -> int:
        """Tell how many tasks of this kind fit, up to a limit.

        Tasks without cards leave what the free cards' tasks will need.
        """
        vcpus, cards, mem = self.vcpus, self.cards, self.mem
        if cards > 0:
            vcpus -= cards * per_card.vcpus
            mem -= cards * per_card.mem_gb
        if with_dying:
            vcpus += self.dying_vcpus
            cards += self.dying_cards
            mem += self.dying_mem
        return count_fitting(run, vcpus, cards, mem, limit)

    def claim(self, run: Run, count: int) -> None:
        """Take room; it may become negative where room still has to be freed."""
        self.vcpus -= run.vcpus * count
        self.cards -= run.cards * count
        self.mem -= run.mem_gb * count

    def beside_replicas(self) -> tuple[float, float, float]:
        """Tell what room there would be with nothing but the replicas here."""
        if self._lasting is None:
            flavour = self.machine.flavour
            vcpus, cards, mem = flavour.vcpus, flavour.cards, flavour.mem_gb
            for held in self.machine.holds.values():
                if held.job is not None and held.job.endless:
                    vcpus -= held.job.run.vcpus
                    cards -= held.job.run.cards
                    mem -= held.job.run.mem_gb
            self._lasting = vcpus, cards, mem
        return self._lasting

    def yielding(self) -> float:
        """Count the processors that are free, or used by what replicas may stop."""
        if self._yielding is None:
            self._yielding = self.machine.flavour.vcpus
            for held in self.machine.holds.values():
                job = held.job
                if job is not None and (job.endless or (job.gang and job.run.pieces > 1)):
                    self._yielding -= job.run.vcpus
        return self._yielding

    def replicas(self) -> int:
        """Count the replicas here, with those placed in this pass."""
        if self._replicas is None:
            holds = self.machine.holds.values()
            self._replicas = sum(held.job is not None and held.job.endless for held in holds)
        return self._replicas

    def settle(self, run: Run, count: int) -> None:
        """Replicas are placed here."""
        self._replicas = self.replicas() + count
        self.last(run, count)

    def restore(self, lasting: tuple[float, float, float]) -> None:
        """Take back what `last` has counted since."""
        self._lasting = lasting
        self._displaced.clear()

    def last(self, run: Run, count: int) -> None:
        """Count replicas as if they were here: they take their room for good."""
        vcpus, cards, mem = self.beside_replicas()
        self._lasting = (
            vcpus - run.vcpus * count,
            cards - run.cards * count,
            mem - run.mem_gb * count,
        )
        self._displaced.clear()

    def displaced(self, run: Run, kinds: Sequence[Run]) -> float:
        """Tell how much room for large tasks, as a part of the machine, one more replica takes.

        Four replicas beside a gang's task of 60 processors of 64 are in nobody's way; the fifth
        keeps such tasks off the machine for as long as it runs, and the sixth costs nothing more.
        """
        key = (run.vcpus, run.cards, run.mem_gb)
        found = self._displaced.get(key)
        if found is None:
            found = 0.0
            flavour = self.machine.flavour
            vcpus, cards, mem = self.beside_replicas()
            for kind in kinds:
                share = kind.vcpus / flavour.vcpus if flavour.vcpus else 0.0
                if kind.cards > 0 and flavour.cards:
                    share = max(share, kind.cards / flavour.cards)
                if share < LARGE_SHARE or share > 1.0:
                    continue
                before = count_fitting(kind, vcpus, cards, mem, MANY)
                if before:
                    after = count_fitting(
                        kind, vcpus - run.vcpus, cards - run.cards, mem - run.mem_gb, MANY
                    )
                    found = max(found, (before - after) * share)
            self._displaced[key] = found
        return found

    def usable_cards(self, beside: float) -> float:
        """Count the cards in use, and those free with processors left beside them."""
        free = min(self.cards, max(0.0, self.vcpus) // max(beside, 1e-3))
        return self.machine.flavour.cards - self.cards + max(0.0, free)

    def fetch_rank(self, run: Run, gang: bool) -> int:
        """Rank the machine by how soon it has the job's image; the smallest is the soonest.

        A gang avoids what is fetching already: fetches may share the rate, and where one member
        took more than `gang_wait_s` longer, the others gave up one after the other, for minutes.
        """
        warmth = self.machine.warmth(run.bundle)
        return warmth + (warmth == COLD and gang and self.fetches_other(run.bundle))

    def fetches_other(self, bundle: str) -> bool:
        """Tell whether another image is being fetched here, or is about to be."""
        here = self.machine
        return any(
            name != bundle and (count or name in self.seeded) and name not in here.images
            for name, count in here.bundles.items()
        ) or any(name != bundle and name not in here.images for name in self.seeded)

    def free_share(self) -> float:
        """Tell how empty the machine is; the smallest is the fullest."""
        flavour = self.machine.flavour
        share = self.vcpus / flavour.vcpus if flavour.vcpus else 0.0
        if flavour.mem_gb:
            share += self.mem / flavour.mem_gb
        if flavour.cards:
            share += 2.0 * self.cards / flavour.cards
        return share


def allows(run: Run, machine: Machine) -> bool:
    """Tell whether the job may use this machine at all: type, zone, kind."""
    return (
        (run.flavours is None or machine.flavour.sku in run.flavours)
        and (run.site is None or machine.site == run.site)
        and (run.loaner or not machine.loaner)
    )


def fetch_s(run: Run, gb_per_s: float) -> float:
    """Estimate how long a machine that fetches at this rate takes for the job's image."""
    return run.image_gb / max(gb_per_s, 1e-3)


def strands_cards(run: Run, machine: Machine) -> float:
    """Tell beside how many cards a task without cards would sit."""
    return machine.flavour.cards if run.cards <= 0 else 0.0


def dearness(run: Run, machine: Machine) -> float:
    """Tell how little a machine is worth keeping for the cards that a task doesn't need.

    Those with the dearest cards are the first to be unwanted: a replica there had to be moved.
    """
    flavour = machine.flavour
    if run.cards > 0 or not flavour.cards:
        return 0.0
    return flavour.price / flavour.cards


class Quota:
    """Teams' limits during one pass.

    `unseen` is the room of machines of which it isn't known what they hold: any team might use
    all of it, so it counts against each.
    """

    def __init__(
        self,
        teams: dict[str, Team],
        vcpus: dict[TeamName, float],
        cards: dict[TeamName, float],
        unseen_vcpus: float = 0.0,
        unseen_cards: float = 0.0,
    ) -> None:
        self._teams = teams
        self._vcpus = {name: used + unseen_vcpus for name, used in vcpus.items()}
        self._cards = {name: used + unseen_cards for name, used in cards.items()}
        self._unseen = (unseen_vcpus, unseen_cards)

    def headroom(self, run: Run, wanted: int) -> int:
        """Tell how many more tasks the team's limit permits, up to `wanted`."""
        team = self._teams.get(run.owner)
        if team is None:
            return 0
        name = TeamName(run.owner)
        for need, limit, used in (
            (run.vcpus, team.cpus_max, self._vcpus.get(name, self._unseen[0])),
            (run.cards, team.gpus_max, self._cards.get(name, self._unseen[1])),
        ):
            if limit > 0 and need > 0:
                wanted = min(wanted, int((limit - used + EPSILON) / need))
        return max(0, wanted)

    def use(self, run: Run, count: int) -> None:
        """Count placed or claimed tasks."""
        name = TeamName(run.owner)
        self._vcpus[name] = self._vcpus.get(name, self._unseen[0]) + run.vcpus * count
        self._cards[name] = self._cards.get(name, self._unseen[1]) + run.cards * count


class Allowed:
    """The machines that jobs of one kind may use, and what this pass found out about them."""

    __slots__ = ("_fitting", "_free", "_quickest", "full", "rooms", "slowest_fetch")

    def __init__(self, rooms: list[Room]) -> None:
        self.rooms = rooms
        self.slowest_fetch = min(
            (room.machine.flavour.fetch_gb_per_s for room in rooms), default=math.inf
        )
        self._quickest = max(
            (room.machine.flavour.fetch_gb_per_s for room in rooms), default=math.inf
        )
        self._free: dict[bool, list[Room]] = {}
        self._fitting: list[tuple[Run, list[Room]]] = []
        self.full: dict[tuple[int, bool, str | None], list[tuple[float, float, float]]] = {}
        """What, by what a job may stop for it, found not even room to be freed. A pass only takes
        room, so whatever needs as much need not look."""

    def fetch_s(self, run: Run) -> float:
        """Estimate how long the slowest of these machines takes to fetch the job's image."""
        return fetch_s(run, self.slowest_fetch)

    def quickest_s(self, run: Run) -> float:
        """Estimate how long the quickest of these machines takes to fetch the job's image."""
        return fetch_s(run, self._quickest)

    @staticmethod
    def _claim(job: Job) -> tuple[int, bool, str | None]:
        return (job.rank, job.run.cards > 0, job.run.owner if job.guaranteed else None)

    def fitting(self, run: Run) -> list[Room]:
        """List the machines where a task might fit once what is being stopped is gone.

        Looked for among those that fitted a smaller task before: a pass only takes room, but for
        what it stops (`forget_fitting`).
        """
        among = self.rooms
        for smaller, rooms in self._fitting:
            if (
                run.vcpus >= smaller.vcpus
                and run.cards >= smaller.cards
                and run.mem_gb >= smaller.mem_gb
                and len(rooms) < len(among)
            ):
                among = rooms
        found = [room for room in among if room.may_fit(run)]
        if among is self.rooms:
            self._fitting.append((run, found))
        return found

    def forget_fitting(self) -> None:
        """Something is being stopped: there is room that was not there before."""
        self._fitting.clear()

    def free(self, run: Run) -> list[Room]:
        """List the machines that may still have room for a task, looked through once a kind."""
        key = run.cards > 0
        found = self._free.get(key)
        if found is None:
            found = [room for room in self.rooms if room.vcpus > 0 and (room.cards > 0 or not key)]
            self._free[key] = found
        return [room for room in found if room.count(run, 1)]

    def known_full(self, job: Job) -> bool:
        """Tell whether a job that needs no more has looked in vain."""
        run = job.run
        return any(
            run.vcpus >= vcpus and run.cards >= cards and run.mem_gb >= mem
            for vcpus, cards, mem in self.full.get(self._claim(job), ())
        )

    def note_full(self, job: Job) -> None:
        """A job has looked in vain, at every machine."""
        run = job.run
        self.full.setdefault(self._claim(job), []).append((run.vcpus, run.cards, run.mem_gb))
