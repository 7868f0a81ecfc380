"""Transfer of a checkpoint in parts, for a member that the logs of the others no longer reach back to.

All members have the same bytes at one position, so each part may be asked of any of them. Parts lie on a
fixed grid of ``SNAPSHOT_PART_BYTES``. A transfer of S bytes takes S / ``snapshot_bytes_per_s`` seconds, and a
``fetch_timeout`` more where one of the last parts is lost. Memory: the size of the snapshot, at most
``MAX_CONFIGURATION_BYTES``.
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
MAX_OUTSTANDING_PARTS = 4  # keeps up the pace of 125 ms a part where a round trip takes 0.5 s
MAX_FAILED_SERVERS = 4  # in a row, before the transfer is given up
INFINITY = float("inf")


class PartFault(Enum):
    """Why a part is rejected."""

    KNOWN = auto()  # this member is as far already
    STALE_EPOCH = auto()
    CONFLICT = auto()  # another sequence, or other bytes claimed for the same position
    TOO_LARGE = auto()  # a snapshot above ``MAX_CONFIGURATION_BYTES``
    MALFORMED = auto()
    MOVED_ON = auto()  # of another snapshot than the one that is being fetched
    UNSOLICITED = auto()


ChooseServer = Callable[[Address | None], Address | None]  # any member but the given one


def part_of(checkpoint: Checkpoint, offset: int) -> SnapshotPart | None:
    """Return the part at an offset; None where none begins there. An empty checkpoint is one empty part."""
    size = len(checkpoint.data)
    if offset not in part_offsets(size):
        return None
    data = checkpoint.data[offset : offset + SNAPSHOT_PART_BYTES]
    return SnapshotPart(checkpoint.position, size, checkpoint.digest, offset, data)


def is_well_formed(part: SnapshotPart) -> bool:
    """Whether it lies on the grid, inside the snapshot, and has the length that belongs there."""
    if part.offset not in part_offsets(part.size):
        return False
    return len(part.data) == min(SNAPSHOT_PART_BYTES, part.size - part.offset)


def part_offsets(size: int) -> range:
    """Return the offsets of all parts of a snapshot of this size."""
    return range(0, max(size, 1), SNAPSHOT_PART_BYTES)


class SnapshotAssembly:
    """Parts received so far of one snapshot."""

    def __init__(self, position: Position, size: int, digest: int) -> None:
        self.position = position
        self.size = size
        self.digest = digest
        self._parts: dict[int, bytes] = {}  # by offset

    def offsets(self) -> range:
        """Return the offsets of all its parts."""
        return part_offsets(self.size)

    def is_of(self, part: SnapshotPart) -> bool:
        """Whether a part belongs to this snapshot."""
        return (part.position, part.size, part.digest) == (self.position, self.size, self.digest)

    def has(self, offset: int) -> bool:
        """Whether the part at this offset was received."""
        return offset in self._parts

    def add(self, part: SnapshotPart) -> None:
        """A well-formed part of this snapshot; the first one at an offset counts."""
        self._parts.setdefault(part.offset, part.data)

    @property
    def is_complete(self) -> bool:
        """Whether all parts were received."""
        return len(self._parts) == len(self.offsets())

    def checkpoint(self) -> Checkpoint:
        """Return what was received; its digest is computed anew and may differ from the claimed one."""
        data = b"".join(self._parts[offset] for offset in self.offsets())
        return Checkpoint.of(self.position, data)


@dataclass(frozen=True, slots=True)
class PartRequest:
    """A request in flight."""

    server: Address
    deadline: float


class SnapshotTransfer:
    """Requests the missing parts of one snapshot, at a constant pace, of one server until that one fails."""

    def __init__(
        self, now: float, timing: Timing, first: SnapshotPart, source: Address, choose_server: ChooseServer
    ) -> None:
        self.assembly = SnapshotAssembly(first.position, first.size, first.digest)
        self.server: Address | None = source
        self._timing = timing
        self._interval = SNAPSHOT_PART_BYTES / timing.snapshot_bytes_per_s
        self._choose_server = choose_server
        self._missing = deque(self.assembly.offsets())  # not asked for; may hold some that came unasked
        self._outstanding: dict[int, PartRequest] = {}  # by offset
        self._next_request_at = now + self._interval
        self._failed_servers = 0

    @property
    def given_up(self) -> bool:
        """Nobody who was asked has this snapshot any more, or is reached."""
        return self._failed_servers >= MAX_FAILED_SERVERS

    def resume(self, now: float, source: Address) -> None:
        """After it was given up: ``source`` has the same snapshot."""
        for offset in list(self._outstanding):
            self._ask_again(offset)
        self.server = source
        self._failed_servers = 0
        self._next_request_at = now + self._interval

    def receive(self, part: SnapshotPart) -> None:
        """A well-formed part of this snapshot, asked for or not."""
        self.assembly.add(part)
        self._outstanding.pop(part.offset, None)
        self._failed_servers = 0

    def reject(self, source: Address) -> None:
        """``source`` has answered with something else than the part that it was asked for."""
        offsets = [offset for offset, request in self._outstanding.items() if request.server == source]
        if not offsets:
            return
        for offset in offsets:
            self._ask_again(offset)
        self._leave_server(source)

    def tick(self, now: float) -> list[Send]:
        """Leave a server whose answer has timed out, and request the next parts."""
        for offset, request in list(self._outstanding.items()):
            if now >= request.deadline:
                self._ask_again(offset)
                self._leave_server(request.server)
        sends: list[Send] = []
        while now >= self._next_request_at and not self.given_up and self._may_request():
            sends += self._request(now)
        return sends

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        timeout = min((request.deadline for request in self._outstanding.values()), default=INFINITY)
        return min(timeout, self._next_request_at) if self._may_request() else timeout

    def _may_request(self) -> bool:
        while self._missing and self.assembly.has(self._missing[0]):
            self._missing.popleft()
        return bool(self._missing) and len(self._outstanding) < MAX_OUTSTANDING_PARTS

    def _request(self, now: float) -> list[Send]:
        if self.server is None:
            self._leave_server(None)
        if self.server is None:
            self._next_request_at = now + self._timing.fetch_timeout
            return []
        self._next_request_at = max(self._next_request_at + self._interval, now)
        offset = self._missing.popleft()
        self._outstanding[offset] = PartRequest(self.server, now + self._timing.fetch_timeout)
        return [Send(self.server, SnapshotFetch(self.assembly.position, offset), Priority.BULK)]

    def _ask_again(self, offset: int) -> None:
        del self._outstanding[offset]
        self._missing.appendleft(offset)

    def _leave_server(self, server: Address | None) -> None:
        if server == self.server:
            self._failed_servers += 1
            self.server = self._choose_server(server)
