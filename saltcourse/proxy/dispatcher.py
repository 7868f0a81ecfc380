"""The actor that owns the balancer: it passes events to it, executes its actions and sets its timers.

It is independent of the client protocol. The owner of a request is a ``RequestOwner``, which receives
messages:

    message ──► event ──► Balancer.handle ──► actions ──► owners, health checks, discovery, peers, timers

A request is open from ``NewRequest`` (or ``ResumedConnection``) to ``RequestFinished``. An exception in the
balancer fails the requests that wait for an answer, but no established connection: see ``_replace_balancer``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saltcourse.balancing.actions import (
    Action,
    CancelTimer,
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
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ConnectionEstablished,
    ConnectionLoadChanged,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestReceived,
    ResponseLatencyMeasured,
    TimerFired,
)
from saltcourse.balancing.response_latency import ResponseLatencyMeter
from saltcourse.codec.endpoint_list import Address, EndpointUpdate
from saltcourse.codec.lines import MICROSECONDS
from saltcourse.config import Config
from saltcourse.proxy.actor import Actor
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.connection_monitor import (
    CHECK_INTERVAL_SECONDS,
    ConnectionMonitor,
    EstablishedConnection,
)
from saltcourse.proxy.health_check import HealthCheck
from saltcourse.proxy.messages import (
    BeginAttempt,
    ConnectionMessage,
    DispatcherMessage,
    EndpointsReceived,
    LineReceived,
    LineSent,
    NewRequest,
    RequestFinished,
    RequestOwner,
    ResumedConnection,
    StartDraining,
    StopDraining,
)
from saltcourse.proxy.traffic_summary import RequestOutcome, TrafficSummary

SUMMARY_INTERVAL_SECONDS = 5.0

log = structlog.get_logger("saltcourse")


@dataclass(slots=True)
class TimerExpired:
    """A timer of ``balancer`` has expired; the message is ignored if that balancer has been replaced."""

    balancer: Balancer
    token: int


@dataclass(frozen=True, slots=True)
class LastAttempt:
    """The last attempt of a request, by its number within the request."""

    number: int
    backend: str


@dataclass(slots=True)
class RequestRecord:
    """An open request; ``received`` is None for a resumed connection."""

    owner: RequestOwner
    received: RequestReceived | None = None
    last_attempt: LastAttempt | None = None


@dataclass(frozen=True, slots=True)
class ActionHandlers:
    """The functions that execute the actions that do not belong to a request."""

    discovery: Callable[[WatchEndpoints | FetchEndpoints], None]
    peers: Callable[[SendPeerMessage], None]


class Dispatcher(Actor[DispatcherMessage | TimerExpired]):
    """Dispatches the requests of all client connections, with one balancer."""

    def __init__(self, config: Config, clock: Clock, handlers: ActionHandlers) -> None:
        super().__init__("dispatcher")
        self._settings = config.settings
        self._clock = clock
        self.endpoints: dict[str, Endpoint] = {}  # by backend
        self._addresses: dict[str, Address] = {}  # by backend, including those removed from the list
        self._requests: dict[str, RequestRecord] = {}  # the open requests, by id
        self._known_endpoints = config.known  # the endpoint list in the configuration
        self._handlers = handlers
        self._seed = config.seed
        self._monitor = ConnectionMonitor(_latency_meter(config), clock, self._migrate, self._handle)
        self._summary = TrafficSummary()
        self._last_summary = clock.now()
        self._balancer = Balancer(config.settings, config.seed)
        self._timers: dict[int, asyncio.TimerHandle] = {}  # the balancer's pending timers, by token

    async def run(self) -> None:
        """Start with the known endpoint list, then process messages until cancelled."""
        self._receive(EndpointsReceived(EndpointUpdateKind.CACHED, self._known_endpoints))
        self._check()
        while True:
            self._receive(await self.mailbox.get())

    # ---- messages -------------------------------------------------------------------------------

    def _receive(self, message: DispatcherMessage | TimerExpired) -> None:
        match message:
            case LineSent(request, time):
                self._monitor.line_sent(request, time)
            case LineReceived(request, time):
                self._monitor.line_received(request, time)
            case NewRequest():
                self._open_request(message)
            case ResumedConnection():
                self._resume_connection(message)
            case RequestFinished():
                self._finish_request(message)
            case EndpointsReceived(kind, update):
                self._update_endpoints(kind, update)
            case StartDraining() | StopDraining():
                self._set_draining(message)
            case TimerExpired(balancer, token):
                if balancer is self._balancer:
                    self._timers.pop(token, None)
                    self._handle(TimerFired(token))
            case _:
                self._receive_event(message)

    def _receive_event(self, event: Event) -> None:
        """Pass an event to the balancer, after updating the dispatcher's own state."""
        match event:
            case ConnectionEstablished():
                self._establish_connection(event)
            case AttemptFinished():
                self._finish_attempt(event)
            case ConnectionLoadChanged(request, load):
                latency = self._monitor.latency_of_load_line(request, load / MICROSECONDS)
                self._handle(event if latency is None else ResponseLatencyMeasured(request, latency))
            case _:
                self._handle(event)

    def _set_draining(self, message: StartDraining | StopDraining) -> None:
        if isinstance(message, StartDraining):
            self._monitor.start_draining(message.begin_loop_time, message.end_loop_time)
        else:
            self._monitor.stop_draining()

    def _open_request(self, message: NewRequest) -> None:
        request = message.event.request
        if request in self._requests:  # a duplicate: each connection has to use a new id
            message.owner.send(FailRequest(request))
            return
        self._requests[request] = RequestRecord(message.owner, message.event)
        self._handle(message.event)

    def _resume_connection(self, message: ResumedConnection) -> None:
        request = message.event.request
        self._requests.setdefault(request, RequestRecord(message.owner))
        self._monitor.add(EstablishedConnection.from_resumed(message.event))
        self._handle(message.event)
        if self._monitor.is_draining:
            self._migrate(request)

    def _finish_request(self, message: RequestFinished) -> None:
        record = self._requests.get(message.request)
        if record is not None and record.owner is message.owner:
            del self._requests[message.request]
            self._monitor.remove(message.request)

    def _establish_connection(self, event: ConnectionEstablished) -> None:
        record = self._requests.get(event.request)
        if record is not None and record.received and record.last_attempt:
            backend = record.last_attempt.backend
            self._monitor.add(EstablishedConnection.from_request(record.received, backend))
        self._handle(event)
        if self._monitor.is_draining:
            self._migrate(event.request)

    def _finish_attempt(self, event: AttemptFinished) -> None:
        if event.final:
            self._monitor.remove(event.request)
        record = self._requests.get(event.request)
        if record is not None and record.last_attempt is not None:
            self._summary.count_attempt(record.last_attempt.backend, event.status)
        self._handle(event)

    def _update_endpoints(self, kind: EndpointUpdateKind, update: EndpointUpdate | None) -> None:
        if update is None:
            self._handle(EndpointsUpdated(kind))
            return
        self._addresses.update(update.addresses)
        if kind is not EndpointUpdateKind.DELTA:
            self.endpoints = {}
        self.endpoints.update((endpoint.backend, endpoint) for endpoint in update.endpoints)
        self._handle(EndpointsUpdated(kind, update.endpoints))

    # ---- queries ----------------------------------------------------------------------------------

    def address_of(self, backend: str) -> Address | None:
        """Return the backend's address in the endpoint list, or None if it was never listed."""
        return self._addresses.get(backend)

    def backend_gauges(self) -> dict[str, int]:
        """Return the number of listed backends, and of those currently avoided (draining or ejected)."""
        listed = [e.backend for e in self.endpoints.values() if e.state is not BackendState.REMOVED]
        reports = self._balancer.backend_reports(self._clock.now())
        avoided = {report.backend for report in reports if report.is_avoided}
        return {
            "targets": len(listed),
            "targets_disabled": sum(1 for backend in listed if backend in avoided),
        }

    def shared_state_gauges(self) -> dict[str, int]:
        """Return the gauges of the state that is shared with the other proxies of the tier."""
        now, shared_state = self._clock.now(), self._balancer.shared_state
        backends = self._balancer.backend_names()
        connections = sum(shared_state.fleet_connections(now, backend) for backend in backends)
        return {
            "fleet.peers": len(shared_state.peers),
            "fleet.pace": round(1000 * shared_state.relative_share(now)),
            "fleet.judged": len(shared_state.peer_ejections(now)),
            "fleet.connections": round(connections),
            "fleet.unreadable": shared_state.undecodable_messages,
        }

    # ---- periodic checks --------------------------------------------------------------------------

    def _check(self) -> None:
        self._monitor.check()
        now = self._clock.now()
        if now - self._last_summary >= SUMMARY_INTERVAL_SECONDS:
            self._last_summary = now
            self._write_summary(now)
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _write_summary(self, now: float) -> None:
        self._summary.write(
            self._balancer.backend_reports(now),
            self._monitor.backend_counts(),
            len(self._requests),
            self._balancer.is_failing,
        )

    # ---- the balancer -----------------------------------------------------------------------------

    def _handle(self, event: Event) -> None:
        for action in self._decide(event):
            self._execute(action)

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("balancer failed", event_type=type(event).__name__)
            return self._replace_balancer()

    def _replace_balancer(self) -> list[Action]:
        """Replace the balancer after an exception, because its state may be inconsistent.

        Waiting requests are failed. The new balancer gets the endpoint list and all established connections,
        as after a restart of the process. Returns its actions.
        """
        for request, record in self._requests.items():
            if request not in self._monitor.established:
                record.owner.send(FailRequest(request))
        self._seed += 1
        for token in list(self._timers):
            self._cancel_timer(token)
        self._balancer = Balancer(self._settings, self._seed)
        now = self._clock.now()
        endpoints = EndpointsUpdated(EndpointUpdateKind.CACHED, tuple(self.endpoints.values()))
        try:
            actions = self._balancer.handle(now, endpoints)
            for connection in self._monitor.established.values():
                actions += self._balancer.handle(now, connection.as_resumed())
        except Exception:
            log.exception("replacement balancer failed")
            return []
        return actions

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest() | FailRequest():
                self._send_answer(action)
            case MigrateConnection(request):
                self._summary.count_request(RequestOutcome.MIGRATED)
                self._migrate(request)
            case SetTimer(delay, token):
                expired = TimerExpired(self._balancer, token)
                self._timers[token] = asyncio.get_running_loop().call_later(delay, self.send, expired)
            case CancelTimer(token):
                self._cancel_timer(token)
            case StartHealthCheck(backend):
                self._start_health_check(backend)
            case WatchEndpoints() | FetchEndpoints():
                self._handlers.discovery(action)
            case SendPeerMessage():
                self._handlers.peers(action)

    def _cancel_timer(self, token: int) -> None:
        timer = self._timers.pop(token, None)
        if timer is not None:
            timer.cancel()

    def _send_answer(self, action: RejectRequest | FailRequest) -> None:
        is_rejected = isinstance(action, RejectRequest)
        self._summary.count_request(RequestOutcome.REJECTED if is_rejected else RequestOutcome.FAILED)
        self._send_to_owner(action.request, action)

    def _send_to_owner(self, request: str, message: ConnectionMessage) -> None:
        record = self._requests.get(request)
        if record is not None:
            record.owner.send(message)

    def _migrate(self, request: str) -> None:
        """Order the migration of a connection, and stop monitoring it so that this happens only once."""
        self._monitor.remove(request)
        self._send_to_owner(request, MigrateConnection(request))

    def _start_attempt(self, action: StartAttempt) -> None:
        request, backend = action.request, action.backend
        record = self._requests.get(request)
        if record is None:  # the client has disconnected in the meantime
            self._summary.count_attempt(backend, AttemptStatus.NOT_SENT)
            # The number is 0, because this is the request's first attempt: an owner that has begun an attempt
            # reports its outcome as final before it finishes the request, so the balancer starts no other.
            self.send(AttemptFinished(request, 0, AttemptStatus.NOT_SENT, 0.0, True))
            return
        last = record.last_attempt
        number = 0 if last is None else last.number + 1
        record.last_attempt = LastAttempt(number, backend)
        address = self._addresses.get(backend)
        record.owner.send(BeginAttempt(request, backend, number, action.timeout, address))

    def _start_health_check(self, backend: str) -> None:
        HealthCheck(
            backend, self._addresses.get(backend), self._settings.reports_load, self._clock, self.send
        ).start()


def _latency_meter(config: Config) -> ResponseLatencyMeter:
    """Return the latency meter; it reports only hung backends unless LOAD lines carry latencies."""
    return ResponseLatencyMeter(
        config.settings.slow_message_latency if config.measures_message_latency else float("inf")
    )
