"""Transfers snapshots: a snapshot is a checkpoint, sent in parts to a member that is behind all logs.

All members have the same bytes at one position, so each part can be requested from any of them. Parts start
at multiples of ``SNAPSHOT_PART_BYTES``. A transfer of S bytes takes S / ``snapshot_bytes_per_s`` seconds,
plus ``fetch_timeout`` if one of the last parts is lost. It uses as much memory as the snapshot is large, at
most ``MAX_CONFIGURATION_BYTES``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from saltcourse.gossip.configuration import Checkpoint
from saltcourse.gossip.messages import Address, Position, Priority, Send, SnapshotFetch, SnapshotPart
from saltcourse.gossip.settings import Timing

SNAPSHOT_PART_BYTES = 1_000
MAX_OUTSTANDING_PARTS = 4  # sustains one part per 125 ms with a round trip of 0.5 s
MAX_FAILED_SERVERS = 4  # consecutive failed servers after which the transfer is suspended
INFINITY = float("inf")


class PartFault(Enum):
    """The reason for rejecting a part."""

    KNOWN = auto()  # this member has already reached the position
    STALE_EPOCH = auto()
    CONFLICT = auto()  # the position is in another sequence, or the same position has different bytes
    TOO_LARGE = auto()  # the snapshot is larger than ``MAX_CONFIGURATION_BYTES``
    MALFORMED = auto()
    MOVED_ON = auto()  # the part is from another snapshot than the one being fetched
    UNSOLICITED = auto()


ChooseServer = Callable[[Address | None], Address | None]  # returns a member other than the given one


def make_part(checkpoint: Checkpoint, offset: int) -> SnapshotPart | None:
    """Return the part at ``offset``, or None if none starts there. An empty checkpoint has one empty part."""
    size = len(checkpoint.data)
    if offset not in part_offsets(size):
        return None
    data = checkpoint.data[offset : offset + SNAPSHOT_PART_BYTES]
    return SnapshotPart(checkpoint.position, size, checkpoint.digest, offset, data)


def is_well_formed(part: SnapshotPart) -> bool:
    """Return whether the part has a valid offset inside its snapshot and the length required there."""
    if part.offset not in part_offsets(part.size):
        return False
    return len(part.data) == min(SNAPSHOT_PART_BYTES, part.size - part.offset)


def part_offsets(size: int) -> range:
    """Return the offsets of all parts of a snapshot of ``size`` bytes."""
    return range(0, max(size, 1), SNAPSHOT_PART_BYTES)


class SnapshotAssembly:
    """The parts of one snapshot that were received so far."""

    def __init__(self, position: Position, size: int, digest: int) -> None:
        self.position = position
        self.size = size
        self.digest = digest
        self._parts: dict[int, bytes] = {}  # received data by offset

    def offsets(self) -> range:
        """Return the offsets of all parts of the snapshot."""
        return part_offsets(self.size)

    def matches(self, part: SnapshotPart) -> bool:
        """Return whether ``part`` belongs to this snapshot."""
        return (part.position, part.size, part.digest) == (self.position, self.size, self.digest)

    def has(self, offset: int) -> bool:
        """Return whether the part at ``offset`` was received."""
        return offset in self._parts

    def add(self, part: SnapshotPart) -> None:
        """Add a well-formed part of this snapshot, unless one was received at its offset before."""
        self._parts.setdefault(part.offset, part.data)

    @property
    def is_complete(self) -> bool:
        """Whether all parts were received."""
        return len(self._parts) == len(self.offsets())

    def checkpoint(self) -> Checkpoint:
        """Return the received checkpoint; its digest may differ from the ``digest`` that its parts state."""
        data = b"".join(self._parts[offset] for offset in self.offsets())
        return Checkpoint.create(self.position, data)


@dataclass(frozen=True, slots=True)
class PartRequest:
    """A request in flight for one part."""

    server: Address
    deadline: float  # seconds on the clock of ``now``


class SnapshotTransfer:
    """Requests the missing parts of one snapshot at a constant rate, from one server until it fails."""

    def __init__(
        self, now: float, timing: Timing, first: SnapshotPart, source: Address, choose_server: ChooseServer
    ) -> None:
        self.assembly = SnapshotAssembly(first.position, first.size, first.digest)
        self.server: Address | None = source
        self._timing = timing
        self._interval = SNAPSHOT_PART_BYTES / timing.snapshot_bytes_per_s
        self._choose_server = choose_server
        self._missing = deque(self.assembly.offsets())  # offsets to request; may include received parts
        self._outstanding: dict[int, PartRequest] = {}  # requests in flight by offset
        self._next_request_at = now + self._interval
        self._failed_servers = 0

    @property
    def is_suspended(self) -> bool:
        """Whether the transfer waits for ``resume``, as ``MAX_FAILED_SERVERS`` servers in a row failed."""
        return self._failed_servers >= MAX_FAILED_SERVERS

    def resume(self, now: float, source: Address) -> None:
        """Resume a suspended transfer with ``source``, which has the same snapshot."""
        for offset in list(self._outstanding):
            self._requeue(offset)
        self.server = source
        self._failed_servers = 0
        self._next_request_at = now + self._interval

    def receive(self, part: SnapshotPart) -> None:
        """Add a well-formed part of this snapshot, whether requested or not."""
        self.assembly.add(part)
        self._outstanding.pop(part.offset, None)
        self._failed_servers = 0

    def on_wrong_answer(self, source: Address) -> None:
        """Request the parts that ``source`` was asked for from another server, after its wrong answer."""
        offsets = [offset for offset, request in self._outstanding.items() if request.server == source]
        if not offsets:
            return
        for offset in offsets:
            self._requeue(offset)
        self._switch_server(source)

    def tick(self, now: float) -> list[Send]:
        """Switch away from a server whose answer has timed out, and request the next parts."""
        for offset, request in list(self._outstanding.items()):
            if now >= request.deadline:
                self._requeue(offset)
                self._switch_server(request.server)
        sends: list[Send] = []
        while now >= self._next_request_at and not self.is_suspended and self._may_request():
            sends += self._request(now)
        return sends

    def next_deadline(self) -> float:
        """Return the time of the next ``tick``, in seconds on the clock of ``now``."""
        timeout = min((request.deadline for request in self._outstanding.values()), default=INFINITY)
        return min(timeout, self._next_request_at) if self._may_request() else timeout

    def _may_request(self) -> bool:
        while self._missing and self.assembly.has(self._missing[0]):
            self._missing.popleft()
        return bool(self._missing) and len(self._outstanding) < MAX_OUTSTANDING_PARTS

    def _request(self, now: float) -> list[Send]:
        if self.server is None:
            self._switch_server(None)
        if self.server is None:
            self._next_request_at = now + self._timing.fetch_timeout
            return []
        self._next_request_at = max(self._next_request_at + self._interval, now)
        offset = self._missing.popleft()
        self._outstanding[offset] = PartRequest(self.server, now + self._timing.fetch_timeout)
        return [Send(self.server, SnapshotFetch(self.assembly.position, offset), Priority.BULK)]

    def _requeue(self, offset: int) -> None:
        del self._outstanding[offset]
        self._missing.appendleft(offset)

    def _switch_server(self, failed: Address | None) -> None:
        if failed == self.server:
            self._failed_servers += 1
            self.server = self._choose_server(failed)
