"""What today's exchange between proxies costs by the size of the fleet, and what a datagram costs."""

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
RESTART_SECONDS = 2.0  # of virtual time, in which a proxy that restarts hears all tables
OBSERVERS = 2  # proxies of the mesh that receive from all others and are measured
DATAGRAM = bytes(111)  # of usual size
BATCH = 100  # datagrams that a socket's buffer surely holds


class ObservedSite(Site):
    """A fleet in which only the first proxies receive from all others, as every proxy does in a real one.

    The others send all that they have to send, but receive only from the observers. So the cost of a run
    grows with the fleet's size and not with its square; what the observers send, receive and store is as
    in a real fleet.
    """

    def __init__(self, size: int, crowd: int, seed: int) -> None:
        self.crowd = crowd
        self.begin()
        super().__init__(size, counts=True)
        self.random.seed(seed)
        self.net.random.seed(seed)

    def comes(self, i: int) -> None:
        for _ in range(self.crowd):
            super().comes(i)

    def step(self, i: int) -> None:
        begin = time.process_time()
        sends = self.cores[i].outgoing_messages(self.net.now)
        self.send_cpu += (time.process_time() - begin) * (i < OBSERVERS)
        self.send(i, sends)
        super().step(i)

    def send(self, i: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            if peer is None:
                self.to_all += len(text)
            elif i < OBSERVERS:
                self.to_one += len(text)
            for other in range(self.size) if peer is None else [peer]:
                if other != i and min(i, other) < OBSERVERS:
                    self.net.send(str(i), str(other), (i, text))

    def got(self, host: Any, event: Any) -> None:
        receiver = int(host.name)
        if receiver < OBSERVERS:
            self.received += len(event[1])
            super().got(host, event)
        else:
            self.cores[receiver].receive(self.net.now, *event)

    def begin(self) -> None:
        """Forget what was counted."""
        self.to_all = self.to_one = self.received = self.taken = 0
        self.cpu = self.send_cpu = 0.0

    def restart_first(self) -> None:
        """The first proxy's process is another from now on: it holds the same and knows nothing of others."""
        settings = Settings(
            (RequestClass("c", 0.5, 3.0),),
            proxy_count=self.size,
            peers_allowed=True,
            has_groups=True,
            shared_state=SharedStateSettings(share_connection_counts=True),
        )
        core = self.cores[0] = SharedState(settings, self.cores[0].outbox.incarnation + 1, self.held[0])
        for pair in self.pairs[0]:
            core.record_group(*pair, True)

    def sent_bytes(self) -> float:
        """Mean bytes of one proxy: to all as every proxy sends them, to one as the observers do."""
        return self.to_all * (self.size - 1) / self.size + self.to_one / OBSERVERS


def deep_bytes(root: Any, seen: set[int]) -> int:
    """Memory of an object and of all that it holds, each counted once."""
    if id(root) in seen or isinstance(root, type):
        return 0
    seen.add(id(root))
    held: list[Any] = []
    if isinstance(root, dict):
        held = [*root.keys(), *root.values()]
    elif isinstance(root, (list, tuple, set, frozenset)):
        held = list(root)
    elif hasattr(root, "__slots__"):
        held = [getattr(root, name) for name in root.__slots__]
    return sys.getsizeof(root) + sum(deep_bytes(each, seen) for each in held)


def observe(size: int, crowd: int, seed: int, sizes: Sizes) -> dict[str, float]:
    """What one proxy of the mesh spends, and its restart beside that; bytes without IP and UDP headers."""
    site = ObservedSite(size, crowd, seed)
    site.net.run(sizes.fleet_settle)
    site.begin()
    site.net.run(sizes.fleet_settle + sizes.fleet_seconds)
    spent, core = sizes.fleet_seconds * OBSERVERS, site.cores[0]
    received, take = site.received / spent / 1e3, 1e3 * site.cpu / spent
    found = {
        "mesh_sent": site.sent_bytes() / sizes.fleet_seconds / 1e3,
        "mesh_received": received,
        "mesh_messages": site.taken / spent,
        "mesh_take": take,
        "mesh_send": 1e3 * site.send_cpu / spent,
        "mesh_memory": deep_bytes([core.peers, core.peers_by_key], set()) / 1e3,
    }
    site.begin()
    site.restart_first()
    site.net.run(site.net.now + RESTART_SECONDS)
    ordinary = OBSERVERS * RESTART_SECONDS
    found["mesh_restart_received"] = site.received / 1e3 - ordinary * received
    found["mesh_restart_take"] = 1e3 * site.cpu - ordinary * take
    return found


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
CROWD_COSTS = ("mesh_sent", "mesh_messages", "mesh_take", "mesh_memory")


def measure_mesh(results: Results, sizes: Sizes) -> None:
    """The repetitions beside each other, each in a process of its own: only CPU time is counted."""
    with ProcessPoolExecutor(sizes.repetitions) as pool:
        for by_size, by_crowd in pool.map(partial(mesh_repetition, sizes), range(sizes.repetitions)):
            for name, unit in UNITS.items():
                results.add(name, unit, "proxy", sizes.fleet, [found[name] for found in by_size])
            for name in CROWD_COSTS:
                values = [found[name] for found in by_crowd]
                results.add(f"{name}_crowd", UNITS[name], "crowd", sizes.crowds, values)


def mesh_repetition(sizes: Sizes, seed: int) -> tuple[list[dict[str, float]], list[dict[str, float]]]:
    """By the size of the fleet, and by the rate of new connections in a fleet of the second size."""
    by_size = [observe(size, 1, seed, sizes) for size in sizes.fleet]
    by_crowd = [observe(sizes.fleet[1], crowd, seed, sizes) for crowd in sizes.crowds]
    return by_size, by_crowd


class Receiver(asyncio.DatagramProtocol):
    """Counts datagrams, and signals when a batch is complete."""

    def __init__(self) -> None:
        self.count = 0
        self.whole = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.count += 1
        if self.count % BATCH == 0:
            self.whole.set()


async def datagrams(count: int) -> tuple[float, float]:
    """CPU in ms to send so many and to take them."""
    loop, receiver, sent, took = asyncio.get_running_loop(), Receiver(), 0.0, 0.0
    receiving, _ = await loop.create_datagram_endpoint(lambda: receiver, local_addr=(HOST, 0))
    sending, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(HOST, 0))
    address = receiving.get_extra_info("sockname")
    for _ in range(count // BATCH):
        receiver.whole.clear()
        begin = time.process_time()
        for _ in range(BATCH):
            sending.sendto(DATAGRAM, address)
        between = time.process_time()
        await receiver.whole.wait()
        sent, took = sent + between - begin, took + time.process_time() - between
    sending.close()
    receiving.close()
    return 1e3 * sent, 1e3 * took


def measure_datagrams(results: Results, sizes: Sizes) -> None:
    found = [asyncio.run(datagrams(count)) for count in sizes.datagrams]
    results.add("datagram_send", "ms", "datagram", sizes.datagrams, [sent for sent, _ in found])
    results.add("datagram_take", "ms", "datagram", sizes.datagrams, [took for _, took in found])
