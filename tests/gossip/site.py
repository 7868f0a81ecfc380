"""Members with gossip on loopback: as hosts in this process, or as processes of their own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from saltcourse.app.gossip import create_host
from saltcourse.config.operator_gossip import GossipSettings
from saltcourse.gossip.host import Host
from saltcourse.gossip.messages import Address, Position, ReplicaState, Role, Status
from saltcourse.gossip.settings import Timing, Voter

ROOT = Path(__file__).parents[2]
EXAMPLE = ROOT / "example" / "config.json"
KEY = b"k" * 32
PATIENCE = 20.0  # s that a slow machine may take for what takes one
# A fleet on one machine has no round trips to wait for: everything goes five times as fast.
QUICK = Timing(
    probe_interval=0.2,
    probe_timeout=0.1,
    gossip_interval=0.05,
    sync_interval=0.5,
    reconnect_interval=0.3,
    fetch_timeout=0.1,
    heartbeat_interval=0.2,
    takeover_after=1.0,
    stale_after=2.0,
    tally_interval=0.2,
)


async def until(true: Callable[[], bool], what: str = "") -> None:
    try:
        async with asyncio.timeout(PATIENCE):
            while not true():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"not within {PATIENCE} s: {what}") from None


def free_ports(count: int, kind: int = socket.SOCK_DGRAM) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


@dataclass
class MemoryStore:
    """What a voter would find on its disk after a kill."""

    state: ReplicaState | None = None
    saves: int = 0

    def save(self, state: ReplicaState) -> None:
        self.state = state
        self.saves += 1

    def close(self) -> None:
        pass


@dataclass
class Site:
    """Hosts in this process: voters c0, c1, c2 and proxies p0, p1, ... in the zones z0, z1, z2 by turns."""

    proxies: int = 6
    controls: int = 3
    timing: Timing = QUICK
    key: bytes = KEY
    hosts: dict[str, Host] = field(default_factory=dict)
    stores: dict[str, MemoryStore] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    cut_off: frozenset[str] = frozenset()  # nothing passes between these and the others
    loss: float = 0.0  # share of all datagrams that get lost
    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        names = [f"c{i}" for i in range(self.controls)] + [f"p{i}" for i in range(self.proxies)]
        ports = free_ports(len(names))
        self.addresses = {name: ("127.0.0.1", port) for name, port in zip(names, ports, strict=True)}

    def settings(self, name: str) -> GossipSettings:
        voters = tuple(Voter(f"c{i}", self.addresses[f"c{i}"]) for i in range(self.controls))
        address = self.addresses[name]
        return GossipSettings(
            own_name=name,
            listen=address,
            advertise=address,
            region="here",
            zone=f"z{int(name[1:]) % 3}",
            role=Role.CONTROL if name.startswith("c") else Role.PROXY,
            seeds=tuple(voter.address for voter in voters if voter.name != name),
            voters=voters,
            key_file=Path("key"),
            key=self.key,
            store_file=None,
            bytes_per_s=200_000.0,
            timing=self.timing,
        )

    async def start(self, *names: str) -> None:
        for name in names or tuple(self.addresses):
            settings = self.settings(name)
            store = self.stores.setdefault(name, MemoryStore()) if name.startswith("c") else None
            host = create_host(settings, store.state if store else None, store)
            self.intercept(name, host)
            await host.start(settings.listen)
            self.hosts[name] = host

    def intercept(self, name: str, host: Host) -> None:
        """Datagrams pass as the site's faults let them."""
        transmit = host._transmit

        def faulty(destination: Address, datagram: bytes) -> None:
            if self.passes(name, destination):
                transmit(destination, datagram)

        host._transmit = faulty  # type: ignore[method-assign]

    def passes(self, sender: str, destination: Address) -> bool:
        receiver = next((name for name, address in self.addresses.items() if address == destination), None)
        if (sender in self.cut_off) != (receiver in self.cut_off):
            return False
        return self.random.random() >= self.loss

    async def kill(self, name: str) -> None:
        """As kill -9 does: the socket is gone and nothing is said."""
        self.hosts.pop(name).close()
        await asyncio.sleep(0.01)  # asyncio closes a socket in the loop's next round

    def close(self) -> None:
        for host in self.hosts.values():
            host.close()

    def alive(self, name: str) -> int:
        """Members that ``name`` holds for alive, itself included."""
        members = self.hosts[name].node.membership.members.values()
        return sum(member.status is Status.ALIVE for member in members)

    async def all_know(self, count: int) -> None:
        await until(lambda: all(self.alive(name) == count for name in self.hosts), f"{count} members alive")

    async def all_have(self, key: str, value: bytes | None) -> None:
        await until(
            lambda: all(
                host.node.dissemination.configuration.get(key) == value for host in self.hosts.values()
            ),
            f"{key} = {value!r} at all",
        )

    def position(self, name: str) -> Position:
        return self.hosts[name].node.dissemination.position


