"""The operator of a scale run: submits changes to the voters at their time, with retries.

No I/O and no clock: ``send`` passes each order to the worker that hosts the voter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.emulator.scale.records import ChangeSubmitted, Confirmed, NotConfirmed, Record
from saltcourse.emulator.scale.timeline import Publication, PublicationKind, Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import NOT_PUBLISHER, Publish, PublishResult

RESULT_TIMEOUT = 5.0  # s, a little over the voters' own publish_timeout; then another one is tried
RETRY_DELAY = 0.2  # s
RETRY_DEADLINE = 60.0  # s from the first attempt
NO_ANSWER = "no answer in time"


@dataclass(slots=True)
class _Pending:
    change: int
    publication: Publication
    first_submitted: float
    voter: int  # its position among the voters
    answer_until: float = 0.0
    try_at: float | None = None  # when the next attempt begins; None while one is in flight


class Operator:
    """Submits each publication until a voter confirms it. Times are seconds since the begin of the run."""

    def __init__(
        self,
        topology: Topology,
        timeline: Timeline,
        send: Callable[[Publish], None],
        record: Callable[[Record], None],
        minority_region: str,
    ) -> None:
        self._voters = [spec.index for spec in topology.voters]
        self._minority = [
            number for number, spec in enumerate(topology.voters) if spec.region == minority_region
        ]
        self._send = send
        self._record = record
        self._waiting = list(timeline.publications)
        self._pending: dict[int, _Pending] = {}
        self._preferred = 0  # the voter that confirmed the last change
        self._change = 0

    def advance(self, now: float) -> None:
        """Begins attempts whose time has come, and ends those without a result in time."""
        while self._waiting and self._waiting[0].at <= now:
            self._begin(now, self._waiting.pop(0))
        for pending in list(self._pending.values()):
            if pending.try_at is not None and pending.try_at <= now:
                self._submit(now, pending)
            elif pending.try_at is None and pending.answer_until <= now:
                self._failed(now, pending, NO_ANSWER)

    def result_received(self, now: float, result: PublishResult) -> None:
        """Takes a voter's result; one of an attempt that timed out still confirms its change."""
        pending = self._pending.get(result.change)
        if pending is None:
            return  # the change was abandoned, or is confirmed once more
        if not result.reason:
            self._record(Confirmed(now, result.change, result.member, result.epoch, result.version))
            self._preferred = self._voters.index(result.member)
            del self._pending[result.change]
        elif pending.try_at is None and result.member == self._voters[pending.voter]:
            self._failed(now, pending, result.reason)

    def _begin(self, now: float, publication: Publication) -> None:
        voter = self._preferred
        if publication.kind is PublicationKind.CONFLICT:
            if not self._minority:
                return
            voter = self._minority[0]
        pending = _Pending(self._change, publication, now, voter)
        self._pending[self._change] = pending
        self._change += 1
        self._submit(now, pending)

    def _submit(self, now: float, pending: _Pending) -> None:
        pending.try_at = None
        pending.answer_until = now + RESULT_TIMEOUT
        voter = self._voters[pending.voter]
        publication = pending.publication
        self._record(ChangeSubmitted(now, pending.change, voter, publication.kind.value))
        if publication.kind is PublicationKind.LOSE_PUBLISHER:
            self._send(Publish(pending.change, voter, publication.kill_after, publication.restart_after))
        else:
            self._send(Publish(pending.change, voter, padding=publication.padding))

    def _failed(self, now: float, pending: _Pending, reason: str) -> None:
        self._record(NotConfirmed(now, pending.change, self._voters[pending.voter], reason))
        if (
            pending.publication.kind is PublicationKind.CONFLICT
            or now > pending.first_submitted + RETRY_DEADLINE
        ):
            del self._pending[pending.change]
            return
        if pending.publication.kind is PublicationKind.LOSE_PUBLISHER and reason != NOT_PUBLISHER:
            # The publisher has been killed by now; the change itself is retried like any other.
            pending.publication = Publication(pending.publication.at, PublicationKind.CHANGE)
        pending.voter = (pending.voter + 1) % len(self._voters)
        pending.try_at = now + RETRY_DELAY
