"""One controller: wires the parts together and owns their lifetimes."""

from __future__ import annotations

import logging
import random
from collections import OrderedDict

import gevent

from . import __version__, catalogue
from .api import Api, Finals
from .budget import Budget
from .http_server import HttpServer
from .jobs import CANCELLED, DONE
from .leader import CUT, UNFOLLOWED, Leader
from .leadership import (
    HOLDER_KEY,
    PREFIX,
    Holder,
    View,
    campaign,
    may_campaign,
    new_boot,
    read_view,
)
from .mesh import (
    Ack,
    CancelNotice,
    ImageHint,
    JobState,
    LeaderNotice,
    LoadQuery,
    MeshServer,
    Peer,
    PeerUnavailableError,
    PollJob,
    RelayRequest,
    RelayResponse,
    Request,
    Response,
    requests_at_once,
)
from .policy import Policy
from .settings import Settings, parse_address
from .store import Store, StoreUnavailableError, WatchExpiredError, readable
from .term import TermContext
from .transport import Reply
from .units import JobId, NodeName, Revision, Steady, Term, steady_now
from .user_quota import UserQuota
from .wire import Entry, JobStatus, MachineType

log = logging.getLogger("ryewing.node")
WATCH_S = 8.0
MESH_S = 0.6
CANCEL_KNOWN_S = 10.0
"""With the lease, above the longest for which a leader that has not seen a change may start tasks
or answer users (`leadership.FOLLOW_S`); 0.1.0 and 0.2.0 went by their watch, of 8 s and its
deadline."""
UNCONFIRMED_CANCELS_MAX = 10_000
API_SHARE, MESH_SHARE = 0.75, 0.05
"""Parts of the sockets for users, workers and health checks, and for other controllers. Every
worker keeps a connection to the leader; what remains is for the store, the cloud and what is sent
to workers directly (`workers.KEPT_SHARE`)."""
LOAD_EVERY_S = 1.0
HINT_EVERY_S = 5.0
"""How often the leader tells the others which machines have which images."""
ABSTAIN_S = 15.0
"""How long a node that resigned leaves leadership to the others."""


