"""Every decision of saltcourse. Its types, events and actions are in ``saltcourse/interface.py``.

The rule, from "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière 2004): a node keeps a slot ceiling
and an occupancy for each server and sends a new connection to a ready server with probability its free room
(ceiling minus occupancy) over the room of all. With no room left it overflows by one slot to clean servers,
and only then refuses. One slot is the mean load of a connection; a group costs each server that holds any of
it some more, and is kept together while that server is not much fuller than others.
"""

from __future__ import annotations

import hashlib
import math
import random
from enum import Enum, IntEnum

from saltcourse.balancing.actions import (
    Action,
    FailRequest,
    FetchEndpoints,
    MigrateConnection,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from saltcourse.balancing.backend_report import BackendReport
from saltcourse.balancing.events import (
    NEVER_RAN,
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckFinished,
    PeerMessageReceived,
    RequestReceived,
    ResponseLatencyMeasured,
    TimerFired,
)
from saltcourse.balancing.settings import (
    MAX_LIST_RETRY_DELAY_SECONDS,
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    RequestClass,
    Settings,
)
from saltcourse.shared_state.state import SharedState

TICK = 1.0  # s between refreshes of ceilings and health; short against a connection's life
TICK_SERVERS = 150  # servers for which a refresh a second is cheap; a larger fleet is refreshed less often
FEW_SLOTS = 2.0  # slots a ceiling starts above the mean occupancy, for a server of mean weight
LEVEL_MEMORY = 60.0  # s in which the common ceiling forgets; about a connection's life
CUT = 0.9  # share of its occupancy that a refusing, dropping or slow server's ceiling is cut to
LEAST_LIMIT = 0.5  # of a mean server's level that a cut leaves
UNCLEAN = 2.0  # s that a server counts as having lately refused, dropped or been slow; doubles
CUT_EVERY = 1.0  # s between cuts: one jam drops many connections at once and is one sign
BREAKS_WITHIN = 1.0  # s in which a second reset tells that a server drops connections
TARGET = 0.8  # reported load at which a server has no free slot: some 50 loads sway by a seventh around it
FIRST_BACKOFF = 0.5  # s that a server is left alone after its first silent failure; doubles
LONGEST_BACKOFF = 8.0  # s; about what the list needs to notice a dead server
CROSS = 0.05  # a free slot in another zone counts as this much of one at home
ZONE_STRIKES = 4  # silent failures in a row, without one answer, that make a zone look cut off
ZONE_BACKOFF = 2.0  # s that a zone which looks cut off is left alone
RECOVERY = 0.05  # of a mean server's level that a learned ceiling regains a tick while it is clean
RETRY_RATIO = 0.3  # retry budget: further attempts that each request adds, so that retries cannot feed a jam
RETRY_BURST = 10.0  # further attempts that may come at once
SHED_SLOWNESS = 1.5  # of the slow mark: messages this slow are failing, and connections are moved away
SHED_ANYWAY = 3.0  # of the slow mark: the aim itself; then moved away even with no room in sight
SLOW_SETUP = 2.5  # times the usual: a set-up this long waited behind piled-up work
SETUP_GAIN = 0.05  # of each set-up in the usual time
HUNG = 0.7  # s that a message takes at a server which does nothing any more: all its clients are moved
SHED_SHARE = 0.2  # of its connections on such a server that a node moves for each sign, one a second
SHED_LESS = 0.1  # the same where load is reported: a stall of a moment looks like work piled up
OVER = 3  # signs in a row after which two reports over 1 are believed, and all that is over is moved
HOMEWARD = 0.05  # of the connections that stand in other zones, moved home each second while home is at ease
EASE = 0.1  # share of home servers with slow messages up to which home is at ease
STORM_MEMORY = 5.0  # s in which a node forgets how its attempts went
STORM_DROP = 3.0  # s under which a dropped connection counts as an attempt that failed
STORM_SLACK = 4.0  # failures more than successes that are bad luck and no storm
GROUP_SLOTS = 3.0  # mean connection loads that a group costs at each server that holds any of it
UNEVEN = 5.0  # slots above the mean up to which a server that holds a group gets more of it
STRAGGLERS = 2  # connections of a group that are moved to where more of it are, from the fullest server
ERROR_GAIN = 0.2  # of each answer in a server's share of errors
ERRS = 0.3  # share of errors over which a server is tried by one connection at a time
NO_STORM = (
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.ERROR,
)  # endings that no jam of set-ups causes
LOADS_MEANT = 100  # told loads over which the load of one slot is a mean
LAST_TRY = 0.1  # s of a request's time under which another attempt is not worth sending
PICK_TRIES = 60  # uniform draws before the exact scan; each is accepted with room over largest room
FURTHER = 0.36  # of a server's whole load: the room at which a group that stands elsewhere may come to it
EASE_LOAD = 0.45  # mean reported load under which a crossing costs more than a group's further server
HALF, FRESH = TARGET / 2, 0.5  # s for which a report of HALF or more saves another probe
LOOKS = 3  # servers asked for their load before a placement, one after another, where probes tell it
REPORT_STALE = 5.0  # s after which a report says no more than the mean, and is renewed; after TICK if full
LIST_SPREAD = 0.3  # s over which nodes that were refused the list together ask for it again
WATCH_AGAIN = 0.5  # s from a list that was fetched to the next watch
SCAN_AGAIN = 0.1  # s for which a scan that found no room anywhere holds
LOOK_WAIT = 0.05  # s that a placement waits for these answers
TICK_TOKEN, LIST_TOKEN = 1, 2


class Health(IntEnum):
    """What a server's own failures have made of it; it stands in the draw while USABLE or DUE."""

    USABLE = 0
    RESTING = 1  # left alone until ``down_until``
    DUE = 2  # its rest is over: the next connection tells whether it is back
    TRIAL = 3  # that connection is out


Sign = Enum("Sign", "SENT VOID TOOK FAILED RESTED WARNED")
AFTER = {  # a server's health after each sign; what it was: USABLE, RESTING, DUE, TRIAL
    Sign.SENT: (Health.USABLE, Health.RESTING, Health.TRIAL, Health.TRIAL),  # an attempt goes there
    Sign.VOID: (Health.USABLE, Health.RESTING, Health.DUE, Health.DUE),  # the trial ended and tells nothing
    Sign.TOOK: (Health.USABLE,) * 4,  # it took a connection, or was alive to turn one away
    Sign.FAILED: (Health.RESTING,) * 4,  # it is to blame for a failure
    Sign.RESTED: (Health.USABLE, Health.DUE, Health.DUE, Health.TRIAL),  # its rest is over
    Sign.WARNED: (Health.DUE, Health.RESTING, Health.DUE, Health.TRIAL),  # another node leaves it alone
}


class Server:
    """What this node knows of one server. Loads are in slots."""

    def __init__(self, member: Endpoint) -> None:
        self.id = member.backend
        self.load = 0.0  # occupancy: load of this node's connections there
        self.count = 0
        self.held: dict[str, Request] = {}  # connections that stand there
        self.groups: dict[str, int] = {}  # connections of each group, where a group has a cost of its own
        # Size over the mean; that while cold; what a slot here counts; this node's slots in a load of 1.
        self.size = self.slots = self.near = self.whole = 1.0
        self.update(member)
        self.forget(-1e9)

    def update(self, member: Endpoint) -> None:
        self.zone, self.kind, self.cell = member.zone, member.kind, member.cell
        self.weight, self.started, self.state = member.weight, member.started, member.state

    def forget(self, now: float) -> None:
        """A fresh process: nothing learned of the old one holds, nor what is still out to it."""
        self.fresh_at = now
        self.ceiling = self.limit = 0.0  # the limit is what was learned of the ceiling; 0 = nothing yet
        self.unclean_until = self.slow_until = self.down_until = self.next_send = 0.0
        self.cut_at = self.broke_at = -1e9
        self.failures = self.strains = self.fails = 0  # fails: messages past their aim in a row
        self.errors = 0.0  # share of its late answers that were errors, as far as it is to blame
        self.erred_on = ""  # the flow of the last of these
        self.health = Health.USABLE
        self.trial: Request | None = None  # the request that is out to try it; only while on TRIAL
        self.asking: list[Request] = []  # placements that wait for its probe
        self.report_load = self.report_before = -1.0
        self.report_at, self.renew_at, self.probing = -1e9, -1e9, False  # heard; overdue; being asked for


class Request:
    """A request from its arrival to its final answer, or a connection to its end."""

    __slots__ = (
        "id",
        "klass",
        "deadline",
        "server",
        "attempts",
        "out",
        "begun",
        "answered",
        "load",
        "tried",
        "may_have_run",
        "ran_at",
        "asked",
        "looks",
        "began",
        "group",
        "flow",
        "sent_at",
        "suspect",
    )

    def __init__(
        self, request: str, klass: RequestClass, deadline: float, load: float, group: str, flow: str
    ) -> None:
        self.id, self.klass, self.deadline, self.load = request, klass, deadline, load
        self.group, self.flow = group, flow  # the flow is the client's, the same with each of its tries
        self.suspect: tuple[Server, AttemptStatus, float] | None = (
            None  # who broke it off, how, when it was sent
        )
        self.server: Server | None = None
        self.attempts = self.looks = 0
        self.out = self.begun = self.answered = False
        self.tried: list[Server] = []
        self.may_have_run: Server | None = None  # the first server that may have run it
        self.ran_at = self.began = self.sent_at = 0.0
        self.asked: Server | None = None  # the one whose load is being asked for


class Balancer:
    """The decisions of one node. Same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now, self.started = 0.0, False
        self.out: list[Action] = []
        self.classes = {c.name: c for c in settings.classes}
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.largest_room = 0.0
        self.scanned = -1.0  # when a scan of all servers found no room
        self.requests: dict[str, Request] = {}
        self.timers: dict[int, Request] = {}
        self.next_token = LIST_TOKEN  # the last one given out
        self.list_failures, self.polled, self.list_asked = 0, False, -1e9  # polled: the whole list, once
        self.usual_setup = 0.0  # s that a set-up takes, over all servers; 0 until one has been timed
        self.mean_load, self.told_loads = 0.0, 0  # load of one slot, 0 until told one; loads that it means
        self.strikes: dict[str, int] = {}  # silent failures in a row in each zone
        self.zone_down: dict[str, float] = {}
        self.failed = self.stood = 0.0  # attempts of late that failed or were dropped young; that stood
        self.retry_budget = RETRY_BURST  # further attempts that may be sent now
        self.level = self.far_level = 0.0  # ceiling of a mean server of which nothing is learned
        self.quota = sum(t.connection_quota for t in settings.tenants) / settings.proxy_count
        self.per_load, self.mean_report = 0.0, 0.5  # slots for a server's whole load
        self.look = settings.reports_load and settings.health_checks_allowed
        self.shared_state = SharedState(settings, seed, self.servers)
        self.handlers = {
            EndpointsUpdated: self._on_members,
            RequestReceived: self._on_request,
            ConnectionResumed: self._on_resumed,
            ConnectionEstablished: self._on_established,
            AttemptFinished: self._on_outcome,
            ClientDisconnected: self._on_gone,
            ConnectionLoadChanged: self._on_load,
            ResponseLatencyMeasured: self._on_delay,
            TimerFired: self._on_timer,
            HealthCheckFinished: self._on_probe,
            PeerMessageReceived: self._on_peer,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at the host's time; what comes back is to be carried out in its order."""
        self.now, self.out = now, []
        self.handlers[type(event)](event)  # type: ignore[operator]
        self.out += [SendPeerMessage(data, peer) for peer, data in self.shared_state.outgoing_messages(now)]
        return self.out

    def backend_names(self) -> list[str]:
        """Every backend that a list has named."""
        return list(self.servers)

    def backend_reports(self, now: float) -> list[BackendReport]:
        """What is believed of each backend now."""
        return [self._backend_report(now, server) for server in self.servers.values()]

    def _backend_report(self, now: float, server: Server) -> BackendReport:
        reasons = {
            server.state.value: server.state is not BackendState.READY,
            server.health.name.lower(): server.health is not Health.USABLE,
            "unclean": server.unclean_until > now,
            "slow": server.slow_until > now,
            "cold": server.next_send > now,
        }
        return BackendReport(
            backend=server.id,
            state=server.state,
            occupancy=server.load,
            ceiling=server.ceiling,
            reasons=tuple(reason for reason, holds in reasons.items() if holds),
            is_avoided=server.state is not BackendState.READY
            or server.health in (Health.RESTING, Health.TRIAL),
        )

    @property
    def is_failing(self) -> bool:
        """Whether more attempts failed than succeeded of late."""
        return self.failed > self.stood

    # ---- membership -----------------------------------------------------------------------------

    def _on_members(self, event: EndpointsUpdated) -> None:
        if not self.started:
            self._start()
        if (
            event.kind is EndpointUpdateKind.UNAVAILABLE
        ):  # asked again, later each time: wait and call within the term
            self.list_failures += 1
            longest = min(
                self.settings.poll_interval, MAX_LIST_RETRY_DELAY_SECONDS, 2.0**self.list_failures * 0.5
            )
            wait = max(LIST_SPREAD, longest - (self.now - self.list_asked))  # less what the failed call took
            self.out.append(SetTimer(wait * (0.5 + self.random.random() / 2), LIST_TOKEN))
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.list_failures = 0
            if self.polled:  # fetched once, not watched: the watch is asked for again, in time
                self.polled = False
                self.out.append(SetTimer(WATCH_AGAIN * (0.5 + self.random.random()), LIST_TOKEN))
        changed = event.kind is not EndpointUpdateKind.DELTA
        if changed:
            named = {m.backend for m in event.endpoints}
            for server in self.servers.values():
                if server.id not in named:  # not in a whole list: removed
                    server.state = BackendState.REMOVED
        for member in event.endpoints:
            known = self.servers.get(member.backend)
            if known and known.state is member.state and known.started == member.started:
                known.weight = member.weight
                continue
            changed = True
            server = known or self.servers.setdefault(member.backend, Server(member))
            restarted = member.started > server.started
            server.update(member)
            server.near = 1.0 if server.zone == self.settings.zone else CROSS
            if restarted:
                server.forget(self.now)
            if (restarted or known is None) and self._warmth(server) < 1.0:
                # Many nodes hear of a cold server at once; each sends its first at its own moment.
                server.next_send = self.now + self.random.random() * self._slow_start_gap(server)
            if server.state is BackendState.DRAINING or (
                event.kind is EndpointUpdateKind.DELTA and server.state is BackendState.REMOVED
            ):
                self._move(list(server.held.values()))  # (a whole list that omits one does not prove it gone)
        if changed:  # weights alone are read at the next tick
            self._refresh()

    def _start(self) -> None:
        self.started = True
        self.out.append(SetTimer(TICK * (0.5 + self.random.random()), TICK_TOKEN))
        if self.settings.discovery_mode is DiscoveryMode.POLLED:
            # Nodes that start together must not pile onto the list: each waits its own part.
            spread = min(self.settings.poll_interval / 2, 0.2 * self.settings.proxy_count)
            self.out.append(SetTimer(spread * self.random.random(), LIST_TOKEN))

    def _warmth(self, server: Server) -> float:
        """The share of its capacity that a server surely has by now."""
        warm_up, share = self.settings.warm_up, self.settings.initial_capacity_share
        if server.started <= 0 or warm_up <= 0:
            return 1.0
        return min(1.0, share + (1 - share) * max(0.0, self.now - server.started) / warm_up)

    def _slow_start_gap(self, server: Server) -> float:
        """Seconds between this node's slots to a cold server, so that all nodes fill it over its warm-up."""
        level = self.level if server.near == 1.0 else self.far_level
        slots = max(0.25, server.size * (level - FEW_SLOTS + 0.5)) * self.shared_state.relative_share(
            self.now
        )
        return self.settings.warm_up / slots

    # ---- health ---------------------------------------------------------------------------------

    def _sign(self, server: Server, sign: Sign, request: Request | None = None) -> None:
        """The one place where a server's health changes. A rest doubles with each failure after another."""
        before = server.health
        server.health = AFTER[sign][before]
        if server.health is not Health.TRIAL:
            server.trial = None
        elif before is Health.DUE:
            server.trial = request
        if sign is Sign.TOOK:
            server.failures, server.down_until = 0, 0.0
        elif server.health is Health.RESTING and before is not Health.RESTING:
            server.failures += 1  # what was sent before does not lengthen the rest
            wait = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2.0 ** (server.failures - 1))
            server.down_until = self.now + wait * (0.75 + self.random.random() / 2)
            self.shared_state.announce_ejection(server.id, server.down_until)
            self._strike(server.zone)
        if server.health in (Health.RESTING, Health.TRIAL) and server in self.ready and len(self.ready) > 1:
            self.ready.remove(server)

    def _strike(self, zone: str) -> None:
        """Many in a row without an answer are a cut, not deaths: other zones are left alone as a whole."""
        strikes = self.strikes[zone] = self.strikes.get(zone, 0) + 1
        if strikes >= ZONE_STRIKES and zone != self.settings.zone:
            self.zone_down[zone] = self.now + ZONE_BACKOFF * (0.5 + self.random.random())
            self.ready = [s for s in self.ready if s.zone != zone] or self.ready

    def _strained(self, server: Server, dropped: bool) -> None:
        """It refused or dropped, or is slow: it gets nothing for a while; what it holds is the most it can.
        A slow one may still overflow; one that drops may not, and is left alone for longer each time."""
        if self.now >= server.cut_at + CUT_EVERY:
            server.cut_at = self.now
            # One that holds little has shown nothing of what it can hold.
            least = LEAST_LIMIT * server.slots * (self.level if server.near == 1.0 else self.far_level)
            server.limit = max(server.load * (CUT if dropped else 1.0), least, 0.5)
            server.strains = min(server.strains + 1, 3) if dropped else server.strains
        hold = CUT_EVERY if self.look else UNCLEAN * 2.0 ** max(0, server.strains - 1)
        server.slow_until = max(server.slow_until, self.now + hold)
        if dropped:
            server.unclean_until = server.slow_until
        server.ceiling = 0.0 if dropped else min(server.ceiling, server.load)

    def _on_delay(self, event: ResponseLatencyMeasured) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None:
            return
        server, slowness = request.server, event.latency / self.settings.slow_message
        server.fails = server.fails + 1 if (failing := slowness > SHED_ANYWAY) else 0
        if self.look and failing:  # a reported load says it better, but not that work is piled up
            self._ask(server, FRESH)
            if event.latency < HUNG or server.fails > 1:  # so long at once is a stall: work piles up slowly
                self._strained(server, dropped=True)
                self._shed(server, SHED_LESS)
        elif slowness > 1 and not self.look:
            self._strained(server, failing)
            if event.latency >= HUNG:
                self._move(list(server.held.values()))
            elif failing or (slowness > SHED_SLOWNESS and self.largest_room > 0):
                self._shed(server, SHED_SHARE)
        elif slowness <= 1 and server.unclean_until <= self.now:
            server.slow_until = self.now

    def _set_up(self, server: Server, took: float) -> None:
        """A set-up waits behind piled-up work, as messages do; where none is timed it is the only sign."""
        if took > SLOW_SETUP * self.usual_setup > 0:
            self._strained(server, dropped=False)
            if self.largest_room > 0 and server.cut_at == self.now:  # in a burst many tell of one jam
                self._shed(server, SHED_LESS if self.look else SHED_SHARE)
        usual = self.usual_setup or took
        self.usual_setup = usual + SETUP_GAIN * (min(took, SLOW_SETUP * usual) - usual)

    def _shed(self, server: Server, share: float) -> None:
        """Few served beat all failed: move a share, for each node with connections there is told at once.
        The smallest groups go first and whole: each frees what it cost, and finds its others elsewhere."""
        if not self.look:
            self._move(self._share(list(server.held.values()), share))
            return
        held = sorted(
            server.held.values(),
            key=lambda r: (
                self.shared_state.peer_serves_group(server.id, r.group),
                server.groups.get(r.group, 0),
                r.group,
            ),
        )
        first = {r.group for r in held[: int(share * len(held) + self.random.random())]}
        self._move([r for r in held if r.group in first])

    def _homeward(self, tick: float) -> None:
        """Bring connections home from other zones, bit by bit, while home is at ease: crossing costs."""
        home = [s for s in self.ready if s.near == 1.0]
        if self.settings.has_groups or sum([s.slow_until > self.now for s in home]) >= EASE * len(home):
            return  # (a group's connections would lose their others)
        away = [r for s in self.servers.values() if s.near < 1.0 for r in s.held.values()]
        self._move(self._share(away, HOMEWARD * tick))

    def _gather(self) -> None:
        """The fullest server gives up what is over the most it would be sent, or a group's stragglers."""
        full = max(self.ready, key=lambda s: s.load / max(s.slots, 0.1), default=None)
        if full is None or not full.groups:
            return
        # While one rests or is tried nothing is moved: the rest is crowded, and what moves would come back.
        well = [s for s in self.ready if s.health is Health.USABLE]
        over = math.ceil(full.load / max(full.slots, 0.1) - self._fair(well))
        counts = sorted((count, group) for group, count in full.groups.items())
        (few, group), (_, most) = counts[0], counts[-1]
        if over > 0 and len(well) == sum([s.state is BackendState.READY for s in self.servers.values()]):
            self._move([r for r in full.held.values() if r.group == most][:over])
        elif few <= STRAGGLERS and any(
            [s.groups.get(group, 0) > few and s.load < full.load - GROUP_SLOTS for s in self.ready]
        ):
            self._move([r for r in full.held.values() if r.group == group])

    def _fair(self, servers: list[Server]) -> float:
        """What a server of mean size may hold and still be sent more of a group that it holds."""
        return sum([s.load for s in servers]) / max(1.0, sum([s.slots for s in servers])) + UNEVEN

    def _share(self, requests: list[Request], share: float) -> list[Request]:
        count = int(share * len(requests) + self.random.random())
        return self.random.sample(requests, min(count, len(requests)))

    def _move(self, requests: list[Request]) -> None:
        for request in requests:
            if request.server is not None:
                request.server.held.pop(request.id, None)
            self.out.append(MigrateConnection(request.id))

    # ---- ceilings -------------------------------------------------------------------------------

    def _refresh(self) -> None:
        """Once a tick and after each list: who is ready, sizes, and every ceiling."""
        now, down = self.now, self.zone_down
        listed = [s for s in self.servers.values() if s.state is BackendState.READY]
        for server in listed:
            if server.health is Health.RESTING and server.down_until <= now:
                self._sign(server, Sign.RESTED)
        self.ready = [
            s
            for s in listed
            if s.health in (Health.USABLE, Health.DUE) and (not down or down.get(s.zone, 0.0) <= now)
        ] or listed  # all down at once: a cut
        self.largest_room, self.scanned = 0.0, -1.0
        if not self.ready:
            return
        if self.look:
            self._learn_capacity()
        mean_weight = sum(s.weight for s in self.ready) / len(self.ready) or 1.0
        for server in self.ready:
            server.size = server.size if self.look else server.weight / mean_weight
            server.slots = server.size if server.started <= 0 else server.size * self._warmth(server)
        # Home and other zones fill apart: this node sends mostly home.
        home = [s for s in self.ready if s.near == 1.0]
        if self.level == 0.0 and home:  # nothing is learned yet: what this node's tenants may hold fits
            self.level = self.quota / len(home)
        self.level = self._level(self.level, home)
        self.far_level = self._level(self.far_level, [s for s in self.ready if s.near < 1.0])
        for server in self.ready:
            self._set_ceiling(server, 1)

    def _level(self, level: float, servers: list[Server]) -> float:
        """What the mean server of these holds, and some slots more; forgotten slowly, for clients return."""
        slots = sum([s.slots for s in servers])
        mean = sum([s.load for s in servers]) / slots if slots > 0 else 0.0
        return max(level * (1 - TICK / LEVEL_MEMORY), mean + FEW_SLOTS)

    def _learn_capacity(self) -> None:
        """Slots that this node may fill on each server: its own over the load they make, pooled by kind."""
        heard = [s for s in self.ready if s.report_at > self.now - REPORT_STALE and s.report_load > 0.02]
        own, told = sum([s.load for s in heard]), sum([s.report_load for s in heard])
        if own <= 0:
            return
        mean = self.per_load = own / told
        self.shared_state.set_capacity_scale(mean)
        self.mean_report = told / len(heard)
        sizes = {}
        for kind in {s.kind for s in self.ready}:
            same = [s for s in heard if s.kind == kind]
            # A few servers' worth of the fleet's mean is mixed in, for kinds of which little is known.
            sizes[kind] = (sum([s.load for s in same]) / mean + 3) / (sum([s.report_load for s in same]) + 3)
        for server in self.ready:
            server.size = sizes[server.kind]

    def _set_ceiling(self, server: Server, ticks: int = 0) -> None:
        level = self.level if server.near == 1.0 else self.far_level
        slow = server.slow_until > self.now  # set-up work can jam a server whose reported load is low
        if server.report_load >= 0:
            told = server.report_load if server.report_at > self.now - REPORT_STALE else self.mean_report
            server.whole = max(FEW_SLOTS, self.per_load, self.shared_state.minimum_scale) * server.slots
            ceiling = server.load + server.whole * max(0.0, TARGET - told)
        else:  # without a limit nothing says that it is full: what it holds is no reason to refuse
            ceiling = max(level * server.slots, 0.0 if server.limit > 0 else server.load)
        if server.limit > 0:
            server.limit += 0.0 if slow else ticks * RECOVERY * level * server.size
            ceiling = min(ceiling, server.load if slow else server.limit)
        server.ceiling = 0.0 if server.unclean_until > self.now else ceiling
        self._grown(server)

    def _raise(self, server: Server) -> None:
        """A connection that took the last free slot was accepted: there is room for one more."""
        if server.report_load < 0 and server.ceiling - server.load < 1.0 and server.unclean_until <= self.now:
            learned = server.limit > 0
            server.limit += 1.0 if learned else 0.0
            server.ceiling = (server.ceiling if learned else max(server.ceiling, server.load)) + 1.0
            self._grown(server)

    def _grown(self, server: Server) -> None:
        room = (server.ceiling - server.load) * server.near
        self.largest_room = max(self.largest_room, room)

    # ---- pick -----------------------------------------------------------------------------------

    def _pick(self, request: Request) -> Server | None:
        """In proportion to free room; then, by one slot over, a clean server; else None."""
        if request.group:
            # Where its group costs nothing more, unless that is much fuller; else where others would go.
            able = [s for s in self.ready if self._allowed(request, s)]
            homes = [
                s
                for s in able
                if request.group in s.groups or self.shared_state.peer_serves_group(s.id, request.group)
            ]
            if self.look:
                return self._gathered(request.group, homes, able)
            home = self._agreed(request.group, homes) or self._agreed(request.group, able)
            if home is not None:
                return home
        found = self._draw(request, 0.0)
        if found is None and self.now >= self.scanned + SCAN_AGAIN:
            self.scanned = self.now  # a fleet without room is not scanned for every request
            usable = [s for s in self.ready if self._allowed(request, s)]
            found = self._drawn(usable, 0.0) or self._drawn([s for s in usable if self._clean(s)], 1.0)
            self.largest_room = max([(s.ceiling - s.load) * s.near for s in self.ready], default=0.0)
        elif found is None:
            found = self._draw(request, 1.0)
        return found

    def _gathered(self, group: str, homes: list[Server], able: list[Server]) -> Server | None:
        """A group costs every server that holds any of it. Where reported loads show that cost, a fleet that
        spreads its groups is full with half the connections: refused is better than spread."""
        roomy = [s for s in able if s.ceiling - s.load >= (FURTHER if homes else 0.0) * s.whole]
        if self.mean_report < EASE_LOAD:
            found = self._agreed(group, [s for s in homes if s.near == 1.0]) or self._agreed(
                group, [s for s in roomy if s.near == 1.0]
            )
            if found is not None:
                return found
        return self._agreed(group, homes) or self._agreed(group, roomy)

    def _draw(self, request: Request, over: float) -> Server | None:
        """A uniform draw, accepted with room over the largest room: exactly in proportion to room."""
        ready, largest, draw = self.ready, self.largest_room + over, self.random.random
        for _ in range(PICK_TRIES if largest > 0 and ready else 0):
            server = ready[int(draw() * len(ready))]
            room = (server.ceiling + over - server.load) * server.near
            if (
                draw() * largest < room
                and self._allowed(request, server)
                and not (over and not self._clean(server))
            ):
                return server
        return None

    def _drawn(self, servers: list[Server], over: float) -> Server | None:
        rooms = [max(0.0, s.ceiling + over - s.load) * s.near for s in servers]
        return self.random.choices(servers, rooms)[0] if sum(rooms) > 0 else None

    def _agreed(self, group: str, servers: list[Server]) -> Server | None:
        """A draw in proportion to free room whose chance is the group's own: nodes that see the same room
        draw the same server, without a word between them (weighted rendezvous hashing)."""
        fair = math.inf if self.look else self._fair(self.ready)

        def weight(server: Server) -> float:
            room = min(server.ceiling, fair * server.slots) - server.load
            room *= server.near if self.look else 1.0  # what a group costs outweighs what a crossing does
            if room <= 0:
                return 0.0
            digest = hashlib.blake2b(f"{group} {server.id}".encode(), digest_size=6).digest()
            return -room / math.log((int.from_bytes(digest, "big") + 0.5) / 2**48)

        best, found = max(((weight(s), i) for i, s in enumerate(servers)), default=(0.0, 0))
        return servers[found] if best > 0 else None

    def _allowed(self, request: Request, server: Server) -> bool:
        """Not tried, not cold beyond its share, where repeats are dropped, and still ready after a probe."""
        if server.next_send > self.now or server.state is not BackendState.READY or server in request.tried:
            return False
        ran, klass = request.may_have_run, request.klass
        if ran is None or klass.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            klass.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.now >= request.ran_at + klass.deduplication_window
        ):
            return False
        return (
            klass.deduplication_scope is DeduplicationScope.ALL
            or server.zone == ran.zone
            and (klass.deduplication_scope is DeduplicationScope.ZONE or server.cell == ran.cell)
        )

    def _clean(self, server: Server) -> bool:
        return server.unclean_until <= self.now and (
            server.report_load < TARGET or server.report_at < self.now - REPORT_STALE
        )

    # ---- the life of a request ------------------------------------------------------------------

    def _slot(self, load: float) -> float:
        """A load in slots; the mean load of all that is told makes one slot."""
        if load <= 0:
            return 1.0
        self.told_loads += 1  # a plain mean at first: one odd connection must not set the measure for long
        self.mean_load += (load - self.mean_load) / min(self.told_loads, LOADS_MEANT)
        return load / self.mean_load

    def _request(self, event: RequestReceived | ConnectionResumed, deadline: float, flow: str) -> Request:
        request = self.requests[event.request] = Request(
            event.request,
            self.classes[event.request_class],
            deadline,
            self._slot(event.load_hint),
            event.group if self.settings.has_groups else "",
            flow,
        )
        return request

    def _on_request(self, event: RequestReceived) -> None:
        request = self._request(event, self.now + event.time_left, event.flow)
        self.retry_budget = min(RETRY_BURST, self.retry_budget + RETRY_RATIO)
        self._set_timer(request, event.time_left)
        (self._give_up if self._storm() else self._seek)(request)

    def _storm(self) -> bool:
        """Most attempts of late failed, wherever they went: clients jam the fleet; refusals drain it."""
        return self.failed - self.stood > STORM_SLACK

    def _on_resumed(self, event: ConnectionResumed) -> None:
        request = self._request(event, 0.0, "")
        request.attempts, request.out, request.begun = 1, True, True
        # One held by a server that no list has named is counted there, and never sent to.
        server = self.servers.get(event.backend) or Server(Endpoint(event.backend, BackendState.REMOVED))
        request.server = server
        self._occupy(server, request)
        server.held[request.id] = request

    def _occupy(self, server: Server, request: Request) -> None:
        server.load += request.load
        server.count += 1
        if request.group:
            if request.group not in server.groups:
                server.load += GROUP_SLOTS
                self.shared_state.record_group(server.id, request.group, True)
            server.groups[request.group] = server.groups.get(request.group, 0) + 1

    def _vacate(self, server: Server, request: Request) -> None:
        if request.group:
            server.groups[request.group] -= 1
            if not server.groups[request.group]:
                del server.groups[request.group]
                self.shared_state.record_group(server.id, request.group, False)
                server.load -= GROUP_SLOTS
        server.load = max(0.0, server.load - request.load) if server.count > 1 else 0.0
        server.count -= 1
        self._grown(server)

    def _set_timer(self, request: Request, delay: float) -> None:
        self.next_token += 1
        self.timers[self.next_token] = request
        self.out.append(SetTimer(max(0.0, delay), self.next_token))

    def _place(self, request: Request, server: Server | None = None) -> None:
        left = request.deadline - self.now
        again = request.attempts < self.settings.max_attempts and left > LAST_TRY and self.retry_budget >= 1
        if server is None and (request.attempts == 0 or (again and not self._storm())):
            self.retry_budget -= min(request.attempts, 1)
            server = self._pick(request)
        if server is None:
            self._give_up(request)
            return
        request.server, request.sent_at, request.out = server, self.now, True
        request.tried.append(server)
        request.attempts += 1
        self._occupy(server, request)
        if self._warmth(server) < 1.0:
            server.next_send = self.now + request.load * self._slow_start_gap(server)
        self._sign(server, Sign.SENT, request)
        self.out.append(StartAttempt(request.id, server.id, self._timeout(request, left)))

    def _timeout(self, request: Request, left: float) -> float:
        """Short enough to leave room for another try, long enough for a server that is merely busy."""
        if (
            request.attempts >= self.settings.max_attempts
            or request.klass.idempotency is Idempotency.NOT_IDEMPOTENT
        ):
            return left
        wanted = max(request.klass.latency_objective, self.settings.connect_timeout)
        return left if left < wanted + LAST_TRY else min(wanted, left)

    def _give_up(self, request: Request) -> None:
        """The final answer with no attempt left: a refusal where trying again is harmless, else a failure."""
        effect, ran = request.klass.idempotency, request.may_have_run
        harmless = (
            effect is Idempotency.IDEMPOTENT
            or ran is None
            or (effect is Idempotency.KEYED and request.klass.deduplication_scope is DeduplicationScope.ALL)
        )
        if harmless and not request.out:
            self.out.append(
                RejectRequest(request.id, self.settings.longest_retry_after * self.random.uniform(0.5, 1))
            )
        else:
            self.out.append(FailRequest(request.id))
        request.answered = True
        if not request.out:
            self.requests.pop(request.id, None)

    def _on_established(self, event: ConnectionEstablished) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None or event.attempt != request.attempts - 1:
            return
        server, request.begun, request.began, self.stood = request.server, True, self.now, self.stood + 1
        server.held[request.id] = request
        server.errors *= 1 - ERROR_GAIN
        if request.suspect is not None:
            self._blame(request, *request.suspect)
        self._answers(server, request)
        self._set_up(server, event.latency)
        server.strains = 0 if self._clean(server) else server.strains  # the next hold is a short one
        self._raise(server)
        if server.state is BackendState.DRAINING:  # sent before this was known
            self._move([request])

    def _answers(self, server: Server, request: Request | None) -> None:
        if server.errors > ERRS:  # it still fails as often as not: one at a time until it does no more
            if server.trial is request:
                self._sign(server, Sign.VOID)
        else:
            self._sign(server, Sign.TOOK)
        self.strikes.pop(server.zone, None)
        self.zone_down.pop(server.zone, None)

    def _on_outcome(self, event: AttemptFinished) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None or event.attempt != request.attempts - 1:
            return
        server = request.server
        if request.out:
            request.out = False
            server.held.pop(request.id, None)
            self._vacate(server, request)
        if event.report is not None and event.report.load is not None:
            self._heard(server, event.report.load)
        self._judge(server, request, event.status)
        if request.begun and event.status is AttemptStatus.RESET and self.now < request.began + STORM_DROP:
            self.stood -= 1
            self.failed += 1
        if event.final or request.begun or request.answered:
            self.requests.pop(event.request, None)
            request.answered = True
            return
        if event.status not in NO_STORM:
            self.failed += 1
        if event.status not in NEVER_RAN and request.may_have_run is None:
            request.may_have_run, request.ran_at = server, self.now - event.latency
        self._place(request)

    def _judge(self, server: Server, request: Request, status: AttemptStatus) -> None:
        """What an ending says of the server; the client's own leaving says nothing."""
        if server.trial is request:
            self._sign(server, Sign.VOID)  # whatever ended it, it tries the server no longer
        if request.sent_at < server.fresh_at:
            return  # it went to the process before this one
        if status is AttemptStatus.CONNECT_FAILED or (status is AttemptStatus.TIMEOUT and not request.begun):
            self._sign(server, Sign.FAILED)
        elif status is AttemptStatus.FULL:
            self._answers(server, request)
            self._strained(server, dropped=True)
        elif status is AttemptStatus.RESET and request.begun:
            self._broke(server)
        elif status in (AttemptStatus.ERROR, AttemptStatus.RESET):
            # Nobody is to blame before it stands at another server; broken off there too, it is at fault.
            request.suspect = (
                server,
                status if request.suspect is None else AttemptStatus.OK,
                request.sent_at,
            )

    def _blame(self, request: Request, server: Server, status: AttemptStatus, sent: float) -> None:
        """It stands elsewhere: what broke it off was its server, unless that does so to one flow alone."""
        if (
            status is AttemptStatus.OK
            or sent < server.fresh_at
            or request.flow
            and request.flow == server.erred_on
        ):
            return
        server.erred_on = request.flow
        if status is AttemptStatus.RESET:
            self._broke(server)
        else:
            server.errors += ERROR_GAIN * (1 - server.errors)
        if server.errors > ERRS or server.health is Health.DUE:
            self._sign(server, Sign.FAILED)

    def _broke(self, server: Server) -> None:
        """Networks and clients break a connection now and then; a server that drops breaks more than one."""
        if self.now < server.broke_at + BREAKS_WITHIN:
            self._strained(server, dropped=True)
        server.broke_at = self.now

    def _on_gone(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            request.answered = True
            if not request.out:
                del self.requests[event.request]

    def _on_peer(self, event: PeerMessageReceived) -> None:
        for name in self.shared_state.receive(self.now, event.sender, event.data):
            self._sign(self.servers[name], Sign.WARNED)

    def _on_load(self, event: ConnectionLoadChanged) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None or not request.out:
            return
        before, request.load = request.load, self._slot(event.load)
        request.server.load = max(0.0, request.server.load + request.load - before)

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self._refresh()
            tick = TICK * max(1.0, len(self.ready) / TICK_SERVERS)
            self.failed *= max(0.0, 1 - tick / STORM_MEMORY)
            self.stood = max(0.0, self.stood * (1 - tick / STORM_MEMORY))
            if self.look and self.ready:  # one that is out of the draw is asked by no placement
                overdue = min(self.ready, key=lambda s: s.renew_at)
                self._ask(overdue, overdue.renew_at - overdue.report_at)
            elif not self.look:
                self._homeward(tick)
                self._gather()
            self.out.append(SetTimer(tick, TICK_TOKEN))
        elif event.token == LIST_TOKEN:
            self.list_asked = self.now
            self.polled = self.list_failures % 2 == 1  # a watch that failed: the whole list may still be had
            self.out.append(FetchEndpoints() if self.polled else WatchEndpoints())
        else:
            self._on_request_timer(self.timers.pop(event.token))

    def _on_request_timer(self, request: Request) -> None:
        if request.answered or request.begun:
            return
        if request.asked is not None:  # no answer in time: what is known must do
            request.asked, request.looks = None, LOOKS
            self._seek(request)
        elif self.now >= request.deadline - self.settings.time_step / 2:
            self._give_up(request)  # rule 1: whatever became of the attempt, the client is answered in time

    # ---- probes and reports ---------------------------------------------------------------------

    def _seek(self, request: Request) -> None:
        """Place it, where probes tell loads after asking the server drawn; a full one is drawn no more."""
        server = self._pick(request) if self.look and request.looks < LOOKS else None
        if server is None or not self._ask(server, REPORT_STALE if server.report_load < HALF else FRESH):
            self._place(request, server)
            return
        request.asked = server
        request.looks += 1
        server.asking.append(request)
        self._set_timer(request, min(LOOK_WAIT, request.klass.latency_objective / 5))

    def _ask(self, server: Server, fresh: float) -> bool:
        """Whether its load is being asked for; a report that is fresh needs no question."""
        old = not server.probing and server.report_at < self.now - fresh
        if old and self.shared_state.may_health_check(self.now, server.id):
            server.probing = True
            self.out.append(StartHealthCheck(server.id))
        return server.probing

    def _on_probe(self, event: HealthCheckFinished) -> None:
        server = self.servers.get(event.backend)
        if server is None:
            return
        server.probing = False
        if event.status is AttemptStatus.OK:
            self._answers(server, None)
            if event.report is not None and event.report.load is not None:
                self._heard(server, event.report.load)
        elif event.status is not AttemptStatus.FULL and event.status is not AttemptStatus.NOT_SENT:
            self._sign(server, Sign.FAILED)
        asking, server.asking = server.asking, []
        for request in asking:
            if request.asked is server and not request.answered:
                request.asked = None
                self._seek(request)

    def _heard(self, server: Server, load: float) -> None:
        if load != server.report_load:
            server.report_before, server.report_load = server.report_load, load
        server.report_at, server.renew_at = self.now, self.now + (REPORT_STALE if load < TARGET else TICK)
        over = min(load, server.report_before)
        if over > 1 and server.fails >= OVER:  # neither a stall nor one bad report
            server.fails, server.limit = 0, server.load * TARGET / over
            self._shed(server, 1 - TARGET / over)
        self._set_ceiling(server)
