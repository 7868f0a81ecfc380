"""The operator of a scale run: submits the scheduled changes to the voters, with retries.

No I/O and no clock: the callback ``send`` passes each request to the worker that hosts the voter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.emulator.scale.records import ChangeSubmitted, Confirmed, NotConfirmed, Record
from saltcourse.emulator.scale.timeline import Publication, PublicationKind, Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import NOT_PUBLISHER, Publish, PublishResult

RESULT_TIMEOUT = 5.0  # seconds per attempt; a little longer than the voters' own publish_timeout
RETRY_DELAY = 0.2  # seconds between a failed attempt and the next one
RETRY_DEADLINE = 60.0  # seconds from the first attempt; later failures are not retried
NO_ANSWER = "no answer in time"


@dataclass(slots=True)
class _PendingChange:
    change: int
    publication: Publication
    first_submitted: float
    voter: int  # position in the list of voters
    result_deadline: float = 0.0  # end of the current attempt
    retry_at: float | None = None  # start of the next attempt; None while one is in flight


class Operator:
    """Submits each publication until a voter confirms it. Times are seconds since the start of the run.

    Conflicting changes go to a voter in ``minority_region`` and are not retried.
    """

    def __init__(
        self,
        topology: Topology,
        timeline: Timeline,
        send: Callable[[Publish], None],
        record: Callable[[Record], None],
        minority_region: str,
    ) -> None:
        self._voters = [spec.index for spec in topology.voters]
        self._minority_voters = [
            number for number, spec in enumerate(topology.voters) if spec.region == minority_region
        ]
        self._send = send
        self._record = record
        self._scheduled = list(timeline.publications)
        self._pending: dict[int, _PendingChange] = {}
        self._preferred_voter = 0  # the voter that confirmed the last change
        self._next_change = 0

    def advance(self, now: float) -> None:
        """Submit the scheduled changes and retries up to ``now``, and time out attempts without a result."""
        while self._scheduled and self._scheduled[0].at <= now:
            self._submit_new(now, self._scheduled.pop(0))
        for pending in list(self._pending.values()):
            if pending.retry_at is not None and pending.retry_at <= now:
                self._submit(now, pending)
            elif pending.retry_at is None and pending.result_deadline <= now:
                self._attempt_failed(now, pending, NO_ANSWER)

    def result_received(self, now: float, result: PublishResult) -> None:
        """Process a voter's result. A late confirmation of an attempt that timed out still counts."""
        pending = self._pending.get(result.change)
        if pending is None:
            return  # the change was abandoned or is already confirmed
        if not result.reason:
            self._record(Confirmed(now, result.change, result.member, result.epoch, result.version))
            self._preferred_voter = self._voters.index(result.member)
            del self._pending[result.change]
        elif pending.retry_at is None and result.member == self._voters[pending.voter]:
            self._attempt_failed(now, pending, result.reason)

    def _submit_new(self, now: float, publication: Publication) -> None:
        voter = self._preferred_voter
        if publication.kind is PublicationKind.CONFLICT:
            if not self._minority_voters:
                return
            voter = self._minority_voters[0]
        pending = _PendingChange(self._next_change, publication, now, voter)
        self._pending[self._next_change] = pending
        self._next_change += 1
        self._submit(now, pending)

    def _submit(self, now: float, pending: _PendingChange) -> None:
        pending.retry_at = None
        pending.result_deadline = now + RESULT_TIMEOUT
        voter = self._voters[pending.voter]
        publication = pending.publication
        self._record(ChangeSubmitted(now, pending.change, voter, publication.kind.value))
        if publication.kind is PublicationKind.LOSE_PUBLISHER:
            self._send(Publish(pending.change, voter, publication.kill_after, publication.restart_after))
        else:
            self._send(Publish(pending.change, voter, padding=publication.padding))

    def _attempt_failed(self, now: float, pending: _PendingChange, reason: str) -> None:
        self._record(NotConfirmed(now, pending.change, self._voters[pending.voter], reason))
        if (
            pending.publication.kind is PublicationKind.CONFLICT
            or now > pending.first_submitted + RETRY_DEADLINE
        ):
            del self._pending[pending.change]
            return
        if pending.publication.kind is PublicationKind.LOSE_PUBLISHER and reason != NOT_PUBLISHER:
            # The publisher was killed. Retry as an ordinary change, so that only one publisher is killed.
            pending.publication = Publication(pending.publication.at, PublicationKind.CHANGE)
        pending.voter = (pending.voter + 1) % len(self._voters)
        pending.retry_at = now + RETRY_DELAY
