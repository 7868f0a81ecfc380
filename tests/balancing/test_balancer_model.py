"""A model-based test of the whole balancer with generated sequences of events.

The state machine keeps its own record of attempts in flight, established connections and final answers, and
compares the balancer with it. The balancers at the end each break one rule, which the test must detect.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from saltcourse.balancing.actions import FailRequest, RejectRequest, StartAttempt
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    ResponseLatencyMeasured,
)
from saltcourse.balancing.failure_attribution import FailureAttribution
from saltcourse.balancing.group_affinity import GroupAffinity
from saltcourse.balancing.occupancy import GROUP_SLOTS, Occupancy
from saltcourse.balancing.selection import Selection
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, HealthState, Request
from tests.balancing.balancer_host import ANSWER_SLACK_SECONDS, BalancerHost

FAILURES = [status for status in AttemptStatus if status is not AttemptStatus.OK]
# Covers the longest ejection, backoff and warm-up in sequence, and the time until each backend is drawn.
RECOVERY_SECONDS = 60.0


class BalancerMachine(RuleBasedStateMachine):
    """Compares ``balancer_class``, which is the balancer or a broken variant, with an independent model."""

    balancer_class: type[Balancer] = Balancer

    def __init__(self) -> None:
        super().__init__()
        self.host = BalancerHost(max_attempts=3, has_groups=True)
        self.host.balancer = self.balancer_class(self.host.settings, 7)
        self.states: dict[str, BackendState] = {}
        self.started: Counter[str] = Counter()  # backend -> start time (s)
        self.warm_up_attempts: Counter[str] = Counter()  # backend -> attempts during its present warm-up
        self.peak_occupancy = 0.0  # slots
        self.established: dict[str, str] = {}  # request -> backend
        self.groups: dict[str, str] = {}  # request -> group
        self.deadlines: dict[str, float] = {}  # request without a final answer -> its deadline (s)
        self.finished: list[tuple[str, int]] = []  # request and attempt number
        self.checked = 0  # Number of entries of the host's log that have been checked.
        self.receive_complete_list(4)

    def check_log(self) -> None:
        """Check the answers and attempts since the last check.

        Each request gets one final answer by its deadline. No attempt is started at a backend that is not
        ready. The attempts at a warming backend are limited to the number that would fill it evenly over its
        warm-up if it held the highest total occupancy so far.
        """
        groups = {
            (self.groups[r], backend) for r, (_, backend) in self.host.in_flight.items() if self.groups[r]
        }
        self.peak_occupancy = max(self.peak_occupancy, len(self.host.in_flight) + GROUP_SLOTS * len(groups))
        for at, action in self.host.log[self.checked :]:
            if isinstance(action, RejectRequest | FailRequest):
                assert at <= self.deadlines.pop(action.request) + ANSWER_SLACK_SECONDS
            elif isinstance(action, StartAttempt):
                assert action.request in self.deadlines, "an attempt after the final answer"
                assert self.states[action.backend] is BackendState.READY
                age, warm_up = at - self.started[action.backend], self.host.settings.warm_up
                if self.started[action.backend] and age < warm_up:
                    self.warm_up_attempts[action.backend] += 1
                    assert (
                        self.warm_up_attempts[action.backend] <= 1 + (self.peak_occupancy + 1) * age / warm_up
                    ), "too many attempts during the warm-up"
        self.checked = len(self.host.log)
        assert all(at + 0.01 >= self.host.now for at in self.deadlines.values()), "no answer in time"

    @rule(count=st.integers(2, 5))
    def receive_complete_list(self, count: int) -> None:
        self.states = {f"s{i}": BackendState.READY if i < count else BackendState.REMOVED for i in range(5)}
        self.host.update_endpoints(tuple(self.endpoint(f"s{i}") for i in range(count)))

    def endpoint(self, name: str) -> Endpoint:
        return Endpoint(name, self.states[name], "z0", started=float(self.started[name]))

    @rule(which=st.integers(0, 4), state=st.sampled_from(BackendState))
    def receive_update(self, which: int, state: BackendState) -> None:
        self.states[f"s{which}"] = state
        self.host.update_endpoints((self.endpoint(f"s{which}"),), EndpointUpdateKind.DELTA)

    @rule(which=st.integers(0, 4))
    def restart(self, which: int) -> None:
        self.started[f"s{which}"], self.warm_up_attempts[f"s{which}"] = int(self.host.now), 0
        self.receive_update(which, BackendState.READY)

    @rule()
    def discovery_fails(self) -> None:
        self.host.handle(EndpointsUpdated(EndpointUpdateKind.UNAVAILABLE))

    @rule(seconds=st.sampled_from([0.1, 0.4, 2.0, 2.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock, and end attempts in flight with a timeout at their deadline, as a host does."""
        for _ in range(int(seconds / 0.1)):
            self.host.run(0.1)
            for request in self.unestablished():
                if self.deadlines[request] < self.host.now + 0.1:
                    self.finish(request, AttemptStatus.TIMEOUT)
            self.check_log()

    @rule(count=st.integers(1, 6), group=st.sampled_from(["", "g", "h"]), flow=st.integers(0, 2))
    def requests_arrive(self, count: int, group: str, flow: int) -> None:
        for _ in range(count):
            name = f"r{self.host.request_count + 1}"
            self.deadlines[name], self.groups[name] = self.host.now + 1.2, group
            assert self.host.request(group=group, flow=f"f{flow}") == name
            self.check_log()

    def unestablished(self, pick: int | None = None) -> list[str]:
        """Return all requests, or one of them, with an attempt in flight that is not established yet."""
        requests = [r for r in self.host.in_flight if r in self.deadlines]
        return requests if pick is None or not requests else [requests[pick % len(requests)]]

    def finish(self, request: str, status: AttemptStatus) -> None:
        attempt, _ = self.host.in_flight[request]
        self.established.pop(request, None)
        self.finished.append((request, attempt))
        # As in a real host, the end is final if the client was answered or its connection was established.
        self.host.finish(request, status, final=request not in self.deadlines)

    @rule(pick=st.integers(0, 99), status=st.sampled_from(FAILURES), every=st.booleans())
    def attempts_fail(self, pick: int, status: AttemptStatus, every: bool) -> None:
        for request in self.unestablished(None if every else pick):
            self.finish(request, status)

    @rule(which=st.integers(0, 4), status=st.sampled_from(FAILURES), count=st.integers(1, 20))
    def one_backend_fails(self, which: int, status: AttemptStatus, count: int) -> None:
        """Simulate the failure of one backend, while retries at the others succeed."""
        for flow in range(count):
            self.wait(0.2)
            self.requests_arrive(1, "", flow)
            for request in self.unestablished():
                while request in self.host.in_flight and self.host.backend_of(request) == f"s{which}":
                    self.finish(request, status)
            self.establish()

    @rule(pick=st.none() | st.integers(0, 99))
    def establish(self, pick: int | None = None) -> None:
        self.check_log()
        for request in self.unestablished(pick):
            del self.deadlines[request]
            self.established[request] = self.host.backend_of(request)
            self.host.establish(request, latency=0.01 * (1 + (pick or 0) % 5))

    @rule(
        pick=st.integers(0, 99),
        status=st.sampled_from([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED]),
    )
    def connection_finishes(self, pick: int, status: AttemptStatus) -> None:
        if self.established:
            self.finish(sorted(self.established)[pick % len(self.established)], status)

    @rule(pick=st.integers(0, 99))
    def client_disconnects(self, pick: int) -> None:
        self.check_log()
        if self.deadlines:
            request = sorted(self.deadlines)[pick % len(self.deadlines)]
            del self.deadlines[request]
            self.host.handle(ClientDisconnected(request))
            if request in self.host.in_flight:
                self.finish(request, AttemptStatus.CANCELLED)

    @rule(pick=st.integers(0, 99), status=st.sampled_from(AttemptStatus))
    def late_event(self, pick: int, status: AttemptStatus) -> None:
        """Repeat the events of an attempt that has ended; it may not be the request's last attempt."""
        if self.finished:
            request, attempt = self.finished[pick % len(self.finished)]
            self.host.handle(AttemptFinished(request, attempt, status, final=True))
            self.host.handle(ConnectionEstablished(request, attempt, 0.01))

    @rule(
        pick=st.integers(0, 99), load=st.floats(0.001, 0.1), latency=st.sampled_from([0.005, 0.03, 0.1, 1.0])
    )
    def connection_changes(self, pick: int, load: float, latency: float) -> None:
        if self.established:
            request = sorted(self.established)[pick % len(self.established)]
            self.host.handle(ConnectionLoadChanged(request, load))
            self.host.handle(ResponseLatencyMeasured(request, latency))

    @invariant()
    def occupancy_is_exact(self) -> None:
        self.check_log()
        counts = Counter(backend for _, backend in self.host.in_flight.values())
        for backend in self.host.balancer.pool.backends.values():
            requests = [r for r, (_, s) in self.host.in_flight.items() if s == backend.name]
            groups = Counter(self.groups[r] for r in requests if self.groups[r])
            slots = sum(self.host.balancer.requests[r].slots for r in requests) + GROUP_SLOTS * len(groups)
            assert backend.count == counts[backend.name] and backend.groups == groups
            assert backend.occupancy == pytest.approx(slots, abs=1e-6)
            assert set(backend.connections) <= set(requests) & set(self.established)
            assert (backend.health.probe is not None) == (backend.health.state is HealthState.PROBING)
            assert backend.health.probe is None or backend.health.probe.id in requests

    def teardown(self) -> None:
        """Check the recovery after all faults: each listed backend is used again, and no state remains."""
        for request in list(self.host.in_flight):
            if request in self.host.in_flight:
                self.finish(request, AttemptStatus.CANCELLED)
        used: Counter[str] = Counter()
        for _ in range(int(RECOVERY_SECONDS / 0.2)):
            self.requests_arrive(1, "", 0)
            self.establish()
            used.update(self.established.values())
            self.host.run(0.2)
            if len(self.established) > 4:
                self.finish(next(iter(self.established)), AttemptStatus.OK)
        assert all(used[n] for n, state in self.states.items() if state is BackendState.READY), (
            "a listed backend gets no connections"
        )
        for request in list(self.established):
            self.finish(request, AttemptStatus.OK)
        self.wait(2.0)
        self.occupancy_is_exact()
        balancer = self.host.balancer
        assert not balancer.requests and not balancer.timers.requests and not self.deadlines
        assert not any(
            s.count or s.occupancy or s.groups or s.connections for s in balancer.pool.backends.values()
        )


