"""The leader's term: rebuild, then loops that bring what is to what is wanted.

Everything here ends with the term. The loops share one picture in one thread; gevent switches
only where a request is under way, so what is decided between two requests is consistent.
"""

from __future__ import annotations

import logging
import random
import time
from collections import OrderedDict
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.pool import Group

from . import fleet, placement, queueing
from .budget import Budget
from .cloud import RELEASE_MAX, RENT_MAX, Cloud, CloudDown, NoCapacity
from .jobs import (
    CANCELLED,
    CHUNK,
    DONE,
    DONE_PREFIX,
    LIVE_PREFIX,
    Book,
    Job,
    JobRecord,
    done_key,
    final_key,
    fits_flavour,
    live_key,
)
from .leadership import Mandate
from .picture import PLANNED, RUNNING, SAVING, SENT, WARM, Hold, Machine, Picture
from .policy import Policy
from .settings import Settings, parse_address
from .stops import Stops
from .store import Compacted, LeaseLost, Put, Remove, Store, StoreDown
from .units import (
    DRIFT,
    NUDGES_MAX,
    Attempt,
    Epoch,
    JobId,
    MachineId,
    ReportVersion,
    Stamp,
    Steady,
    TaskId,
    Zone,
    attempt_of,
    steady_now,
    term_of,
    wall_now,
)
from .wire import Flavour, FlavourList, Hire, Order, Report, ReportAnswer, RunStatus
from .workers import Workers, WorkerSilent

log = logging.getLogger("ryewing.leader")

MACHINE_PREFIX = "m/"
HIRE_PREFIX = "h/"
FLAVOURS_KEY = "flavours"
JOB_BYTES = 4096
"""What a live job takes, tasks on machines aside: 1.8 KiB as measured, with room to spare."""
JOBS_MEMORY_SHARE = 0.25
ORDERS_MAX = 500
"""Commands in one response: keeps its line within 64 KiB."""
SENDS_AT_ONCE = 24
PASS_GAP_S = 0.1
WATCH_S = 8.0
LIST_EVERY_S = 4.0
FLAVOURS_EVERY_S = 60.0
TELL_EVERY_S = 10.0
CUT = "cut-from-workers"
CUT_MACHINES = 4
CUT_SHARE = 0.7
"""A leader that hears fewer of its machines than the rest of this share resigns."""
LATE_AFTER = 1.3
"""Report intervals, a little more than the longest one, after which a report is late."""
NUDGE_EVERY = 0.51
"""Leases between two nudges of a worker: it heeds one in half a lease."""
NUDGE_WITHIN = 0.7
"""Report intervals since the last report after which no nudge is worth it."""
CARDS_HALF_S = 60.0
PROBE_AFTER = 1.6
"""Report intervals after which a silent machine is asked directly."""


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """The value of `m/<id>`."""

    flavour: str
    site: str
    loaner: bool = False
    addr: str = ""
    heard: bool = False
    """Written before the machine's first task: without it, it can't have any."""


class _Write:
    """One wanted change of the store, and what to do once it is made."""

    __slots__ = ("condition", "done", "job", "ops")

    def __init__(
        self,
        ops: list[Put | Remove],
        done: Callable[[], None],
        condition: tuple[str, Stamp] | None = None,
        job: Job | None = None,
    ) -> None:
        self.ops = ops
        self.done = done
        self.condition = condition
        self.job = job


