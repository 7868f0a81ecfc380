"""A simulated fleet of gossip nodes: hosts with disks, faults, operators, and the invariant checker."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from saltcourse.emulator.gossip.checker import LEFT_KEY, RIGHT_KEY, TOKEN_PREFIX, InvariantChecker, Process
from saltcourse.emulator.gossip.network import Faults, FleetHost, FleetNetwork, Location
from saltcourse.emulator.simnet import Host
from saltcourse.gossip.messages import (
    Action,
    Address,
    Applied,
    FreshnessChanged,
    MemberChanged,
    MemberRecord,
    Persist,
    Position,
    Publish,
    Published,
    PublishFailed,
    ReplicaState,
    Role,
    Status,
    Tick,
    Transmit,
    Write,
    ZoneReachability,
)
from saltcourse.gossip.node import Node
from saltcourse.gossip.settings import NodeSettings, Timing, Voter, default_bytes_per_s

LOCATIONS = (
    Location("north", "n1"),
    Location("north", "n2"),
    Location("north", "n3"),
    Location("south", "s1"),
    Location("south", "s2"),
)
KEY = b"a key that all members share 123"
PORT = 7946
CHECK_INTERVAL_SECONDS = 1.0  # between periodic checks of bounds and freshness
MAX_CLOCK_RATE_ERROR = 2e-4  # relative
MAX_CLOCK_OFFSET_SECONDS = 1e6
Matcher = Callable[[Action], bool]
NodeClass = Callable[[NodeSettings, random.Random, ReplicaState | None], Node]


@dataclass(frozen=True, slots=True)
class Member:
    """The identity of a member that runs on a host."""

    name: str
    location: Location
    address: Address
    role: Role


@dataclass
class PlannedCrash:
    """A crash of a process at the first action that matches: ``after`` executing it, or before."""

    matches: Matcher
    after: bool = False


class World:
    """A fleet of control members, ``control-0`` to ``control-4`` in one zone each, and ``proxies`` proxies.

    The proxies ``proxy-0``, ``proxy-1``, ... are assigned to the zones in turn. ``node_class`` creates the
    nodes under test.
    """

    def __init__(
        self,
        seed: int,
        proxies: int,
        faults: Faults | None = None,
        timing: Timing | None = None,
        node_class: NodeClass = Node,
    ) -> None:
        self.random = random.Random(seed)
        self.timing = timing or Timing()
        self.node_class = node_class
        self.checker = InvariantChecker()
        self.network = FleetNetwork(seed, self._deliver, faults or Faults())
        self.members: dict[str, Member] = {}  # by host
        self.processes: dict[str, Process] = {}  # by host; live processes only
        self.planned_crashes: dict[str, PlannedCrash] = {}  # by host
        self._token = 0
        controls = [
            self._add_member(f"control-{i}", LOCATIONS[i], i, Role.CONTROL) for i in range(len(LOCATIONS))
        ]
        for i in range(proxies):
            self._add_member(f"proxy-{i}", LOCATIONS[i % len(LOCATIONS)], len(LOCATIONS) + i, Role.PROXY)
        self.voters = tuple(Voter(m.name, m.address) for m in controls)
        self.seeds = tuple(m.address for m in controls)
        self._check_periodically()

    def _add_member(self, name: str, location: Location, index: int, role: Role) -> Member:
        host = f"10.{LOCATIONS.index(location)}.{index >> 8}.{index & 255}"
        return self.add(name, Member(name, location, (host, PORT), role))

    def add(self, host: str, member: Member) -> Member:
        """Add a host for a member, without starting it."""
        rate = 1.0 + self.random.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        self.network.add(FleetHost(host, rate=rate, location=member.location, address=member.address))
        self.members[host] = member
        return member

    # ---- processes --------------------------------------------------------------------------------

    def start_all(self) -> None:
        """Start a process on each host."""
        for host in self.members:
            self.start(host)

    def start(self, host_name: str, key: bytes = KEY, clock_offset: float | None = None) -> None:
        """Start a process with the state on its disk.

        ``clock_offset`` is the offset, in seconds, of the host's monotonic clock; it is random by default.
        """
        host = self.network.fleet[host_name]
        host.alive, host.stopped = True, False
        random_offset = self.random.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS)
        host.offset = random_offset if clock_offset is None else clock_offset
        host.timer_at = float("inf")
        member = self.members[host_name]
        record = MemberRecord(
            member.name,
            member.address,
            member.location.region,
            member.location.zone,
            member.role,
            0,
            self.random.getrandbits(32),
        )
        budget = default_bytes_per_s(member.role)
        settings = NodeSettings(record, self.seeds, self.voters, key, budget, self.timing)
        rng = random.Random(self.random.getrandbits(64))
        node = self.node_class(settings, rng, host.disk)
        clock = host.clock(self.network.now)
        self.checker.now = self.network.now
        actions = node.start(clock)
        has_reported = any(isinstance(action, Applied) for action in actions)
        position = Position() if has_reported else node.dissemination.position
        process = Process(host_name, node, position, node.dissemination.freshness)
        self.processes[host_name] = process
        stored = host.disk.committed if host.disk is not None else Position()
        self.checker.on_start(process, stored)
        self._execute(host, process, actions)

    def crash(self, host_name: str, keeps_disk: bool = True) -> None:
        """Kill the process, and erase the disk unless ``keeps_disk``."""
        self.network.crash(self.network.fleet[host_name], keeps_disk)
        self.processes.pop(host_name, None)
        self.planned_crashes.pop(host_name, None)

    def restart(self, host_name: str, clock_offset: float | None = None) -> None:
        """Kill the process and start a new one."""
        self.crash(host_name)
        self.start(host_name, clock_offset=clock_offset)

    def stop(self, host_name: str) -> None:
        """Stop the process as SIGSTOP does; datagrams are buffered in its socket."""
        self.network.stop(self.network.fleet[host_name])

    def resume(self, host_name: str) -> None:
        """Resume a stopped process."""
        host = self.network.fleet[host_name]
        self._reset_isolation(host_name)
        self.network.resume(host)
        self.network.deliver(host, Tick())

    def send_event(self, host_name: str, event: Any) -> None:
        """Deliver an event to a host's process."""
        self.network.deliver(self.network.fleet[host_name], event)

    def crash_at(self, host_name: str, matches: Matcher, after: bool = False) -> None:
        """Crash the process at its next action that matches, before executing it or ``after``."""
        self.planned_crashes[host_name] = PlannedCrash(matches, after)

    # ---- network ----------------------------------------------------------------------------------

    def partition(self, *sides: Iterable[str]) -> None:
        """Partition the network into the given sides; the hosts in none of them form one more side."""
        self._set_groups({host: i + 1 for i, side in enumerate(sides) for host in side})
        self._limit_minorities()

    def heal(self) -> None:
        """Remove all cuts and partitions."""
        self.network.heal()
        self._set_groups({})
        self.checker.minority_version_limits.clear()

    def _set_groups(self, groups: dict[str, int]) -> None:
        old = self.network.groups
        self.network.partition(groups)
        for host, process in self.processes.items():
            peers = [h for h in self.processes if self.network.same_side(host, h)]
            if any(old.get(host, 0) != old.get(peer, 0) for peer in peers):
                process.isolated_since = None  # Its new peers may have a newer heartbeat.

    def _limit_minorities(self) -> None:
        """Limit the versions that voters on a minority side may publish during the partition."""
        self.checker.minority_version_limits.clear()
        for voter in self.voters:
            side = {v.name for v in self.voters if self.network.same_side(voter.name, v.name)}
            if len(side) <= len(self.voters) // 2:
                self.checker.minority_version_limits[voter.name] = self._minority_version_limit(side)

    def _reset_isolation(self, host: str) -> None:
        """Restart the isolation time of all processes on the side of a resumed host.

        The resumed process may spread newer heartbeats that are buffered in its socket.
        """
        for other, process in self.processes.items():
            if self.network.same_side(host, other):
                process.isolated_since = None

    def _minority_version_limit(self, side: set[str]) -> int:
        """Return the highest version that voters on this minority side may publish.

        This is the highest version applied anywhere, or stored as accepted on the disk of a voter on another
        side.
        """
        states = [self.network.fleet[v.name].disk for v in self.voters if v.name not in side]
        accepted = [
            entry.change.position.version for state in states if state is not None for entry in state.accepted
        ]
        return max([*self.checker.versions, *accepted], default=0)

    def hosts_in(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Return the hosts of a zone or region, or all hosts by default."""
        return [
            host
            for host, member in self.members.items()
            if zone in (None, member.location.zone) and region in (None, member.location.region)
        ]

    def has_majority(self, host: str) -> bool:
        """Return whether a majority of the voters is running on the host's side of the partition."""
        return len(self._running_voters(host)) > len(self.voters) // 2

    def _running_voters(self, host: str) -> list[str]:
        """Return the running voters on the host's side of the partition."""
        hosts = self.network.hosts
        return [
            v.name
            for v in self.voters
            if self.network.same_side(host, v.name) and hosts[v.name].alive and not hosts[v.name].stopped
        ]

    def running(self) -> list[str]:
        """Return the hosts whose process is live and not stopped."""
        return [h for h in self.processes if not self.network.fleet[h].stopped]

    # ---- operators --------------------------------------------------------------------------------

    def publish(self, host: str, extra: tuple[Write, ...] = ()) -> int:
        """Submit an operator's change to a control member and return its token.

        ``extra`` writes are added to those that the checker needs.
        """
        self._token += 1
        value = str(self._token).encode()
        writes: tuple[Write, ...] = (
            (LEFT_KEY, value),
            (f"{TOKEN_PREFIX}{self._token}", value),
            *extra,
            (RIGHT_KEY, value),
        )
        self.send_event(host, Publish(self._token, writes))
        return self._token

    def publisher(self) -> str | None:
        """Return the host of the voter that sent the newest heartbeat known in the fleet, or None."""
        heartbeats = [process.node.dissemination.heartbeat for process in self.processes.values()]
        newest = max(heartbeats, default=None)
        if newest is None or newest.count == 0:
            return None
        return self.voters[newest.epoch % len(self.voters)].name

    # ---- time -------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        self.network.run(self.network.now + seconds)

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = 0.1) -> float:
        """Advance time until a condition holds or ``limit`` seconds have passed; return the elapsed seconds.

        The condition is checked every ``step`` seconds.
        """
        started_at = self.network.now
        while not condition() and self.network.now - started_at < limit:
            self.run(step)
        return self.network.now - started_at

    def _check_periodically(self) -> None:
        self.checker.now = self.network.now
        for host in self.running():
            self.checker.check_bounds(self.processes[host])
            self.checker.check_freshness(
                self.processes[host], self.has_majority(host), self.timing.stale_after
            )
        self.network.call_at(self.network.now + CHECK_INTERVAL_SECONDS, self._check_periodically)

    def _deliver(self, host: Host, event: Any) -> None:
        assert isinstance(host, FleetHost)
        process = self.processes[host.name]
        self.checker.now = self.network.now
        self._execute(host, process, process.node.handle(host.clock(self.network.now), event))

    # ---- actions ----------------------------------------------------------------------------------

    def _execute(self, host: FleetHost, process: Process, actions: list[Action]) -> None:
        last_applied = max((i for i, a in enumerate(actions) if isinstance(a, Applied)), default=-1)
        for i, action in enumerate(actions):
            planned = self.planned_crashes.get(host.name)
            matched = planned is not None and planned.matches(action)
            if matched and planned is not None and not planned.after:
                return self.crash(host.name)
            self._execute_action(host, process, action, i == last_applied)
            if matched:
                return self.crash(host.name)
        self.checker.after_event(process)
        self.network.set_deadline(host, process.node.next_deadline())

    def _execute_action(
        self, host: FleetHost, process: Process, action: Action, is_last_applied: bool
    ) -> None:
        match action:
            case Transmit(destination, datagram):
                self.network.transmit(host, destination, datagram)
            case Persist(state):
                host.disk = state
            case Applied():
                self.checker.on_applied(process, action, is_last_applied)
            case Published():
                self.checker.on_published(process, action)
            case PublishFailed():
                self.checker.on_publish_failed(action)
            case MemberChanged():
                self.checker.on_member_changed(process, action)
            case FreshnessChanged():
                self.checker.on_freshness_changed(process, action)
            case ZoneReachability():
                self.checker.on_zone_reachability(process, action)

    # ---- agreement --------------------------------------------------------------------------------

    def disagreement(self, hosts: Iterable[str] | None = None) -> str:
        """Return why the hosts do not agree on the configuration or on the live members; empty if they agree.

        ``hosts`` are all running hosts by default.
        """
        hosts = list(hosts if hosts is not None else self.running())
        newest = max((self.processes[h].position for h in hosts), default=None)
        expected = {self.members[h].name for h in hosts}
        for host in hosts:
            process = self.processes[host]
            if process.position != newest:
                return f"{host} is at {process.position}, the newest position is {newest}"
            table = process.node.membership.members.values()
            alive = {m.record.name for m in table if m.status is Status.ALIVE}
            if alive != expected:
                return (
                    f"{host} lacks live members {sorted(expected - alive)} "
                    f"and has unexpected ones {sorted(alive - expected)}"
                )
        return ""
