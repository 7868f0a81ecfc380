"""The UDP sockets of a worker's members, and emulated links with delay, loss and partitions.

Links are applied by the worker that receives a datagram, so that no datagram has to be forwarded. Datagrams
to a real process are the exception: the sending worker applies the link, because no worker reads that
process's socket.
"""

from __future__ import annotations

import resource
import select
import socket
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

from saltcourse.emulator.scale.scenario import Link, Scenario
from saltcourse.emulator.scale.topology import MemberSpec, link_between
from saltcourse.gossip.messages import Address

LOOPBACK = "127.0.0.1"
RECEIVE_BUFFER = 1 << 20  # bytes requested; the kernel may grant fewer
MAX_DATAGRAM_BYTES = 2_048  # longer datagrams are truncated
MAX_READS_AT_ONCE = 64  # datagrams read from one socket before the next socket is read
EXTRA_DESCRIPTORS = 256  # open files allowed in addition to the member sockets


@dataclass(frozen=True, slots=True)
class EmulatedLink:
    """The link between two members, and whether it crosses the border of the first region."""

    link: Link
    between_regions: bool


class LinkEmulator:
    """Emulates delay, loss and partitions between addresses. Members of one zone share a table."""

    def __init__(
        self, scenario: Scenario, specs: Iterable[MemberSpec], addresses: tuple[Address, ...], random: Random
    ) -> None:
        self._random = random
        self.partitioned = False
        first_region = scenario.zones[0].region
        self._tables: dict[str, dict[Address, EmulatedLink]] = {}
        all_specs = list(specs)
        by_zone = {spec.zone: spec for spec in all_specs}
        for zone, zone_member in by_zone.items():
            self._tables[zone] = {
                addresses[spec.index]: EmulatedLink(
                    link_between(scenario, zone_member, spec),
                    (zone_member.region == first_region) != (spec.region == first_region),
                )
                for spec in all_specs
            }

    def draw_delay(self, zone: str, remote: Address) -> float | None:
        """Draw the one-way delay in seconds of a datagram between a member of the zone and ``remote``.

        Returns None if the datagram is lost or ``remote`` is not a member's address.
        """
        emulated = self._tables[zone].get(remote)
        if emulated is None or self._random.random() < emulated.link.loss:
            return None
        return self._random.uniform(emulated.link.min_delay, emulated.link.max_delay)

    def is_open(self, zone: str, remote: Address) -> bool:
        """Return whether no partition currently separates the zone from ``remote``.

        Raises KeyError if ``remote`` is not a member's address.
        """
        return not (self.partitioned and self._tables[zone][remote].between_regions)


class Sockets:
    """One UDP socket for each member, polled together with ``control``, the pipe to the runner."""

    def __init__(self, members: Iterable[int], control: int) -> None:
        self._epoll = select.epoll()
        self._epoll.register(control, select.EPOLLIN)
        self._control = control
        self.control_ready = False  # the pipe has a message or was closed
        self._sockets: dict[int, socket.socket] = {}
        self._members: dict[int, int] = {}  # descriptor -> member
        for member in members:
            bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            bound.setblocking(False)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            bound.bind((LOOPBACK, 0))
            self._sockets[member] = bound
            self._members[bound.fileno()] = member
            self.watch(member)

    def addresses(self) -> dict[int, Address]:
        """Return the bound address of each member."""
        return {member: bound.getsockname() for member, bound in self._sockets.items()}

    def watch(self, member: int) -> None:
        """Start reading the member's socket."""
        self._epoll.register(self._sockets[member].fileno(), select.EPOLLIN)

    def unwatch(self, member: int) -> None:
        """Stop reading the member's socket. Datagrams queue in the kernel until its buffer is full."""
        self._epoll.unregister(self._sockets[member].fileno())

    def receive(self, timeout: float) -> Iterator[tuple[int, Address, bytes]]:
        """Wait up to ``timeout`` seconds and yield the receiving member, source and payload of each datagram.

        Sets ``control_ready`` when the control pipe is readable.
        """
        for descriptor, _ in self._epoll.poll(timeout):
            if descriptor == self._control:
                self.control_ready = True
                continue
            member = self._members[descriptor]
            receive = self._sockets[member].recvfrom
            for _ in range(MAX_READS_AT_ONCE):
                try:
                    datagram, source = receive(MAX_DATAGRAM_BYTES)
                except (BlockingIOError, ConnectionError):
                    break
                yield member, source, datagram

    def send(self, member: int, datagram: bytes, destination: Address) -> None:
        """Send from the member's socket. A socket error drops the datagram, as a network would."""
        try:
            self._sockets[member].sendto(datagram, destination)
        except OSError:
            return

    def dropped(self) -> int:
        """Return how many datagrams the kernel dropped for lack of buffer space (/proc/net/udp)."""
        ports = {bound.getsockname()[1] for bound in self._sockets.values()}
        total = 0
        for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
            columns = line.split()
            if int(columns[1].rpartition(":")[2], 16) in ports:
                total += int(columns[-1])
        return total

    def close(self) -> None:
        """Close all sockets. The control pipe stays open."""
        for bound in self._sockets.values():
            bound.close()
        self._epoll.close()


def raise_open_files_limit(count: int) -> None:
    """Raise this process's soft limit on open files to fit ``count`` sockets, within its hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count + EXTRA_DESCRIPTORS
    if soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed if hard < 0 else min(needed, hard), hard))
