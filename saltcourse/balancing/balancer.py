"""The balancer: processes one event at a time and returns the resulting actions.

The balancer does no I/O and reads no clock: the same settings, seed and events give the same actions. The
rules are implemented by the other modules of this package, and documented in their docstrings:

- request life cycle: ``placement``, ``selection``, ``group_affinity``, ``attempts``, ``retries``,
  ``admission``;
- backend capacity: ``occupancy``, ``slot_ceilings``, ``load_reports``, ``capacity_estimate``,
  ``slow_start``;
- failing and overloaded backends: ``failure_attribution``, ``outlier_ejection``, ``load_shedding``;
- distribution of established connections: ``endpoint_list``, ``rebalancing``, ``migration``.

All rules draw from one ``random.Random``, so the order of their calls determines the draws.
"""

from __future__ import annotations

import random

from saltcourse.balancing.actions import Action, SendPeerMessage, SetTimer
from saltcourse.balancing.admission import FinalAnswers, OverloadDetector
from saltcourse.balancing.attempts import AttemptStarter
from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.backend_report import BackendReport, report_backend
from saltcourse.balancing.capacity_estimate import CapacityEstimate
from saltcourse.balancing.endpoint_list import DiscoveryScheduler, EndpointList
from saltcourse.balancing.errors import UnknownRequestClassError
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    LoadReport,
    PeerLinkChanged,
    PeerMessageReceived,
    RequestReceived,
    ResponseLatencyMeasured,
    TimerFired,
)
from saltcourse.balancing.failure_attribution import FailureAttribution
from saltcourse.balancing.group_affinity import GroupAffinity
from saltcourse.balancing.load_reports import LoadReports
from saltcourse.balancing.load_shedding import LoadShedding
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.occupancy import Occupancy
from saltcourse.balancing.outlier_ejection import HealthEvent, OutlierEjection
from saltcourse.balancing.placement import Placement
from saltcourse.balancing.rebalancing import Rebalancing
from saltcourse.balancing.retries import Retries, record_attempt
from saltcourse.balancing.selection import Selection
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slot_ceilings import TICK_SECONDS, SlotCeilings
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, Request
from saltcourse.balancing.timers import ENDPOINT_LIST_TOKEN, TICK_TOKEN, RequestTimers
from saltcourse.shared_state.state import SharedState

CANDIDATES_REFRESHED_PER_SECOND = 150  # With more candidates the tick is longer, to bound the CPU time.


