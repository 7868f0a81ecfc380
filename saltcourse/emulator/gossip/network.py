"""The simulated network of a fleet in several zones and regions, with datagrams sent to addresses.

The delay depends on the locations of sender and receiver. A partition splits the hosts into groups that
cannot reach each other. An address can move to another host. The socket of a stopped host buffers a bounded
number of datagrams.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.gossip.messages import PACKET_OVERHEAD_BYTES, Address, Received, Tick

SOCKET_BUFFER_DATAGRAMS = 256  # for a stopped process; further datagrams are lost
REPLAY_BUFFER_DATAGRAMS = 300
MIN_REPLAY_BYTES = 130  # the smallest datagram that contains a change
SAME_ZONE_DELAY = (0.0002, 0.002)  # seconds, one way: minimum and maximum
SAME_REGION_DELAY = (0.0005, 0.005)
OTHER_REGION_DELAY = (0.030, 0.060)


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a host."""

    region: str
    zone: str


@dataclass
class Faults(Link):
    """Probabilities of the faults of each datagram; ``delay`` applies between regions."""

    delay: tuple[float, float] = OTHER_REGION_DELAY
    loss: float = 0.01
    duplication: float = 0.01
    truncate: float = 0.0  # the datagram is truncated
    flip: float = 0.0  # one bit of the datagram is inverted


@dataclass
class Traffic:
    """Bytes sent and received by one host, packet overhead included, and datagrams sent."""

    sent: int = 0
    received: int = 0
    datagrams: int = 0

    @property
    def total(self) -> int:
        """The bytes sent and received."""
        return self.sent + self.received


@dataclass(frozen=True, slots=True)
class Arrival:
    """A datagram received by a host."""

    host: str
    event: Received


@dataclass
class FleetHost(Host):
    """A host with its location and address."""

    location: Location = Location("", "")
    address: Address = ("", 0)
    timer_at: float = field(default=float("inf"))  # true time of the timer that is set


class FleetNetwork(Network):
    """The network of a fleet.

    ``handle_event(host, event)`` is called with each ``Received`` and ``Tick`` of a live process.
    """

    def __init__(self, seed: int, handle_event: Callable[[Host, Any], None], faults: Faults) -> None:
        super().__init__(seed, [], faults, handle_event, Tick())
        self.faults = faults
        self.fleet: dict[str, FleetHost] = {}
        self.listeners: dict[Address, str] = {}  # address -> host that has it now
        self.groups: dict[str, int] = {}  # host -> group of a partition, 0 if absent
        self.traffic: dict[str, Traffic] = {}  # by host
        self.replay_buffer: deque[Arrival] = deque(maxlen=REPLAY_BUFFER_DATAGRAMS)

    def add(self, host: FleetHost) -> None:
        """Add a host; it is down until its process starts."""
        self.hosts[host.name] = self.fleet[host.name] = host
        self.listeners[host.address] = host.name
        self.traffic[host.name] = Traffic()

    def connected(self, one: str, other: str) -> bool:
        """Return whether datagrams from one host reach the other now."""
        return (one, other) not in self.cuts and self.same_side(one, other)

    def same_side(self, one: str, other: str) -> bool:
        """Return whether no partition separates two hosts; the link between them may still be cut."""
        return self.groups.get(one, 0) == self.groups.get(other, 0)

    def partition(self, groups: dict[str, int]) -> None:
        """Partition the hosts into groups; hosts that are not named are in group 0."""
        self.groups = groups

    def transmit(self, sender: FleetHost, destination: Address, datagram: bytes) -> None:
        """Send a datagram to the host that has the address when the datagram arrives.

        The delay is that to the host that has the address when it is sent.
        """
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.traffic[sender.name].sent += size
        self.traffic[sender.name].datagrams += 1
        receiver = self.listeners.get(destination)
        if receiver is None:
            return
        delay = self._delay(sender.location, self.fleet[receiver].location)
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.faults.loss:
                arrival = self.now + self.random.uniform(*delay)
                self._schedule_arrival(arrival, sender, destination, self._damage(datagram))

    def _schedule_arrival(
        self, arrival: float, sender: FleetHost, destination: Address, datagram: bytes
    ) -> None:
        source = sender.address
        self.call_at(arrival, lambda: self._receive(sender.name, source, destination, datagram))

    def _delay(self, one: Location, other: Location) -> tuple[float, float]:
        if one.zone == other.zone:
            return SAME_ZONE_DELAY
        if one.region == other.region:
            return SAME_REGION_DELAY
        return self.faults.delay

    def _damage(self, datagram: bytes) -> bytes:
        if self.faults.truncate and self.random.random() < self.faults.truncate:
            return datagram[: self.random.randrange(len(datagram))]
        if self.faults.flip and self.random.random() < self.faults.flip:
            changed = bytearray(datagram)
            changed[self.random.randrange(len(changed))] ^= 1 << self.random.randrange(8)
            return bytes(changed)
        return datagram

    def _receive(self, sender: str, source: Address, destination: Address, datagram: bytes) -> None:
        """Deliver a datagram, unless a cut or partition now separates sender and receiver."""
        receiver = self.listeners.get(destination)
        if receiver is None or not self.connected(sender, receiver):
            return
        host = self.hosts[receiver]
        if not host.alive or (host.stopped and len(host.pending_events) >= SOCKET_BUFFER_DATAGRAMS):
            return
        self.traffic[receiver].received += len(datagram) + PACKET_OVERHEAD_BYTES
        self.arrived[sender, receiver] = self.now
        event = Received(source, datagram)
        if len(datagram) >= MIN_REPLAY_BYTES:
            self.replay_buffer.append(Arrival(receiver, event))
        self.deliver(host, event)

    def inject(self, receiver: str, source: Address, datagram: bytes) -> None:
        """Deliver a datagram from outside the fleet now."""
        host = self.hosts[receiver]
        self.traffic[receiver].received += len(datagram) + PACKET_OVERHEAD_BYTES
        self.deliver(host, Received(source, datagram))

    def set_deadline(self, host: FleetHost, deadline: float) -> None:
        """Set the host's timer to a time on its own clock, unless it is set to that time already."""
        expires_at = max(host.true_time(deadline), self.now)
        if expires_at == float("inf"):
            return
        if expires_at != host.timer_at:
            host.timer_at = expires_at
            self.set_timer(host, host.clock(expires_at))
