"""What the proxies' messages cost: ``python benchmarks/fleet.py [--quick] [--json]``.

Fleets of 4, 40 and 200 proxies on the simulated network (1.7 to 28 ms, one message in twenty lost), each with
as many new connections a second as one proxy of casa-main has (2.75), in 3 groups for each server: bytes that
a proxy sends a second, CPU to take a message (beside reading it alone, the control of the same run), the
share of copies behind their owner, and the time until no more are so after half of the fleet was cut off for
15 s. The last line is one JSON object.
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

SIZES = (4, 40, 200)
ARRIVALS = 2.75  # new connections a second at one proxy: casa-main's 11 over its four
LIFE = 36.5  # s that a connection lasts, in the mean of casa-main's 22 to 51
SERVERS_A_PROXY = 3.4  # of casa-main: 13.5 servers, 4 proxies
STEP = 0.1


class Held:
    count = 0


class Site:
    def __init__(self, size: int, counts: bool) -> None:
        self.random = random.Random(size)
        self.size, self.counts = size, counts
        self.servers = [f"s{i}" for i in range(max(3, round(SERVERS_A_PROXY * size)))]
        self.groups = [f"g{i}" for i in range(3 * len(self.servers))]
        self.home = {g: self.random.sample(self.servers, 2) for g in self.groups}
        hosts = [Host(str(i)) for i in range(size)]
        self.net = Network(size, hosts, Link((0.0017, 0.028), 0.05), self.got, None)
        self.held: list[dict[str, Held]] = [{s: Held() for s in self.servers} for _ in range(size)]
        self.pairs: list[dict[tuple[str, str], int]] = [{} for _ in range(size)]
        settings_of = partial(
            Settings,
            (RequestClass("c", 0.5, 3.0),),
            proxy_count=size,
            peers_allowed=True,
            has_groups=True,
            shared_state=SharedStateSettings(share_connection_counts=counts),
        )
        self.cores = [
            SharedState(settings_of(proxy_index=i), self.random.getrandbits(12), self.held[i])
            for i in range(size)
        ]
        self.sent = self.bytes = self.taken = 0
        self.cpu = 0.0
        self.texts: list[str] = []
        for i in range(size):
            self.net.hosts[str(i)].alive = True
            self.net.call_at(STEP * self.random.random(), partial(self.step, i))
            for _ in range(round(ARRIVALS * LIFE)):
                self.comes(i)

    def comes(self, i: int) -> None:
        group = self.random.choice(self.groups)
        server = self.random.choice(self.home[group])
        pair = server, group
        self.pairs[i][pair] = self.pairs[i].get(pair, 0) + 1
        self.held[i][server].count += 1
        if self.pairs[i][pair] == 1:
            self.cores[i].record_group(server, group, True)
        self.net.call_at(self.net.now + self.random.expovariate(1 / LIFE), partial(self.goes, i, pair))

    def goes(self, i: int, pair: tuple[str, str]) -> None:
        self.held[i][pair[0]].count -= 1
        self.pairs[i][pair] -= 1
        if not self.pairs[i][pair]:
            del self.pairs[i][pair]
            self.cores[i].record_group(*pair, False)

    def step(self, i: int) -> None:
        if self.random.random() < ARRIVALS * STEP:
            self.comes(i)
        self.send(i, self.cores[i].outgoing_messages(self.net.now))
        self.net.call_at(self.net.now + STEP, partial(self.step, i))

    def send(self, i: int, sends: list[Outgoing]) -> None:
        for peer, text in sends:
            for other in range(self.size) if peer is None else [peer]:
                if other != i:
                    self.sent += 1
                    self.bytes += len(text)
                    self.net.send(str(i), str(other), (i, text))

    def got(self, host: Host, event: Any) -> None:
        sender, text = event
        core = self.cores[int(host.name)]
        begin = time.process_time()
        core.receive(self.net.now, sender, text)
        self.cpu += time.process_time() - begin
        self.taken += 1
        if len(self.texts) < 20_000:
            self.texts.append(text)

    def wrong(self) -> int:
        """Replicas that differ from what their owner has sent or is about to send."""
        return sum(
            1
            for i, core in enumerate(self.cores)
            for j, other in enumerate(self.cores)
            if i != j and (j not in core.peers or core.peers[j].replica.entries != other.table.announced)
        )


def measure(size: int, seconds: float, counts: bool) -> dict[str, float]:
    site = Site(size, counts)
    site.net.run(10.0)
    site.sent = site.bytes = site.taken = 0
    site.cpu = 0.0
    site.net.run(10.0 + seconds)
    begin = time.process_time()
    for text in site.texts:
        decode(text)
    control = (time.process_time() - begin) / max(1, len(site.texts))
    found = {
        "bytes_a_second_sent": site.bytes / seconds / size,
        "messages_a_second_sent": site.sent / seconds / size,
        "take_us": 1e6 * site.cpu / site.taken,
        "take_cpu_ratio": site.cpu / site.taken / control,
        "cpu_share_of_a_core": site.cpu / seconds / size,
        "entries": sum(len(p.replica.entries) for p in site.cores[0].peers.values()),
    }
    lagging = []
    for _ in range(8):  # always some are a message behind: one in twenty is lost
        site.net.run(site.net.now + 0.5)
        lagging.append(site.wrong())
    found["copies_behind_share"] = sum(lagging) / len(lagging) / size / (size - 1)
    half = range(size // 2)
    for i in half:
        for j in range(size // 2, size):
            site.net.cut(str(i), str(j))
    site.net.run(site.net.now + 15.0)
    site.net.heal()
    healed = site.net.now
    while site.wrong() > max(lagging) and site.net.now < healed + 30:
        site.net.run(site.net.now + 0.25)
    return found | {"agree_after_cut_s": site.net.now - healed}


@click.command()
@click.option("--quick", is_flag=True, help="4 and 40 proxies, 10 s each.")
@click.option("--json", "only", is_flag=True, help="Only the last line.")
def main(quick: bool, only: bool) -> None:
    """Sizes one after another, on one core."""
    out: dict[str, float] = {}
    for size in SIZES[:2] if quick else SIZES:
        for counts in (False, True):
            found = measure(size, 10.0 if quick or size > 40 else 30.0, counts)
            name = f"n{size}_counts" if counts else f"n{size}"
            out |= {f"{name}_{key}": round(value, 3) for key, value in found.items()}
            if not only:
                print(
                    f"{size:4d} proxies, counts {'on ' if counts else 'off'}: "
                    + ", ".join(f"{key} {value:.3g}" for key, value in found.items()),
                    flush=True,
                )
    print(json.dumps(out))


if __name__ == "__main__":
    main()
