"""Servers' health and occupancy: whom a failure is blamed on, and a model check of the whole module.

The machine below gives the module any order of arrivals, endings, lists, restarts, late words and time, and
judges it by books of its own: what is out and stands, what was answered, what it was told.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as effort
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
from saltcourse.balancing.outlier_ejection import TRANSITIONS, HealthEvent
from saltcourse.balancing.selection import Selection
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, HealthState, Request
from tests.balancing.balancer_host import ANSWER_SLACK_SECONDS, Node, members

S = AttemptStatus
FAILS = [s for s in S if s is not S.OK]
BACK = 60.0  # s: the longest rest, hold and warm-up one after another, with time to be drawn


def test_every_state_has_an_answer_to_every_sign_and_only_a_trial_ends_as_one() -> None:
    assert set(TRANSITIONS) == set(HealthEvent) and all(
        len(row) == len(HealthState) for row in TRANSITIONS.values()
    )
    assert [
        (s, h) for s, row in TRANSITIONS.items() for h in HealthState if row[h] is HealthState.PROBING
    ] == [
        (HealthEvent.ATTEMPT_STARTED, HealthState.ELIGIBLE),
        (HealthEvent.ATTEMPT_STARTED, HealthState.PROBING),
        (HealthEvent.EJECTION_EXPIRED, HealthState.PROBING),
        (HealthEvent.PEER_EJECTED, HealthState.PROBING),
    ]


@pytest.mark.parametrize("how", [S.ERROR, S.RESET, S.CANCELLED, S.NOT_SENT])
def test_a_trial_ends_with_its_attempt_however_that_ends(how: S) -> None:
    # ERROR and RESET once held the trial for ever: a proxy lost a server for each bad client that met one.
    node = Node()
    node.list(members(3))
    node.balancer.ejection.record(node.now, node.balancer.pool.backends["s0"], HealthEvent.FAILURE)
    node.run(2.0)
    while node.balancer.pool.backends["s0"].health.state is not HealthState.PROBING:
        tried = node.ask()
    assert node.server_of(tried) == "s0"
    node.end(tried, how)
    for _ in range(100):
        node.run(0.2)
        node.stand(node.ask())
    assert Counter(server for _, server in node.out.values())["s0"] > 20


@pytest.mark.parametrize("how", [S.ERROR, S.RESET])
def test_a_request_that_is_broken_off_everywhere_is_to_blame_itself(how: S) -> None:
    node = Node()
    node.list(members(4))
    for i in range(60):
        node.run(0.05)
        request = node.ask(flow=f"f{i}")
        while i % 2 and request in node.out:
            node.end(request, how)
        if request in node.out:
            node.stand(request)
    for server in node.balancer.pool.backends.values():
        assert (
            server.health.state is HealthState.HEALTHY
            and not server.health.error_rate
            and server.ceilings.rejected_until <= node.now
        )


@pytest.mark.parametrize("flows, health", [(40, HealthState.EJECTED), (1, HealthState.HEALTHY)])
def test_a_server_that_errs_where_others_serve_rests_unless_on_one_flow(
    flows: int, health: HealthState
) -> None:
    node = Node()
    node.list(members(3))
    server = node.balancer.pool.backends["s0"]
    for i in range(40):
        request = node.ask(flow=f"f{i % flows}")
        if node.server_of(request) == "s0":
            node.end(request, S.ERROR)
        if server.health.state is HealthState.EJECTED:
            break
        if request in node.out:
            node.stand(request)
    assert server.health.state is health


def test_what_is_out_to_a_process_says_nothing_of_the_next_one() -> None:
    node = Node()
    node.list(members(1))
    old = [node.open() for _ in range(4)] + [node.ask()]
    node.run(1.0)
    node.list(members(1, started=node.now))
    for request in old:
        node.end(request, S.RESET if request != old[-1] else S.TIMEOUT, final=True)
    server = node.balancer.pool.backends["s0"]
    assert (
        server.health.state is HealthState.HEALTHY
        and server.ceilings.rejected_until <= node.now
        and server.count == 0
    )


class Machine(RuleBasedStateMachine):
    """Books beside the module's own. ``module`` is the class under test, or a broken one."""

    module: type[Balancer] = Balancer

    def __init__(self) -> None:
        super().__init__()
        self.node = Node(max_attempts=3, has_groups=True)
        self.node.balancer = self.module(self.node.settings, 7)
        self.states: dict[str, BackendState] = {}
        self.started: Counter[str] = Counter()
        self.cold: Counter[str] = Counter()  # sends to each since it started, while it is cold
        self.peak = 0.0
        self.stands: dict[str, str] = {}
        self.groups: dict[str, str] = {}
        self.owed: dict[str, float] = {}
        self.ended: list[tuple[str, int]] = []
        self.told = 0
        self.list_all(4)

    def audit(self) -> None:
        """Answers and sends since the last look: one final answer, in time; nothing to who leaves, and to a
        cold one no more than fills it over its warm-up, were it to hold all that ever stood at once."""
        groups = {(self.groups[r], server) for r, (_, server) in self.node.out.items() if self.groups[r]}
        self.peak = max(self.peak, len(self.node.out) + GROUP_SLOTS * len(groups))
        for at, action in self.node.log[self.told :]:
            if isinstance(action, RejectRequest | FailRequest):
                assert at <= self.owed.pop(action.request) + ANSWER_SLACK_SECONDS
            elif isinstance(action, StartAttempt):
                assert action.request in self.owed, "sent after its final answer"
                assert self.states[action.backend] is BackendState.READY
                age, warm_up = at - self.started[action.backend], self.node.settings.warm_up
                if self.started[action.backend] and age < warm_up:
                    self.cold[action.backend] += 1
                    assert self.cold[action.backend] <= 1 + (self.peak + 1) * age / warm_up, "cold"
        self.told = len(self.node.log)
        assert all(at + 0.01 >= self.node.now for at in self.owed.values()), "no answer in time"

    @rule(count=st.integers(2, 5))
    def list_all(self, count: int) -> None:
        self.states = {f"s{i}": BackendState.READY if i < count else BackendState.REMOVED for i in range(5)}
        self.node.list(tuple(self.member(f"s{i}") for i in range(count)))

    def member(self, name: str) -> Endpoint:
        return Endpoint(name, self.states[name], "z0", started=float(self.started[name]))

    @rule(which=st.integers(0, 4), state=st.sampled_from(BackendState))
    def list_one(self, which: int, state: BackendState) -> None:
        self.states[f"s{which}"] = state
        self.node.list((self.member(f"s{which}"),), EndpointUpdateKind.DELTA)

    @rule(which=st.integers(0, 4))
    def restart(self, which: int) -> None:
        self.started[f"s{which}"], self.cold[f"s{which}"] = int(self.node.now), 0
        self.list_one(which, BackendState.READY)

    @rule()
    def lose_list(self) -> None:
        self.node.give(EndpointsUpdated(EndpointUpdateKind.UNAVAILABLE))

    @rule(seconds=st.sampled_from([0.1, 0.4, 2.0, 2.0, 10.0]))
    def wait(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):  # the host ends what is out when its time is up
            self.node.run(0.1)
            for request in self.waiting():
                if self.owed[request] < self.node.now + 0.1:
                    self.end(request, S.TIMEOUT)
            self.audit()

    @rule(count=st.integers(1, 6), group=st.sampled_from(["", "g", "h"]), flow=st.integers(0, 2))
    def arrive(self, count: int, group: str, flow: int) -> None:
        for _ in range(count):
            name = f"r{self.node.count + 1}"
            self.owed[name], self.groups[name] = self.node.now + 1.2, group
            assert self.node.ask(group=group, flow=f"f{flow}") == name
            self.audit()

    def waiting(self, pick: int | None = None) -> list[str]:
        """Requests with an attempt out that has not stood yet: all, or one of them."""
        found = [r for r in self.node.out if r in self.owed]
        return found if pick is None or not found else [found[pick % len(found)]]

    def end(self, request: str, status: S) -> None:
        attempt, _ = self.node.out[request]
        self.stands.pop(request, None)
        self.ended.append((request, attempt))
        # As hosts do: an ending is final where the client was answered or had its connection.
        self.node.end(request, status, final=request not in self.owed)

    @rule(pick=st.integers(0, 99), status=st.sampled_from(FAILS), every=st.booleans())
    def attempts_end(self, pick: int, status: S, every: bool) -> None:
        for request in self.waiting(None if every else pick):
            self.end(request, status)

    @rule(which=st.integers(0, 4), status=st.sampled_from(FAILS), count=st.integers(1, 20))
    def one_server_fails(self, which: int, status: S, count: int) -> None:
        """As an outage goes: the others serve, and what fails at this one stands elsewhere."""
        for flow in range(count):
            self.wait(0.2)
            self.arrive(1, "", flow)
            for request in self.waiting():
                while request in self.node.out and self.node.server_of(request) == f"s{which}":
                    self.end(request, status)
            self.stand()

    @rule(pick=st.none() | st.integers(0, 99))
    def stand(self, pick: int | None = None) -> None:
        self.audit()
        for request in self.waiting(pick):
            del self.owed[request]
            self.stands[request] = self.node.server_of(request)
            self.node.stand(request, took=0.01 * (1 + (pick or 0) % 5))

    @rule(pick=st.integers(0, 99), status=st.sampled_from([S.OK, S.RESET, S.CANCELLED]))
    def connection_ends(self, pick: int, status: S) -> None:
        if self.stands:
            self.end(sorted(self.stands)[pick % len(self.stands)], status)

    @rule(pick=st.integers(0, 99))
    def client_leaves(self, pick: int) -> None:
        self.audit()
        if self.owed:
            request = sorted(self.owed)[pick % len(self.owed)]
            del self.owed[request]
            self.node.give(ClientDisconnected(request))
            if request in self.node.out:
                self.end(request, S.CANCELLED)

    @rule(pick=st.integers(0, 99), status=st.sampled_from(S))
    def late_word(self, pick: int, status: S) -> None:
        """An ending told again, perhaps of an attempt before the last."""
        if self.ended:
            request, attempt = self.ended[pick % len(self.ended)]
            self.node.give(AttemptFinished(request, attempt, status, final=True))
            self.node.give(ConnectionEstablished(request, attempt, 0.01))

    @rule(pick=st.integers(0, 99), load=st.floats(0.001, 0.1), delay=st.sampled_from([0.005, 0.03, 0.1, 1.0]))
    def note(self, pick: int, load: float, delay: float) -> None:
        if self.stands:
            request = sorted(self.stands)[pick % len(self.stands)]
            self.node.give(ConnectionLoadChanged(request, load))
            self.node.give(ResponseLatencyMeasured(request, delay))

    @invariant()
    def conserved(self) -> None:
        self.audit()
        held = Counter(server for _, server in self.node.out.values())
        for server in self.node.balancer.pool.backends.values():
            here = [r for r, (_, s) in self.node.out.items() if s == server.name]
            groups = Counter(self.groups[r] for r in here if self.groups[r])
            load = sum(self.node.balancer.requests[r].load for r in here) + GROUP_SLOTS * len(groups)
            assert server.count == held[server.name] and server.groups == groups
            assert server.occupancy == pytest.approx(load, abs=1e-6)
            assert set(server.connections) <= set(here) & set(self.stands)
            assert (server.health.probe is not None) == (server.health.state is HealthState.PROBING)
            assert server.health.probe is None or server.health.probe.id in here

    def teardown(self) -> None:
        """All servers answer from now on: each that is listed gets work again, and nothing is left over."""
        for request in list(self.node.out):
            if request in self.node.out:
                self.end(request, S.CANCELLED)
        used: Counter[str] = Counter()
        for _ in range(int(BACK / 0.2)):
            self.arrive(1, "", 0)
            self.stand()
            used.update(self.stands.values())
            self.node.run(0.2)
            if len(self.stands) > 4:
                self.end(next(iter(self.stands)), S.OK)
        assert all(used[n] for n, state in self.states.items() if state is BackendState.READY), "left out"
        for request in list(self.stands):
            self.end(request, S.OK)
        self.wait(2.0)
        self.conserved()
        balancer = self.node.balancer
        assert not balancer.requests and not balancer.timers.waiting and not self.owed
        assert not any(
            s.count or s.occupancy or s.groups or s.connections for s in balancer.pool.backends.values()
        )


