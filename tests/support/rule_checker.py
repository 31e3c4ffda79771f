"""Holds what users were told and what workers ran against the rules of the protocol."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from ryewing.state.attempts import EndCause
from ryewing.state.job_records import FINAL_STATES, FinalState
from ryewing.units import parse_task

if TYPE_CHECKING:
    from support.cluster import Cluster
    from support.timed_workers import TimedWorker


class RuleChecker:
    """What users were told and what workers ran, against the rules."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.accepted: set[str] = set()
        self.final: dict[str, str] = {}
        """The final states that users were told."""
        self.told_cancelled: dict[str, float] = {}
        self.broken: list[str] = []
        self.ended_done: dict[str, set[int]] = {}
        self.runs: dict[str, Any] = {}
        self.starts: Counter[str] = Counter()
        """How often each task was begun."""
        self.halted: list[str] = []
        """Tasks that were stopped by a command while they ran."""

    def _violation(self, rule: str, what: str) -> None:
        self.broken.append(f"{rule} at {self._cluster.clock() - 1000:.2f}: {what}")

    def told(self, node: str, job: str, status: int, answer: Any) -> None:
        """A user was answered."""
        if status == 404 and job in self.accepted:
            self._violation("forgotten", f"{node}: {job}")
        if status not in (200, 201):
            return
        state = answer["status"]
        if job in self.final and state != self.final[job]:
            self._violation("went_back", f"{node}: {job} {self.final[job]} -> {state}")
        self.accepted.add(job)
        if state in FINAL_STATES:
            self.final.setdefault(job, state)
        if state == FinalState.CANCELLED:
            self.told_cancelled.setdefault(job, self._cluster.clock())
        if state == FinalState.DONE and self.ended_done.get(job, set()) != set(
            range(self.runs[job].task_count)
        ):
            self._violation("not_done", f"{node}: {job}")

    def started(self, worker: TimedWorker, key: tuple[str, int]) -> None:
        """A worker has begun an attempt."""
        task = parse_task(key[0])
        assert task is not None
        self.starts[key[0]] += 1
        if task.job in self.told_cancelled:
            self._violation("ran_cancelled", f"{worker.name} starts {key[0]}")
        for other in self._cluster.workers.values():
            for (reported, attempt), found in other.tasks.items():
                if (
                    reported == key[0]
                    and found.status != "ended"
                    and (other, attempt)
                    != (
                        worker,
                        key[1],
                    )
                ):
                    self._violation("ran_twice", f"{key[0]} on {other.name} and {worker.name}")

    def _look_at_owners(self) -> None:
        """No machine may be counted by two leaders at once that may both start tasks."""
        owners: dict[str, list[str]] = {}
        for name, node in self._cluster.nodes.items():
            if name in self._cluster.dead:
                continue
            for elector in node.electors.values():
                leader = elector.leader
                if leader is None or not leader.term.may_start():
                    continue
                for machine in leader.term.cluster.machines:
                    owners.setdefault(machine, []).append(f"{name}/{elector.shard}")
        for machine_id, names in owners.items():
            if len(names) > 1:
                self._violation("counted_twice", f"{machine_id} by {', '.join(names)}")

    def look(self) -> None:
        """Look at what is on the machines now."""
        cluster = self._cluster
        self._look_at_owners()
        cancel_s = cluster.settings.params.workers.cancel_s
        used: Counter[str] = Counter()
        for worker in cluster.workers.values():
            for (reported, _attempt), found in worker.tasks.items():
                task = parse_task(reported)
                assert task is not None
                if found.status == "ended":
                    if found.cause == EndCause.DONE:
                        self.ended_done.setdefault(task.job, set()).add(task.number)
                    continue
                told = self.told_cancelled.get(task.job)
                if told is not None and cluster.clock() > told + cancel_s:
                    self._violation("ran_cancelled", f"{reported} on {worker.name}")
                wanted = self.runs[task.job]
                used[wanted.team] += wanted.gpus
        for team in cluster.settings.params.teams:
            if team.gpus_max and used[team.name] > team.gpus_max:
                self._violation("quota", f"{team.name}: {used[team.name]} cards")
