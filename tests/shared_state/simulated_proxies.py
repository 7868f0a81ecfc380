"""Proxies with shared state on the simulated network, for property tests."""

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
SILENCE_SECONDS = SETTINGS.lease_term  # time without messages after which a peer is lost


@dataclass
class BackendConnections:
    count: int


class SimulatedProxies:
    """A fleet whose connections and ejections change at random; the checks compare all proxies."""

    def __init__(
        self,
        seed: int,
        link: Link,
        state_class: type[SharedState] = SharedState,
        count: int = 4,
        shared_state: SharedStateSettings = SETTINGS,
    ) -> None:
        self.random, self.state_class = random.Random(seed), state_class
        self.count, self.shared_state = count, shared_state
        hosts = [
            Host(str(i), rate=1 + (i % 3 - 1) * self.shared_state.clock_drift, offset=1e5 * i)
            for i in range(count)
        ]
        self.net = Network(seed, hosts, link, self._deliver, None)
        self.connections = [self._no_connections() for _ in range(count)]
        self.states = [self._new_state(i) for i in range(count)]
        self.changes_enabled = True
        self.longest_message = 0
        self.health_checks: list[float] = []  # true times of all proxies' health checks of backend s0
        self.shares: list[float] = []  # samples of the sum of all proxies' shares
        self.ejections: dict[str, float] = {}  # true time at which the latest ejection of each backend ends
        # True time and backend of ejections that a proxy applied after their end.
        self.outlived_ejections: list[tuple[float, str]] = []
        for i in range(count):
            hosts[i].alive = True
            self.net.call_at(0.1 * self.random.random(), partial(self._step, i))

    @staticmethod
    def _no_connections() -> dict[str, BackendConnections]:
        return {f"s{i}": BackendConnections(0) for i in range(8)}

    def _new_state(self, index: int) -> SharedState:
        own_settings = settings(
            proxy_count=self.count,
            proxy_index=index,
            peers_allowed=True,
            has_groups=True,
            shared_state=self.shared_state,
        )
        return self.state_class(own_settings, self.random.getrandbits(12), self.connections[index])

    def restart(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        self.net.crash(host, keeps_disk=False)
        host.alive = True
        self.connections[index] = self._no_connections()
        self.states[index] = self._new_state(index)
        self.net.call_at(self.net.now, partial(self._step, index))

    def clock(self, index: int) -> float:
        return self.net.hosts[str(index)].clock(self.net.now)

    def _step(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        incarnation = host.incarnation
        if not host.stopped:
            self._act(index)
            self._send(index, self.states[index].outgoing_messages(self.clock(index)))
        self.net.call_at(
            self.net.now + 0.1, lambda: self._step(index) if host.incarnation == incarnation else None
        )

    def _act(self, index: int) -> None:
        state, draw, now = self.states[index], self.random.randrange, self.clock(index)
        if state.may_health_check(now, "s0"):
            self.health_checks.append(self.net.now)
        self.shares.append(sum(c.leases.share(self.clock(i)) for i, c in enumerate(self.states)))
        if self.changes_enabled and draw(10) < 3:
            backend, opened = f"s{draw(8)}", draw(5) < 3
            state.record_group(backend, f"g{draw(9)}", opened)
            connections = self.connections[index][backend]
            connections.count = max(0, connections.count + (1 if opened else -1))
        if self.changes_enabled and draw(100) < 2:
            duration = 0.3 + 6 * self.random.random()
            backend = f"s{draw(8)}"
            state.announce_ejection(backend, now + duration)
            self.ejections[backend] = max(self.ejections.get(backend, 0.0), self.net.now + 1.02 * duration)

    def _send(self, index: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            self.longest_message = max(self.longest_message, len(text))
            for other in range(self.count) if peer is None else [peer]:
                if other != index:
                    self.net.send(str(index), str(other), (index, text))

    def _deliver(self, host: Host, event: Any) -> None:
        sender, text = event
        index = int(host.name)
        for backend in self.states[index].receive(self.clock(index), sender, text):
            if self.net.now > self.ejections[backend] + self.net.link.delay[1]:
                self.outlived_ejections.append((self.net.now, backend))

    def stale_replicas(self) -> list[tuple[int, int]]:
        """Return pairs of a proxy and a peer whose table differs from the proxy's replica or index of it."""
        stale = []
        for i, state in enumerate(self.states):
            for j, other in enumerate(self.states):
                indexed = {key for key, peers in state.peers_by_key.items() if j in peers}
                if i != j and not (
                    j in state.peers
                    and state.peers[j].replica.entries == other.table.entries
                    and indexed == set(other.table.entries)
                ):
                    stale.append((i, j))
        return stale

    def overspent(self, rate: float = 20.0) -> bool:
        """Return whether the budget was exceeded over any time span, or the shares added up to more than 1.

        ``rate``: health checks per second of the whole fleet.
        """
        burst = 2.0 * self.count
        lowest_excess = 0.0
        for number, at in enumerate(sorted(self.health_checks)):
            # Health checks sent before this one, minus those that the rate allows until now.
            excess = number - rate * (1 + self.shared_state.clock_drift) * at
            lowest_excess = min(lowest_excess, excess)
            if excess + 1 - lowest_excess > burst + 1e-6:
                return True
        return max(self.shares) > 1 + 1e-9


def run_with_faults(proxies: SimulatedProxies) -> list[tuple[int, int]]:
    """Run a fault scenario and return the stale replicas at its end.

    One proxy is cut off for longer than a lease term, another one is stopped, and one restarts while others
    are cut off. Then nothing changes for 15 s, while 10% of the messages are lost.
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
    proxies.changes_enabled = False
    net.link = Link(delay=(0.002, 0.03), loss=0.1)
    net.run(net.now + 15)
    return proxies.stale_replicas()
