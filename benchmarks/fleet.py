"""Benchmark of the shared-state messages between proxies: ``python benchmarks/fleet.py [--quick] [--json]``.

Fleets of 4, 40 and 200 proxies exchange messages on the simulated network (latency 1.7 to 28 ms, 5% loss).
Each proxy gets 2.75 new connections per second, the rate of one proxy of the site casa-main, in 3 groups per
server. Measured are, for each fleet size, with and without shared connection counts:

- the bytes and messages that one proxy sends per second;
- the CPU time to receive one message, and its ratio to decoding alone (the control, from the same run);
- the share of replicas that are behind their owner's table;
- the time until that share is back to normal after half of the fleet was partitioned off for 15 s.

The last line is one JSON object.
"""

from __future__ import annotations

import json
import random
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from saltcourse.balancing.settings import RequestClass, Settings, SharedStateSettings
from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.shared_state.codec import decode
from saltcourse.shared_state.outbox import Outgoing
from saltcourse.shared_state.state import SharedState

SIZES = (4, 40, 200)  # proxies
# The rates and ratios of the site casa-main.
CONNECTIONS_PER_S = 2.75  # new connections of one proxy: 11 per second at four proxies
CONNECTION_LIFETIME = 36.5  # seconds; the mean of 22 to 51
SERVERS_PER_PROXY = 3.4  # 13.5 servers at 4 proxies
STEP = 0.1  # seconds of virtual time between two sends of one proxy
MAX_KEPT_TEXTS = 20_000  # received messages that the control decodes


class ConnectionCount:
    """The number of connections of one proxy to one server."""

    count = 0