EFFORT: dict[str, Any] = {
    "derandomize": True,
    "database": None,
    "deadline": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "phases": [Phase.generate],
    "suppress_health_check": list(HealthCheck),
    "stateful_step_count": 30,
}


def test_the_module_keeps_its_books_its_rules_and_every_server() -> None:
    run_state_machine_as_test(Machine, settings=effort(max_examples=60, **EFFORT))


class ProbeOutlivesErrors(FailureAttribution):
    """What stood here once: an error or a reset did not end the probe."""

    __slots__ = ()

    def attempt_finished(self, now: float, request: Request, backend: Backend, status: S) -> None:
        probe = backend.health.probe
        super().attempt_finished(now, request, backend, status)
        if probe is request and status in (S.ERROR, S.RESET):
            backend.health.probe, backend.health.state = probe, HealthState.PROBING


class LostProbe(Balancer):
    def _create_fault_rules(self) -> None:
        super()._create_fault_rules()
        self._attribution = ProbeOutlivesErrors(self.ejection, self.ceilings)


class OccupancyOfAnswered(Occupancy):
    __slots__ = ()

    def remove(self, backend: Backend, request: Request) -> None:
        if not request.is_answered:
            super().remove(backend, request)


class LostLateEnding(Balancer):
    def _create_capacity_rules(self) -> None:
        super()._create_capacity_rules()
        self._occupancy = OccupancyOfAnswered(self.ceilings, self.shared_state)