class Leader:
    """One term."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        store: Store,
        mandate: Mandate,
        on_final: Callable[[JobId, str], None],
        on_lost: Callable[[str], None],
        on_flavours: Callable[[dict[str, Flavour]], None],
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.store = store
        self.mandate = mandate
        self.term = mandate.term
        self.authority = mandate.authority
        self.cloud = Cloud(parse_address(settings.endpoints.cloud), settings.params.cloud)
        self.workers = Workers()
        self.book = Book()
        self.stops = Stops()
        self.picture = Picture(self.term, settings.params.workers.lease_s, self.book, self.stops)
        self.flavours: dict[str, Flavour] = {}
        self.loaded = Event()
        self.shelf = fleet.Shelf()
        self._teams = {team.name: team for team in settings.params.teams}
        self._guarantees = any(t.cpus or t.gpus for t in settings.params.teams)
        self._on_final = on_final
        self._on_lost = on_lost
        self._on_flavours = on_flavours
        self._began = steady_now()
        self._epoch = Epoch(0)
        self._greenlets: list[gevent.Greenlet] = []
        # Not a bounded pool: its spawn waits when it is full, and a decision under way must not
        # be interrupted.
        self._senders = Group()
        self._send_slots = BoundedSemaphore(SENDS_AT_ONCE)
        self._sending: set[MachineId] = set()
        self._rng = random.Random()
        self._per_card = placement.NO_CARDS
        self._cards_wanted = 0.0
        self._cards_seen_at = self._began
        self._attempts = 0
        self._hires = 0
        self._pending_hires: dict[str, Hire] = {}
        self._to_record: set[MachineId] = set()
        self._to_forget: OrderedDict[str, None] = OrderedDict()
        self._released: OrderedDict[MachineId, None] = OrderedDict()
        self._final_pending: set[JobId] = set()
        self._place = Event()
        self._write = Event()
        self._gathered = False
        self._short: list[tuple[Job, int]] = []
        self._listed_at = Steady(-1e9)
        self._told_at = Steady(-1e9)
        self._flavours_at = Steady(-1e9)
        # Some of the write rate is left to renewals and to accepting submissions.
        limits = settings.params.state
        self._write_budget = Budget(0.65 * limits.write_rps, 0.65 * limits.write_rps)
        self._stopped = False

    # -- life -------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the term: the lease is kept from the first moment on."""
        self._spawn(self._renew_loop)
        self._spawn(self._begin)

    def stop(self) -> None:
        """End everything that belongs to the term."""
        self._stopped = True
        current = gevent.getcurrent()
        others = [g for g in self._greenlets if g is not current]
        gevent.killall(others, block=False)
        self._senders.kill(block=False)

    def _spawn(self, loop: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(self._guard, loop))

    def _guard(self, loop: Callable[[], None]) -> None:
        """A fault in one loop ends the term, not the process: another term starts clean."""
        try:
            loop()
        except gevent.GreenletExit:
            pass
        except Exception:
            log.exception("event=loop-failed loop=%s", loop.__name__)
            self._lose("fault")

    def _lose(self, why: str) -> None:
        if not self._stopped:
            self._on_lost(why)

    def may_start(self) -> bool:
        """Tell whether the lease surely holds now."""
        return not self._stopped and self.authority.may_start(steady_now())

    def _renew_loop(self) -> None:
        lease_s = self.policy.store_lease_s
        gap = lease_s / 4
        while True:
            gevent.sleep(gap)
            sent_at = steady_now()
            try:
                self.store.renew(self.mandate.tenancy, lease_s / 3)
            except LeaseLost:
                self._lose("lease")
                return
            except StoreDown as error:
                log.debug("event=renew-failed error=%s", error)
                gap = lease_s / 8
                continue
            gap = lease_s / 4
            if not self.authority.may_start(sent_at):
                log.info("event=lease-confirmed-again term=%d", self.term)
                self._place.set()
                self._write.set()
            self.authority.confirm(sent_at)

    def _begin(self) -> None:
        while True:
            try:
                self._load()
                break
            except StoreDown as error:
                log.info("event=load-failed term=%d error=%s", self.term, error)
                gevent.sleep(0.2)
        log.info(
            "event=loaded term=%d jobs=%d machines=%d hires=%d took_s=%.3f",
            self.term,
            len(self.book.jobs),
            len(self.picture.machines),
            len(self._pending_hires),
            steady_now() - self._began,
        )
        self.loaded.set()
        for machine in list(self.picture.machines.values()):
            if machine.addr:
                self._send_soon(machine)
        self._spawn(self._watch_loop)
        self._spawn(self._write_loop)
        self._spawn(self._place_loop)
        self._spawn(self._tend_loop)
        self._spawn(self._fleet_loop)

    def _load(self) -> None:
        now = steady_now()
        entry = self.store.get(FLAVOURS_KEY)
        if entry is not None:
            self._take_flavours(msgspec.json.decode(entry.data, type=FlavourList).flavours)
        jobs, self._epoch = self.store.listing(LIVE_PREFIX)
        for entry in jobs:
            record = msgspec.json.decode(entry.data, type=JobRecord)
            self.book.put(record, Stamp(entry.stamp), inherited=True)
        finished, _ = self.store.listing(DONE_PREFIX)
        for entry in finished:
            name, _, chunk = entry.k[len(DONE_PREFIX) :].rpartition("/")
            job = self.book.get(JobId(name))
            if job is None:
                self._to_forget[entry.k] = None
            else:
                job.load_chunk(int(chunk), msgspec.json.decode(entry.data, type=str))
                self.book.touch(job)
        # Whoever led before may have answered workers until its hold ended, and the last of
        # these answers is good for one lease.
        workers = self.settings.params.workers
        until = Steady(now + (self.policy.hold_s + workers.lease_s) * (1 + 2 * DRIFT) + 1.0)
        machines, _ = self.store.listing(MACHINE_PREFIX)
        for entry in machines:
            kept = msgspec.json.decode(entry.data, type=MachineRecord)
            name_ = MachineId(entry.k[len(MACHINE_PREFIX) :])
            machine = self.picture.add(
                name_, self._flavour(kept.flavour), Zone(kept.site), kept.loaner, now
            )
            machine.addr = kept.addr
            if kept.heard:
                machine.recorded = True
                machine.may_hold_until = until
        hires, _ = self.store.listing(HIRE_PREFIX)
        for entry in hires:
            hire = msgspec.json.decode(entry.data, type=Hire)
            self._pending_hires[hire.hire] = hire

    def _flavour(self, name: str) -> Flavour:
        return self.flavours.get(name) or Flavour(name, 0.0, 0.0, 0.0, ())

    def _take_flavours(self, flavours: list[Flavour]) -> None:
        self.flavours = {flavour.sku: flavour for flavour in flavours}
        self._on_flavours(self.flavours)
        for machine in self.picture.machines.values():
            new = self.flavours.get(machine.flavour.sku)
            if new is not None:
                old = machine.flavour
                machine.vcpus += new.vcpus - old.vcpus
                machine.cards += new.cards - old.cards
                machine.mem_gb += new.mem_gb - old.mem_gb
                machine.flavour = new

    # -- jobs -------------------------------------------------------------------------------

    def full(self) -> bool:
        """Tell whether more jobs would endanger the memory of this process."""
        room = self.settings.params.resources.mem_mb * JOBS_MEMORY_SHARE * 1e6
        return len(self.book.jobs) * JOB_BYTES >= room

    def poll(self, job_id: JobId) -> RunStatus | None:
        """Tell a job's state, or None if only the store can tell.

        While a final write is under way nobody but the store knows whether it is made; an
        answer from memory might be older than what a reader of the store has told a user.
        """
        if not self.loaded.is_set() or not self.may_start() or job_id in self._final_pending:
            return None
        job = self.book.get(job_id)
        return job.status() if job is not None else None

    def take_cancel(self, job_id: JobId) -> bool:
        """A cancel is in the store; True once no older state can be told from here."""
        if not self.loaded.is_set():
            return True  # the reading that is under way is the only source, and nothing is told
        job = self.book.get(job_id)
        if job is not None:
            self._cancel(job)
        return True

    def _cancel(self, job: Job) -> None:
        if not job.cancelled:
            log.info("event=cancelled job=%s on_machines=%d", job.id, len(job.live))
        job.cancelled = True
        self.book.touch(job)
        now = steady_now()
        for held in self.picture.holds_of(job):
            self._stop_hold(held, 0.0, "cancelled", now)
        self._write.set()

    def _watch_loop(self) -> None:
        while True:
            try:
                changes = self.store.watch(LIVE_PREFIX, self._epoch, WATCH_S)
            except Compacted:
                self._reread()
                continue
            except StoreDown:
                gevent.sleep(0.3)
                continue
            for change in changes.log:
                if change.set is not None:
                    self._job_set(change.data, Stamp(change.stamp))
                elif change.remove is not None:
                    self._job_removed(JobId(change.remove[len(LIVE_PREFIX) :]))
            self._epoch = Epoch(max(self._epoch, changes.epoch))
            if changes.log:
                self._place.set()

    def _job_set(self, data: msgspec.Raw, stamp: Stamp) -> None:
        record = msgspec.json.decode(data, type=JobRecord)
        known = self.book.get(JobId(record.run.ref))
        if known is not None and stamp <= known.stamp:
            return
        job = self.book.put(record, stamp)
        if record.cancelled:
            self._cancel(job)

    def _job_removed(self, job_id: JobId) -> None:
        job = self.book.get(job_id)
        if job is not None and not job.live:
            self._final_pending.discard(job_id)
            self.book.drop(job)

    def _reread(self) -> None:
        while True:
            try:
                entries, epoch = self.store.listing(LIVE_PREFIX)
                break
            except StoreDown:
                gevent.sleep(0.3)
        there = set()
        for entry in entries:
            there.add(JobId(entry.k[len(LIVE_PREFIX) :]))
            self._job_set(entry.data, Stamp(entry.stamp))
        for job_id in list(self.book.jobs):
            if job_id not in there and self.book.jobs[job_id].stamp <= epoch:
                self._job_removed(job_id)
        self._epoch = epoch

    # -- workers ----------------------------------------------------------------------------

    def on_report(self, report: Report) -> ReportAnswer | None:
        """Answer a worker, or None if this node must not answer 200 now."""
        now = steady_now()
        if term_of(report.mandate) > self.term:
            # A worker has seen a later leader: a 200 from here would be dropped, and would
            # keep the worker here while its lease expires.
            self._lose("overruled")
            return None
        if self._stopped or not self.loaded.is_set() or not self.authority.may_answer(now):
            return None
        name = MachineId(report.host)
        if name in self._released:
            return None
        machine = self.picture.machines.get(name)
        if machine is None:
            machine = self.picture.add(
                name, self._flavour(report.flavour), Zone(report.site), report.loaner, now
            )
            log.info("event=unexpected-machine machine=%s flavour=%s", name, report.flavour)
        new_addr = bool(report.addr) and machine.addr != report.addr
        fresh = self.picture.absorb(machine, report, now, as_report=True)
        if not machine.recorded or new_addr:
            self._to_record.add(name)
            self._write.set()
        if fresh:
            self._inspect(machine, now)
        self.picture.answered(machine, now)
        orders = self._compose(machine, report, fresh, now)
        return ReportAnswer(int(self.picture.token(machine)), orders)

    def _inspect(self, machine: Machine, now: Steady) -> None:
        """See to what a machine's news bring: tasks that must go, room, finishes to write."""
        self._place.set()
        if self.book.dirty:
            self._write.set()
        for held in list(machine.holds.values()):
            if held.phase == PLANNED:
                if machine.warning_s is not None:
                    self.picture.drop(held, now)
                continue
            job = held.job
            if job is None or job.cancelled:
                self._stop_hold(held, 0.0, "unwanted", now)
            elif machine.warning_s is not None:
                self._drain(held, machine, now)
        if len(machine.faults) >= 2 and not machine.quarantined:
            self._quarantine(machine)

    def _quarantine(self, machine: Machine) -> None:
        """Set a machine aside that failed tasks of several jobs; never many at once."""
        aside = sum(m.quarantined for m in self.picture.machines.values())
        if aside >= max(1, len(self.picture.machines) // 8):
            return
        machine.quarantined = True
        log.info("event=quarantined machine=%s jobs=%s", machine.id, ",".join(machine.faults))

    def _drain(self, held: Hold, machine: Machine, now: Steady) -> None:
        """Save in time before the cloud takes the machine, or let short tasks finish."""
        job = held.job
        if job is None or held.phase == SAVING:
            return
        left = (machine.warning_s or 0.0) - (now - machine.warned_at)
        if held.phase == RUNNING and held.ran_from is not None:
            remaining = job.estimate_s() - (now - held.ran_from)
            if remaining < 0.7 * left:
                return
        self._stop_whole(held, job.mercy_s, "drain", now)

    def _stop_whole(self, held: Hold, mercy_s: float, why: str, now: Steady) -> None:
        """Stop a task; of a gang all of them, since an orderly stop needs every one told."""
        job = held.job
        if job is None or not job.gang or job.run.pieces == 1:
            self._stop_hold(held, mercy_s, why, now)
            return
        for mate in self.picture.holds_of(job):
            self._stop_hold(mate, mercy_s, why, now)

    def _stop_hold(self, held: Hold, mercy_s: float, why: str, now: Steady) -> None:
        machine = held.machine
        if held.phase == PLANNED:
            self.picture.drop(held, now)
            return
        if self.stops.add(machine.id, held.task, held.attempt, mercy_s, why, now):
            log.info(
                "event=stop task=%s machine=%s mercy_s=%g why=%s",
                held.task,
                machine.id,
                mercy_s,
                why,
            )
            self._send_soon(machine)

    def _compose(self, machine: Machine, report: Report, fresh: bool, now: Steady) -> list[Order]:
        orders = self._standing_orders(machine, now)
        if not fresh or not machine.handshaken or not machine.recorded:
            return orders
        if machine.warning_s is not None or machine.leaving or not self.may_start():
            return orders
        version = ReportVersion(report.tenure, report.tick)
        for held in machine.holds.values():
            if held.phase != PLANNED or len(orders) >= ORDERS_MAX:
                continue
            if held.job is None or held.job.cancelled:
                continue
            held.phase = SENT
            held.sent_after = version
            orders.append(Order("start", str(held.task), int(held.attempt)))
        return orders

    def _standing_orders(self, machine: Machine, now: Steady) -> list[Order]:
        """Give the commands that may be repeated and may come late: clears and halts."""
        return [*self._clears(machine), *self.stops.orders(machine.id, now)][:ORDERS_MAX]

    def _clears(self, machine: Machine) -> list[Order]:
        """Clear what has ended; a finish only after it is written."""
        orders = []
        for ended in machine.ended:
            if ended.done:
                job = self.book.get(ended.task.job)
                if job is not None and ended.task.number in job.unwritten:
                    continue
            orders.append(Order("clear", str(ended.task), int(ended.attempt)))
        return orders

    def _send_soon(self, machine: Machine) -> None:
        """Send halts and clears directly; with nothing to send it is a handshake."""
        if machine.addr and machine.id not in self._sending and not self._stopped:
            self._sending.add(machine.id)
            self._senders.spawn(self._send, machine)

    def _send(self, machine: Machine) -> None:
        with self._send_slots:
            self._send_now(machine)

    def _send_now(self, machine: Machine) -> None:
        try:
            now = steady_now()
            if not self.authority.may_answer(now):
                return
            orders = self._standing_orders(machine, now)
            tenure = max(1, machine.version.tenure)
            for _ in range(2):
                token = self.picture.token(machine)
                report = self.workers.send(machine.addr, token, tenure, orders)
                if report.host != machine.id:
                    return
                if term_of(report.mandate) > self.term:
                    self._lose("overruled")
                    return
                now = steady_now()
                if self.picture.absorb(machine, report, now, as_report=False):
                    self._inspect(machine, now)
                if report.tenure == tenure:
                    return
                tenure = report.tenure  # the session had changed: nothing was executed
        except WorkerSilent as error:
            log.debug("event=worker-silent machine=%s error=%s", machine.id, error)
        finally:
            self._sending.discard(machine.id)

    # -- placing ----------------------------------------------------------------------------

    def _place_loop(self) -> None:
        while True:
            self._place.wait(1.0)
            self._place.clear()
            began = time.perf_counter()
            if self.may_start() and self._ready_to_place():
                self._pass()
            took = time.perf_counter() - began
            # A pass that takes long is made less often, so that reports are always answered.
            gevent.sleep(max(PASS_GAP_S, 4 * took))

    def _ready_to_place(self) -> bool:
        if self._gathered:
            return True
        waited = steady_now() - self._began
        if waited < self.policy.gather_s and any(True for _ in self.picture.unheard()):
            return False
        self._gathered = True
        unheard = [m.id for m in self.picture.unheard()]
        log.info(
            "event=gathered term=%d waited_s=%.2f unheard=%s",
            self.term,
            waited,
            ",".join(unheard) or "-",
        )
        return True

    def _pass(self) -> None:
        now = steady_now()
        self.picture.unplan(now, 2 * self.settings.params.workers.report_s + 2)
        unheard = list(self.picture.unheard())
        if self._guarantees:
            placement.mark_guarantees(self.book, self._teams)
        jobs = [
            job
            for job in (self.book.jobs[j] for j in self.book.waiting)
            if self._placeable(job, unheard, now)
        ]
        if not jobs:
            self._short = []
            return
        jobs = self._ordered(jobs)
        for wanting in jobs:
            self._per_card = self._per_card.widened(wanting)
        fresh = now - 2.5 * self.settings.params.workers.report_s
        rooms = []
        for machine in self.picture.machines.values():
            if machine.usable() and machine.heard_at is not None and machine.heard_at > fresh:
                stopping = frozenset(
                    held
                    for held in machine.holds.values()
                    if self.stops.has(machine.id, held.task, held.attempt)
                )
                rooms.append(placement.Room(machine, stopping))
        quota = placement.Quota(
            self._teams,
            self.picture.team_vcpus,
            self.picture.team_cards,
            sum(m.flavour.vcpus for m in unheard),
            sum(m.flavour.cards for m in unheard),
        )
        plan = placement.Pass(
            rooms,
            quota,
            now,
            self._rng,
            self.policy.sample,
            self._per_card,
            self._cards_to_keep(jobs, now),
            self._avoid,
        ).run(jobs)
        planned: set[MachineId] = set()
        for batch in plan.batches:
            self._apply(batch, now)
            planned.update(machine.id for machine, _count in batch.parts)
        for name in planned:
            self._nudge(self.picture.machines[name], now)
        for held in plan.stops:
            self._stop_hold(held, held.job.mercy_s if held.job else 0.0, "preempted", now)
        self._short = plan.short

    def _ordered(self, jobs: list[Job]) -> list[Job]:
        cards, vcpus = queueing.Supply(), queueing.Supply()
        for machine in self.picture.machines.values():
            if machine.usable():
                cards.total += machine.flavour.cards
                cards.free += machine.cards
                vcpus.total += machine.flavour.vcpus
                vcpus.free += machine.vcpus
        return queueing.order(jobs, self.settings.params.objectives, cards, vcpus, wall_now())

    def _cards_to_keep(self, jobs: list[Job], now: Steady) -> float:
        """Tell how many free cards work without cards must leave usable.

        As many as were lately wanted beyond those in use; the memory of it halves in a minute.
        """
        used = sum(self.picture.team_cards.values())
        wanted = used + sum(job.shortfall * job.run.cards for job in jobs)
        elapsed = now - self._cards_seen_at
        self._cards_seen_at = now
        faded = self._cards_wanted * 0.5 ** (max(0.0, elapsed) / CARDS_HALF_S)
        self._cards_wanted = max(wanted, faded)
        return self._cards_wanted - used

    def _nudge(self, machine: Machine, now: Steady) -> None:
        """Make a worker report soon, so that its starts need not wait for its next report.

        A worker reports when its token rises, at most once in half a lease. Not while a start is
        on its way to it: a response with the lower token, overtaken by this, would be dropped.
        """
        times = self.settings.params.workers
        if machine.heard_at is None or machine.nudges >= NUDGES_MAX:
            return
        if machine.nudged_at is not None and now - machine.nudged_at < NUDGE_EVERY * times.lease_s:
            return
        if now - machine.heard_at > NUDGE_WITHIN * times.report_s:
            return  # the next report is due anyway
        if any(held.phase == SENT for held in machine.holds.values()):
            return
        machine.nudged_at = now
        machine.nudges += 1
        self._send_soon(machine)

    def _placeable(self, job: Job, unheard: list[Machine], now: Steady) -> bool:
        if job.cancelled or job.unwritten or now < job.backoff_until:
            # A job's finished batch is written before the job is refilled.
            return False
        if job.inherited and any(
            placement.allows(job.run, m) and fits_flavour(job.run, m.flavour) for m in unheard
        ):
            # Which of its tasks an unheard machine holds can't be known.
            return False
        if job.gang and job.live:
            return self._mend(job, now)
        return True

    def _mend(self, job: Job, now: Steady) -> bool:
        """See to a gang with some tasks missing; True if they may be replaced.

        Before the gang has started, a replacement with the same attempt completes it. Once it
        ran, the attempt is lost: what is left must be gone before the next attempt.
        """
        holds = self.picture.holds_of(job)
        attempts = {held.attempt for held in holds}
        waiting = all(
            held.phase not in (RUNNING, SAVING)
            and not self.stops.has(held.machine.id, held.task, held.attempt)
            for held in holds
        )
        if waiting and len(attempts) == 1 and job.done_count == 0:
            job.gang_attempt = int(attempts.pop())
            return True
        if job.done_count == 0:
            for held in holds:
                self._stop_hold(held, 0.0, "gang-broken", now)
        return False

    def _avoid(self, job: Job, machine: Machine) -> bool:
        return machine.id in job.failed_on

    def _next_attempt(self) -> Attempt:
        self._attempts += 1
        return attempt_of(self.term, self._attempts)

    def _apply(self, batch: placement.Batch, now: Steady) -> None:
        job = batch.job
        count = sum(n for _machine, n in batch.parts)
        indices = job.take(count)
        gang_attempt: Attempt | None = None
        if job.gang:
            if job.live and job.gang_attempt is not None:
                gang_attempt = Attempt(job.gang_attempt)
            else:
                gang_attempt = self._next_attempt()
        cold = sum(n for machine, n in batch.parts if machine.warmth(job.run.bundle) != WARM)
        at = 0
        for machine, n in batch.parts:
            for index in indices[at : at + n]:
                attempt = gang_attempt or self._next_attempt()
                self.picture.hold(machine, TaskId(job.id, index), attempt, PLANNED, now)
            at += n
        job.wanting_since = None
        self.book.touch(job)
        log.info(
            "event=placed job=%s tasks=%d machines=%s cold=%d short=%d guaranteed=%s age_s=%.1f",
            job.id,
            len(indices),
            ",".join(f"{machine.id}:{n}" for machine, n in batch.parts),
            cold,
            job.shortfall,
            job.guaranteed,
            wall_now() - job.at,
        )

    # -- writing ----------------------------------------------------------------------------

    def _write_loop(self) -> None:
        while True:
            self._write.wait(1.0)
            self._write.clear()
            if not self.may_start():
                gevent.sleep(0.1)
                continue
            try:
                more = self._write_once()
            except StoreDown as error:
                log.debug("event=write-failed error=%s", error)
                gevent.sleep(0.2)
                more = True
            if more:
                self._write.set()
            gevent.sleep(0.08)  # lets finishes gather, so that one write carries many

    def _wanted_writes(self) -> list[_Write]:
        """Name what the store lacks, the most urgent first."""
        writes: list[_Write] = []
        for name in list(self._to_record):
            machine = self.picture.machines.get(name)
            if machine is None:
                self._to_record.discard(name)
                continue
            heard = machine.heard_at is not None
            record = MachineRecord(
                machine.flavour.sku, machine.site, machine.loaner, machine.addr, heard
            )
            put = Put(MACHINE_PREFIX + name, record)
            writes.append(_Write([put], _bind(self._recorded, machine, heard)))
        finals: list[_Write] = []
        partial: list[tuple[bool, float, _Write]] = []
        for job_id in list(self.book.dirty):
            job = self.book.jobs[job_id]
            if job.cancelled:
                if not job.live and not any(True for _ in self.picture.unheard()):
                    finals.append(self._final(job, CANCELLED))
            elif job.complete:
                finals.append(self._final(job, DONE))
            else:
                for chunk in job.dirty_chunks():
                    put = Put(done_key(job.id, chunk), job.chunk_text(chunk))
                    indices = {i for i in job.unwritten if i // CHUNK == chunk}
                    partial.append(
                        (
                            job.shortfall <= 0,
                            job.at,
                            _Write([put], _bind(self._chunk_written, job, chunk, indices)),
                        )
                    )
        writes.extend(finals)
        partial.sort(key=lambda item: item[:2])
        writes.extend(write for _urgent, _at, write in partial)
        for key in list(self._to_forget)[:32]:
            writes.append(_Write([Remove(key)], _bind(self._forgotten, key)))
        return writes

    def _final(self, job: Job, status: str) -> _Write:
        return _Write(
            [Put(final_key(job.id), {"status": status}), Remove(live_key(job.id))],
            _bind(self._finalised, job, status),
            (live_key(job.id), job.stamp),
            job,
        )

    def _write_once(self) -> bool:
        """Write one transaction; True if more is wanted."""
        wanted = self._wanted_writes()
        if not wanted:
            return False
        chosen: list[_Write] = []
        conditions: dict[str, Stamp] = {}
        ops: list[Put | Remove] = []
        for write in wanted:
            if len(ops) + len(write.ops) > self.settings.params.state.txn_ops:
                break
            chosen.append(write)
            ops.extend(write.ops)
            if write.condition is not None:
                conditions[write.condition[0]] = write.condition[1]
        if not self._write_budget.take(len(ops)):
            gevent.sleep(min(1.0, self._write_budget.wait_s(len(ops))))
            return True
        final_jobs = [w.job for w in chosen if w.job is not None]
        self._final_pending.update(job.id for job in final_jobs)
        result = self.store.txn(self.mandate.fenced(conditions), ops)
        if result.ok:
            for write in chosen:
                write.done()
            # Clearing at once makes the workers report, and reports are what starts ride on.
            for machine in self.picture.machines.values():
                if machine.ended:
                    self._send_soon(machine)
        elif self.mandate.lost_by(result):
            self._lose("fenced")
            return False
        for job in final_jobs:
            if not result.ok and live_key(job.id) in result.failed:
                self._reconcile(job)
            self._final_pending.discard(job.id)
        return len(chosen) < len(wanted) or not result.ok

    def _reconcile(self, job: Job) -> None:
        """A final write met another version: a cancel won, or an earlier try was applied."""
        entry = self.store.get(live_key(job.id))
        if entry is not None:
            self._job_set(entry.data, Stamp(entry.stamp))
            return
        final = self.store.get(final_key(job.id))
        if final is not None:
            status = msgspec.json.decode(final.data, type=dict[str, str])["status"]
            self._finalised(job, status)

    def _recorded(self, machine: Machine, heard: bool) -> None:
        if heard or machine.heard_at is None:
            self._to_record.discard(machine.id)
        machine.recorded = machine.recorded or heard
        self._place.set()

    def _chunk_written(self, job: Job, chunk: int, indices: set[int]) -> None:
        job.unwritten -= indices
        job.chunks_written.add(chunk)
        self.book.touch(job)
        self._place.set()

    def _finalised(self, job: Job, status: str) -> None:
        job.unwritten.clear()
        for chunk in job.chunks_written:
            self._to_forget[done_key(job.id, chunk)] = None
        self.book.drop(job)
        self._on_final(job.id, status)
        log.info("event=final job=%s status=%s tasks=%d", job.id, status, job.run.pieces)

    def _forgotten(self, key: str) -> None:
        self._to_forget.pop(key, None)

    # -- tending ----------------------------------------------------------------------------

    def _tend_loop(self) -> None:
        """Leases that end, and stops that must be sent again."""
        while True:
            gevent.sleep(0.25)
            now = steady_now()
            self._log_state(now)
            for machine in self.picture.expire(now):
                log.info("event=lease-over machine=%s", machine.id)
                self._place.set()
            if not self.authority.may_answer(now):
                continue
            for name in list(self.stops.due(now)):
                stopping = self.picture.machines.get(name)
                if stopping is None:
                    self.stops.machine_gone(name)
                else:
                    self._send_soon(stopping)
            self._probe(now)
            if self.settings.members and self._gathered and self.cut_from_workers(now):
                # Another node may reach them; waiting for it costs every machine its tasks.
                # Authority ends before the lease does: its end may be made known late.
                self._lose(CUT)
                try:
                    self.store.resign(self.mandate.tenancy)
                except StoreDown as error:
                    log.debug("event=resign-failed error=%s", error)
                return

    def cut_from_workers(self, now: Steady) -> bool:
        """Tell whether most machines fell silent at once, so that the fault is likely here."""
        silent = known = 0
        for machine in self.picture.machines.values():
            if machine.heard_at is None or machine.may_hold_until is None:
                continue
            known += 1
            silent += now - machine.heard_at > self.policy.silence_s
        return known >= CUT_MACHINES and silent > CUT_SHARE * known

    def _probe(self, now: Steady) -> None:
        """Ask machines directly whose report is late, and those not heard in this term."""
        late = PROBE_AFTER * self.settings.params.workers.report_s
        for machine in list(self.picture.machines.values()):
            if machine.may_hold_until is None:
                continue
            since = machine.heard_at if machine.heard_at is not None else self._began
            if not machine.handshaken or now - since > late:
                self._send_soon(machine)

    def _log_state(self, now: Steady) -> None:
        """Tell a reader of the log, every ten seconds, what there is and what waits."""
        if now - self._told_at < TELL_EVERY_S:
            return
        self._told_at = now
        kinds: dict[str, list[float]] = {}
        for machine in self.picture.machines.values():
            kind = machine.flavour.sku + ("/spot" if machine.loaner else "")
            row = kinds.setdefault(kind, [0, 0, 0.0, 0.0])
            row[0] += 1
            if machine.usable():
                row[1] += 1
                row[2] += machine.vcpus
                row[3] += machine.cards
        waiting: dict[str, int] = {}
        for job, count in self._short:
            waiting[job.run.jobclass] = waiting.get(job.run.jobclass, 0) + count
        log.info(
            "event=state jobs=%d machines=%s short=%s",
            len(self.book.jobs),
            ",".join(
                f"{kind}:{int(n)}(up={int(up)};vcpus_free={v:g};cards_free={c:g})"
                for kind, (n, up, v, c) in sorted(kinds.items())
            )
            or "-",
            ",".join(f"{name}:{count}" for name, count in sorted(waiting.items())) or "-",
        )

    # -- the fleet --------------------------------------------------------------------------

    def _fleet_loop(self) -> None:
        while True:
            gevent.sleep(0.5)
            if not self.may_start():
                continue
            try:
                self._fleet_step()
            except CloudDown as error:
                log.debug("event=cloud-down error=%s", error)
                gevent.sleep(0.5)
            except StoreDown as error:
                log.debug("event=fleet-store-down error=%s", error)

    def _fleet_step(self) -> None:
        now = steady_now()
        gone = self._to_give_up(now)
        if gone:
            self._release(gone)
        if now - self._flavours_at > FLAVOURS_EVERY_S:
            self._read_flavours()
        if now - self._listed_at > LIST_EVERY_S:
            self._list()
        for hire in list(self._pending_hires.values()):
            self._hire(hire)
        if not self._gathered or not self.flavours:
            return
        returned = fleet.to_return(
            self.picture.machines.values(), self._short, self.policy, steady_now()
        )
        if returned:
            self._release([(machine, "idle") for machine in returned[:RELEASE_MAX]])
        self._rent()

    def _to_give_up(self, now: Steady) -> list[tuple[Machine, str]]:
        """Machines that are better released than waited for.

        When many fall silent at once the fault may be on our side, and then each is only given
        up once its lease is over and nothing on it can be lost.
        """
        silent: list[Machine] = []
        result: list[tuple[Machine, str]] = []
        late = known = 0
        late_s = LATE_AFTER * self.settings.params.workers.report_s
        for machine in self.picture.machines.values():
            since = machine.heard_at
            if since is None:
                if machine.recorded and machine.may_hold_until is not None:
                    since = self._began  # known from an earlier term
                else:
                    patience = self.policy.boot_patience * machine.flavour.ready_s
                    if now - machine.rented_at > max(patience, 60.0):
                        result.append((machine, "never-booted"))
                    continue
            known += 1
            late += now - since > late_s
            if now - since > self.policy.silence_s:
                silent.append(machine)
        # Judged by those that are late by one report, not by those silent for long: when all
        # fall silent, their last reports lie an interval apart.
        few = late <= max(2, known // 3)
        for machine in silent:
            if few or machine.may_hold_until is None:
                result.append((machine, "silent"))
        return result

    def _release(self, chosen: list[tuple[Machine, str]]) -> None:
        for machine, _why in chosen:
            machine.leaving = True
        try:
            self.cloud.release([machine.id for machine, _why in chosen])
        except CloudDown:
            # It may still be carried out late; until then the machine is used as before.
            for machine, _why in chosen:
                machine.leaving = False
            raise
        now = steady_now()
        for machine, why in chosen:
            log.info(
                "event=released machine=%s flavour=%s spot=%s why=%s tasks=%d",
                machine.id,
                machine.flavour.sku,
                machine.loaner,
                why,
                len(machine.holds),
            )
            self.picture.remove(machine, now)
            if machine.addr:
                self.workers.forget(machine.addr)
            self._to_record.discard(machine.id)
            self._released[machine.id] = None
            if len(self._released) > 2000:
                self._released.popitem(last=False)
            self._to_forget[MACHINE_PREFIX + machine.id] = None
        self._place.set()
        self._write.set()

    def _read_flavours(self) -> None:
        flavours = self.cloud.flavours()
        self._flavours_at = steady_now()
        known = self.flavours.keys()
        changed = {f.sku for f in flavours} != known
        self._take_flavours(flavours)
        if changed:
            self.store.txn(self.mandate.fenced(), [Put(FLAVOURS_KEY, FlavourList(flavours))])

    def _list(self) -> None:
        now = steady_now()
        self._listed_at = now
        failed = []
        for listed in self.cloud.machines():
            name = MachineId(listed.ref)
            if name in self._released:
                continue
            machine = self.picture.machines.get(name)
            if machine is None:
                machine = self.picture.add(
                    name, self._flavour(listed.flavour), Zone(listed.site), listed.loaner, now
                )
                machine.rented_at = Steady(now - listed.age_s)
                log.info("event=listed-machine machine=%s status=%s", name, listed.status)
            if listed.addr and not machine.addr:
                machine.addr = listed.addr
                if machine.recorded and not machine.handshaken:
                    self._send_soon(machine)
            if listed.status == "failed":
                failed.append((machine, "failed"))
        if failed:
            self._release(failed[:RELEASE_MAX])

    def _rent(self) -> None:
        now = steady_now()
        booting = [
            m
            for m in self.picture.machines.values()
            if not m.leaving
            and not m.holds
            and not m.quarantined
            and not m.usable()
            and m.warning_s is None
        ]
        for wish in fleet.wishes(self._short, booting, self.flavours, self.shelf, self.policy, now)[
            :2
        ]:
            sku, site, spot = wish.options[0]
            self._hires += 1
            hire = Hire(f"r-{self.term}-{self._hires}", sku, site, spot, min(RENT_MAX, wish.count))
            # The wish is recorded first: a successor repeats it under the same name and learns
            # what was rented, instead of renting again.
            self._pending_hires[hire.hire] = hire
            result = self.store.txn(self.mandate.fenced(), [Put(HIRE_PREFIX + hire.hire, hire)])
            if not result.ok:
                self._lose("fenced")
                return
            self._hire(hire)

    def _hire(self, hire: Hire) -> None:
        if not self.may_start():
            return
        option = (hire.flavour, hire.site, hire.loaner)
        try:
            names = self.cloud.rent(hire)
        except NoCapacity:
            log.info("event=no-capacity flavour=%s site=%s spot=%s", *option)
            self.shelf.refused(option, steady_now())
            names = []
        now = steady_now()
        if names:
            if len(names) < hire.how_many:
                self.shelf.refused(option, now)
            else:
                self.shelf.got(option)
            log.info(
                "event=rented count=%d asked=%d flavour=%s site=%s spot=%s hire=%s",
                len(names),
                hire.how_many,
                *option,
                hire.hire,
            )
        for name in names:
            machine = self.picture.add(
                name, self._flavour(hire.flavour), Zone(hire.site), hire.loaner, now
            )
            machine.rented_at = now
            self._to_record.add(name)
        self._pending_hires.pop(hire.hire, None)
        # The records of the machines are wanted before the wish is forgotten: writes are made
        # in this order.
        self._to_forget[HIRE_PREFIX + hire.hire] = None
        self._write.set()


def _bind(function: Callable[..., None], *args: object) -> Callable[[], None]:
    return lambda: function(*args)