class Balancer:
    """Makes all decisions of one proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._actions: list[Action] = []
        self._is_started = False
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self.requests: dict[str, Request] = {}
        self.timers = RequestTimers(self._actions)
        self.pool = BackendPool()
        self.shared_state = SharedState(settings, seed, self.pool.backends)
        self._create_capacity_rules()
        self._create_fault_rules()
        self._create_connection_rules()
        self._create_request_rules()
        self.handlers = {
            EndpointsUpdated: self._on_endpoints_updated,
            RequestReceived: self._on_request_received,
            ConnectionResumed: self._on_connection_resumed,
            ConnectionEstablished: self._on_connection_established,
            AttemptFinished: self._on_attempt_finished,
            ClientDisconnected: self._on_client_disconnected,
            ConnectionLoadChanged: self._on_connection_load_changed,
            ResponseLatencyMeasured: self._on_response_latency_measured,
            TimerFired: self._on_timer_fired,
            HealthCheckFinished: self._on_health_check_finished,
            PeerMessageReceived: self._on_peer_message_received,
            PeerLinkChanged: self._on_peer_link_changed,
        }

    def _create_capacity_rules(self) -> None:
        settings, shared_state = self.settings, self.shared_state
        self._slow_start = SlowStart(settings, shared_state)
        self.capacity = CapacityEstimate(shared_state)
        self.slot_ceilings = SlotCeilings(settings, self._slow_start, self.capacity, shared_state)
        self._occupancy = Occupancy(self.slot_ceilings, shared_state)
        self._reports = LoadReports(self._actions, shared_state)

    def _create_fault_rules(self) -> None:
        self.overload = OverloadDetector()
        self.ejection = OutlierEjection(self.settings.zone, self.pool, self.shared_state, self._random)
        self._attribution = FailureAttribution(self.ejection, self.slot_ceilings)

    def _create_connection_rules(self) -> None:
        settings = self.settings
        self._migration = Migration(self._actions, self._random)
        self._shedding = LoadShedding(
            settings, self.slot_ceilings, self._reports, self._migration, self.shared_state
        )
        self._rebalancing = Rebalancing(settings, self.pool, self._migration)
        self._discovery_scheduler = DiscoveryScheduler(settings, self._actions, self._random)
        self._endpoint_list = EndpointList(
            settings.zone,
            self.pool,
            self._discovery_scheduler,
            self._slow_start,
            self.slot_ceilings,
            self._migration,
            self._random,
        )

    def _create_request_rules(self) -> None:
        settings, actions = self.settings, self._actions
        affinity = GroupAffinity(settings, self.pool, self.capacity, self.shared_state)
        self._selection = Selection(settings, self.pool, self.slot_ceilings, affinity, self._random)
        retries = Retries(settings)
        self._placement = Placement(
            settings,
            self.timers,
            self._selection,
            self._reports,
            retries,
            self.overload,
            FinalAnswers(settings, self.requests, self.timers, actions, self._random),
            AttemptStarter(
                actions, self._occupancy, self.slot_ceilings, self._slow_start, self.ejection, retries
            ),
        )

    # ---- interface for the host --------------------------------------------------------------------

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions that the host must execute, in order.

        ``now`` is the time of the host's clock in seconds. Raises ``UnknownRequestClassError`` or
        ``UnknownTimerError``, both of which are subclasses of ``KeyError``.
        """
        self._actions.clear()
        self.handlers[type(event)](now, event)  # type: ignore[operator]
        for peer, data in self.shared_state.outgoing_messages(now):
            self._actions.append(SendPeerMessage(data, peer))
        return self._actions.copy()

    def backend_names(self) -> list[str]:
        """Return the names of all backends that the endpoint list has ever contained."""
        return list(self.pool.backends)

    def backend_reports(self, now: float) -> list[BackendReport]:
        """Return the current state of each backend, for logs and metrics."""
        return [report_backend(now, backend) for backend in self.pool.backends.values()]

    @property
    def is_failing(self) -> bool:
        """Whether more attempts have failed than succeeded within the last few seconds."""
        return self.overload.is_failing

    # ---- endpoint list and timers ------------------------------------------------------------------

    def _on_endpoints_updated(self, now: float, event: EndpointsUpdated) -> None:
        if not self._is_started:
            self._start()
        if self._endpoint_list.apply(now, event):
            self._refresh(now)

    def _start(self) -> None:
        self._is_started = True
        self._actions.append(SetTimer(TICK_SECONDS * (0.5 + self._random.random()), TICK_TOKEN))
        self._discovery_scheduler.start()

    def _on_timer_fired(self, now: float, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self._tick(now)
        elif event.token == ENDPOINT_LIST_TOKEN:
            self._discovery_scheduler.timer_fired(now)
        else:
            request = self.timers.pop(event.token)
            if request is not None:
                self._placement.timer_fired(now, request)

    def _tick(self, now: float) -> None:
        self._refresh(now)
        tick = TICK_SECONDS * max(1.0, len(self.pool.candidates) / CANDIDATES_REFRESHED_PER_SECOND)
        self.overload.decay(tick)
        if not self.settings.uses_load_reports:
            self._rebalancing.fail_back(now, tick)
            self._rebalancing.consolidate_groups()
        elif self.pool.candidates:
            self._reports.request_most_overdue(now, self.pool.candidates)
        self._actions.append(SetTimer(tick, TICK_TOKEN))

    def _refresh(self, now: float) -> None:
        self.ejection.refresh_candidates(now)
        self._selection.candidates_changed()
        self.slot_ceilings.refresh(now, self.pool.candidates)

    # ---- request life cycle ------------------------------------------------------------------------

    def _on_request_received(self, now: float, event: RequestReceived) -> None:
        request = self._add_request(event, now + event.time_left, event.flow)
        self._placement.request_received(now, request, event.time_left)

    def _on_connection_resumed(self, now: float, event: ConnectionResumed) -> None:
        request = self._add_request(event, 0.0, "")
        request.attempts = 1
        request.is_in_flight = request.is_established = True
        # A backend that is missing from the endpoint list gets a placeholder, which counts its resumed
        # connections but is not in the pool, so that no attempt is ever sent to it.
        backend = self.pool.backends.get(event.backend)
        request.backend = backend or Backend(Endpoint(event.backend, BackendState.REMOVED))
        self._occupancy.add(request.backend, request)
        request.backend.connections[request.id] = request

    def _add_request(self, event: RequestReceived | ConnectionResumed, deadline: float, flow: str) -> Request:
        try:
            request_class = self._classes[event.request_class]
        except KeyError:
            raise UnknownRequestClassError(event.request_class) from None
        request = Request(
            event.request,
            request_class,
            deadline,
            self._occupancy.slots_of(event.load_hint),
            event.group if self.settings.has_groups else "",
            flow,
        )
        self.requests[event.request] = request
        return request

    def _request_of(self, event: ConnectionEstablished | AttemptFinished) -> Request | None:
        """Return the event's request, or None if it is unknown or the event belongs to an earlier attempt."""
        request = self.requests.get(event.request)
        if request is None or request.backend is None or event.attempt != request.attempts - 1:
            return None
        return request

    def _on_connection_established(self, now: float, event: ConnectionEstablished) -> None:
        request = self._request_of(event)
        if request is None or request.backend is None:
            return
        backend = request.backend
        request.is_established = True
        request.established_at = now
        self.timers.cancel(request)
        backend.connections[request.id] = request
        self.overload.connection_established()
        self._attribution.connection_established(now, request, backend)
        self._shedding.setup_latency_measured(now, backend, event.latency)
        self.slot_ceilings.connection_accepted(now, backend)
        if backend.state is BackendState.DRAINING:  # The backend began to drain after the attempt started.
            self._migration.migrate([request])

    def _on_attempt_finished(self, now: float, event: AttemptFinished) -> None:
        request = self._request_of(event)
        if request is None or request.backend is None:
            return
        backend, status = request.backend, event.status
        if request.is_in_flight:
            request.is_in_flight = False
            backend.connections.pop(request.id, None)
            self._occupancy.remove(backend, request)
        self._record_load_report(now, backend, event.report)
        self._attribution.attempt_finished(now, request, backend, status)
        if request.is_established:
            self.overload.connection_finished(now, request.established_at, status)
        if event.final or request.is_established or request.is_answered:
            self.requests.pop(event.request, None)
            request.is_answered = True
            self.timers.cancel(request)
            return
        self.overload.attempt_failed(status)
        record_attempt(request, backend, status, now - event.latency)
        self._placement.retry(now, request)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            request.is_answered = True
            self.timers.cancel(request)
            if not request.is_in_flight:
                del self.requests[event.request]

    # ---- measurements of connections and backends --------------------------------------------------

    def _on_connection_load_changed(self, now: float, event: ConnectionLoadChanged) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.backend is not None and request.is_in_flight:
            self._occupancy.change_load(request.backend, request, event.load)

    def _on_response_latency_measured(self, now: float, event: ResponseLatencyMeasured) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.backend is not None:
            self._shedding.message_latency_measured(now, request.backend, event.latency)

    def _on_health_check_finished(self, now: float, event: HealthCheckFinished) -> None:
        backend = self.pool.backends.get(event.backend)
        if backend is None:
            return
        self._reports.check_finished(backend)
        if event.status is AttemptStatus.OK:
            self._attribution.backend_responded(now, backend, None)
            self._record_load_report(now, backend, event.report)
        else:
            self._attribution.health_check_failed(now, backend, event.status)
        self._placement.health_check_finished(now, backend)

    def _record_load_report(self, now: float, backend: Backend, report: LoadReport | None) -> None:
        if report is not None and report.load is not None:
            self._reports.record(now, backend, report.load)
            self._shedding.load_reported(backend)
            self.slot_ceilings.update(now, backend)

    def _on_peer_link_changed(self, now: float, event: PeerLinkChanged) -> None:
        self.shared_state.set_linked(now, event.is_open)

    def _on_peer_message_received(self, now: float, event: PeerMessageReceived) -> None:
        for name in self.shared_state.receive(now, event.sender, event.data):
            self.ejection.apply(now, self.pool.backends[name], HealthEvent.PEER_EJECTED)
