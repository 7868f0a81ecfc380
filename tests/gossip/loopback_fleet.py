"""Fleets of gossip members on loopback: hosts in the test process, or separate processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
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
from tests.free_ports import free_port, free_ports

ROOT = Path(__file__).parents[2]
EXAMPLE = ROOT / "example" / "config.json"
KEY = b"k" * 32
WAIT_TIMEOUT = 20.0  # seconds; generous for slow machines, since the conditions usually hold within 1 s
# Five times as fast as the defaults, since loopback has no network delay.
FAST_TIMING = Timing(
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


async def wait_until(condition: Callable[[], bool], description: str = "") -> None:
    """Wait for a condition; raise ``AssertionError`` after ``WAIT_TIMEOUT``."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"condition not met within {WAIT_TIMEOUT} s: {description}") from None


@dataclass
class MemoryStore:
    """In-memory replacement of a voter's replica file; keeps the last saved state."""

    state: ReplicaState | None = None
    saves: int = 0

    def save(self, state: ReplicaState) -> None:
        self.state = state
        self.saves += 1

    def close(self) -> None:
        pass


@dataclass
class LoopbackFleet:
    """Hosts in the test process: voters c0, c1, ... and proxies p0, p1, ...

    The member with number n is in zone z(n mod 3).
    """

    proxies: int = 6
    controls: int = 3
    timing: Timing = FAST_TIMING
    key: bytes = KEY
    hosts: dict[str, Host] = field(default_factory=dict)
    stores: dict[str, MemoryStore] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    isolated: frozenset[str] = frozenset()  # partitioned from the other members
    loss: float = 0.0  # share of the datagrams that are dropped
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
        """Apply the configured partition and loss to the datagrams that ``host`` sends."""
        transmit = host._transmit

        def transmit_with_faults(destination: Address, datagram: bytes) -> None:
            if self.is_delivered(name, destination):
                transmit(destination, datagram)

        host._transmit = transmit_with_faults  # type: ignore[method-assign]

    def is_delivered(self, sender: str, destination: Address) -> bool:
        receiver = next((name for name, address in self.addresses.items() if address == destination), None)
        if (sender in self.isolated) != (receiver in self.isolated):
            return False
        return self.random.random() >= self.loss

    async def kill(self, name: str) -> None:
        """Close the member's socket without announcing a departure, as SIGKILL would."""
        self.hosts.pop(name).close()
        await asyncio.sleep(0.01)  # asyncio closes the socket in the next iteration of the loop

    def close(self) -> None:
        for host in self.hosts.values():
            host.close()

    def alive_count(self, name: str) -> int:
        """Return the number of members that ``name`` considers alive, including itself."""
        members = self.hosts[name].node.membership.members.values()
        return sum(member.status is Status.ALIVE for member in members)

    async def wait_for_members(self, count: int) -> None:
        await wait_until(
            lambda: all(self.alive_count(name) == count for name in self.hosts), f"{count} members alive"
        )

    async def wait_for_value(self, key: str, value: bytes | None) -> None:
        await wait_until(
            lambda: all(
                host.node.dissemination.configuration.get(key) == value for host in self.hosts.values()
            ),
            f"{key} = {value!r} at all members",
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
        with urllib.request.urlopen(request, timeout=WAIT_TIMEOUT) as response:
            return Reply(response.status, response.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.read())


def metric(admin: Address, name: str) -> int | None:
    """Return the value of the metric ``svc.gossip.NAME`` at /_vars, or None if it is missing."""
    for line in call(admin, "/_vars").body.decode().splitlines():
        key, _, value = line.partition(":")
        if key == f"svc.gossip.{name}":
            return int(value.partition("|")[0])
    return None


def wait_for(condition: Callable[[], bool], description: str) -> None:
    """Wait for a condition; raise ``AssertionError`` after ``WAIT_TIMEOUT``. An OSError counts as not met."""
    end = time.monotonic() + WAIT_TIMEOUT
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {WAIT_TIMEOUT} s: {description}")


FAST_TIMING_FIELDS = (
    "probe_interval_s: 0.2 probe_timeout_s: 0.1 heartbeat_interval_s: 0.2 takeover_after_s: 1 "
    "stale_after_s: 2 sync_interval_s: 0.5 publish_timeout_s: 2"
)


class ProcessFleet:
    """Members as separate processes, each with an operator's file, a log and an admin address.

    c0, c1, ... are voters, m0 is a control member that is not a voter, and p0, p1, ... are proxies.
    """

    def __init__(self, folder: Path, names: list[str]) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[str]] = {}
        self.gossip = dict(zip(names, [("127.0.0.1", p) for p in free_ports(len(names))], strict=True))
        admins = free_ports(len(names))
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
            f'{seeds}\n{voters}\n  key_file: "key"\n  {FAST_TIMING_FIELDS}\n}}\n'
        )
        return file

    def config_file(self, name: str) -> Path:
        port = free_port()
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

    def terminate(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal and return the process's exit code."""
        process = self.running.pop(name)
        process.send_signal(signal_number)
        return process.wait(WAIT_TIMEOUT)

    def kill_all(self) -> None:
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
            timeout=WAIT_TIMEOUT,
        )

    def statuses(self, observer: str) -> dict[str, str]:
        """Return the status of each member as seen by ``observer``."""
        reply = call(self.admin[observer], "/_gossip/members")
        return {member["name"]: member["status"] for member in reply.json["members"]}