# ---- processes ---------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Reply:
    status: int
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


def call(admin: Address, path: str, method: str = "GET", body: bytes | None = None) -> Reply:
    request = urllib.request.Request("http://{}:{}{}".format(*admin, path), data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=PATIENCE) as answer:
            return Reply(answer.status, answer.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.read())


def figure(admin: Address, name: str) -> int | None:
    """``svc.gossip.NAME`` of /_vars."""
    for line in call(admin, "/_vars").body.decode().splitlines():
        key, _, value = line.partition(":")
        if key == f"svc.gossip.{name}":
            return int(value.partition("|")[0])
    return None


def wait_for(true: Callable[[], bool], what: str) -> None:
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        try:
            if true():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not within {PATIENCE} s: {what}")


FAST_KEYS = (
    "probe_interval_s: 0.2 probe_timeout_s: 0.1 heartbeat_interval_s: 0.2 takeover_after_s: 1 "
    "stale_after_s: 2 sync_interval_s: 0.5 publish_timeout_s: 2"
)


class Processes:
    """Programs as staff would run them; each has its file, its log and its admin address. c0, c1, ... vote,
    m0 is a control member without a vote, p0, p1, ... are proxies."""

    def __init__(self, folder: Path, names: list[str]) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[str]] = {}
        self.gossip = dict(zip(names, [("127.0.0.1", p) for p in free_ports(len(names))], strict=True))
        admins = free_ports(len(names), socket.SOCK_STREAM)
        self.admin = dict(zip(names, [("127.0.0.1", p) for p in admins], strict=True))
        (folder / "key").write_text("ab" * 32)
        (folder / "key").chmod(0o600)

    def operator_file(self, name: str) -> Path:
        controls = [other for other in self.gossip if other.startswith("c")]
        voters = "\n".join(
            '  voter {{ name: "{}" address: "{}:{}" }}'.format(other, *self.gossip[other])
            for other in controls
        )
        seeds = "\n".join('  seed: "{}:{}"'.format(*self.gossip[other]) for other in controls)
        own = {"c": f'role: CONTROL store_file: "{name}.store"', "m": "role: CONTROL", "p": ""}[name[0]]
        listen = "{}:{}".format(*self.gossip[name])
        file = self.folder / f"{name}.txtpb"
        file.write_text(
            f'gossip {{\n  me: "{name}" listen: "{listen}" region: "here" zone: "z0"\n  {own}\n'
            f'{seeds}\n{voters}\n  key_file: "key"\n  {FAST_KEYS}\n}}\n'
        )
        return file

    def config_file(self, name: str) -> Path:
        (port,) = free_ports(1, socket.SOCK_STREAM)
        values = json.loads(EXAMPLE.read_text())
        values["settings"]["limits"]["peers"] = True
        values |= {"name": name, "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}
        values |= {"admin": "{}:{}".format(*self.admin[name])}
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(values))
        return file

    def start(self, name: str) -> None:
        operator = ["--operator", str(self.operator_file(name))]
        if name.startswith(("c", "m")):
            arguments = ["control", *operator, "--admin", "{}:{}".format(*self.admin[name])]
        else:
            arguments = ["serve", *operator, "--config", str(self.config_file(name))]
        with (self.folder / f"{name}.log").open("a") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "saltcourse", *arguments],
                stderr=log,
                text=True,
                cwd=ROOT,
                env=os.environ | {"PYTHONHASHSEED": "0"},
            )

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def end(self, name: str, number: int = signal.SIGTERM) -> int:
        process = self.running.pop(name)
        process.send_signal(number)
        return process.wait(PATIENCE)

    def stop(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()

    def publish(self, name: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        admin = "{}:{}".format(*self.admin[name])
        return subprocess.run(
            [sys.executable, "-m", "saltcourse", "publish", "--admin", admin, *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=PATIENCE,
        )

    def statuses(self, seen_by: str) -> dict[str, str]:
        reply = call(self.admin[seen_by], "/_gossip/members")
        return {member["name"]: member["status"] for member in reply.json["members"]}
