"""What a worker keeps of each member that it hosts."""

from __future__ import annotations

from saltcourse.emulator.scale.hollow import HollowMember, MembersView
from saltcourse.emulator.scale.topology import Place
from saltcourse.gossip.messages import Address, Status


class HostedMember:
    """One member over all its processes: ``core`` is the one that runs now, None while it is down."""

    def __init__(self, place: Place) -> None:
        self.place = place
        self.core: HollowMember | None = None
        self.stopped = False
        self.waiting: list[tuple[Address, bytes]] = []  # datagrams that arrived while it was stopped
        self.timer: float | None = None  # when the earliest of its queued timers expires
        self.sent = 0  # bytes since the last load record
        self.received = 0
        self.cpu = 0.0  # s, of its earlier processes
        self.cpu_recorded = 0.0
        self.view: MembersView | None = None
        self.not_alive: dict[str, Status] = {}
        self.stored: object = None  # its disk, for its next process
        self.publishing: set[int] = set()  # changes whose result the operator waits for

    def take_cpu(self) -> float:
        """Seconds of CPU since the last call."""
        total = self.cpu + (self.core.cpu if self.core is not None else 0.0)
        spent, self.cpu_recorded = total - self.cpu_recorded, total
        return spent
