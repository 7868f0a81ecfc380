"""What proxies tell each other: the codec, replicas that agree after any loss, and the socket."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.balancing.actions import MigrateConnection, SendPeerMessage
from saltcourse.balancing.balancer import Sign
from saltcourse.balancing.events import (
    AttemptStatus,
    ClientDisconnected,
    ConnectionResumed,
    HealthCheckFinished,
    LoadReport,
    PeerMessageReceived,
    ResponseLatencyMeasured,
)
from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.config import PeerAddresses
from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.proxy.peer_link import PeerLink
from saltcourse.shared_state.codec import MAX_BYTES, BadMessage, decode, encode
from saltcourse.shared_state.ejections import Ejections
from saltcourse.shared_state.messages import (
    ClockReading,
    Connections,
    EjectionNotice,
    LeaseGrant,
    LeaseRequest,
    Message,
    PairHeld,
    PairReleased,
    ResendRequest,
    Reset,
    Scale,
    SnapshotRequest,
)
from saltcourse.shared_state.outbox import Outgoing
from saltcourse.shared_state.quota import QuotaLeases
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import Node, members, settings


def free_addresses(count: int) -> tuple[tuple[str, int], ...]:
    """UDP addresses that nobody holds; all are held at once while they are sought, so that they differ."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    found = tuple(sock.getsockname() for sock in held)
    for sock in held:
        sock.close()
    return found


TERMS = SharedStateSettings(share_connection_counts=True)
SILENT = TERMS.lease_term
NUMBER, TIME = st.integers(0, 262143), st.integers(0, 2**30 - 1)
RECORDS = st.one_of(
    st.sampled_from([PairHeld("srv1grp1"), PairReleased("srv1grp1"), Reset(), SnapshotRequest()]),
    st.builds(Connections, st.just("srv1"), NUMBER),
    st.builds(ResendRequest, NUMBER),
    st.builds(Scale, NUMBER.map(lambda steps: steps / 100)),
    st.builds(LeaseRequest, NUMBER),
    st.builds(LeaseGrant, NUMBER),
    st.builds(ClockReading, TIME),
    st.builds(EjectionNotice, st.just("srv1"), TIME),
)
MESSAGES = st.builds(Message, st.integers(0, 4095), NUMBER, NUMBER, st.lists(RECORDS, max_size=20).map(tuple))


@given(st.text(max_size=300) | st.builds(lambda m, cut: encode(m)[:cut], MESSAGES, st.integers(0, 250)))
def test_any_text_is_a_message_or_is_refused(text: str) -> None:
    try:
        message = decode(text)
    except BadMessage:
        return
    assert encode(message) == text


@given(MESSAGES)
def test_any_message_comes_as_it_was_sent(message: Message) -> None:
    text = encode(message)
    if len(text) > MAX_BYTES:
        with pytest.raises(BadMessage):
            decode(text)
    else:
        assert decode(text) == message


@dataclass
class Held:
    count: int


