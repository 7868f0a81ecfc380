"""The four rules over generated event sequences: whatever comes, they hold."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as run
from hypothesis import strategies as st

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
    HealthCheckFinished,
    LoadReport,
    ResponseLatencyMeasured,
)
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.balancer_host import ANSWER_SLACK_SECONDS, Node

CLASSES = (
    RequestClass("safe", latency_objective=0.3, deadline=1.2, message_latency_objective=0.1),
    RequestClass(
        "keyed",
        latency_objective=0.3,
        deadline=1.2,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=0.5,
    ),
    RequestClass("unsafe", latency_objective=0.3, deadline=1.2, idempotency=Idempotency.NOT_IDEMPOTENT),
)
ENDINGS = st.sampled_from([s for s in AttemptStatus if s is not AttemptStatus.OK])
STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from([c.name for c in CLASSES]), st.floats(0.01, 1.2)),
    st.tuples(st.just("end"), st.integers(0, 50), ENDINGS),
    st.tuples(st.just("stand"), st.integers(0, 50), st.none()),
    st.tuples(st.just("leave"), st.integers(0, 50), st.none()),
    st.tuples(st.just("state"), st.integers(0, 5), st.sampled_from(list(BackendState))),
    st.tuples(st.just("restart"), st.integers(0, 5), st.none()),
    st.tuples(st.just("wait"), st.floats(0.001, 1.0), st.none()),
    st.tuples(st.just("probe"), st.integers(0, 5), st.floats(0.0, 3.0)),
    st.tuples(st.just("slow"), st.integers(0, 50), st.floats(0.0, 1.0)),
)


class Judge(Node):
    """Plays the host's side of the wire exactly: time-outs fire, deadlines end, rules are judged."""

    def __init__(self, probes: bool) -> None:
        super().__init__(classes=CLASSES, reports_load=probes, health_checks_allowed=probes, warm_up=5.0)
        self.deadline: dict[str, float] = {}
        self.times_out: dict[str, float] = {}
        self.standing: set[str] = set()
        self.finished: dict[str, int] = {}
        self.klass: dict[str, RequestClass] = {}
        self.ran: dict[str, tuple[Endpoint, float]] = {}
        self.told: dict[str, Endpoint] = {}
        self.first_sent: dict[str, float] = {}

    def give(self, event: Event) -> list[Action]:
        actions = super().give(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_send(action)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.check_answer(action)
        return actions

    def check_send(self, action: StartAttempt) -> None:
        request, klass, member = action.request, self.klass[action.request], self.told[action.backend]
        assert self.finished.get(request, 0) == 0, "a send after the final answer"
        assert member.state is BackendState.READY, "a send to a draining or gone server"
        assert self.sends[request] <= self.settings.max_attempts
        if request in self.ran:
            where, since = self.ran[request]
            assert klass.idempotency is not Idempotency.NOT_IDEMPOTENT
            if klass.idempotency is Idempotency.KEYED:
                assert (where.zone, where.cell) == (member.zone, member.cell)
                assert self.now < since + klass.deduplication_window
        self.first_sent[request] = self.now
        limit = action.timeout if action.timeout > 0 else 1e9
        self.times_out[request] = min(self.now + limit, self.deadline[request])

    def check_answer(self, action: RejectRequest | FailRequest) -> None:
        request = action.request
        assert request not in self.standing, "an answer to a connection that stands"
        self.finished[request] = self.finished.get(request, 0) + 1
        assert self.finished[request] == 1, "two final answers"
        assert self.now <= self.deadline[request] + ANSWER_SLACK_SECONDS, "too late"
        if isinstance(action, RejectRequest) and (request in self.ran or request in self.out):
            assert self.klass[request].idempotency is Idempotency.IDEMPOTENT, (
                "a refusal that promises too much"
            )

    def finish(self, request: str, status: AttemptStatus) -> None:
        attempt, server = self.out[request]
        del self.out[request]
        begun = request in self.standing
        self.standing.discard(request)
        if status not in NEVER_RAN and request not in self.ran:
            self.ran[request] = (self.told[server], self.first_sent[request])
        final = begun or bool(self.finished.get(request))
        if begun:
            self.finished[request] = self.finished.get(request, 0) + 1
        latency = self.now - self.first_sent[request]
        self.give(AttemptFinished(request, attempt, status, latency=latency, final=final))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            due = [(t, r) for r, t in self.times_out.items() if r in self.out and r not in self.standing]
            first = min(due, default=(end + 1, ""))
            timer = self.timers[0][0] if self.timers else end + 1
            at = min(first[0], timer)
            if at > end:
                break
            if timer <= first[0]:
                self.run(max(0.0, timer - self.now))
            else:
                self.now = max(self.now, first[0])
                self.finish(first[1], AttemptStatus.TIMEOUT)
        self.now = end


@run(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(STEP, max_size=80), st.booleans())
def test_rules_hold_whatever_comes(steps: list[tuple[object, ...]], probes: bool) -> None:
    judge = Judge(probes)
    fleet = tuple(Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 2, started=1.0) for i in range(6))
    judge.told = {m.backend: m for m in fleet}
    judge.list(fleet, EndpointUpdateKind.CACHED)
    for name, a, b in steps:
        if name == "ask":
            request = f"r{judge.count + 1}"
            judge.klass[request] = next(c for c in CLASSES if c.name == a)
            judge.deadline[request] = judge.now + b  # type: ignore[operator]
            judge.ask(klass=a, patience=b)  # type: ignore[arg-type]
        elif name == "wait":
            judge.pass_time(a)  # type: ignore[arg-type]
        elif name in ("state", "restart"):
            old = judge.told[f"s{a}"]
            state = b if name == "state" else BackendState.READY
            started = judge.now if name == "restart" else old.started
            member = Endpoint(old.backend, state, old.zone, "", old.cell, 1.0, started)  # type: ignore[arg-type]
            judge.told[old.backend] = member
            judge.list((member,), EndpointUpdateKind.DELTA)
        elif name == "probe":
            report = LoadReport(load=b)  # type: ignore[arg-type]
            judge.give(HealthCheckFinished(f"s{a}", AttemptStatus.OK, report=report))
        elif judge.out:
            request = sorted(judge.out)[a % len(judge.out)]  # type: ignore[operator]
            if name == "end":
                judge.finish(request, b)  # type: ignore[arg-type]
            elif name == "slow":
                judge.give(ResponseLatencyMeasured(request, b))  # type: ignore[arg-type]
            elif name == "stand" and not judge.finished.get(request):
                judge.standing.add(request)
                judge.stand(request)
            elif name == "leave" and request not in judge.standing:
                judge.finished[request] = judge.finished.get(request, 0) + 1
                judge.give(ClientDisconnected(request))
    judge.pass_time(3.0)
    for request in judge.klass:
        assert request in judge.standing or judge.finished.get(request), "a request without an answer"
    held = {s.name: s.count for s in judge.balancer.pool.backends.values() if s.count}
    want: dict[str, int] = {}
    for _, server in judge.out.values():
        want[server] = want.get(server, 0) + 1
    assert held == want, "occupancy is exact"
