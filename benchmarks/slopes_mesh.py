"""Cost of the shared-state mesh between proxies by fleet size, and of sending and receiving a datagram."""

from __future__ import annotations

import asyncio
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from fleet import Site
from slopes_results import Results, Sizes

from saltcourse.balancing.settings import RequestClass, Settings, SharedStateSettings
from saltcourse.shared_state.outbox import Outgoing
from saltcourse.shared_state.state import SharedState

HOST = "127.0.0.1"
RESTART_SECONDS = 2.0  # virtual time in which a restarted proxy receives the tables of all peers
OBSERVERS = 2  # proxies that receive from all others and are measured
DATAGRAM = bytes(111)  # a typical size
BATCH_DATAGRAMS = 100  # few enough to fit into the receive buffer of a socket


class ObservedSite(Site):
    """A fleet in which only the first proxies, the observers, receive from all others.

    The other proxies generate all of their messages, but receive only from the observers. The cost of a run
    therefore grows linearly with the fleet size instead of with its square, while the observers send, receive
    and store as much as in a real fleet. ``rate_multiple`` scales the rate of new connections.
    """

    def __init__(self, size: int, rate_multiple: int, seed: int) -> None:
        self.rate_multiple = rate_multiple
        self.reset_counters()
        super().__init__(size, counts=True)
        self.random.seed(seed)
        self.net.random.seed(seed)

    def open_connection(self, i: int) -> None:
        for _ in range(self.rate_multiple):
            super().open_connection(i)

    def step(self, i: int) -> None:
        begin = time.process_time()
        sends = self.shared_states[i].outgoing_messages(self.net.now)
        self.send_cpu += (time.process_time() - begin) * (i < OBSERVERS)
        self.send(i, sends)
        super().step(i)

    def send(self, i: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            if peer is None:
                self.broadcast_bytes += len(text)
            elif i < OBSERVERS:
                self.unicast_bytes += len(text)
            for other in range(self.size) if peer is None else [peer]:
                if other != i and min(i, other) < OBSERVERS:
                    self.net.send(str(i), str(other), (i, text))

    def on_message(self, host: Any, event: Any) -> None:
        receiver = int(host.name)
        if receiver < OBSERVERS:
            self.received_bytes += len(event[1])
            super().on_message(host, event)
        else:
            self.shared_states[receiver].receive(self.net.now, *event)

    def reset_counters(self) -> None:
        self.broadcast_bytes = self.unicast_bytes = self.received_bytes = self.received_messages = 0
        self.cpu = self.send_cpu = 0.0  # seconds

    def restart_first(self) -> None:
        """Restart the first proxy: it keeps its connections and loses what its peers have sent."""
        settings = Settings(
            (RequestClass("c", 0.5, 3.0),),
            proxy_count=self.size,
            peers_allowed=True,
            has_groups=True,
            shared_state=SharedStateSettings(share_connection_counts=True),
        )
        incarnation = self.shared_states[0].outbox.incarnation + 1
        restarted = self.shared_states[0] = SharedState(settings, incarnation, self.connections[0])
        for pair in self.pairs[0]:
            restarted.record_group(*pair, True)

    def sent_bytes(self) -> float:
        """Return the mean bytes sent per proxy.

        Broadcasts are counted at all proxies, unicasts at the observers only, because the other proxies do
        not receive what they would answer.
        """
        return self.broadcast_bytes * (self.size - 1) / self.size + self.unicast_bytes / OBSERVERS


def deep_bytes(root: Any, seen: set[int]) -> int:
    """Return the memory of an object and of everything reachable from it, each object counted once."""
    if id(root) in seen or isinstance(root, type):
        return 0
    seen.add(id(root))
    children: list[Any] = []
    if isinstance(root, dict):
        children = [*root.keys(), *root.values()]
    elif isinstance(root, (list, tuple, set, frozenset)):
        children = list(root)
    elif hasattr(root, "__slots__"):
        children = [getattr(root, name) for name in root.__slots__]
    return sys.getsizeof(root) + sum(deep_bytes(child, seen) for child in children)


def observe(size: int, rate_multiple: int, seed: int, sizes: Sizes) -> dict[str, float]:
    """Return the costs of one proxy at rest, and the additional costs of its restart, in ``UNITS``.

    Bytes are without IP and UDP headers.
    """
    site = ObservedSite(size, rate_multiple, seed)
    site.net.run(sizes.fleet_settle)
    site.reset_counters()
    site.net.run(sizes.fleet_settle + sizes.fleet_seconds)
    observed_seconds, observer = sizes.fleet_seconds * OBSERVERS, site.shared_states[0]
    received_kb_per_s = site.received_bytes / observed_seconds / 1e3
    receive_ms_per_s = 1e3 * site.cpu / observed_seconds
    costs = {
        "mesh_sent": site.sent_bytes() / sizes.fleet_seconds / 1e3,
        "mesh_received": received_kb_per_s,
        "mesh_messages": site.received_messages / observed_seconds,
        "mesh_take": receive_ms_per_s,
        "mesh_send": 1e3 * site.send_cpu / observed_seconds,
        "mesh_memory": deep_bytes([observer.peers, observer.peers_by_key], set()) / 1e3,
    }
    site.reset_counters()
    site.restart_first()
    site.net.run(site.net.now + RESTART_SECONDS)
    restart_seconds = OBSERVERS * RESTART_SECONDS
    costs["mesh_restart_received"] = site.received_bytes / 1e3 - restart_seconds * received_kb_per_s
    costs["mesh_restart_take"] = 1e3 * site.cpu - restart_seconds * receive_ms_per_s
    return costs


UNITS = {
    "mesh_restart_received": "kb",
    "mesh_restart_take": "ms",
    "mesh_sent": "kb_per_s",
    "mesh_received": "kb_per_s",
    "mesh_messages": "per_s",
    "mesh_take": "ms_per_s",
    "mesh_send": "ms_per_s",
    "mesh_memory": "kb",
}
COSTS_BY_RATE = ("mesh_sent", "mesh_messages", "mesh_take", "mesh_memory")


def measure_mesh(results: Results, sizes: Sizes) -> None:
    """Run all repetitions in parallel processes, which is valid because only CPU time is measured."""
    with ProcessPoolExecutor(sizes.repetitions) as pool:
        for by_size, by_rate in pool.map(partial(mesh_repetition, sizes), range(sizes.repetitions)):
            for name, unit in UNITS.items():
                results.add(name, unit, "proxy", sizes.fleet, [costs[name] for costs in by_size])
            for name in COSTS_BY_RATE:
                values = [costs[name] for costs in by_rate]
                results.add(f"{name}_crowd", UNITS[name], "crowd", sizes.rate_multiples, values)


def mesh_repetition(sizes: Sizes, seed: int) -> tuple[list[dict[str, float]], list[dict[str, float]]]:
    """Return the costs by fleet size, and by the connection rate in a fleet of the second size."""
    by_size = [observe(size, 1, seed, sizes) for size in sizes.fleet]
    by_rate = [observe(sizes.fleet[1], multiple, seed, sizes) for multiple in sizes.rate_multiples]
    return by_size, by_rate


class Receiver(asyncio.DatagramProtocol):
    """Counts datagrams and signals when a batch is complete."""

    def __init__(self) -> None:
        self.count = 0
        self.batch_complete = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.count += 1
        if self.count % BATCH_DATAGRAMS == 0:
            self.batch_complete.set()


async def datagrams(count: int) -> tuple[float, float]:
    """Return the CPU milliseconds to send ``count`` datagrams and to receive them."""
    loop, receiver, send_s, receive_s = asyncio.get_running_loop(), Receiver(), 0.0, 0.0
    receiving, _ = await loop.create_datagram_endpoint(lambda: receiver, local_addr=(HOST, 0))
    sending, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(HOST, 0))
    address = receiving.get_extra_info("sockname")
    for _ in range(count // BATCH_DATAGRAMS):
        receiver.batch_complete.clear()
        begin = time.process_time()
        for _ in range(BATCH_DATAGRAMS):
            sending.sendto(DATAGRAM, address)
        between = time.process_time()
        await receiver.batch_complete.wait()
        send_s, receive_s = send_s + between - begin, receive_s + time.process_time() - between
    sending.close()
    receiving.close()
    return 1e3 * send_s, 1e3 * receive_s


def measure_datagrams(results: Results, sizes: Sizes) -> None:
    costs = [asyncio.run(datagrams(count)) for count in sizes.datagrams]
    results.add("datagram_send", "ms", "datagram", sizes.datagrams, [send_ms for send_ms, _ in costs])
    results.add("datagram_take", "ms", "datagram", sizes.datagrams, [receive_ms for _, receive_ms in costs])
