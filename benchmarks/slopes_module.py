"""Cost of placements, endpoint-list updates and groups in the balancer, which is driven directly."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson
from slopes_results import Results, Sizes

from saltcourse.balancing.actions import Action
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestReceived,
)
from saltcourse.balancing.settings import RequestClass, Settings
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.shared_state.state import SharedState


def settings(**changes: Any) -> Settings:
    """Return settings with one request class and the given changes."""
    return Settings((RequestClass("c", 1.0, 3.0),), **changes)


def endpoints(count: int) -> tuple[Endpoint, ...]:
    """Return ``count`` endpoints that are ready."""
    return tuple(Endpoint(f"server-{i}") for i in range(count))


def timed(balancer: Balancer, now: float, event: Event) -> tuple[float, list[Action]]:
    """Handle one event; return the CPU milliseconds that it takes, and the actions."""
    begin = time.process_time()
    actions = balancer.handle(now, event)
    return 1e3 * (time.process_time() - begin), actions


def place(balancer: Balancer, number: int, group: str) -> float:
    """Place one request and establish its connection; return the CPU milliseconds of the placement."""
    now, request = 10.0 + number / 100, f"r{number}"
    cpu_ms, _ = timed(balancer, now, RequestReceived(request, "c", 3.0, group=group))
    balancer.handle(now, ConnectionEstablished(request, 0, 0.01))
    return cpu_ms


def placements(servers: int, count: int, groups: bool) -> tuple[float, float]:
    """Return the mean CPU milliseconds of a placement: the first of each group, and the second."""
    balancer = Balancer(settings(has_groups=groups), 1)
    balancer.handle(0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, endpoints(servers)))
    names = [f"group-{i}" if groups else "" for i in range(count)]
    first = statistics.mean([place(balancer, i, name) for i, name in enumerate(names)])
    again = statistics.mean([place(balancer, count + i, name) for i, name in enumerate(names)])
    return first, again


def list_costs(servers: int) -> dict[str, float]:
    """Return the costs of one endpoint list: CPU milliseconds, and its encoded size (``list_text``) in kB.

    Measured are decoding (``list_read``), the first snapshot (``list_first``), a delta with one changed
    endpoint (``list_change``) and a later snapshot (``list_whole``).
    """
    text = orjson.dumps(
        {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": f"server-{i}",
                    "addr": f"10.0.{i // 250}.{i % 250}:8081",
                    "zone": "z1",
                    "kind": "m2",
                    "cell": 1,
                    "state": "SERVING",
                    "weight": 1.0,
                    "started_ms": 0,
                }
                for i in range(servers)
            ],
        }
    )
    begin = time.process_time()
    read_endpoint_update(orjson.loads(text))
    decode_ms = 1e3 * (time.process_time() - begin)
    balancer, snapshot = Balancer(settings(), 1), endpoints(servers)
    first_ms, _ = timed(balancer, 0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, snapshot))
    draining = (Endpoint("server-0", BackendState.DRAINING),)
    delta_ms, _ = timed(balancer, 1.0, EndpointsUpdated(EndpointUpdateKind.DELTA, draining))
    later_ms, _ = timed(balancer, 2.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, snapshot))
    return {
        "list_read": decode_ms,
        "list_first": first_ms,
        "list_change": delta_ms,
        "list_whole": later_ms,
        "list_text": len(text) / 1e3,
    }


def measure_module(results: Results, sizes: Sizes) -> None:
    """Add the costs of placements and endpoint lists by the number of backends."""
    plain = [placements(count, sizes.placements, groups=False) for count in sizes.servers]
    grouped = [placements(count, sizes.placements, groups=True) for count in sizes.servers]
    lists = [list_costs(count) for count in sizes.servers]
    results.add("placement", "ms", "server", sizes.servers, [first for first, _ in plain])
    results.add("placement_new_group", "ms", "server", sizes.servers, [first for first, _ in grouped])
    results.add("placement_held_group", "ms", "server", sizes.servers, [again for _, again in grouped])
    for name, unit in {
        "list_read": "ms",
        "list_first": "ms",
        "list_change": "ms",
        "list_whole": "ms",
        "list_text": "kb",
    }.items():
        results.add(name, unit, "server", sizes.servers, [costs[name] for costs in lists])


# ---- memory of a group ------------------------------------------------------------------------------


def allocated_kb(build: Callable[[], Any]) -> float:
    """Return the kB that remain allocated after ``build`` as long as its result is alive."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return allocated / 1e3


def balancer_with_connections(count: int, groups: bool) -> Balancer:
    """Return a balancer with ``count`` connections, each in its own group or all without a group."""
    balancer = Balancer(settings(has_groups=True, peers_allowed=True, proxy_count=2), 1)
    balancer.handle(0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, endpoints(100)))
    for i in range(count):
        group = f"group-{i}" if groups else ""
        balancer.handle(1.0, ConnectionResumed(f"r{i}", "c", f"server-{i % 100}", group=group))
    balancer.handle(20.0, ClientDisconnected("nobody"))  # flushes pending peer messages
    return balancer


def peer_pairs_kb(count: int) -> float:
    """Return the kB that ``count`` (group, backend) pairs of one peer take in a replica."""
    shared = partial(settings, proxy_count=2, peers_allowed=True, has_groups=True)
    owner, receiver = SharedState(shared(proxy_index=0), 1, {}), SharedState(shared(proxy_index=1), 2, {})
    for i in range(count):
        owner.record_group(f"server-{i % 100}", f"group-{i}", True)
    texts = [text for peer, text in owner.outgoing_messages(1.0) if peer is None]

    def receive() -> SharedState:
        for text in texts:
            receiver.receive(1.1, 0, text)
        return receiver

    return allocated_kb(receive)


def measure_groups(results: Results, sizes: Sizes) -> None:
    """Add the memory of a group in the balancer, and of a peer's (group, backend) pair in a replica."""
    own = [
        allocated_kb(lambda n=n: balancer_with_connections(n, True))
        - allocated_kb(lambda n=n: balancer_with_connections(n, False))
        for n in sizes.groups
    ]
    results.add("group_in_module", "kb", "group", sizes.groups, own)
    results.add("pair_of_peer", "kb", "pair", sizes.groups, [peer_pairs_kb(n) for n in sizes.groups])
