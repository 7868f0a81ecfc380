"""What a worker keeps of each member that it hosts."""

from __future__ import annotations

from saltcourse.emulator.scale.simulated_member import MembersView, SimulatedMember
from saltcourse.emulator.scale.topology import MemberSpec
from saltcourse.gossip.messages import Address, Status


class HostedMember:
    """One member over all its processes: ``process`` is the one that runs now, None while it is down."""

    def __init__(self, spec: MemberSpec) -> None:
        self.spec = spec
        self.process: SimulatedMember | None = None
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

    def cpu_delta(self) -> float:
        """Seconds of CPU since the last call."""
        total = self.cpu + (self.process.cpu if self.process is not None else 0.0)
        spent, self.cpu_recorded = total - self.cpu_recorded, total
        return spent