# Hypothesis draws constants from all imported modules, so the examples depend on the tests that run in the
# same process. The rarest broken rule (ErrorsDoNotEndProbe) is missed by about a sixth of all runs with 200
# examples, and practically never with 2,000.
CHECK_EXAMPLES = 200
SEARCH_EXAMPLES = 2_000
HYPOTHESIS_OPTIONS: dict[str, Any] = {
    "derandomize": True,
    "database": None,
    "deadline": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "phases": [Phase.generate],
    "suppress_health_check": list(HealthCheck),
    "stateful_step_count": 30,
}


def test_the_balancer_agrees_with_the_model_and_recovers_every_backend() -> None:
    run_state_machine_as_test(
        BalancerMachine, settings=hypothesis_settings(max_examples=CHECK_EXAMPLES, **HYPOTHESIS_OPTIONS)
    )


class AttributionThatKeepsProbe(FailureAttribution):
    """An error or a reset does not end the probe (a former fault)."""

    __slots__ = ()

    def attempt_finished(self, now: float, request: Request, backend: Backend, status: AttemptStatus) -> None:
        probe = backend.health.probe
        super().attempt_finished(now, request, backend, status)
        if probe is request and status in (AttemptStatus.ERROR, AttemptStatus.RESET):
            backend.health.probe, backend.health.state = probe, HealthState.PROBING


