"""A network and its hosts in virtual time: for choices that are free of I/O and take ``handle(now, event)``.

One seed replays everything. Hosts have clocks of their own rate; links delay, lose, double and reorder, and
are cut one way or both; hosts stop for a while, crash, and come back with or without what they stored.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MOST_AT_ONCE = 10_000  # events at one instant
ROUNDING = 1e-9  # s


@dataclass
class Link:
    """What every message meets; ``delay`` is a range in seconds, drawn evenly (so messages overtake)."""

    delay: tuple[float, float] = (0.0002, 0.004)
    loss: float = 0.0
    double: float = 0.0


@dataclass
class Host:
    """One machine with one process. Its clock shows ``offset + rate * true time``."""

    name: str
    rate: float = 1.0
    offset: float = 0.0
    alive: bool = False
    stopped: bool = False
    life: int = 0  # which process runs: words to an earlier one are lost
    waiting: list[Any] = field(default_factory=list)  # events that came while it was stopped
    timer: int = 0  # only the newest one counts
    disk: Any = None

    def clock(self, true: float) -> float:
        return self.offset + self.rate * true

    def true(self, clock: float) -> float:
        return (clock - self.offset) / self.rate


class Network:
    """``deliver(host, event)`` is called for each event that reaches a live process."""

    def __init__(
        self, seed: int, hosts: list[Host], link: Link, deliver: Callable[[Host, Any], None], tick: Any
    ) -> None:
        self.random = random.Random(seed)
        self.hosts = {h.name: h for h in hosts}
        self.link, self._deliver, self._tick = link, deliver, tick
        self.now = 0.0
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.arrived: dict[tuple[str, str], float] = {}  # (from, to) -> when a message last came through
        self.sent = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, when: float, do: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (max(when, self.now), self._order, do))

    def run(self, until: float) -> None:
        """RuntimeError when choices keep waking themselves without letting time go on."""
        at_once = 0
        while self._queue and self._queue[0][0] <= until:
            when, _, do = heapq.heappop(self._queue)
            at_once = at_once + 1 if when == self.now else 0
            if at_once > MOST_AT_ONCE:
                raise RuntimeError(f"time stands still at {when:.6f} s")
            self.now = when
            do()
        self.now = until

    # ---- what hosts do ----------------------------------------------------------------------------

    def send(self, sender: str, receiver: str, event: Any) -> None:
        self.sent += 1
        copies = 2 if self.random.random() < self.link.double else 1
        for _ in range(copies):
            if self.random.random() >= self.link.loss:
                self.at(
                    self.now + self.random.uniform(*self.link.delay),
                    lambda: self._arrive(sender, receiver, event),
                )

    def _arrive(self, sender: str, receiver: str, event: Any) -> None:
        """A cut that began while the message was under way loses it too."""
        if (sender, receiver) not in self.cuts:
            if self.hosts[receiver].alive:
                self.arrived[sender, receiver] = self.now
            self.give(self.hosts[receiver], event)

    def give(self, host: Host, event: Any) -> None:
        if not host.alive:
            return
        if host.stopped:
            host.waiting.append(event)
        else:
            self._deliver(host, event)

    def set_timer(self, host: Host, clock: float) -> None:
        """At a time on the host's own clock; it replaces the one before."""
        host.timer += 1
        life, timer = host.life, host.timer

        def ring() -> None:
            if (host.life, host.timer) == (life, timer):
                self.give(host, self._tick)

        # A clock read back from true time may fall short by a rounding, and then wake again for ever.
        self.at(host.true(clock) + ROUNDING, ring)

    # ---- what befalls them ------------------------------------------------------------------------

    def stop(self, host: Host) -> None:
        host.stopped = True

    def go_on(self, host: Host) -> None:
        """What came meanwhile is found at once, in the order in which it came."""
        host.stopped = False
        waiting, host.waiting = host.waiting, []
        for event in waiting:
            self.give(host, event)

    def crash(self, host: Host, keeps_disk: bool) -> None:
        host.alive = host.stopped = False
        host.life += 1
        host.waiting = []
        if not keeps_disk:
            host.disk = None

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.cuts |= {(one, other), (other, one)} if both else {(one, other)}

    def heal(self) -> None:
        self.cuts.clear()
