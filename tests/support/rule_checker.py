"""Checks what users were told and what workers ran against the rules of the protocol.

The rules are named as in violations: `forgotten`, `went_back`, `not_done`, `ran_cancelled`,
`ran_twice`, `counted_twice` and `quota`.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from ryewing.state.attempts import EndCause
from ryewing.state.job_records import FINAL_STATES, FinalState
from ryewing.units import parse_task_id

if TYPE_CHECKING:
    from support.simulated_cluster import SimulatedCluster
    from support.timed_workers import TimedWorker


class RuleChecker:
    """Records answers to users and starts of tasks, and collects violations of the rules."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.accepted: set[str] = set()
        self.final_states: dict[str, str] = {}
        """By job, the first final state that a user was told."""
        self.cancelled_at: dict[str, float] = {}
        """By job, when a user was first told that it is cancelled."""
        self.violations: list[str] = []
        self.ended_done: dict[str, set[int]] = {}
        """By job, the tasks that have finished on a machine."""
        self.job_specs: dict[str, Any] = {}
        """By job, what was submitted first under its id."""
        self.starts: Counter[str] = Counter()
        """By task, how often it was started."""
        self.stopped_tasks: list[str] = []
        """Tasks that a command stopped while they ran."""

    def add_violation(self, rule: str, what: str) -> None:
        """Record a violation, with the seconds since the simulation began."""
        self.violations.append(f"{rule} at {self._cluster.clock() - 1000:.2f}: {what}")

    def record_answer(self, node: str, job: str, status: int, answer: Any) -> None:
        """Record and check an answer to a user."""
        if status == 404 and job in self.accepted:
            self.add_violation("forgotten", f"{node}: {job}")
        if status not in (200, 201):
            return
        state = answer["status"]
        if job in self.final_states and state != self.final_states[job]:
            self.add_violation("went_back", f"{node}: {job} {self.final_states[job]} -> {state}")
        self.accepted.add(job)
        if state in FINAL_STATES:
            self.final_states.setdefault(job, state)
        if state == FinalState.CANCELLED:
            self.cancelled_at.setdefault(job, self._cluster.clock())
        if state == FinalState.DONE and self.ended_done.get(job, set()) != set(
            range(self.job_specs[job].task_count)
        ):
            self.add_violation("not_done", f"{node}: {job}")

    def record_start(self, worker: TimedWorker, key: tuple[str, int]) -> None:
        """Record and check the start of a task attempt."""
        task = parse_task_id(key[0])
        assert task is not None
        self.starts[key[0]] += 1
        if task.job in self.cancelled_at:
            self.add_violation("ran_cancelled", f"{worker.name} starts {key[0]}")
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
                    self.add_violation("ran_twice", f"{key[0]} on {other.name} and {worker.name}")

    def _check_machine_owners(self) -> None:
        """Check that no machine belongs to two leaders that may both start tasks."""
        owners: dict[str, list[str]] = {}
        for name, node in self._cluster.nodes.items():
            if name in self._cluster.dead:
                continue
            for elector in node.electors.values():
                leader = elector.leader
                if leader is None or not leader.term.has_authority():
                    continue
                for machine in leader.term.cluster.machines:
                    owners.setdefault(machine, []).append(f"{name}/{elector.shard}")
        for machine_id, names in owners.items():
            if len(names) > 1:
                self.add_violation("counted_twice", f"{machine_id} by {', '.join(names)}")

    def check(self) -> None:
        """Check what runs on the machines now."""
        cluster = self._cluster
        self._check_machine_owners()
        cancel_s = cluster.settings.params.workers.cancel_s
        used: Counter[str] = Counter()
        for worker in cluster.workers.values():
            for (reported, _attempt), found in worker.tasks.items():
                task = parse_task_id(reported)
                assert task is not None
                if found.status == "ended":
                    if found.cause == EndCause.DONE:
                        self.ended_done.setdefault(task.job, set()).add(task.number)
                    continue
                told = self.cancelled_at.get(task.job)
                if told is not None and cluster.clock() > told + cancel_s:
                    self.add_violation("ran_cancelled", f"{reported} on {worker.name}")
                wanted = self.job_specs[task.job]
                used[wanted.team] += wanted.gpus
        for team in cluster.settings.params.teams:
            if team.gpus_max and used[team.name] > team.gpus_max:
                self.add_violation("quota", f"{team.name}: {used[team.name]} cards")
