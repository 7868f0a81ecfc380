"""A simulated network of hosts in virtual time, for protocol cores without I/O.

A seed determines the whole run. Each host's clock has its own rate and offset. Links delay, lose, duplicate
and reorder messages, and can be cut in one or both directions. Hosts can be stopped, crash, and restart with
or without their disk. Times are in seconds of true (simulated) time unless they are said to be on a host's
clock.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_EVENTS_PER_INSTANT = 10_000
ROUNDING_SECONDS = 1e-9


class SimulationError(RuntimeError):
    """Simulated hosts schedule events endlessly at one instant, so that time does not advance."""


@dataclass
class Link:
    """Delay and faults of the network's links.

    ``delay`` is the range, in seconds, from which each message's delay is drawn uniformly, so messages can be
    reordered. ``loss`` and ``duplication`` are the probabilities that a message is lost or sent twice.
    """

    delay: tuple[float, float] = (0.0002, 0.004)
    loss: float = 0.0
    duplication: float = 0.0


@dataclass
class Host:
    """A machine that runs one process. Its clock reads ``offset + rate * true time``."""

    name: str
    rate: float = 1.0
    offset: float = 0.0
    alive: bool = False
    stopped: bool = False
    incarnation: int = 0  # incremented by each crash; timers of earlier processes are ignored
    pending_events: list[Any] = field(default_factory=list)  # received while the process was stopped
    timer_id: int = 0  # id of the latest timer; earlier timers are ignored
    disk: Any = None  # data stored by the process

    def clock(self, true_time: float) -> float:
        """Return the reading of the host's clock at a true time."""
        return self.offset + self.rate * true_time

    def true_time(self, clock: float) -> float:
        """Return the true time at which the host's clock reads ``clock``."""
        return (clock - self.offset) / self.rate


class Network:
    """A discrete-event simulation of hosts and links.

    ``handle_event(host, event)`` is called for each event delivered to a live process, and with ``tick`` for
    each of its timers that expires.
    """

    def __init__(
        self, seed: int, hosts: list[Host], link: Link, handle_event: Callable[[Host, Any], None], tick: Any
    ) -> None:
        self.random = random.Random(seed)
        self.hosts = {h.name: h for h in hosts}
        self.link, self._handle_event, self._tick = link, handle_event, tick
        self.now = 0.0
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.arrived: dict[tuple[str, str], float] = {}  # (from, to) -> time of the last message delivered
        self.sent = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` at a true time, or at the present time if that has passed."""
        self._order += 1
        heapq.heappush(self._queue, (max(when, self.now), self._order, callback))

    def run(self, until: float) -> None:
        """Run scheduled events and advance time to ``until``.

        Raises SimulationError when more than ``MAX_EVENTS_PER_INSTANT`` events follow at one instant.
        """
        events_at_instant = 0
        while self._queue and self._queue[0][0] <= until:
            when, _, callback = heapq.heappop(self._queue)
            events_at_instant = events_at_instant + 1 if when == self.now else 0
            if events_at_instant > MAX_EVENTS_PER_INSTANT:
                raise SimulationError(
                    f"time does not advance: over {MAX_EVENTS_PER_INSTANT} events at {when:.6f} s"
                )
            self.now = when
            callback()
        self.now = until

    # ---- messages and timers -----------------------------------------------------------------------

    def send(self, sender: str, receiver: str, event: Any) -> None:
        """Send an event to another host with the link's delay, loss and duplication."""
        self.sent += 1
        copies = 2 if self.random.random() < self.link.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.link.loss:
                self.call_at(
                    self.now + self.random.uniform(*self.link.delay),
                    lambda: self._arrive(sender, receiver, event),
                )

    def _arrive(self, sender: str, receiver: str, event: Any) -> None:
        """Deliver a message, unless its link is cut; a message in flight when a cut begins is lost too."""
        if (sender, receiver) not in self.cuts:
            if self.hosts[receiver].alive:
                self.arrived[sender, receiver] = self.now
            self.deliver(self.hosts[receiver], event)

    def deliver(self, host: Host, event: Any) -> None:
        """Deliver an event now, or on resume if the process is stopped; drop it if the process is dead."""
        if not host.alive:
            return
        if host.stopped:
            host.pending_events.append(event)
        else:
            self._handle_event(host, event)

    def set_timer(self, host: Host, clock: float) -> None:
        """Set the host's timer to a time on its own clock; it replaces the previous timer."""
        host.timer_id += 1
        incarnation, timer_id = host.incarnation, host.timer_id

        def expire() -> None:
            if (host.incarnation, host.timer_id) == (incarnation, timer_id):
                self.deliver(host, self._tick)

        # Without the margin, a rounding error could make the clock read slightly less than the deadline at
        # expiry, and the process would set the same timer again endlessly.
        self.call_at(host.true_time(clock) + ROUNDING_SECONDS, expire)

    # ---- faults ------------------------------------------------------------------------

    def stop(self, host: Host) -> None:
        """Stop the host's process as SIGSTOP does."""
        host.stopped = True

    def resume(self, host: Host) -> None:
        """Resume the host's process and deliver its pending events at once, in order of arrival."""
        host.stopped = False
        pending_events, host.pending_events = host.pending_events, []
        for event in pending_events:
            self.deliver(host, event)

    def crash(self, host: Host, keeps_disk: bool) -> None:
        """Kill the host's process, and erase its disk unless ``keeps_disk``."""
        host.alive = host.stopped = False
        host.incarnation += 1
        host.pending_events = []
        if not keeps_disk:
            host.disk = None

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Cut the link from one host to the other, and the reverse direction too if ``both``."""
        self.cuts |= {(one, other), (other, one)} if both else {(one, other)}

    def heal(self) -> None:
        """Restore all cut links."""
        self.cuts.clear()
