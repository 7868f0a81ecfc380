"""Tests of slow start: the attempts of all proxies together must respect a backend's warm-up.

The proxies of the simulated fleet do not share state. The attempts at a warming backend in any window of 3 s
must not exceed N + 2 sqrt(N) + 2. N is three times the attempts that a fully warm backend gets in the window,
scaled by the backend's capacity share at the start of the window.
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
from tests.balancing.balancer_host import BalancerHost, make_endpoints, settings

BACKENDS = 8
DRAINED = 5  # Backends that begin to drain when the new one starts.
CONNECTION_SECONDS = 8.0  # Mean duration of a connection.
STEP_SECONDS = 0.02
WARM_UP_SECONDS = 8.0
INITIAL_CAPACITY_SHARE = 0.3
ALLOWED_MULTIPLE = 3.0  # Attempts at a warming backend over those at a warm one of the same capacity.
WINDOW_SECONDS = 3.0


class Fleet:
    """Simulates proxies and backends, with clients that arrive at a given rate."""

    def __init__(self, proxies: int, rate: float, seed: int, groups: bool) -> None:
        self.random = random.Random(seed)
        self.rate = rate  # clients per second
        self.groups = groups
        self.proxies = [self.new_proxy(seed * 100 + number, proxies) for number in range(proxies)]
        self.now = 100.0
        self.arrived = 0.0  # Clients that have arrived but not sent a request yet; may be fractional.
        self.ends: list[tuple[float, BalancerHost, str]] = []  # End time (s), proxy and request.
        self.attempt_times: list[float] = []  # Times (s) of the attempts at the warming backend.

    def new_proxy(self, seed: int, count: int, now: float = 100.0) -> BalancerHost:
        host = BalancerHost(
            seed,
            now,
            proxy_count=count,
            has_groups=self.groups,
            warm_up=WARM_UP_SECONDS,
            initial_capacity_share=INITIAL_CAPACITY_SHARE,
        )
        host.update_endpoints(make_endpoints(BACKENDS), EndpointUpdateKind.CACHED)
        return host

    def release(self, host: BalancerHost, started: float) -> None:
        """Start one backend and drain six in ten of the others, whose clients reconnect at once."""
        host.update_endpoints(
            (
                Endpoint("new", zone="z0", started=started),
                *make_endpoints(DRAINED, state=BackendState.DRAINING),
            ),
            EndpointUpdateKind.DELTA,
        )
        migrated = {
            action.request
            for at, action in host.log
            if isinstance(action, MigrateConnection) and at == host.now
        }
        for request in [r for r in host.in_flight if r in migrated]:
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
            ended = [entry for entry in self.ends if entry[0] <= self.now]
            self.ends = [entry for entry in self.ends if entry[0] > self.now]
            for _, host, request in ended:
                if request in host.in_flight and host in self.proxies:
                    host.finish(request, AttemptStatus.OK, final=True)


def worst_window(proxies: int, rate: float, seed: int, groups: bool) -> float:
    """Return the maximum attempts in any window, over the limit that allows for random variation."""
    fleet = Fleet(proxies, rate, seed, groups)
    fleet.run(6.0)
    started = fleet.now
    for host in fleet.proxies:
        fleet.release(host, started)
    fleet.run(0.5)
    for number in range(0, proxies, 3):  # A third of the proxies restart and lose their slow-start state.
        fleet.proxies[number] = fleet.new_proxy(seed * 100 + 50 + number, proxies, fleet.now)
        fleet.release(fleet.proxies[number], started)
    fleet.run(WARM_UP_SECONDS + 1.0)
    worst = 0.0
    for begin in fleet.attempt_times:
        count = sum(begin <= at < begin + WINDOW_SECONDS for at in fleet.attempt_times)
        capacity = min(
            1.0, INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * (begin - started) / WARM_UP_SECONDS
        )
        allowed = ALLOWED_MULTIPLE * capacity * rate / BACKENDS * WINDOW_SECONDS
        worst = max(worst, count / (allowed + 2 * math.sqrt(allowed) + 2))
    return worst


@pytest.mark.parametrize("groups", [False, True])
@pytest.mark.parametrize("rate", [2.0, 40.0])
@pytest.mark.parametrize("proxies", [2, 5, 20, 30, 200])
def test_the_attempts_of_all_proxies_together_stay_within_the_limit(
    proxies: int, rate: float, groups: bool
) -> None:
    ratios = [worst_window(proxies, rate, seed, groups) for seed in range(3 if proxies < 200 else 1)]
    assert max(ratios) <= 1.0, f"{ratios}"


def test_the_check_detects_slow_start_without_an_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "attempt_interval", lambda self, now, expected_slots: 0.0)
    assert min(worst_window(proxies, 40.0, 0, False) for proxies in (2, 5, 20, 30)) > 1.0


def test_a_warming_backend_gets_its_connections_evenly_over_its_warm_up() -> None:
    host = BalancerHost(now=100.0, proxy_count=4)
    host.update_endpoints(make_endpoints(4))
    for _ in range(40):
        host.connect()
    host.run(2.0)  # A tick computes the mean occupancy.
    host.update_endpoints((Endpoint("new", zone="z0", started=host.now),), EndpointUpdateKind.DELTA)
    attempt_times = []
    for _ in range(200):
        host.run(0.02)
        request = host.connect()
        if host.backend_of(request) == "new":
            attempt_times.append(host.now)
    assert attempt_times, "a warming backend must be used"
    assert len(attempt_times) <= 4.0 / 10.0 * 60  # 4 s of a warm-up of 10 s


def test_the_capacity_share_grows_linearly_over_the_warm_up() -> None:
    proxy = settings(warm_up=10.0, initial_capacity_share=0.25)
    slow_start = SlowStart(proxy, SharedState(proxy, 1, {}))
    backend = Backend(Endpoint("s0", started=100.0))
    shares = [slow_start.capacity_share(now, backend) for now in (90.0, 100.0, 104.0, 110.0, 200.0)]
    assert shares == pytest.approx([0.25, 0.25, 0.55, 1.0, 1.0])
    assert slow_start.is_warming_up(109.9, backend) and not slow_start.is_warming_up(110.0, backend)


def test_a_backend_without_a_recent_start_time_has_full_capacity() -> None:
    slow_start = SlowStart(settings(), SharedState(settings(), 1, {}))
    assert slow_start.capacity_share(100.0, Backend(Endpoint("s0"))) == 1.0
