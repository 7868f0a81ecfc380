"""Passes the operator's changes to the members of one worker, and their results back."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from saltcourse.emulator.scale.fault_injection import FaultInjector
from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.simulated_member import (
    PublicationConfirmed,
    PublicationFailed,
    SimulatedMember,
)
from saltcourse.emulator.scale.timeline import FaultAction
from saltcourse.emulator.scale.timer_queue import TimerQueue
from saltcourse.emulator.scale.worker_messages import DOWN, NOT_PUBLISHER, Publish, PublishResult


class PublicationResults:
    """Sends one result of each publish request to the operator."""

    def __init__(self, send: Callable[[PublishResult], None]) -> None:
        self._send = send

    def confirmed(self, hosted: HostedMember, observation: PublicationConfirmed) -> None:
        """Report that the change was committed."""
        hosted.pending_changes.discard(observation.change)
        self._send(
            PublishResult(observation.change, hosted.spec.index, "", observation.epoch, observation.version)
        )

    def failed(self, hosted: HostedMember, observation: PublicationFailed) -> None:
        """Report that the member did not commit the change."""
        hosted.pending_changes.discard(observation.change)
        self._send(PublishResult(observation.change, hosted.spec.index, observation.reason))

    def rejected(self, change: int, member: int, reason: str) -> None:
        """Report that the worker did not pass the change to the member."""
        self._send(PublishResult(change, member, reason))

    def member_killed(self, hosted: HostedMember) -> None:
        """Report failure of all pending changes: a killed member's operator connections break."""
        for change in hosted.pending_changes:
            self._send(PublishResult(change, hosted.spec.index, DOWN))
        hosted.pending_changes = set()


class PublicationHandler:
    """Passes the operator's changes to the members."""

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

    def publish(self, request: Publish) -> None:
        """Pass the change to the member, or reject it if the member cannot publish it.

        The result is sent to the operator at once or when the member reports it.
        """
        hosted = self._members[request.member]
        process = hosted.process
        if process is None or hosted.stopped:
            self._results.rejected(request.change, request.member, DOWN)
            return
        if request.kill_after is not None:
            if not process.is_publisher():
                self._results.rejected(request.change, request.member, NOT_PUBLISHER)
                return
            self._schedule_kill(hosted, request.kill_after, request.restart_after)
        self._publish(hosted, process, request)

    def _publish(self, hosted: HostedMember, process: SimulatedMember, request: Publish) -> None:
        hosted.pending_changes.add(request.change)
        self._host.handle_output(hosted, process.publish(time.monotonic(), request.change, request.padding))

    def _schedule_kill(self, hosted: HostedMember, kill_after: float, restart_after: float) -> None:
        killed_at = time.monotonic() + kill_after
        self._timers.call_at(killed_at, lambda: self._faults.apply(hosted, FaultAction.KILL))
        if restart_after > 0:
            self._timers.call_at(
                killed_at + restart_after, lambda: self._faults.apply(hosted, FaultAction.START)
            )