class Node:
    """One controller process."""

    def __init__(self, settings: Settings, policy: Policy) -> None:
        self.settings = settings
        self.policy = policy
        self.name = NodeName(settings.node)
        self.boot = new_boot()
        limits = settings.params.state.strictest()
        self.store = Store(parse_address(settings.endpoints.state), limits)
        self.store.relay = self._relay
        self.user_quota = UserQuota(limits.rps, len(settings.members) + 1, steady_now)
        self.store.on_throttled = self.user_quota.shrink
        self.teams = {team.name: team for team in settings.params.teams}
        self.finals = Finals()
        self.leader: Leader | None = None
        self._machine_types: dict[str, MachineType] = {}
        self._machine_types_read_at = Steady(-1e9)
        self._leader_name: str | None = None
        self._leader_term = Term(0)
        self._abstain_until = Steady(0.0)
        self._full = False
        self._load_queried_at = Steady(-1e9)
        self._hint: ImageHint | None = None
        self._hinted_at = Steady(-1e9)
        self._unconfirmed_cancels: OrderedDict[JobId, Steady] = OrderedDict()
        """Cancels found in the store that the leader may not know, and since when."""
        sockets = settings.params.resources.fd_limit
        mesh_sockets = max(8, int(MESH_SHARE * sockets))
        at_once = requests_at_once(mesh_sockets, len(settings.members))
        self._peers = {m.node: Peer(parse_address(m.address), at_once) for m in settings.members}
        self._relay_budget = Budget(0.2 * limits.rps, 0.2 * limits.rps)
        self._api = HttpServer(
            parse_address(settings.api_addr), Api(self), max(16, int(API_SHARE * sockets))
        )
        self._mesh = MeshServer(parse_address(settings.mesh_addr), self._on_mesh, mesh_sockets)
        self._rng = random.Random()

    def serve(self) -> None:
        """Run until the process is killed."""
        self._api.start()
        self._mesh.start()
        log.info("event=serving node=%s boot=%s version=%s", self.name, self.boot, __version__)
        while True:
            try:
                self._follow()
                continue
            except StoreUnavailableError as error:
                log.debug("event=store-down error=%s", error)
            except Exception:
                # A fault here must not end the process: users and workers are still served.
                log.exception("event=follow-failed")
            gevent.sleep(0.2 + 0.2 * self._rng.random())

    # -- leadership -------------------------------------------------------------------------

    def _follow(self) -> None:
        """Watch who leads; try to lead when nobody does."""
        view = read_view(self.store)
        while True:
            if self.leader is not None:
                gevent.sleep(0.2)
                if self.leader is None:
                    return
                self._share_images(self.leader)
                continue
            self._note(view)
            wait = self._abstain_until - steady_now()
            if wait > 0 and view.holder is None:
                gevent.sleep(min(wait, 0.5))
                view = read_view(self.store)
                continue
            if may_campaign(view, self.name, self.boot):
                if self._campaign(view):
                    continue
                view = read_view(self.store)
                continue
            try:
                changes = self.store.watch(PREFIX, view.revision, WATCH_S)
            except WatchExpiredError:
                return
            if changes.log:
                view = read_view(self.store)
            else:
                view.revision = Revision(max(view.revision, changes.revision))

    def _campaign(self, view: View) -> bool:
        """Try to take over; True if this node leads now."""
        leadership = campaign(
            self.store,
            view,
            self.name,
            self.boot,
            self.policy.store_lease_s,
            self.policy.hold_s,
        )
        if leadership is None:
            return False
        term = TermContext(
            self.settings,
            self.policy,
            self.store,
            leadership,
            self._step_down,
            self._set_machine_types,
        )
        leader = Leader(term, self.finals.put, self._hint)
        log.info(
            "event=leading node=%s term=%d version=%s", self.name, leadership.term, __version__
        )
        self.leader = leader
        self._leader_name = self.name
        self._leader_term = leadership.term
        leader.start()
        self._announce(leadership.term)
        return True

    def _note(self, view: View) -> None:
        holder = view.holder
        if holder is None:
            self._leader_name = None
        elif holder.term >= self._leader_term:
            if self._leader_name != holder.node:
                log.info("event=following leader=%s term=%d", holder.node, holder.term)
            self._leader_name = holder.node
            self._leader_term = Term(holder.term)

    def _step_down(self, why: str) -> None:
        leader = self.leader
        if leader is None:
            return
        log.info("event=stepped-down node=%s term=%d why=%s", self.name, leader.term, why)
        self.leader = None
        self._leader_name = None
        if why in (CUT, UNFOLLOWED):
            self._abstain_until = Steady(steady_now() + ABSTAIN_S)
        leader.stop()

    def _announce(self, term: Term) -> None:
        notice = LeaderNotice(self.name, int(term))
        for peer in self._peers.values():
            gevent.spawn(self._request, peer, notice)

    def _share_images(self, leader: Leader) -> None:
        now = steady_now()
        if now - self._hinted_at < HINT_EVERY_S or not leader.placer.gathered:
            return
        self._hinted_at = now
        self._hint = leader.image_hint()
        for peer in self._peers.values():
            gevent.spawn(self._request, peer, self._hint)

    def foreign_leader(self) -> str | None:
        """Name the leader to whom workers should be sent, if it is another node."""
        return self._leader_name if self._leader_name != self.name else None

    def healthy(self) -> bool:
        """Tell whether requests can be taken.

        An outage that all nodes see leaves them healthy: they refuse at once what they can't
        decide, and a removal would only reset connections and be undone slowly.
        """
        return True

    # -- what requests need -----------------------------------------------------------------

    def known_machine_types(self) -> dict[str, MachineType]:
        """Give the machine types; read from the store if this node has none yet."""
        now = steady_now()
        if not self._machine_types and now - self._machine_types_read_at > 0.5:
            self._machine_types_read_at = now
            self.user_quota.charge()
            try:
                listed = catalogue.read(self.store)
            except StoreUnavailableError:
                listed = []
            if listed:
                self._set_machine_types(
                    {machine_type.name: machine_type for machine_type in listed}
                )
        return self._machine_types

    def _set_machine_types(self, machine_types: dict[str, MachineType]) -> None:
        self._machine_types = machine_types

    def full(self) -> bool:
        """Tell whether the leader holds as many jobs as its memory allows.

        A follower asks at most once a second, in the background, and goes by the last answer.
        """
        if self.leader is not None:
            return self.leader.full()
        now = steady_now()
        if now - self._load_queried_at > LOAD_EVERY_S:
            self._load_queried_at = now
            gevent.spawn(self._query_load)
        return self._full

    def _query_load(self) -> None:
        name = self.foreign_leader()
        peer = self._peers.get(name) if name is not None else None
        answer = self._request(peer, LoadQuery()) if peer is not None else None
        self._full = isinstance(answer, Ack) and not answer.ok

    def query_leader(self, job: JobId) -> JobStatus | None:
        """Ask the leader for a job's state; None if only the store can tell."""
        name = self.foreign_leader()
        peer = self._peers.get(name) if name is not None else None
        if peer is None:
            return None
        answer = self._request(peer, PollJob(job))
        if not isinstance(answer, JobState) or answer.status is None:
            return None
        if answer.status in (DONE, CANCELLED):
            self.finals.put(job, answer.status)
        return JobStatus(job, answer.status, answer.done, answer.running)

    def announce_cancel(self, job: JobId) -> bool:
        """Make the leader know of a cancel that is in the store; False if it may not know.

        Only the holder of the lease answers users from memory and starts tasks, and whoever comes
        after it reads the jobs after its take-over. So it is enough to tell the one who holds it.
        """
        seen_at = self._unconfirmed_cancels.setdefault(job, steady_now())
        if len(self._unconfirmed_cancels) > UNCONFIRMED_CANCELS_MAX:
            self._unconfirmed_cancels.popitem(last=False)
        self.user_quota.charge()
        entry = self.store.get(HOLDER_KEY)
        if entry is None or self._holder_acknowledges(entry, job):
            known = True
        else:
            # The holder is dead, or cut from here. One that can reach the store sees the cancel in
            # its watch; one that can't loses its authority. So once that time is over since the
            # mark was seen here, no request is needed. Counted by our own steady clock: by the time
            # at which the cancel was meant to be written, one carried out late was told before the
            # leader could know.
            known = steady_now() - seen_at > self.policy.store_lease_s + CANCEL_KNOWN_S
        if known:
            self._unconfirmed_cancels.pop(job, None)
        return known

    def _holder_acknowledges(self, entry: Entry, job: JobId) -> bool:
        holder = readable(entry.data, Holder, entry.key)
        if holder is None:
            return False
        if holder.node == self.name:
            return self.leader is None or self.leader.take_cancel(job)
        peer = self._peers.get(holder.node)
        answer = self._request(peer, CancelNotice(job)) if peer is not None else None
        return isinstance(answer, Ack) and answer.ok

    def _request(self, peer: Peer, request: Request) -> Response | None:
        try:
            return peer.request(request, MESH_S)
        except PeerUnavailableError as error:
            log.debug("event=peer-silent error=%s", error)
            return None

    def _relay(self, method: str, path: str, body: bytes | None) -> Reply | None:
        """Ask the store through a peer, since it can't be reached from here."""
        for peer in self._peers.values():
            answer = self._request(peer, RelayRequest(method, path, body))
            if isinstance(answer, RelayResponse) and answer.status:
                return Reply(answer.status, answer.body)
        return None

    # -- the mesh ---------------------------------------------------------------------------

    def _on_mesh(self, request: Request) -> Response:
        if isinstance(request, PollJob):
            return self._on_poll(JobId(request.job))
        if isinstance(request, CancelNotice):
            leader = self.leader
            return Ack(leader is not None and leader.take_cancel(JobId(request.job)))
        if isinstance(request, LoadQuery):
            return Ack(self.leader is None or not self.leader.full())
        if isinstance(request, ImageHint):
            if self._hint is None or request.term >= self._hint.term:
                self._hint = request
            return Ack(True)
        if isinstance(request, LeaderNotice):
            if self.leader is not None and request.term > self.leader.term:
                self._step_down("notice")
            if request.term >= self._leader_term and self.leader is None:
                self._leader_name = request.node
                self._leader_term = Term(request.term)
            return Ack(True)
        return self._on_relay(request)

    def _on_poll(self, job: JobId) -> JobState:
        final = self.finals.get(job)
        if final is not None:
            return JobState(final)
        state = self.leader.poll(job) if self.leader is not None else None
        if state is None:
            return JobState()
        return JobState(state.status, state.done, state.running)

    def _on_relay(self, request: RelayRequest) -> RelayResponse:
        if not self._relay_budget.take():
            return RelayResponse(0)
        try:
            reply = self.store.raw(request.method, request.path, request.body, 0.5)
        except StoreUnavailableError:
            return RelayResponse(0)
        return RelayResponse(reply.status, reply.body)
