"""A cold server under the sum of what all proxies send: the ramp has to hold for the fleet.

The proxies share nothing here. What counts is what a stand-in server got within any window of ``push_for``,
against N + 2 root N + 2, where N is what the settings allow at its warmth then: ``push_multiple`` times the
calls that a warm server of its size takes.
"""

from __future__ import annotations

import math
import random

import pytest

from saltcourse.balancing.actions import MigrateConnection
from saltcourse.balancing.events import AttemptStatus, BackendState, Endpoint, EndpointUpdateKind
from saltcourse.balancing.slow_start import SlowStart
from tests.balancing.balancer_host import Node, members

SERVERS, DRAINED, LIFE, STEP = 8, 5, 8.0, 0.02
WARM_UP, SHARE, MULTIPLE, WINDOW = 8.0, 0.3, 3.0, 3.0


class Tier:
    """Proxies, clients that come at a rate and come back after their connection's life, and servers."""

    def __init__(self, proxies: int, rate: float, seed: int, groups: bool) -> None:
        self.random, self.rate, self.groups = random.Random(seed), rate, groups
        self.proxies = [self.proxy(seed * 100 + number, proxies) for number in range(proxies)]
        self.now, self.arrived, self.open = 100.0, 0.0, 0
        self.ends: list[tuple[float, Node, str]] = []
        self.got: list[float] = []

    def proxy(self, seed: int, count: int, now: float = 100.0) -> Node:
        node = Node(
            seed,
            now,
            proxy_count=count,
            has_groups=self.groups,
            warm_up=WARM_UP,
            initial_capacity_share=SHARE,
        )
        node.list(members(SERVERS), EndpointUpdateKind.CACHED)
        return node

    def release(self, node: Node, started: float) -> None:
        """One starts cold, and six in ten of the others begin to drain: their clients come back at once."""
        node.list(
            (Endpoint("cold", zone="z0", started=started), *members(DRAINED, state=BackendState.DRAINING)),
            EndpointUpdateKind.DELTA,
        )
        moved = {
            move.request for at, move in node.log if isinstance(move, MigrateConnection) and at == node.now
        }
        for request in [r for r in node.out if r in moved]:
            node.end(request, AttemptStatus.CANCELLED, final=True)
            self.arrived += 1.0

    def come(self) -> None:
        node = self.random.choice(self.proxies)
        group = f"g{int(12 * self.random.random() ** 2)}" if self.groups else ""
        request = node.ask(group=group, flow=str(self.random.random()))
        if request in node.out:
            if node.server_of(request) == "cold":
                self.got.append(self.now)
            node.stand(request)
            self.ends.append((self.now + LIFE * self.random.expovariate(1.0), node, request))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for node in self.proxies:
                node.run(self.now - node.now)
            self.arrived += self.rate * STEP * 2 * self.random.random()
            while self.arrived >= 1.0:
                self.arrived -= 1.0
                self.come()
            over = [each for each in self.ends if each[0] <= self.now]
            self.ends = [each for each in self.ends if each[0] > self.now]
            for _, node, request in over:
                if request in node.out and node in self.proxies:
                    node.end(request, AttemptStatus.OK, final=True)


def worst(proxies: int, rate: float, seed: int, groups: bool) -> float:  # 1.0 is all that is allowed
    """The largest excess over what is put down to chance, as a share of it."""
    tier = Tier(proxies, rate, seed, groups)
    tier.run(6.0)
    started = tier.now
    for node in tier.proxies:
        tier.release(node, started)
    tier.run(0.5)
    for number in range(0, proxies, 3):  # a third is restarted just then, and has spent nothing yet
        tier.proxies[number] = tier.proxy(seed * 100 + 50 + number, proxies, tier.now)
        tier.release(tier.proxies[number], started)
    tier.run(WARM_UP + 1.0)
    most = 0.0
    for begin in tier.got:
        count = sum(begin <= at < begin + WINDOW for at in tier.got)
        warmth = min(1.0, SHARE + (1 - SHARE) * (begin - started) / WARM_UP)
        allowed = MULTIPLE * warmth * rate / SERVERS * WINDOW
        most = max(most, count / (allowed + 2 * math.sqrt(allowed) + 2))
    return most


@pytest.mark.parametrize("groups", [False, True])
@pytest.mark.parametrize("rate", [2.0, 40.0])
@pytest.mark.parametrize("proxies", [2, 5, 20, 30, 200])
def test_the_ramp_holds_for_the_sum_of_all_proxies(proxies: int, rate: float, groups: bool) -> None:
    found = [worst(proxies, rate, seed, groups) for seed in range(3 if proxies < 200 else 1)]
    assert max(found) <= 1.0, f"{found}"


def test_the_check_sees_a_ramp_that_does_not_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "start_interval", lambda self, now, usual_slots: 0.0)
    assert min(worst(proxies, 40.0, 0, False) for proxies in (2, 5, 20, 30)) > 1.0
