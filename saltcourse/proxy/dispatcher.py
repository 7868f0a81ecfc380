"""The actor that alone owns the decision module: events in, actions out, timers between.

It knows no protocol. Whoever brings a request is an ``Invocation``, told what to do by its mailbox.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saltcourse.balancing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    Log,
    MigrateConnection,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.drain_schedule import DrainSchedule
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestReceived,
    ResponseLatencyMeasured,
    TimerFired,
)
from saltcourse.balancing.response_latency import REPORT_INTERVAL_SECONDS, ResponseLatencyMeter
from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address, EndpointUpdate
from saltcourse.codec.lines import MICRO
from saltcourse.proxy.actor import Actor
from saltcourse.proxy.attempt import ProbeCall
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.messages import (
    Arrived,
    Invocation,
    Left,
    LineBack,
    LineSent,
    Listed,
    MoveAll,
    Place,
    Resumed,
    Retract,
    ToDecider,
)

LOOK_EVERY = 0.25  # s between looks for connections that bring nothing back
LATE = 0.1  # s by which a look may be late before it judges nobody for being silent
SUM_EVERY = 5.0  # s between log lines that sum up what is held and believed of each provider

log = structlog.get_logger("saltcourse")


@dataclass(slots=True)
class Rung:
    """A timer of one module: one that has failed since has no use for it."""

    balancer: Balancer
    token: int


class Decider(Actor[ToDecider | Rung]):
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        known: EndpointUpdate,
        ask_directory: Callable[[WatchEndpoints | FetchEndpoints], None],
        tells_delay: bool,
        say: Callable[[SendPeerMessage], None],
    ) -> None:
        super().__init__("decider")
        self.settings, self.clock = settings, clock
        self.addresses: dict[str, Address] = {}
        self.members: dict[str, Endpoint] = {}
        self.invocations: dict[str, Invocation] = {}
        self.standing: dict[str, ConnectionResumed] = {}
        self._plan: DrainSchedule | None = None  # when standing connections are moved; None: nothing is
        self._known, self._ask, self._seed, self._say = known, ask_directory, seed, say
        self._sends: dict[str, tuple[int, str]] = {}  # request -> number and server of its last attempt
        self._arrived: dict[str, RequestReceived] = {}
        self._meter = ResponseLatencyMeter(settings.slow_message if tells_delay else float("inf"))
        self._noted = 0.0
        self._looked = clock.now()
        # Since the last sum: (provider, status) of each outcome, and ("", action) of each answer and move.
        self._ended_how: Counter[tuple[str, str]] = Counter()
        self._summed = clock.now()
        self._balancer = Balancer(settings, seed)

    async def run(self) -> None:
        self._take(Listed(EndpointUpdateKind.CACHED, self._known))
        self._look()
        while True:
            self._take(await self.mailbox.get())

    # ---- events ---------------------------------------------------------------------------------

    def _take(self, message: ToDecider | Rung) -> None:
        match message:
            case LineSent(request, at):
                self._meter.line_sent(request, at)
            case LineBack(request, at):
                self._meter.line_received(request, at)
            case Arrived(invocation, event):
                if event.request in self.invocations:  # ids are new with every connection
                    invocation.tell(FailRequest(event.request))
                    return
                self.invocations[event.request] = invocation
                self._arrived[event.request] = event
                self._handle(event)
            case Resumed(invocation, event):
                self.invocations.setdefault(event.request, invocation)
                self._stands(event)
                self._handle(event)
                if self._plan is not None:
                    self._move(event.request)
            case Listed(kind, listing):
                self._listed(kind, listing)
            case Left(invocation, request):
                if self.invocations.get(request) is invocation:
                    del self.invocations[request]
                    self._arrived.pop(request, None)
                    self._sends.pop(request, None)
                    self._ended(request)
            case MoveAll(on, begin, end):
                self._plan = DrainSchedule(begin, end) if on else None
                self._pace()
            case ConnectionEstablished():
                self._established(message)
            case Rung(balancer, token):
                if balancer is self._balancer:
                    self._handle(TimerFired(token))
            case AttemptFinished():
                if message.final:
                    self._ended(message.request)
                if message.request in self._sends:
                    self._ended_how[self._sends[message.request][1], message.status.value] += 1
                self._handle(message)
            case ConnectionLoadChanged(request, load):
                delay = self._meter.latency_of_load_line(request, load / MICRO, self.clock.now())
                self._handle(message if delay is None else ResponseLatencyMeasured(request, delay))
            case _:
                self._handle(message)

    def _listed(self, kind: EndpointUpdateKind, listing: EndpointUpdate | None) -> None:
        if listing is None:
            self._handle(EndpointsUpdated(kind))
            return
        self.addresses.update(listing.addresses)
        if kind is not EndpointUpdateKind.DELTA:
            self.members = {}
        self.members.update((m.backend, m) for m in listing.endpoints)
        self._handle(EndpointsUpdated(kind, listing.endpoints))

    def targets(self) -> tuple[int, int]:
        """Providers in the list, and those of them that the module avoids now (draining, resting, tried)."""
        listed = [m.backend for m in self.members.values() if m.state is not BackendState.REMOVED]
        reports = self._balancer.backend_reports(self.clock.now())
        avoided_backends = {report.backend for report in reports if report.is_avoided}
        avoided = sum(1 for name in listed if name in avoided_backends)
        return len(listed), avoided

    def fleet(self) -> dict[str, int]:
        """What this proxy knows of the others and may spend by it."""
        now, peers = self.clock.now(), self._balancer.shared_state
        known = [peers.fleet_connections(now, name) for name in self._balancer.backend_names()]
        return {
            "fleet.peers": len(peers.peers),
            "fleet.pace": round(1000 * peers.relative_share(now)),
            "fleet.judged": len(peers.peer_ejections(now)),
            "fleet.connections": round(sum(known)),
            "fleet.unreadable": peers.undecodable_messages,
        }

    def _established(self, event: ConnectionEstablished) -> None:
        arrived, sent = self._arrived.get(event.request), self._sends.get(event.request)
        if arrived is not None and sent is not None:
            self._stands(
                ConnectionResumed(
                    event.request,
                    arrived.request_class,
                    sent[1],
                    arrived.tenant,
                    arrived.load_hint,
                    arrived.group,
                )
            )
        self._handle(event)
        if self._plan is not None:
            self._move(event.request)

    def _stands(self, connection: ConnectionResumed) -> None:
        self.standing[connection.request] = connection
        self._meter.connection_established(connection.request, connection.backend)

    def _ended(self, request: str) -> None:
        self.standing.pop(request, None)
        self._meter.connection_ended(request)

    def _look(self) -> None:
        """What the module is told of by notes elsewhere is measured here; silence is ended here, for
        a connection that brings nothing back must not wait for a decision."""
        now = self.clock.now()
        late, self._looked = now - self._looked > LOOK_EVERY + LATE, now
        for request in self._meter.silent_connections(now):
            log.info("connection brings nothing back", request=request)
            self._move(request)
        if not late:  # else lines that came meanwhile may not have been read yet
            for report in self._meter.hung_backends(now):
                log.info(
                    "provider has stopped answering",
                    id=self.standing[report.request].backend,
                    seconds=round(report.latency, 2),
                )
                self._handle(ResponseLatencyMeasured(report.request, report.latency))
        if now - self._noted >= REPORT_INTERVAL_SECONDS:
            self._noted = now
            for report in self._meter.latency_reports(now):
                self._handle(ResponseLatencyMeasured(report.request, report.latency))
        self._pace()
        if now - self._summed >= SUM_EVERY:
            self._summed = now
            self._sum_up(now)
        asyncio.get_running_loop().call_later(LOOK_EVERY, self._look)

    def _pace(self) -> None:
        """Move what the drain plan says is due; the plan's times are the loop's, as the looks are."""
        if self._plan is None:
            return
        due = self._plan.due(asyncio.get_running_loop().time(), len(self.standing), LOOK_EVERY)
        for request in list(self.standing)[:due]:
            self._move(request)

    def _sum_up(self, now: float) -> None:
        """For whoever asks why connections went where they went: connections that stand there, the module's
        occupancy over its ceiling, why nothing new goes there, and how attempts and connections ended."""
        held = Counter(c.backend for c in self.standing.values())
        for report in self._balancer.backend_reports(now):
            name = report.backend
            ended = {how: n for (backend, how), n in sorted(self._ended_how.items()) if backend == name}
            if report.state is BackendState.REMOVED and not held[name] and not ended:
                continue
            log.info(
                "provider",
                id=name,
                standing=held[name],
                occupancy=f"{report.occupancy:.1f}/{report.ceiling:.1f}",
                limits=",".join(report.reasons),
                **ended,
            )
        said = {what: n for (name, what), n in sorted(self._ended_how.items()) if not name}
        log.info(
            "sum",
            invocations=len(self.invocations),
            standing=len(self.standing),
            storm=self._balancer.is_failing,
            **said,
        )
        self._ended_how.clear()

    # ---- the module -----------------------------------------------------------------------------

    def _handle(self, event: Event) -> None:
        self._carry_out(self._decide(event))

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self._balancer.handle(self.clock.now(), event)
        except Exception:
            log.exception("fault in the module", event_type=type(event).__name__)
            return self._begin_anew()

    def _begin_anew(self) -> list[Action]:
        """After a fault nothing that the module held can be trusted. Whoever waits is answered, and a new
        module is told of the list and of all that stands, as if the program had just started."""
        for request, invocation in self.invocations.items():
            if request not in self.standing:
                invocation.tell(FailRequest(request))
        self._seed += 1
        self._balancer = Balancer(self.settings, self._seed)
        now = self.clock.now()
        try:
            actions = self._balancer.handle(
                now, EndpointsUpdated(EndpointUpdateKind.CACHED, tuple(self.members.values()))
            )
            for connection in self.standing.values():
                actions += self._balancer.handle(now, connection)
        except Exception:
            log.exception("fault in the module at its start")
            return []
        return actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._send(action)
                case RejectRequest() | FailRequest():
                    outcome = "rejected" if isinstance(action, RejectRequest) else "failed"
                    self._ended_how["", outcome] += 1
                    self._tell(action.request, action)
                case MigrateConnection():
                    self._ended_how["", "migrated"] += 1
                    self._move(action.request)
                case CancelAttempt():
                    invocation = self.invocations.get(action.request)
                    if invocation is not None:
                        invocation.tell(Retract(action.attempt))
                case SetTimer():
                    self._set_timer(action)
                case StartHealthCheck():
                    ProbeCall(
                        action.backend,
                        self.addresses.get(action.backend),
                        self.settings.reports_load,
                        self.clock,
                        self.tell,
                    ).start()
                case WatchEndpoints() | FetchEndpoints():
                    self._ask(action)
                case Log():
                    log.info("module", text=action.text)
                case SendPeerMessage():
                    self._say(action)

    def _tell(self, request: str, action: RejectRequest | FailRequest | MigrateConnection) -> None:
        invocation = self.invocations.get(request)
        if invocation is not None:
            invocation.tell(action)

    def _move(self, request: str) -> None:
        """It stops counting as standing at once, so that it is moved once."""
        self._ended(request)
        self._tell(request, MigrateConnection(request))

    def _send(self, send: StartAttempt) -> None:
        last, _ = self._sends.get(send.request, (-1, ""))
        place = Place(send.request, send.backend, last + 1, send.timeout, self.addresses.get(send.backend))
        self._sends[send.request] = (place.attempt, send.backend)
        invocation = self.invocations.get(send.request)
        if invocation is not None:
            invocation.tell(place)
        else:  # its client left a moment ago
            self.tell(AttemptFinished(send.request, place.attempt, AttemptStatus.NOT_SENT, 0.0, True))

    def _set_timer(self, timer: SetTimer) -> None:
        rung = Rung(self._balancer, timer.token)
        asyncio.get_running_loop().call_later(timer.delay, self.tell, rung)
