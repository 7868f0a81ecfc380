"""A network and its hosts in virtual time, for cores without I/O that take ``handle(now, event)``.

One seed replays everything. Hosts have clocks with rates of their own; links delay, lose, duplicate and
reorder, and are cut in one direction or both; hosts stop for a while, crash, and restart with or without
what they stored. Times are seconds, of true time where no clock is named.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_EVENTS_AT_ONCE = 10_000  # at one instant
ROUNDING_SECONDS = 1e-9


class SimulationError(RuntimeError):
    """The simulated hosts keep time from going on; the text says when."""


@dataclass
class Link:
    """The faults of a link: ``delay`` is drawn evenly from a range, so messages overtake one another.

    ``loss`` and ``double`` are the probabilities that a message is lost or comes twice.
    """

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
    life: int = 0  # incarnation: which process runs; timers of an earlier one are ignored
    waiting: list[Any] = field(default_factory=list)  # events that came while the process was stopped
    timer: int = 0  # number of the newest timer, which alone counts
    disk: Any = None  # what the process has stored

    def clock(self, true: float) -> float:
        """What the host's clock shows at a true time."""
        return self.offset + self.rate * true

    def true(self, clock: float) -> float:
        """The true time at which the host's clock shows ``clock``."""
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
        """Call ``do`` at a time, at once where that has passed."""
        self._order += 1
        heapq.heappush(self._queue, (max(when, self.now), self._order, do))

    def run(self, until: float) -> None:
        """Let time go on. Raises SimulationError when timers keep expiring without letting it."""
        at_once = 0
        while self._queue and self._queue[0][0] <= until:
            when, _, do = heapq.heappop(self._queue)
            at_once = at_once + 1 if when == self.now else 0
            if at_once > MAX_EVENTS_AT_ONCE:
                raise SimulationError(f"time does not advance at {when:.6f} s")
            self.now = when
            do()
        self.now = until

    # ---- what hosts do ----------------------------------------------------------------------------

    def send(self, sender: str, receiver: str, event: Any) -> None:
        """Bring an event to another host, by the chances of the link."""
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
        """Deliver an event now, or once the host's process goes on; none to a dead one."""
        if not host.alive:
            return
        if host.stopped:
            host.waiting.append(event)
        else:
            self._deliver(host, event)

    def set_timer(self, host: Host, clock: float) -> None:
        """Expire at a time on the host's own clock; it replaces the timer before it."""
        host.timer += 1
        life, timer = host.life, host.timer

        def expire() -> None:
            if (host.life, host.timer) == (life, timer):
                self.give(host, self._tick)

        # A clock read back from true time may fall short by a rounding, and the timer would be set again
        # for ever.
        self.at(host.true(clock) + ROUNDING_SECONDS, expire)

    # ---- faults ------------------------------------------------------------------------

    def stop(self, host: Host) -> None:
        """Stop the host's process, as SIGSTOP does."""
        host.stopped = True

    def go_on(self, host: Host) -> None:
        """Let it go on: what came meanwhile is delivered at once, in the order in which it came."""
        host.stopped = False
        waiting, host.waiting = host.waiting, []
        for event in waiting:
            self.give(host, event)

    def crash(self, host: Host, keeps_disk: bool) -> None:
        """End the host's process, and lose its disk unless ``keeps_disk``."""
        host.alive = host.stopped = False
        host.life += 1
        host.waiting = []
        if not keeps_disk:
            host.disk = None

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Lose all messages from one host to the other, and back unless ``both`` is false."""
        self.cuts |= {(one, other), (other, one)} if both else {(one, other)}

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()
