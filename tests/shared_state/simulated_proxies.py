"""Proxies on the simulated network whose connections change at random, checked from outside."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import Any

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.shared_state.outbox import Outgoing
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import settings

SETTINGS = SharedStateSettings(share_connection_counts=True)
SILENCE_SECONDS = SETTINGS.lease_term  # after which a peer is lost


@dataclass
class Held:
    count: int


class SimulatedProxies:
    """A fleet on the simulated network whose connections change at random; the checks look from outside."""

    def __init__(
        self,
        seed: int,
        link: Link,
        core: type[SharedState] = SharedState,
        count: int = 4,
        shared_state: SharedStateSettings = SETTINGS,
    ) -> None:
        self.random, self.core, self.count, self.shared_state = random.Random(seed), core, count, shared_state
        hosts = [
            Host(str(i), rate=1 + (i % 3 - 1) * self.shared_state.clock_drift, offset=1e5 * i)
            for i in range(count)
        ]
        self.net = Network(seed, hosts, link, self._deliver, None)
        self.held = [self._empty() for _ in range(count)]
        self.cores = [self._fresh(i) for i in range(count)]
        self.changing = True
        self.longest_message = 0
        self.health_checks: list[float] = []  # true times at which any proxy spent one of the server's budget
        self.shares: list[float] = []  # of all live proxies together, at one moment each
        self.ejections: dict[str, float] = {}  # server -> true time at which the latest ejection on it ends
        self.outlived_ejections: list[tuple[float, str]] = []
        for i in range(count):
            hosts[i].alive = True
            self.net.call_at(0.1 * self.random.random(), partial(self._step, i))

    @staticmethod
    def _empty() -> dict[str, Held]:
        return {f"s{i}": Held(0) for i in range(8)}

    def _fresh(self, index: int) -> SharedState:
        own_settings = settings(
            proxy_count=self.count,
            proxy_index=index,
            peers_allowed=True,
            has_groups=True,
            shared_state=self.shared_state,
        )
        return self.core(own_settings, self.random.getrandbits(12), self.held[index])

    def restart(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        self.net.crash(host, keeps_disk=False)
        host.alive = True
        self.held[index] = self._empty()
        self.cores[index] = self._fresh(index)
        self.net.call_at(self.net.now, partial(self._step, index))

    def clock(self, index: int) -> float:
        return self.net.hosts[str(index)].clock(self.net.now)

    def _step(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        incarnation = host.incarnation
        if not host.stopped:
            self._act(index)
            self._send(index, self.cores[index].outgoing_messages(self.clock(index)))
        self.net.call_at(
            self.net.now + 0.1, lambda: self._step(index) if host.incarnation == incarnation else None
        )

    def _act(self, index: int) -> None:
        core, draw, now = self.cores[index], self.random.randrange, self.clock(index)
        if core.may_health_check(now, "s0"):
            self.health_checks.append(self.net.now)
        self.shares.append(sum(c.leases.share(self.clock(i)) for i, c in enumerate(self.cores)))
        if self.changing and draw(10) < 3:
            server, more = f"s{draw(8)}", draw(5) < 3
            core.record_group(server, f"g{draw(9)}", more)
            self.held[index][server].count = max(0, self.held[index][server].count + (1 if more else -1))
        if self.changing and draw(100) < 2:
            length = 0.3 + 6 * self.random.random()
            server = f"s{draw(8)}"
            core.announce_ejection(server, now + length)
            self.ejections[server] = max(self.ejections.get(server, 0.0), self.net.now + 1.02 * length)

    def _send(self, index: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            self.longest_message = max(self.longest_message, len(text))
            for other in range(self.count) if peer is None else [peer]:
                if other != index:
                    self.net.send(str(index), str(other), (index, text))

    def _deliver(self, host: Host, event: Any) -> None:
        sender, text = event
        index = int(host.name)
        for server in self.cores[index].receive(self.clock(index), sender, text):
            if self.net.now > self.ejections[server] + self.net.link.delay[1]:
                self.outlived_ejections.append((self.net.now, server))

    def stale_replicas(self) -> list[tuple[int, int]]:
        """Pairs of a proxy and a peer whose table it has wrong, in its replica or in its index of holders."""
        found = []
        for i, core in enumerate(self.cores):
            for j, other in enumerate(self.cores):
                indexed = {key for key, peers in core.holders.items() if j in peers}
                if i != j and not (
                    j in core.peers
                    and core.peers[j].replica.entries == other.table.entries
                    and indexed == set(other.table.entries)
                ):
                    found.append((i, j))
        return found

    def overspent(self, rate: float = 20.0) -> bool:
        """Whether in any span of time more was spent than the budget allows, or shares exceeded the whole."""
        burst = 2.0 * self.count
        low = 0.0
        for n, at in enumerate(sorted(self.health_checks)):
            level = (
                n - rate * (1 + self.shared_state.clock_drift) * at
            )  # spent before, less what the rate allows
            low = min(low, level)
            if level + 1 - low > burst + 1e-6:
                return True
        return max(self.shares) > 1 + 1e-9


def run_with_faults(proxies: SimulatedProxies) -> list[tuple[int, int]]:
    """Cut one proxy off for longer than a lease term, stop another, restart one while others are cut off.

    Then 15 s of quiet, with a tenth of the messages still lost. The stale replicas after it.
    """
    net, last = proxies.net, proxies.count - 1
    net.run(5.0)
    for other in range(1, proxies.count):
        net.cut("0", str(other), both=proxies.random.random() < 0.5)
    net.run(9.0)
    net.stop(net.hosts[str(last)])
    net.run(9.0 + SILENCE_SECONDS + 2)
    net.heal()
    net.resume(net.hosts[str(last)])
    net.run(net.now + 3)
    proxies.restart(proxies.random.randrange(proxies.count))
    net.cut("0", str(last // 2 + 1))
    net.cut("1", str(last))
    net.run(net.now + 4)
    net.heal()
    proxies.changing = False
    net.link = Link(delay=(0.002, 0.03), loss=0.1)
    net.run(net.now + 15)
    return proxies.stale_replicas()