class EndsTwice(Balancer):
    def _on_attempt_finished(self, now: float, event: AttemptFinished) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            event = AttemptFinished(event.request, request.attempts - 1, event.status, 0.0, event.final)
        super()._on_attempt_finished(now, event)


class SelectionOfDraining(Selection):
    __slots__ = ()

    def is_allowed(self, now: float, request: Request, backend: Backend) -> bool:
        return super().is_allowed(now, request, backend) or backend.state is BackendState.DRAINING


class SendsToDraining(Balancer):
    def _create_request_rules(self) -> None:
        super()._create_request_rules()
        affinity = GroupAffinity(self.settings, self.pool, self.capacity, self.shared_state)
        self._selection = SelectionOfDraining(self.settings, self.pool, self.ceilings, affinity, self._random)
        self._placement.selection = self._selection

    def _refresh(self, now: float) -> None:
        super()._refresh(now)
        self.pool.candidates = [b for b in self.pool.backends.values() if b.state is not BackendState.REMOVED]


class NoSlowStart(SlowStart):
    __slots__ = ()

    def start_interval(self, now: float, usual_slots: float) -> float:
        return 0.0


class FloodsWarmingUp(Balancer):
    def _create_capacity_rules(self) -> None:
        super()._create_capacity_rules()
        self._slow_start = NoSlowStart(self.settings, self.shared_state)


@pytest.mark.parametrize("broken", [FloodsWarmingUp, LostProbe, LostLateEnding, EndsTwice, SendsToDraining])
def test_the_check_finds_a_broken_module(broken: type[Balancer]) -> None:
    machine = type("Broken", (Machine,), {"module": broken})
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(machine, settings=effort(max_examples=200, **EFFORT))