class Site:
    """A simulated fleet of proxies that share state while connections open and close."""

    def __init__(self, size: int, counts: bool) -> None:
        self.random = random.Random(size)
        self.size, self.counts = size, counts
        self.servers = [f"s{i}" for i in range(max(3, round(SERVERS_PER_PROXY * size)))]
        self.groups = [f"g{i}" for i in range(3 * len(self.servers))]
        self.servers_of_group = {g: self.random.sample(self.servers, 2) for g in self.groups}
        hosts = [Host(str(i)) for i in range(size)]
        self.net = Network(size, hosts, Link((0.0017, 0.028), 0.05), self.on_message, None)
        self.connections: list[dict[str, ConnectionCount]] = [
            {server: ConnectionCount() for server in self.servers} for _ in range(size)
        ]
        self.pairs: list[dict[tuple[str, str], int]] = [{} for _ in range(size)]
        settings_of = partial(
            Settings,
            (RequestClass("c", 0.5, 3.0),),
            proxy_count=size,
            peers_allowed=True,
            has_groups=True,
            shared_state=SharedStateSettings(share_connection_counts=counts),
        )
        self.shared_states = [
            SharedState(settings_of(proxy_index=i), self.random.getrandbits(12), self.connections[i])
            for i in range(size)
        ]
        self.sent = self.bytes = self.received_messages = 0
        self.cpu = 0.0  # seconds spent receiving messages
        self.texts: list[str] = []  # received messages, for the control
        for i in range(size):
            self.net.hosts[str(i)].alive = True
            self.net.call_at(STEP * self.random.random(), partial(self.step, i))
            for _ in range(round(CONNECTIONS_PER_S * CONNECTION_LIFETIME)):
                self.open_connection(i)

    def open_connection(self, i: int) -> None:
        group = self.random.choice(self.groups)
        server = self.random.choice(self.servers_of_group[group])
        pair = server, group
        self.pairs[i][pair] = self.pairs[i].get(pair, 0) + 1
        self.connections[i][server].count += 1
        if self.pairs[i][pair] == 1:
            self.shared_states[i].record_group(server, group, True)
        lifetime = self.random.expovariate(1 / CONNECTION_LIFETIME)
        self.net.call_at(self.net.now + lifetime, partial(self.close_connection, i, pair))

    def close_connection(self, i: int, pair: tuple[str, str]) -> None:
        self.connections[i][pair[0]].count -= 1
        self.pairs[i][pair] -= 1
        if not self.pairs[i][pair]:
            del self.pairs[i][pair]
            self.shared_states[i].record_group(*pair, False)

    def step(self, i: int) -> None:
        if self.random.random() < CONNECTIONS_PER_S * STEP:
            self.open_connection(i)
        self.send(i, self.shared_states[i].outgoing_messages(self.net.now))
        self.net.call_at(self.net.now + STEP, partial(self.step, i))

    def send(self, i: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            for other in range(self.size) if peer is None else [peer]:
                if other != i:
                    self.sent += 1
                    self.bytes += len(text)
                    self.net.send(str(i), str(other), (i, text))

    def on_message(self, host: Host, event: Any) -> None:
        sender, text = event
        receiver = self.shared_states[int(host.name)]
        begin = time.process_time()
        receiver.receive(self.net.now, sender, text)
        self.cpu += time.process_time() - begin
        self.received_messages += 1
        if len(self.texts) < MAX_KEPT_TEXTS:
            self.texts.append(text)

    def stale_replicas(self) -> int:
        """Count the replicas that differ from the table that their owner has sent or is about to send."""
        return sum(
            1
            for i, holder in enumerate(self.shared_states)
            for j, owner in enumerate(self.shared_states)
            if i != j and (j not in holder.peers or holder.peers[j].replica.entries != owner.table.announced)
        )


def measure(size: int, seconds: float, counts: bool) -> dict[str, float]:
    """Return the results of one fleet size by their JSON keys."""
    site = Site(size, counts)
    site.net.run(10.0)
    site.sent = site.bytes = site.received_messages = 0
    site.cpu = 0.0
    site.net.run(10.0 + seconds)
    begin = time.process_time()
    for text in site.texts:
        decode(text)
    control = (time.process_time() - begin) / max(1, len(site.texts))
    results = {
        "bytes_a_second_sent": site.bytes / seconds / size,
        "messages_a_second_sent": site.sent / seconds / size,
        "take_us": 1e6 * site.cpu / site.received_messages,
        "take_cpu_ratio": site.cpu / site.received_messages / control,
        "cpu_share_of_a_core": site.cpu / seconds / size,
        "entries": sum(len(p.replica.entries) for p in site.shared_states[0].peers.values()),
    }
    stale = []
    for _ in range(8):  # 5% of the messages are lost, so that some replicas are always one message behind
        site.net.run(site.net.now + 0.5)
        stale.append(site.stale_replicas())
    results["copies_behind_share"] = sum(stale) / len(stale) / size / (size - 1)
    half = range(size // 2)
    for i in half:
        for j in range(size // 2, size):
            site.net.cut(str(i), str(j))
    site.net.run(site.net.now + 15.0)
    site.net.heal()
    healed = site.net.now
    while site.stale_replicas() > max(stale) and site.net.now < healed + 30:
        site.net.run(site.net.now + 0.25)
    return results | {"agree_after_cut_s": site.net.now - healed}


@click.command()
@click.option("--quick", is_flag=True, help="4 and 40 proxies, 10 s of virtual time each.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
def main(quick: bool, only_json: bool) -> None:
    """Measure what shared-state messages cost, one fleet size after another on one core."""
    out: dict[str, float] = {}
    for size in SIZES[:2] if quick else SIZES:
        for counts in (False, True):
            results = measure(size, 10.0 if quick or size > 40 else 30.0, counts)
            name = f"n{size}_counts" if counts else f"n{size}"
            out |= {f"{name}_{key}": round(value, 3) for key, value in results.items()}
            if not only_json:
                print(
                    f"{size:4d} proxies, counts {'on ' if counts else 'off'}: "
                    + ", ".join(f"{key} {value:.3g}" for key, value in results.items()),
                    flush=True,
                )
    print(json.dumps(out))


if __name__ == "__main__":
    main()
