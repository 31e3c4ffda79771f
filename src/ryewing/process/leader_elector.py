"""Following one lease: who holds it, campaigning for it, and leading while it is held.

A process follows one lease for the whole fleet, or one for each shard of a divided fleet. What is
the process's own (servers, peers, users' quota, final states) stays in `node`.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent

from ryewing import __version__
from ryewing.clients.peers import (
    Ack,
    CancelNotice,
    ImageLocality,
    LeaderAnnouncement,
    LoadQuery,
    Peers,
    Response,
    ShardLoadAnswer,
)
from ryewing.clients.store import StoreUnavailableError, TermStore, WatchExpiredError, decode_stored
from ryewing.config.policy import Policy
from ryewing.config.settings import Settings
from ryewing.election.campaign import campaign, may_campaign
from ryewing.election.election_record import (
    ELECTION_PREFIX,
    HOLDER_KEY,
    ElectionRecord,
    LeaseHolder,
    read_election_record,
)
from ryewing.election.identity import ProcessIdentity
from ryewing.leader.leader import CUT, UNFOLLOWED, Leader
from ryewing.leader.scope import TermScope
from ryewing.leader.term_context import TermContext
from ryewing.units import (
    JobId,
    MonotonicTime,
    Revision,
    ShardName,
    TermNumber,
    monotonic_now,
)
from ryewing.wire.cloud import MachineType

log = logging.getLogger(__name__)
WATCH_S = 8.0
LOAD_EVERY_S = 1.0
IMAGE_LOCALITY_EVERY_S = 5.0
"""How often the leader tells the others which machines have which images."""
ABSTAIN_S = 15.0
"""How long a node that resigned leaves leadership to the others."""
INELIGIBLE_READ_S = 1.0
"""How often a node that may not lead looks who does while nobody seems to."""


class ProcessParts:
    """What the electors of one process share."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        identity: ProcessIdentity,
        peers: Peers,
        on_final: Callable[[JobId, str], None],
        on_machine_types: Callable[[list[MachineType]], None],
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.identity = identity
        self.name = identity.node
        self.peers = peers
        self.on_final = on_final
        self.on_machine_types = on_machine_types


