"""Slow start under the sum of what all proxies send: it has to hold for the fleet.

The proxies share nothing here. What counts are the attempts that a backend which warms up got within any
window of 3 s, against N + 2 root N + 2, where N is what is allowed for its capacity then: three times the
attempts that a warm backend of its size gets.
"""

from __future__ import annotations

import math
import random

import pytest

from saltcourse.balancing.actions import MigrateConnection
from saltcourse.balancing.events import AttemptStatus, BackendState, Endpoint, EndpointUpdateKind
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import BalancerHost, members, settings

BACKENDS = 8
DRAINED = 5  # of these, when another one starts
CONNECTION_SECONDS = 8.0  # mean life of a connection
STEP_SECONDS = 0.02
WARM_UP_SECONDS = 8.0
INITIAL_CAPACITY_SHARE = 0.3
ALLOWED_MULTIPLE = 3.0  # of the attempts that a warm backend gets
WINDOW_SECONDS = 3.0


class Fleet:
    """Proxies, backends, and clients that come at a rate and come back after their connection's life."""

    def __init__(self, proxies: int, rate: float, seed: int, groups: bool) -> None:
        self.random = random.Random(seed)
        self.rate = rate  # clients a second
        self.groups = groups
        self.proxies = [self.new_proxy(seed * 100 + number, proxies) for number in range(proxies)]
        self.now = 100.0
        self.arrived = 0.0  # clients that wait to be let in, and a part of the next
        self.ends: list[tuple[float, BalancerHost, str]] = []  # when each connection ends
        self.attempt_times: list[float] = []  # at the backend that warms up

    def new_proxy(self, seed: int, count: int, now: float = 100.0) -> BalancerHost:
        host = BalancerHost(
            seed,
            now,
            proxy_count=count,
            has_groups=self.groups,
            warm_up=WARM_UP_SECONDS,
            initial_capacity_share=INITIAL_CAPACITY_SHARE,
        )
        host.update_endpoints(members(BACKENDS), EndpointUpdateKind.CACHED)
        return host

    def release(self, host: BalancerHost, started: float) -> None:
        """One backend starts, and six in ten others begin to drain: their clients come back at once."""
        host.update_endpoints(
            (Endpoint("new", zone="z0", started=started), *members(DRAINED, state=BackendState.DRAINING)),
            EndpointUpdateKind.DELTA,
        )
        moved = {
            move.request for at, move in host.log if isinstance(move, MigrateConnection) and at == host.now
        }
        for request in [r for r in host.in_flight if r in moved]:
            host.finish(request, AttemptStatus.CANCELLED, final=True)
            self.arrived += 1.0

    def client_arrives(self) -> None:
        host = self.random.choice(self.proxies)
        group = f"g{int(12 * self.random.random() ** 2)}" if self.groups else ""
        request = host.request(group=group, flow=str(self.random.random()))
        if request in host.in_flight:
            if host.backend_of(request) == "new":
                self.attempt_times.append(self.now)
            host.establish(request)
            self.ends.append((self.now + CONNECTION_SECONDS * self.random.expovariate(1.0), host, request))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for host in self.proxies:
                host.run(self.now - host.now)
            self.arrived += self.rate * STEP_SECONDS * 2 * self.random.random()
            while self.arrived >= 1.0:
                self.arrived -= 1.0
                self.client_arrives()
            over = [each for each in self.ends if each[0] <= self.now]
            self.ends = [each for each in self.ends if each[0] > self.now]
            for _, host, request in over:
                if request in host.in_flight and host in self.proxies:
                    host.finish(request, AttemptStatus.OK, final=True)


def worst_window(proxies: int, rate: float, seed: int, groups: bool) -> float:
    """The most attempts in any window, as a share of what is allowed with chance: 1.0 is the limit."""
    fleet = Fleet(proxies, rate, seed, groups)
    fleet.run(6.0)
    started = fleet.now
    for host in fleet.proxies:
        fleet.release(host, started)
    fleet.run(0.5)
    for number in range(0, proxies, 3):  # a third is restarted just then, and has spent nothing yet
        fleet.proxies[number] = fleet.new_proxy(seed * 100 + 50 + number, proxies, fleet.now)
        fleet.release(fleet.proxies[number], started)
    fleet.run(WARM_UP_SECONDS + 1.0)
    most = 0.0
    for begin in fleet.attempt_times:
        count = sum(begin <= at < begin + WINDOW_SECONDS for at in fleet.attempt_times)
        capacity = min(
            1.0, INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * (begin - started) / WARM_UP_SECONDS
        )
        allowed = ALLOWED_MULTIPLE * capacity * rate / BACKENDS * WINDOW_SECONDS
        most = max(most, count / (allowed + 2 * math.sqrt(allowed) + 2))
    return most


@pytest.mark.parametrize("groups", [False, True])
@pytest.mark.parametrize("rate", [2.0, 40.0])
@pytest.mark.parametrize("proxies", [2, 5, 20, 30, 200])
def test_slow_start_holds_for_the_sum_of_all_proxies(proxies: int, rate: float, groups: bool) -> None:
    found = [worst_window(proxies, rate, seed, groups) for seed in range(3 if proxies < 200 else 1)]
    assert max(found) <= 1.0, f"{found}"


def test_the_check_finds_a_slow_start_that_does_not_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "attempt_interval", lambda self, now, expected_slots: 0.0)
    assert min(worst_window(proxies, 40.0, 0, False) for proxies in (2, 5, 20, 30)) > 1.0


def test_a_backend_that_warms_up_gets_its_connections_one_by_one() -> None:
    host = BalancerHost(now=100.0, proxy_count=4)
    host.update_endpoints(members(4))
    for _ in range(40):
        host.connect()
    host.run(2.0)  # a tick: the host knows what its backends hold
    host.update_endpoints((Endpoint("new", zone="z0", started=host.now),), EndpointUpdateKind.DELTA)
    sends = []
    for _ in range(200):
        host.run(0.02)
        request = host.connect()
        if host.backend_of(request) == "new":
            sends.append(host.now)
    assert sends, "a backend that warms up is used"
    assert len(sends) <= 4.0 / 10.0 * 60  # no faster than fills it evenly over its warm-up


def test_the_capacity_share_grows_evenly_over_the_warm_up() -> None:
    proxy = settings(warm_up=10.0, initial_capacity_share=0.25)
    slow_start = SlowStart(proxy, SharedState(proxy, 1, {}))
    backend = Backend(Endpoint("s0", started=100.0))
    shares = [slow_start.capacity_share(now, backend) for now in (90.0, 100.0, 104.0, 110.0, 200.0)]
    assert shares == pytest.approx([0.25, 0.25, 0.55, 1.0, 1.0])
    assert slow_start.is_warming_up(109.9, backend) and not slow_start.is_warming_up(110.0, backend)


def test_a_backend_that_started_long_ago_is_warm() -> None:
    slow_start = SlowStart(settings(), SharedState(settings(), 1, {}))
    assert slow_start.capacity_share(100.0, Backend(Endpoint("s0"))) == 1.0