class Proxies:
    """Fleets on the simulated network whose holdings change at random, judged from outside."""

    def __init__(
        self,
        seed: int,
        link: Link,
        core: type[SharedState] = SharedState,
        count: int = 4,
        terms: SharedStateSettings = TERMS,
    ) -> None:
        self.random, self.core, self.count, self.terms = random.Random(seed), core, count, terms
        hosts = [
            Host(str(i), rate=1 + (i % 3 - 1) * self.terms.clock_drift, offset=1e5 * i) for i in range(count)
        ]
        self.net = Network(seed, hosts, link, self._got, None)
        self.held = [self._empty() for _ in range(count)]
        self.cores = [self._fresh(i) for i in range(count)]
        self.changing = True
        self.most = 0
        self.paid: list[float] = []  # true times at which any proxy spent one of the server's budget
        self.shares: list[float] = []  # of all live proxies together, at one moment each
        self.ejections: dict[str, float] = {}  # server -> true time at which the latest ejection on it ends
        self.outlived: list[tuple[float, str]] = []
        for i in range(count):
            hosts[i].alive = True
            self.net.at(0.1 * self.random.random(), partial(self._step, i))

    @staticmethod
    def _empty() -> dict[str, Held]:
        return {f"s{i}": Held(0) for i in range(8)}

    def _fresh(self, index: int) -> SharedState:
        told = settings(
            proxy_count=self.count,
            proxy_index=index,
            peers_allowed=True,
            has_groups=True,
            shared_state=self.terms,
        )
        return self.core(told, self.random.getrandbits(12), self.held[index])

    def restart(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        self.net.crash(host, keeps_disk=False)
        host.alive = True
        self.held[index] = self._empty()
        self.cores[index] = self._fresh(index)
        self.net.at(self.net.now, partial(self._step, index))

    def clock(self, index: int) -> float:
        return self.net.hosts[str(index)].clock(self.net.now)

    def _step(self, index: int) -> None:
        host = self.net.hosts[str(index)]
        life = host.life
        if not host.stopped:
            self._act(index)
            self._send(index, self.cores[index].outgoing_messages(self.clock(index)))
        self.net.at(self.net.now + 0.1, lambda: self._step(index) if host.life == life else None)

    def _act(self, index: int) -> None:
        core, draw, now = self.cores[index], self.random.randrange, self.clock(index)
        if core.may_health_check(now, "s0"):
            self.paid.append(self.net.now)
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
            self.most = max(self.most, len(text))
            for other in range(self.count) if peer is None else [peer]:
                if other != index:
                    self.net.send(str(index), str(other), (index, text))

    def _got(self, host: Host, event: Any) -> None:
        sender, text = event
        index = int(host.name)
        for server in self.cores[index].receive(self.clock(index), sender, text):
            if self.net.now > self.ejections[server] + self.net.link.delay[1]:
                self.outlived.append((self.net.now, server))

    def wrong(self) -> list[tuple[int, int]]:
        """Whose copy of whose table differs, also in the index by which the module asks."""
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
        """More than the budget's rate and burst in any span of time, or shares that pass the whole."""
        burst = 2.0 * self.count
        low = 0.0
        for n, at in enumerate(sorted(self.paid)):
            level = n - rate * (1 + self.terms.clock_drift) * at  # spent before, less what the rate allows
            low = min(low, level)
            if level + 1 - low > burst + 1e-6:
                return True
        return max(self.shares) > 1 + 1e-9


def trouble(proxies: Proxies) -> list[tuple[int, int]]:
    """A cut of one proxy for longer than silence is borne, a stop of another, a restart while others are cut
    off; then 15 s of quiet with a tenth of the messages still lost."""
    net, last = proxies.net, proxies.count - 1
    net.run(5.0)
    for other in range(1, proxies.count):
        net.cut("0", str(other), both=proxies.random.random() < 0.5)
    net.run(9.0)
    net.stop(net.hosts[str(last)])
    net.run(9.0 + SILENT + 2)
    net.heal()
    net.go_on(net.hosts[str(last)])
    net.run(net.now + 3)
    proxies.restart(proxies.random.randrange(proxies.count))
    net.cut("0", str(last // 2 + 1))
    net.cut("1", str(last))
    net.run(net.now + 4)
    net.heal()
    proxies.changing = False
    net.link = Link(delay=(0.002, 0.03), loss=0.1)
    net.run(net.now + 15)
    return proxies.wrong()


@pytest.mark.parametrize("seed", range(16))
def test_copies_agree_budgets_hold_and_ejections_end_after_losses_cuts_stops_and_restarts(seed: int) -> None:
    link = Link(delay=(0.0017, 0.3), loss=(seed % 6) * 0.1, double=0.2)
    proxies = Proxies(seed, link, count=3 + seed % 4)
    assert trouble(proxies) == []
    assert 0 < proxies.most <= MAX_BYTES
    assert not proxies.overspent() and len(proxies.paid) > 300
    assert not proxies.outlived


def caught(core: type[SharedState], judge: Callable[[Proxies], object]) -> bool:
    """Whether the judge finds fault with a broken core on any of some seeds."""
    for seed in range(8):
        proxies = Proxies(seed, Link(delay=(0.0017, 0.3), loss=0.3), core)
        trouble(proxies)
        if judge(proxies):
            return True
    return False


def test_the_judges_catch_broken_cores() -> None:
    class Proud(SharedState):
        """Never asks for what it has missed."""

        def _request_repairs(self, now: float) -> None:
            pass

    class Hasty(QuotaLeases):
        """Inherits a portion as soon as it starts; counts its own from the grant, not from the request."""

        def _start(self, now: float) -> None:
            self.granted_until = self.granted_until or dict.fromkeys(self.predecessors, now)

        def renew(self, now: float, sender: int, grant: LeaseGrant) -> None:
            self.open_requests = dict.fromkeys(self.open_requests, now)
            super().renew(now, sender, grant)

    class Greedy(SharedState):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.leases = Hasty(self.index, self.leases.count, self.terms)

    class Ageless(Ejections):
        """Counts an ejection's time from its coming."""

        def _remaining(self, now: float, origin: int, end: int) -> float:
            return 1.0

    class Late(SharedState):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.ejections = Ageless(self.terms.clock_drift)

    assert caught(Proud, Proxies.wrong)
    assert caught(Greedy, Proxies.overspent)
    assert caught(Late, lambda proxies: proxies.outlived)


def test_a_lost_proxy_is_given_up_its_share_inherited_and_its_connections_fade_to_a_bound() -> None:
    proxies = Proxies(5, Link(), count=4)
    proxies.net.run(8.0)
    proxies.changing = False
    proxies.net.run(13.0)
    key = max(proxies.held[3], key=lambda s: proxies.held[3][s].count)
    lost, others = proxies.held[3][key].count, sum(h[key].count for h in proxies.held[:3])
    assert lost > 1 and not proxies.wrong()
    assert proxies.cores[0].fleet_connections(proxies.clock(0), key) == lost + others
    assert all(
        core.relative_share(proxies.clock(i)) == pytest.approx(1.0) for i, core in enumerate(proxies.cores)
    )
    for other in "012":
        proxies.net.cut("3", other)
    proxies.net.run(13.0 + SILENT + 6)
    assert all(3 not in core.peers for core in proxies.cores[:3])
    assert all(3 in pair for pair in proxies.wrong())  # nothing told for 20 s but life
    share = proxies.cores[0].relative_share(proxies.clock(0))
    assert share == pytest.approx(1.0)  # a lease lost, a portion inherited
    assert not proxies.overspent()
    proxies.net.run(13.0 + SILENT + 6 + 600)
    assert proxies.cores[0].fleet_connections(proxies.clock(0), key) == pytest.approx(
        others + min(lost, others / 3), abs=0.1
    )


def test_nothing_is_told_where_proxies_may_not_talk_and_the_equal_part_is_kept() -> None:
    for changes in ({"peers_allowed": False}, {"proxy_count": 1}):
        core = SharedState(
            settings(**({"proxy_count": 4, "peers_allowed": True, "has_groups": True} | changes)), 1, {}
        )
        core.record_group("s0", "g0", True)
        assert core.outgoing_messages(1.0) == [] and core.relative_share(1.0) == 1.0
        spent = sum(core.may_health_check(1.0 + i / 100, "s0") for i in range(1000))  # 10 s
        parts = 4 if "peers" in changes else 1
        assert 10 * 20 / parts - 1 <= spent <= 10 * 20 / parts + 3


def test_a_group_goes_where_a_peer_says_that_it_holds_it() -> None:
    # Four proxies, each at its best alone, put a group of eight connections on five servers.
    nodes = [
        Node(
            reports_load=True,
            health_checks_allowed=True,
            has_groups=True,
            peers_allowed=True,
            proxy_count=2,
            proxy_index=i,
            seed=i,
        )
        for i in (0, 1)
    ]
    for node in nodes:
        node.list(members(6))
        for i in range(6):
            node.give(HealthCheckFinished(f"s{i}", AttemptStatus.OK, report=LoadReport(load=0.5)))
    nodes[0].give(ConnectionResumed("old", "quick", "s4", group="a"))
    nodes[0].run(2.0)
    for told in nodes[0].of(SendPeerMessage):
        nodes[1].give(PeerMessageReceived(0, told.data))
    assert nodes[1].server_of(nodes[1].ask(group="a")) == "s4"


def test_a_server_that_a_peer_leaves_alone_is_tried_by_one_connection_at_a_time() -> None:
    # Each proxy found a dead server alone, by as many connections as were then under way to it.
    nodes = [Node(peers_allowed=True, proxy_count=2, proxy_index=i, seed=3 + i) for i in (0, 1)]
    for node in nodes:
        node.list(members(2))
        node.run(1.0)
    nodes[0].balancer._sign(nodes[0].balancer.servers["s0"], Sign.FAILED)
    for told in [a for a in nodes[0].give(ClientDisconnected("nobody")) if isinstance(a, SendPeerMessage)]:
        nodes[1].give(PeerMessageReceived(0, told.data))
    out = [nodes[1].ask() for _ in range(30)]
    assert [nodes[1].server_of(r) for r in out if r in nodes[1].out].count("s0") == 1


def test_a_group_that_a_peer_holds_there_too_is_shed_last() -> None:
    # Moving one's own connections of it frees nothing: the server pays for the group all the same.
    node = Node(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    node.list(members(2))
    for i, group in enumerate("abbb"):
        node.give(ConnectionResumed(f"c{i}", "quick", "s0", group=group))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.record_group("s0", "a", True)
    for _, text in peer.outgoing_messages(node.now):
        node.give(PeerMessageReceived(1, text))
    for _ in range(9):
        node.give(ResponseLatencyMeasured("c0", 0.07))
    assert {m.request for m in node.of(MigrateConnection)} == {"c1", "c2", "c3"}


def test_a_proxy_that_has_just_started_learns_from_its_peers_what_a_server_bears() -> None:
    # It held nothing, so it took two slots for a server's whole load and refused 75 times in five seconds.
    node = Node(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    node.list(members(2))
    node.give(HealthCheckFinished("s0", AttemptStatus.OK, report=LoadReport(load=0.1)))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.set_capacity_scale(20.0)
    before = node.balancer.servers["s0"].ceiling
    for _, text in peer.outgoing_messages(node.now):
        node.give(PeerMessageReceived(1, text))
    node.run(2.0)
    assert before < 2.0 and node.balancer.servers["s0"].ceiling == pytest.approx(0.7 * 10.0)


def test_only_what_a_peer_sends_from_its_own_address_is_taken() -> None:
    async def play() -> tuple[list[PeerMessageReceived], int]:
        each = free_addresses(3)
        got: asyncio.Queue[PeerMessageReceived] = asyncio.Queue()
        links = [PeerLink(PeerAddresses(each[i], each, None, i), got.put_nowait) for i in (0, 1)]
        for link in links:
            await link.open()
        loop = asyncio.get_running_loop()
        stranger, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        for data in (b"2AAAAAAAA", b"\xff", b"x" * 300):
            stranger.sendto(data, each[1])
        links[0]._transport.sendto(b"x" * 300, each[1])  # type: ignore[union-attr]
        links[0]._transport.sendto(b"\xff\n", each[1])  # type: ignore[union-attr]
        links[0].send_message(SendPeerMessage("x" * 300))
        links[0].send_message(SendPeerMessage("hello", 1))
        links[0].send_message(SendPeerMessage("to all"))  # the third is not there, and nobody minds
        found = [await got.get(), await got.get()]
        for end in (stranger, *links):
            end.close()
        return found, links[1].dropped_datagrams

    found, strange = asyncio.run(play())
    assert found == [PeerMessageReceived(0, "hello"), PeerMessageReceived(0, "to all")] and strange == 5
