"""The operator's changes at the members of one worker, and their results."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from saltcourse.emulator.scale.fault_injection import FaultInjector
from saltcourse.emulator.scale.hollow import HollowMember, PublicationConfirmed, PublicationFailed
from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.timeline import Act
from saltcourse.emulator.scale.timer_queue import TimerQueue
from saltcourse.emulator.scale.worker_messages import DOWN, NOT_PUBLISHER, Publish, PublishResult


class PublicationResults:
    """Sends the result of each publication to the operator, once."""

    def __init__(self, send: Callable[[PublishResult], None]) -> None:
        self._send = send

    def confirmed(self, hosted: HostedMember, seen: PublicationConfirmed) -> None:
        """The change was committed."""
        hosted.publishing.discard(seen.change)
        self._send(PublishResult(seen.change, hosted.place.index, "", seen.epoch, seen.version))

    def failed(self, hosted: HostedMember, seen: PublicationFailed) -> None:
        """The member could not commit the change."""
        hosted.publishing.discard(seen.change)
        self._send(PublishResult(seen.change, hosted.place.index, seen.reason))

    def rejected(self, change: int, member: int, reason: str) -> None:
        """The worker did not give the change to the member."""
        self._send(PublishResult(change, member, reason))

    def member_killed(self, hosted: HostedMember) -> None:
        """The operator's connection to the member breaks."""
        for change in hosted.publishing:
            self._send(PublishResult(change, hosted.place.index, DOWN))
        hosted.publishing = set()


class PublicationHandler:
    """Gives the operator's changes to the members."""

    def __init__(
        self,
        members: Mapping[int, HostedMember],
        host: MemberHost,
        faults: FaultInjector,
        timers: TimerQueue,
        results: PublicationResults,
    ) -> None:
        self._members = members
        self._host = host
        self._faults = faults
        self._timers = timers
        self._results = results

    def publish(self, order: Publish) -> None:
        """The result goes to the operator now, or when the member has one."""
        hosted = self._members[order.member]
        core = hosted.core
        if core is None or hosted.stopped:
            self._results.rejected(order.change, order.member, DOWN)
            return
        if order.kill_after is not None:
            if not core.is_publisher():
                self._results.rejected(order.change, order.member, NOT_PUBLISHER)
                return
            self._schedule_loss(hosted, order.kill_after, order.restart_after)
        self._publish_at(hosted, core, order)

    def _publish_at(self, hosted: HostedMember, core: HollowMember, order: Publish) -> None:
        hosted.publishing.add(order.change)
        self._host.execute(hosted, core.publish(time.monotonic(), order.change, order.padding))

    def _schedule_loss(self, hosted: HostedMember, kill_after: float, restart_after: float) -> None:
        killed_at = time.monotonic() + kill_after
        self._timers.call_at(killed_at, lambda: self._faults.apply(hosted, Act.KILL))
        if restart_after > 0:
            self._timers.call_at(killed_at + restart_after, lambda: self._faults.apply(hosted, Act.START))
