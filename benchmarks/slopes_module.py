"""What a placement, an update of the endpoint list and a group cost in the balancer, driven directly."""

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
    """One class of requests, with changes."""
    return Settings((RequestClass("c", 1.0, 3.0),), **changes)


def endpoints(count: int) -> tuple[Endpoint, ...]:
    """So many backends that are ready."""
    return tuple(Endpoint(f"server-{i}") for i in range(count))


def timed(balancer: Balancer, now: float, event: Event) -> tuple[float, list[Action]]:
    """CPU in ms of one event, and the balancer's actions."""
    begin = time.process_time()
    actions = balancer.handle(now, event)
    return 1e3 * (time.process_time() - begin), actions


def place(balancer: Balancer, number: int, group: str) -> float:
    """CPU in ms of one placement; its connection is then established."""
    now, request = 10.0 + number / 100, f"r{number}"
    cpu, _ = timed(balancer, now, RequestReceived(request, "c", 3.0, group=group))
    balancer.handle(now, ConnectionEstablished(request, 0, 0.01))
    return cpu


def placements(servers: int, count: int, groups: bool) -> tuple[float, float]:
    """Mean CPU in ms of a placement: of groups that are new here, and of the same groups again."""
    balancer = Balancer(settings(has_groups=groups), 1)
    balancer.handle(0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, endpoints(servers)))
    names = [f"group-{i}" if groups else "" for i in range(count)]
    first = statistics.mean([place(balancer, i, name) for i, name in enumerate(names)])
    again = statistics.mean([place(balancer, count + i, name) for i, name in enumerate(names)])
    return first, again


def list_costs(servers: int) -> dict[str, float]:
    """CPU in ms of the list: text read, first complete list, one change, complete list again; its kB."""
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
    read = 1e3 * (time.process_time() - begin)
    balancer, complete = Balancer(settings(), 1), endpoints(servers)
    first, _ = timed(balancer, 0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, complete))
    drained = (Endpoint("server-0", BackendState.DRAINING),)
    change, _ = timed(balancer, 1.0, EndpointsUpdated(EndpointUpdateKind.DELTA, drained))
    again, _ = timed(balancer, 2.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, complete))
    return {
        "list_read": read,
        "list_first": first,
        "list_change": change,
        "list_whole": again,
        "list_text": len(text) / 1e3,
    }


def measure_module(results: Results, sizes: Sizes) -> None:
    """Add what placements and lists cost by the number of backends."""
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
        results.add(name, unit, "server", sizes.servers, [found[name] for found in lists])


# ---- what a group costs -----------------------------------------------------------------------------


def traced(work: Callable[[], Any]) -> float:
    """kB that stay allocated for what ``work`` returns and what it has changed."""
    gc.collect()
    tracemalloc.start()
    result = work()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return allocated / 1e3


def resume(count: int, groups: bool) -> Balancer:
    """A balancer with so many connections, each of a group of its own or of none."""
    balancer = Balancer(settings(has_groups=True, peers_allowed=True, proxy_count=2), 1)
    balancer.handle(0.0, EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, endpoints(100)))
    for i in range(count):
        group = f"group-{i}" if groups else ""
        balancer.handle(1.0, ConnectionResumed(f"r{i}", "c", f"server-{i % 100}", group=group))
    balancer.handle(20.0, ClientDisconnected("nobody"))  # pending peer messages go out
    return balancer


def pairs_of_peer(count: int) -> float:
    """kB that one peer's pairs of group and backend take in this proxy's replica."""
    shared = partial(settings, proxy_count=2, peers_allowed=True, has_groups=True)
    owner, receiver = SharedState(shared(proxy_index=0), 1, {}), SharedState(shared(proxy_index=1), 2, {})
    for i in range(count):
        owner.record_group(f"server-{i % 100}", f"group-{i}", True)
    texts = [text for peer, text in owner.outgoing_messages(1.0) if peer is None]

    def receive() -> SharedState:
        for text in texts:
            receiver.receive(1.1, 0, text)
        return receiver

    return traced(receive)


def measure_groups(results: Results, sizes: Sizes) -> None:
    """Add what a group costs here, and a pair of a peer."""
    own = [traced(lambda n=n: resume(n, True)) - traced(lambda n=n: resume(n, False)) for n in sizes.groups]
    results.add("group_in_module", "kb", "group", sizes.groups, own)
    results.add("pair_of_peer", "kb", "pair", sizes.groups, [pairs_of_peer(n) for n in sizes.groups])
