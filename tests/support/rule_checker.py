"""Checks responses to users and tasks on workers against the rules of the protocol.

The names of the rules, as they appear in violations:

- `job_lost`: a controller answered 404 for an accepted job, or did not answer 200 at the end.
- `final_state_changed`: a job had another status after a final state.
- `not_done`: a job was reported as done before all its tasks had finished.
- `ran_cancelled`: a task started after its job was reported as cancelled, or ran on for too long.
- `ran_twice`: a task started while another attempt of it was on a machine.
- `two_leaders`: two leaders that may both start tasks had the same machine.
- `quota`: the running tasks of a team used more GPUs than its limit.
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
    """Records responses to users and starts of tasks, and collects violations of the rules."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.accepted: set[str] = set()
        self.final_states: dict[str, str] = {}
        """By job, the first final state in a response to a user."""
        self.cancelled_at: dict[str, float] = {}
        """By job, when a response first said that it is cancelled."""
        self.violations: list[str] = []
        self.finished_tasks: dict[str, set[int]] = {}
        """By job, the tasks that have finished on a machine."""
        self.job_specs: dict[str, Any] = {}
        """By job, the spec that was first submitted under its id."""
        self.starts: Counter[str] = Counter()
        """By task id, how often it was started."""
        self.stopped_tasks: list[str] = []
        """Ids of tasks that a command stopped while they ran."""

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violation, with the seconds since the simulation began."""
        self.violations.append(f"{rule} at {self._cluster.clock() - 1000:.2f}: {detail}")

    def record_response(self, node: str, job: str, status: int, body: Any) -> None:
        """Record and check a response to a user about a job."""
        if status == 404 and job in self.accepted:
            self.add_violation("job_lost", f"{node}: {job}")
        if status not in (200, 201):
            return
        state = body["status"]
        if job in self.final_states and state != self.final_states[job]:
            self.add_violation(
                "final_state_changed", f"{node}: {job} {self.final_states[job]} -> {state}"
            )
        self.accepted.add(job)
        if state in FINAL_STATES:
            self.final_states.setdefault(job, state)
        if state == FinalState.CANCELLED:
            self.cancelled_at.setdefault(job, self._cluster.clock())
        if state == FinalState.DONE and self.finished_tasks.get(job, set()) != set(
            range(self.job_specs[job].task_count)
        ):
            self.add_violation("not_done", f"{node}: {job}")

    def is_finished(self, task_id: str) -> bool:
        """Return whether a task has finished on a machine."""
        task = parse_task_id(task_id)
        return task is not None and task.number in self.finished_tasks.get(task.job, set())

    def record_start(self, worker: TimedWorker, key: tuple[str, int]) -> None:
        """Record and check the start of a task attempt, by task id and attempt number."""
        task = parse_task_id(key[0])
        assert task is not None
        self.starts[key[0]] += 1
        if task.job in self.cancelled_at:
            self.add_violation("ran_cancelled", f"{worker.name} starts {key[0]}")
        for other in self._cluster.workers.values():
            for (task_id, attempt), reported in other.tasks.items():
                if (
                    task_id == key[0]
                    and reported.status != "ended"
                    and (other, attempt) != (worker, key[1])
                ):
                    self.add_violation("ran_twice", f"{key[0]} on {other.name} and {worker.name}")

    def _check_machine_leaders(self) -> None:
        """Check that no machine is in the state of two leaders that may both start tasks."""
        leaders: dict[str, list[str]] = {}
        for name, node in self._cluster.nodes.items():
            if name in self._cluster.dead:
                continue
            for elector in node.electors.values():
                leader = elector.leader
                if leader is None or not leader.term.has_authority():
                    continue
                for machine in leader.term.cluster.machines:
                    leaders.setdefault(machine, []).append(f"{name}/{elector.shard}")
        for machine_id, names in leaders.items():
            if len(names) > 1:
                self.add_violation("two_leaders", f"{machine_id}: {', '.join(names)}")

    def check(self) -> None:
        """Check the tasks that are on machines now, and record those that have finished."""
        cluster = self._cluster
        self._check_machine_leaders()
        cancel_s = cluster.settings.params.workers.cancel_s
        used: Counter[str] = Counter()
        for worker in cluster.workers.values():
            for (task_id, _attempt), reported in worker.tasks.items():
                task = parse_task_id(task_id)
                assert task is not None
                if reported.status == "ended":
                    if reported.cause == EndCause.DONE:
                        self.finished_tasks.setdefault(task.job, set()).add(task.number)
                    continue
                cancelled_at = self.cancelled_at.get(task.job)
                if cancelled_at is not None and cluster.clock() > cancelled_at + cancel_s:
                    self.add_violation("ran_cancelled", f"{task_id} on {worker.name}")
                spec = self.job_specs[task.job]
                used[spec.team] += spec.gpus
        for team in cluster.settings.params.teams:
            if team.gpus_max and used[team.name] > team.gpus_max:
                self.add_violation("quota", f"{team.name}: {used[team.name]} GPUs")
