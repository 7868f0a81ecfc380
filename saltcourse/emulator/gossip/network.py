"""The simulated network of a fleet over zones and regions: datagrams to addresses, not to hosts.

Delay depends on the locations of the two ends. A partition splits the hosts into groups that cannot reach
each other; an address may be taken over by another host; the socket of a stopped host holds a bounded
number of datagrams.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.gossip.messages import PACKET_OVERHEAD_BYTES, Address, Received, Tick

SOCKET_DATAGRAMS = 256  # that wait for a stopped process; later ones are lost
REMEMBERED = 300  # datagrams
REMEMBERED_BYTES = 130  # the least of one with a change in it
SAME_ZONE = (0.0002, 0.002)  # s one way
SAME_REGION = (0.0005, 0.005)
OTHER_REGION = (0.030, 0.060)


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a host."""

    region: str
    zone: str


@dataclass
class Faults(Link):
    """Faults of each datagram, by probability; ``delay`` is the one between regions."""

    delay: tuple[float, float] = OTHER_REGION
    loss: float = 0.01
    duplication: float = 0.01
    truncate: float = 0.0  # arrives cut short
    flip: float = 0.0  # arrives with one bit changed


@dataclass
class Traffic:
    """Bytes of one host by the network's own record, packet overhead included."""

    sent: int = 0
    received: int = 0
    datagrams: int = 0

    @property
    def total(self) -> int:
        """Sent and received."""
        return self.sent + self.received


@dataclass(frozen=True, slots=True)
class Arrival:
    """A datagram that came to a host."""

    host: str
    event: Received


@dataclass
class FleetHost(Host):
    """A host with its place and address."""

    location: Location = Location("", "")
    address: Address = ("", 0)
    armed: float = field(default=float("inf"))  # true time of the timer that is set


class FleetNetwork(Network):
    """``deliver(host, event)`` is called with ``Received`` and ``Tick`` for each live process."""

    def __init__(self, seed: int, deliver: Callable[[Host, Any], None], faults: Faults) -> None:
        super().__init__(seed, [], faults, deliver, Tick())
        self.faults = faults
        self.fleet: dict[str, FleetHost] = {}
        self.listeners: dict[Address, str] = {}  # which host has an address now
        self.groups: dict[str, int] = {}  # a partition: hosts of different groups are cut from each other
        self.records: dict[str, Traffic] = {}  # by host
        self.remembered: deque[Arrival] = deque(maxlen=REMEMBERED)  # to be replayed

    def add(self, host: FleetHost) -> None:
        """Add a host; it is down until its process starts."""
        self.hosts[host.name] = self.fleet[host.name] = host
        self.listeners[host.address] = host.name
        self.records[host.name] = Traffic()

    def connected(self, one: str, other: str) -> bool:
        """Whether datagrams go from one host to the other now."""
        return (one, other) not in self.cuts and self.same_side(one, other)

    def same_side(self, one: str, other: str) -> bool:
        """Whether no partition is between them; single links may be cut none the less."""
        return self.groups.get(one, 0) == self.groups.get(other, 0)

    def partition(self, groups: dict[str, int]) -> None:
        """Set the group of each host; those that are not named are in group 0."""
        self.groups = groups

    def transmit(self, sender: FleetHost, destination: Address, datagram: bytes) -> None:
        """Send a datagram to whoever has the address when it arrives."""
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.records[sender.name].sent += size
        self.records[sender.name].datagrams += 1
        receiver = self.listeners.get(destination)
        if receiver is None:
            return
        delay = self._delay(sender.location, self.fleet[receiver].location)
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.faults.loss:
                arrival = self.now + self.random.uniform(*delay)
                self._under_way(arrival, sender, destination, self._damage(datagram))

    def _under_way(self, arrival: float, sender: FleetHost, destination: Address, datagram: bytes) -> None:
        source = sender.address
        self.call_at(arrival, lambda: self._reach(sender.name, source, destination, datagram))

    def _delay(self, one: Location, other: Location) -> tuple[float, float]:
        if one.zone == other.zone:
            return SAME_ZONE
        if one.region == other.region:
            return SAME_REGION
        return self.faults.delay

    def _damage(self, datagram: bytes) -> bytes:
        if self.faults.truncate and self.random.random() < self.faults.truncate:
            return datagram[: self.random.randrange(len(datagram))]
        if self.faults.flip and self.random.random() < self.faults.flip:
            changed = bytearray(datagram)
            changed[self.random.randrange(len(changed))] ^= 1 << self.random.randrange(8)
            return bytes(changed)
        return datagram

    def _reach(self, sender: str, source: Address, destination: Address, datagram: bytes) -> None:
        """Arrive, unless a cut began while the datagram was under way."""
        receiver = self.listeners.get(destination)
        if receiver is None or not self.connected(sender, receiver):
            return
        host = self.hosts[receiver]
        if not host.alive or (host.stopped and len(host.pending_events) >= SOCKET_DATAGRAMS):
            return
        self.records[receiver].received += len(datagram) + PACKET_OVERHEAD_BYTES
        self.arrived[sender, receiver] = self.now
        event = Received(source, datagram)
        if len(datagram) >= REMEMBERED_BYTES:
            self.remembered.append(Arrival(receiver, event))
        self.deliver(host, event)

    def inject(self, receiver: str, source: Address, datagram: bytes) -> None:
        """Let a datagram from outside the fleet arrive now."""
        host = self.hosts[receiver]
        self.records[receiver].received += len(datagram) + PACKET_OVERHEAD_BYTES
        self.deliver(host, Received(source, datagram))

    def arm(self, host: FleetHost, deadline: float) -> None:
        """Set the timer to a time on the host's own clock, if it is not set to that already."""
        true = max(host.true_time(deadline), self.now)
        if true == float("inf"):
            return
        if true != host.armed:
            host.armed = true
            self.set_timer(host, host.clock(true))
