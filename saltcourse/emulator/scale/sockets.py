"""The sockets of a worker's members, and the links between all members: delay, loss and partitions.

They are applied where a datagram arrives, so that nothing is sent twice for them. Only for datagrams to a
real process they are applied by the sender, because no worker reads that process's socket.
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
RECEIVE_BUFFER = 1 << 20  # bytes wanted; the kernel may grant fewer
MAX_DATAGRAM_BYTES = 2_048  # bytes read of one
MAX_READS_AT_ONCE = 64  # datagrams of one socket before others have their turn
EXTRA_DESCRIPTORS = 256  # descriptors beside the sockets


@dataclass(frozen=True, slots=True)
class EmulatedLink:
    """The path between two members."""

    link: Link
    between_regions: bool


class LinkEmulator:
    """Delay, loss and partitions between addresses. Members of one zone share a table."""

    def __init__(
        self, scenario: Scenario, specs: Iterable[MemberSpec], addresses: tuple[Address, ...], random: Random
    ) -> None:
        self._random = random
        self.partitioned = False
        first = scenario.zones[0].region
        self._tables: dict[str, dict[Address, EmulatedLink]] = {}
        all_specs = list(specs)
        by_zone = {spec.zone: spec for spec in all_specs}
        for zone, here in by_zone.items():
            self._tables[zone] = {
                addresses[spec.index]: EmulatedLink(
                    link_between(scenario, here, spec), (here.region == first) != (spec.region == first)
                )
                for spec in all_specs
            }

    def draw_delay(self, zone: str, remote: Address) -> float | None:
        """Drawn for one datagram between a member of the zone and the far address; None: it is lost."""
        path = self._tables[zone].get(remote)
        if path is None or self._random.random() < path.link.loss:
            return None
        return self._random.uniform(path.link.min_delay, path.link.max_delay)

    def is_open(self, zone: str, remote: Address) -> bool:
        """Whether no partition stops a datagram at this moment."""
        return not (self.partitioned and self._tables[zone][remote].between_regions)


class Sockets:
    """One UDP socket for each member, watched by one epoll; so is ``control``, the pipe to the runner."""

    def __init__(self, members: Iterable[int], control: int) -> None:
        self._epoll = select.epoll()
        self._epoll.register(control, select.EPOLLIN)
        self._control = control
        self.control_ready = False  # something came on the pipe, or it was closed
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
        """The bound address of each member."""
        return {member: bound.getsockname() for member, bound in self._sockets.items()}

    def watch(self, member: int) -> None:
        """Reads the member's socket from now on."""
        self._epoll.register(self._sockets[member].fileno(), select.EPOLLIN)

    def unwatch(self, member: int) -> None:
        """Reads the member's socket no longer: datagrams wait in the kernel, up to the size of its buffer."""
        self._epoll.unregister(self._sockets[member].fileno())

    def receive(self, timeout: float) -> Iterator[tuple[int, Address, bytes]]:
        """Waits up to ``timeout`` seconds; gives receiver, source and payload of each datagram."""
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
        """Sends from the member's socket; an error loses the datagram, as on a real network."""
        try:
            self._sockets[member].sendto(datagram, destination)
        except OSError:
            return

    def dropped(self) -> int:
        """Datagrams that the kernel dropped for lack of buffer space, by its own count."""
        ports = {bound.getsockname()[1] for bound in self._sockets.values()}
        total = 0
        for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
            columns = line.split()
            if int(columns[1].rpartition(":")[2], 16) in ports:
                total += int(columns[-1])
        return total

    def close(self) -> None:
        """Closes all sockets; the control pipe stays open."""
        for bound in self._sockets.values():
            bound.close()
        self._epoll.close()


def raise_open_files_limit(count: int) -> None:
    """Raises this process's own soft limit of open files as far as its hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = count + EXTRA_DESCRIPTORS
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted if hard < 0 else min(wanted, hard), hard))
