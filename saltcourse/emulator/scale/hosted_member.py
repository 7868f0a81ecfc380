"""The state that a worker keeps for each member that it hosts."""

from __future__ import annotations

from saltcourse.emulator.scale.simulated_member import MembersView, SimulatedMember
from saltcourse.emulator.scale.topology import MemberSpec
from saltcourse.gossip.messages import Address, Status


class HostedMember:
    """One member across restarts.

    ``process`` is the simulated process that currently runs, or None while the member is down.
    """

    def __init__(self, spec: MemberSpec) -> None:
        self.spec = spec
        self.process: SimulatedMember | None = None
        self.stopped = False
        self.queued: list[tuple[Address, bytes]] = []  # datagrams received while stopped
        self.timer_expiry: float | None = None  # expiry of the earliest queued timer, CLOCK_MONOTONIC
        self.sent = 0  # bytes since the last load record
        self.received = 0  # bytes since the last load record
        self.cpu = 0.0  # CPU seconds used by earlier processes of the member
        self.cpu_recorded = 0.0  # CPU seconds reported by cpu_delta() so far
        self.view: MembersView | None = None
        self.not_alive: dict[str, Status] = {}  # last recorded status of members that it considers not alive
        self.stored: object = None  # persisted state that the next process starts with
        self.pending_changes: set[int] = set()  # changes whose result is still pending

    def cpu_delta(self) -> float:
        """Return the CPU seconds that the member used since the previous call."""
        total = self.cpu + (self.process.cpu if self.process is not None else 0.0)
        spent, self.cpu_recorded = total - self.cpu_recorded, total
        return spent