class LeaderElector:
    """One lease, as this process follows it."""

    def __init__(self, process: ProcessParts, store: TermStore, scope: TermScope) -> None:
        self._process = process
        self.store = store
        self.scope = scope
        self.eligible: Callable[[], bool] = lambda: True
        """Whether this node may try for the lease; in a divided fleet the shard's owner may."""
        self.on_elected: Callable[[Leader], None] = lambda _leader: None
        """Called with each new leader before it begins."""
        self.leader: Leader | None = None
        self.leader_name: str | None = None
        self._leader_term = TermNumber(0)
        self._abstain_until = MonotonicTime(0.0)
        self._load: ShardLoadAnswer | None = None
        self._load_queried_at = MonotonicTime(-1e9)
        self._image_locality: ImageLocality | None = None
        self._image_locality_sent_at = MonotonicTime(-1e9)
        self._rng = random.Random()

    @property
    def shard(self) -> ShardName | None:
        """The shard whose lease this is; None for the whole fleet's."""
        return self.scope.shard

    def run(self) -> None:
        """Follow the lease until the process is killed."""
        while True:
            try:
                self.follow()
                continue
            except StoreUnavailableError as error:
                log.debug("event=store-unavailable error=%s", error)
            except Exception:
                # A fault here must not end the process: users and workers are still served.
                log.exception("event=follow-failed")
            gevent.sleep(0.2 + 0.2 * self._rng.random())

    def follow(self) -> None:
        """Watch who leads; try to lead when nobody does."""
        election = read_election_record(self.store)
        while True:
            if self.leader is not None:
                gevent.sleep(0.2)
                if self.leader is None:
                    return
                self._share_image_locality(self.leader)
                continue
            self.note(election)
            wait = self._abstain_until - monotonic_now()
            if wait > 0 and election.holder is None:
                gevent.sleep(min(wait, 0.5))
                election = read_election_record(self.store)
                continue
            if may_campaign(election, self._process.identity):
                if not self.eligible():
                    self._await_eligibility()
                elif self.campaign(election):
                    continue
                election = read_election_record(self.store)
                continue
            try:
                changes = self.store.watch(ELECTION_PREFIX, election.revision, WATCH_S)
            except WatchExpiredError:
                return
            if changes.log:
                election = read_election_record(self.store)
            else:
                election.revision = Revision(max(election.revision, changes.revision))

    def _await_eligibility(self) -> None:
        """Wait for a moment, or until this node may lead."""
        until = monotonic_now() + INELIGIBLE_READ_S
        while monotonic_now() < until and not self.eligible():
            gevent.sleep(0.1)

    def campaign(self, election: ElectionRecord) -> bool:
        """Try to take over; True if this node leads now."""
        process = self._process
        leadership = campaign(
            self.store,
            election,
            process.identity,
            process.policy.store_lease_s,
            process.policy.hold_s,
        )
        if leadership is None:
            return False
        term = TermContext(
            process.settings,
            process.policy,
            self.store,
            leadership,
            self.step_down,
            process.on_machine_types,
            self.scope,
        )
        leader = Leader(term, process.on_final, self._image_locality)
        log.info(
            "event=leading node=%s term=%d version=%s%s",
            process.name,
            leadership.term,
            __version__,
            self._log_suffix(),
        )
        self.leader = leader
        self.leader_name = process.name
        self._leader_term = leadership.term
        self.on_elected(leader)
        leader.start()
        process.peers.broadcast(LeaderAnnouncement(process.name, int(leadership.term), self.shard))
        return True

    def _log_suffix(self) -> str:
        return "" if self.shard is None else f" shard={self.shard}"

    def note(self, election: ElectionRecord) -> None:
        """Take note of who leads."""
        holder = election.holder
        if holder is None:
            self.leader_name = None
        elif holder.term >= self._leader_term:
            if self.leader_name != holder.node:
                log.info(
                    "event=following leader=%s term=%d%s",
                    holder.node,
                    holder.term,
                    self._log_suffix(),
                )
            self.leader_name = holder.node
            self._leader_term = TermNumber(holder.term)

    def step_down(self, reason: str) -> None:
        """End this node's term, if it leads."""
        leader = self.leader
        if leader is None:
            return
        log.info(
            "event=stepped-down node=%s term=%d reason=%s%s",
            self._process.name,
            leader.term.number,
            reason,
            self._log_suffix(),
        )
        self.leader = None
        self.leader_name = None
        if reason in (CUT, UNFOLLOWED):
            self._abstain_until = MonotonicTime(monotonic_now() + ABSTAIN_S)
        leader.stop()

    def is_abstaining(self) -> bool:
        """Tell whether this node resigned for a fault of its own and leaves the lease to others."""
        return self.leader is None and monotonic_now() < self._abstain_until

    def _share_image_locality(self, leader: Leader) -> None:
        now = monotonic_now()
        if (
            now - self._image_locality_sent_at < IMAGE_LOCALITY_EVERY_S
            or not leader.scheduler.reconciled
        ):
            return
        self._image_locality_sent_at = now
        self._image_locality = leader.image_locality()
        self._process.peers.broadcast(self._image_locality)

    def foreign_leader(self) -> str | None:
        """Name the leader to whom workers should be sent, if it is another node."""
        return self.leader_name if self.leader_name != self._process.name else None

    # -- load -------------------------------------------------------------------------------

    def load(self) -> ShardLoadAnswer | None:
        """Tell the load of the leader: its own, or what it last said of it; None without news.

        Asked for at most once a second. A follower asks in the background, and goes by the last
        answer.
        """
        now = monotonic_now()
        if now - self._load_queried_at > LOAD_EVERY_S:
            self._load_queried_at = now
            if self.leader is not None:
                self._load = self._own_load(self.leader)
            else:
                gevent.spawn(self._query_load)
        return self._load

    def full(self) -> bool:
        """Tell whether the leader holds as many jobs as its memory allows."""
        if self.leader is not None:
            return self.leader.full()
        load = self.load()
        return load is not None and load.full

    def _query_load(self) -> None:
        answer = self._process.peers.request(self.foreign_leader(), LoadQuery(self.shard))
        if isinstance(answer, ShardLoadAnswer):
            self._load = answer
        elif self.shard is None:
            self._load = ShardLoadAnswer(isinstance(answer, Ack) and not answer.ok, 0.0)
        else:
            self._load = None

    def on_load_query(self) -> Response:
        """Answer another controller's question; of the whole fleet as every version does."""
        leader = self.leader
        load = self.load() if self.shard is not None and leader is not None else None
        return load if load is not None else Ack(leader is None or not leader.full())

    def _own_load(self, leader: Leader) -> ShardLoadAnswer:
        backlog = leader.scheduler.backlog() if self.shard is not None else 0.0
        return ShardLoadAnswer(leader.full(), backlog)

    # -- what other controllers tell --------------------------------------------------------

    def on_image_locality(self, image_locality: ImageLocality) -> None:
        """Keep what the leader tells of images."""
        if self._image_locality is None or image_locality.term >= self._image_locality.term:
            self._image_locality = image_locality

    def on_leader_announcement(self, notice: LeaderAnnouncement) -> None:
        """Take note of a new leader, and give way to it."""
        if self.leader is not None and notice.term > self.leader.term.number:
            self.step_down("notice")
        if notice.term >= self._leader_term and self.leader is None:
            self.leader_name = notice.node
            self._leader_term = TermNumber(notice.term)

    def holder_knows(self, job: JobId) -> bool:
        """Tell whether the holder of the lease knows, or need not know, that a job is cancelled."""
        entry = self.store.get(HOLDER_KEY)
        if entry is None:
            return True
        holder = decode_stored(entry.data, LeaseHolder, entry.key)
        if holder is None:
            return False
        if holder.node == self._process.name:
            return self.leader is None or self.leader.apply_cancel(job)
        answer = self._process.peers.request(holder.node, CancelNotice(job, self.shard))
        return isinstance(answer, Ack) and answer.ok