class ErrorsDoNotEndProbe(Balancer):
    def _create_fault_rules(self) -> None:
        super()._create_fault_rules()
        self._attribution = AttributionThatKeepsProbe(self.ejection, self.slot_ceilings)


class OccupancyThatKeepsAnswered(Occupancy):
    """An attempt that ends after its request was answered is never removed from the occupancy."""

    __slots__ = ()

    def remove(self, backend: Backend, request: Request) -> None:
        if not request.is_answered:
            super().remove(backend, request)


class AnsweredRequestsStayInOccupancy(Balancer):
    def _create_capacity_rules(self) -> None:
        super()._create_capacity_rules()
        self._occupancy = OccupancyThatKeepsAnswered(self.slot_ceilings, self.shared_state)


class EarlierAttemptEndsLastAttempt(Balancer):
    """A late event of an earlier attempt is applied to the last attempt."""

    def _on_attempt_finished(self, now: float, event: AttemptFinished) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            event = AttemptFinished(event.request, request.attempts - 1, event.status, 0.0, event.final)
        super()._on_attempt_finished(now, event)


class SelectionThatAllowsDraining(Selection):
    """Draining backends may be chosen."""

    __slots__ = ()

    def is_allowed(self, now: float, request: Request, backend: Backend) -> bool:
        return super().is_allowed(now, request, backend) or backend.state is BackendState.DRAINING


class DrainingBackendsGetAttempts(Balancer):
    def _create_request_rules(self) -> None:
        super()._create_request_rules()
        affinity = GroupAffinity(self.settings, self.pool, self.capacity, self.shared_state)
        self._selection = SelectionThatAllowsDraining(
            self.settings, self.pool, self.slot_ceilings, affinity, self._random
        )
        self._placement.selection = self._selection

    def _refresh(self, now: float) -> None:
        super()._refresh(now)
        self.pool.candidates = [b for b in self.pool.backends.values() if b.state is not BackendState.REMOVED]


class SlowStartWithoutInterval(SlowStart):
    """Attempts at a warming backend have no minimum interval."""

    __slots__ = ()

    def attempt_interval(self, now: float, expected_slots: float) -> float:
        return 0.0


class WarmingBackendsAreNotLimited(Balancer):
    def _create_capacity_rules(self) -> None:
        super()._create_capacity_rules()
        self._slow_start = SlowStartWithoutInterval(self.settings, self.shared_state)


@pytest.mark.parametrize(
    "broken",
    [
        WarmingBackendsAreNotLimited,
        ErrorsDoNotEndProbe,
        AnsweredRequestsStayInOccupancy,
        EarlierAttemptEndsLastAttempt,
        DrainingBackendsGetAttempts,
    ],
)
def test_the_model_check_detects_a_broken_rule(broken: type[Balancer]) -> None:
    machine = type("Broken", (BalancerMachine,), {"balancer_class": broken})
    options = hypothesis_settings(max_examples=SEARCH_EXAMPLES, **HYPOTHESIS_OPTIONS)
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(machine, settings=options)
