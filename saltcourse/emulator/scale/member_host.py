"""Delivers datagrams and timers to the members of one worker, over links with delay, loss and partitions."""

from __future__ import annotations

import time
from collections.abc import Callable

from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.simulated_member import Observation, Output
from saltcourse.emulator.scale.sockets import LinkEmulator, Sockets
from saltcourse.emulator.scale.timer_queue import TimerQueue
from saltcourse.gossip.messages import PACKET_OVERHEAD_BYTES, Address, Transmit

MIN_TIMER_DELAY = 0.001  # seconds, as in the gossip host: avoids a busy loop if a deadline does not advance


class MemberHost:
    """Runs the steps of hosted members and their I/O.

    ``observe`` is called with each observation that a member reports. ``real`` holds the addresses of real
    proxies.
    """

    def __init__(
        self,
        sockets: Sockets,
        links: LinkEmulator,
        timers: TimerQueue,
        real: set[Address],
        observe: Callable[[HostedMember, Observation], None],
    ) -> None:
        self._sockets = sockets
        self._links = links
        self._timers = timers
        self._real = real
        self._observe = observe

    def datagram_arrived(self, hosted: HostedMember, source: Address, datagram: bytes) -> None:
        """Deliver a datagram from the member's socket after the link's delay, or drop it."""
        delay = self._links.draw_delay(hosted.spec.zone, source)
        if delay is not None:
            self._timers.call_at(time.monotonic() + delay, lambda: self._deliver(hosted, source, datagram))

    def handle_output(self, hosted: HostedMember, output: Output) -> None:
        """Send the datagrams of a member's step, report its observations and set its timer."""
        for transmit in output.datagrams:
            hosted.sent += len(transmit.datagram) + PACKET_OVERHEAD_BYTES
            if transmit.destination in self._real:
                self._send_to_real(hosted, transmit)
            else:
                self._sockets.send(hosted.spec.index, transmit.datagram, transmit.destination)
        for observation in output.observations:
            self._observe(hosted, observation)
        self._set_timer(hosted)

    def pause(self, hosted: HostedMember) -> None:
        """Stop delivering events to the member; its datagrams are queued."""
        hosted.stopped = True
        self._sockets.unwatch(hosted.spec.index)

    def unpause(self, hosted: HostedMember) -> None:
        """Resume reading the member's socket."""
        hosted.stopped = False
        self._sockets.watch(hosted.spec.index)

    def deliver_queued(self, hosted: HostedMember) -> None:
        """Deliver the datagrams that were queued while the member was paused."""
        queued, hosted.queued = hosted.queued, []
        for source, datagram in queued:
            self._deliver(hosted, source, datagram)
        self._set_timer(hosted)

    def set_partition(self, partitioned: bool) -> None:
        """Separate the first region from the others, or reconnect them."""
        self._links.partitioned = partitioned

    def _deliver(self, hosted: HostedMember, source: Address, datagram: bytes) -> None:
        if hosted.process is None or not self._links.is_open(hosted.spec.zone, source):
            return
        if hosted.stopped:
            hosted.queued.append((source, datagram))
            return
        hosted.received += len(datagram) + PACKET_OVERHEAD_BYTES
        self.handle_output(hosted, hosted.process.receive(time.monotonic(), source, datagram))

    def _send_to_real(self, hosted: HostedMember, transmit: Transmit) -> None:
        """Apply the link before sending, because no worker reads a real process's socket."""
        delay = self._links.draw_delay(hosted.spec.zone, transmit.destination)
        if delay is None:
            return

        def send() -> None:
            if self._links.is_open(hosted.spec.zone, transmit.destination):
                self._sockets.send(hosted.spec.index, transmit.datagram, transmit.destination)

        self._timers.call_at(time.monotonic() + delay, send)

    def _set_timer(self, hosted: HostedMember) -> None:
        """Queue a timer for the member's next deadline.

        If an earlier timer is queued already, the deadline is checked again when that timer expires.
        """
        if hosted.process is None:
            return
        deadline = max(hosted.process.next_deadline, time.monotonic() + MIN_TIMER_DELAY)
        if hosted.timer_expiry is None or deadline < hosted.timer_expiry:
            hosted.timer_expiry = deadline
            self._timers.call_at(deadline, lambda: self._timer_expired(hosted, deadline))

    def _timer_expired(self, hosted: HostedMember, set_for: float) -> None:
        if hosted.timer_expiry != set_for:
            return  # an earlier timer replaced this one
        hosted.timer_expiry = None
        if hosted.process is None or hosted.stopped:
            return
        now = time.monotonic()
        if hosted.process.next_deadline <= now:
            self.handle_output(hosted, hosted.process.tick(now))
        else:
            self._set_timer(hosted)
