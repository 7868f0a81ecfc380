"""Property-based test of the rules for every request, with generated sequences of events.

Each request gets one final answer by its deadline. No attempt is started after it, at a backend that is not
ready, or beyond the maximum number of attempts. No retry may make a request take effect twice. A request is
rejected, which tells the client that a retry is safe, only if that is true.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import ModuleType
from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saltcourse.balancing import admission, selection
from saltcourse.balancing.actions import Action, FailRequest, RejectRequest, StartAttempt
from saltcourse.balancing.events import (
    NEVER_RAN,
    AttemptFinished,
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    Endpoint,
    EndpointUpdateKind,
    Event,
    ResponseLatencyMeasured,
)
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.balancer_host import ANSWER_SLACK_SECONDS, BalancerHost

CLASSES = (
    RequestClass("idempotent", latency_objective=0.3, deadline=1.2, message_latency_objective=0.1),
    RequestClass(
        "keyed",
        latency_objective=0.3,
        deadline=1.2,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=0.5,
    ),
    RequestClass(
        "not_idempotent", latency_objective=0.3, deadline=1.2, idempotency=Idempotency.NOT_IDEMPOTENT
    ),
)
FAILURES = st.sampled_from([status for status in AttemptStatus if status is not AttemptStatus.OK])


# Steps of a generated sequence. ``pick`` selects an attempt in flight, ``number`` is a backend's number.


@dataclass(frozen=True, slots=True)
class Arrive:
    request_class: str
    time_left: float  # s


@dataclass(frozen=True, slots=True)
class EndAttempt:
    pick: int
    status: AttemptStatus


@dataclass(frozen=True, slots=True)
class Establish:
    pick: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    pick: int


@dataclass(frozen=True, slots=True)
class SlowMessage:
    pick: int
    latency: float  # s


@dataclass(frozen=True, slots=True)
class ChangeState:
    number: int
    state: BackendState


@dataclass(frozen=True, slots=True)
class Restart:
    number: int


@dataclass(frozen=True, slots=True)
class ReportLoad:
    number: int
    load: float


@dataclass(frozen=True, slots=True)
class Wait:
    seconds: float


Step = Arrive | EndAttempt | Establish | Disconnect | SlowMessage | ChangeState | Restart | ReportLoad | Wait
PICK = st.integers(0, 50)
NUMBER = st.integers(0, 5)
STEPS = st.one_of(
    st.builds(Arrive, st.sampled_from([c.name for c in CLASSES]), st.floats(0.01, 1.2)),
    st.builds(EndAttempt, PICK, FAILURES),
    st.builds(Establish, PICK),
    st.builds(Disconnect, PICK),
    st.builds(ChangeState, NUMBER, st.sampled_from(list(BackendState))),
    st.builds(Restart, NUMBER),
    st.builds(Wait, st.floats(0.001, 1.0)),
    st.builds(ReportLoad, NUMBER, st.floats(0.0, 3.0)),
    st.builds(SlowMessage, PICK, st.floats(0.0, 1.0)),
)


class CheckingHost(BalancerHost):
    """A host that enforces timeouts and deadlines, and checks each action."""

    def __init__(self, load_reports: bool) -> None:
        super().__init__(
            classes=CLASSES, reports_load=load_reports, health_checks_allowed=load_reports, warm_up=5.0
        )
        self.deadlines: dict[str, float] = {}
        self.timeouts: dict[str, float] = {}  # request -> time (s) at which its attempt times out
        self.established: set[str] = set()
        self.answers: dict[str, int] = {}  # request -> number of final answers and ends of its connection
        self.classes: dict[str, RequestClass] = {}
        # request -> the first backend that may have run it, and the start time (s) of the attempt there
        self.may_have_run: dict[str, tuple[Endpoint, float]] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.started_at: dict[str, float] = {}  # request -> start time (s) of its last attempt

    def handle(self, event: Event) -> list[Action]:
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.check_answer(action)
        return actions

    def check_attempt(self, action: StartAttempt) -> None:
        request = action.request
        request_class, endpoint = self.classes[request], self.endpoints[action.backend]
        assert self.answers.get(request, 0) == 0, "an attempt after the final answer"
        assert endpoint.state is BackendState.READY, "an attempt at a draining or removed backend"
        assert self.attempts[request] <= self.settings.max_attempts
        if request in self.may_have_run:
            ran_on, since = self.may_have_run[request]
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            if request_class.idempotency is Idempotency.KEYED:
                assert (ran_on.zone, ran_on.cell) == (endpoint.zone, endpoint.cell)
                assert self.now < since + request_class.deduplication_window
        self.started_at[request] = self.now
        limit = action.timeout if action.timeout > 0 else 1e9
        self.timeouts[request] = min(self.now + limit, self.deadlines[request])

    def check_answer(self, action: RejectRequest | FailRequest) -> None:
        request = action.request
        assert request not in self.established, "an answer to an established connection"
        self.answers[request] = self.answers.get(request, 0) + 1
        assert self.answers[request] == 1, "two final answers"
        assert self.now <= self.deadlines[request] + ANSWER_SLACK_SECONDS, "an answer after the deadline"
        if isinstance(action, RejectRequest) and (request in self.may_have_run or request in self.in_flight):
            assert self.classes[request].idempotency is Idempotency.IDEMPOTENT, (
                "a rejection although a retry is not safe"
            )

    def end_attempt(self, request: str, status: AttemptStatus) -> None:
        attempt, backend = self.in_flight[request]
        del self.in_flight[request]
        was_established = request in self.established
        self.established.discard(request)
        if status not in NEVER_RAN and request not in self.may_have_run:
            self.may_have_run[request] = (self.endpoints[backend], self.started_at[request])
        final = was_established or bool(self.answers.get(request))
        if was_established:
            self.answers[request] = self.answers.get(request, 0) + 1
        latency = self.now - self.started_at[request]
        self.handle(AttemptFinished(request, attempt, status, latency=latency, final=final))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            expired = [
                (t, r) for r, t in self.timeouts.items() if r in self.in_flight and r not in self.established
            ]
            first = min(expired, default=(end + 1, ""))
            timer = self.timers[0][0] if self.timers else end + 1
            at = min(first[0], timer)
            if at > end:
                break
            if timer <= first[0]:
                self.run(max(0.0, timer - self.now))
            else:
                self.now = max(self.now, first[0])
                self.end_attempt(first[1], AttemptStatus.TIMEOUT)
        self.now = end

    def play(self, step: Step) -> None:
        """Execute one step; a step that needs an attempt in flight is skipped if there is none."""
        match step:
            case Arrive(request_class, time_left):
                self.arrive(request_class, time_left)
            case Wait(seconds):
                self.pass_time(seconds)
            case ChangeState(number, state):
                self.change_endpoint(number, state=state)
            case Restart(number):
                self.change_endpoint(number, state=BackendState.READY, started=self.now)
            case ReportLoad(number, load):
                self.report_loads(**{f"s{number}": load})
            case _ if self.in_flight:
                self.play_on_request(step, sorted(self.in_flight)[step.pick % len(self.in_flight)])

    def play_on_request(self, step: EndAttempt | Establish | Disconnect | SlowMessage, request: str) -> None:
        match step:
            case EndAttempt(_, status):
                self.end_attempt(request, status)
            case SlowMessage(_, latency):
                self.handle(ResponseLatencyMeasured(request, latency))
            case Establish() if not self.answers.get(request):
                self.established.add(request)
                self.establish(request)
            case Disconnect() if request not in self.established:
                self.answers[request] = self.answers.get(request, 0) + 1
                self.handle(ClientDisconnected(request))

    def arrive(self, request_class: str, time_left: float) -> None:
        request = f"r{self.request_count + 1}"
        self.classes[request] = next(c for c in CLASSES if c.name == request_class)
        self.deadlines[request] = self.now + time_left
        self.request(request_class=request_class, time_left=time_left)

    def change_endpoint(self, number: int, **changes: Any) -> None:
        endpoint = replace(self.endpoints[f"s{number}"], **changes)
        self.endpoints[endpoint.backend] = endpoint
        self.update_endpoints((endpoint,), EndpointUpdateKind.DELTA)


def play_and_check(steps: list[Step], load_reports: bool) -> None:
    host = CheckingHost(load_reports)
    endpoints = tuple(Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 2, started=1.0) for i in range(6))
    host.endpoints = {endpoint.backend: endpoint for endpoint in endpoints}
    host.update_endpoints(endpoints, EndpointUpdateKind.CACHED)
    for step in steps:
        host.play(step)
    host.pass_time(3.0)
    for request in host.classes:
        assert request in host.established or host.answers.get(request), "a request without an answer"
    counted = {b.name: b.count for b in host.balancer.pool.backends.values() if b.count}
    expected: dict[str, int] = {}
    for _, backend in host.in_flight.values():
        expected[backend] = expected.get(backend, 0) + 1
    assert counted == expected, "the balancer's counts differ from the attempts and connections in flight"


ANY_STEPS = st.lists(STEPS, min_size=20, max_size=80)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(ANY_STEPS, st.booleans())
def test_the_rules_hold_for_any_sequence_of_events(steps: list[Step], load_reports: bool) -> None:
    play_and_check(steps, load_reports)


@pytest.mark.parametrize(
    ("module", "rule"), [(selection, "is_safe_to_retry_on"), (admission, "is_safe_to_retry")]
)
def test_the_checks_detect_a_broken_rule(
    module: ModuleType, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, rule, lambda *_: True)
    options = hypothesis_settings(
        derandomize=True, database=None, deadline=None, max_examples=300, phases=[Phase.generate]
    )
    with pytest.raises(AssertionError):
        options(given(ANY_STEPS, st.booleans())(play_and_check))()
