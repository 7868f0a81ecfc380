"""The operator of a scale run: hands changes to the voters in their time, and again when a try failed.

No I/O and no clock: ``send`` takes each order to the worker that hosts the voter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.emulator.scale.records import Confirmed, Handed, NotConfirmed, Record
from saltcourse.emulator.scale.timeline import Duty, Publication, Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import NOT_PUBLISHER, Publish, PublishResult

ANSWER_WITHIN = 5.0  # s, a little over the voters' own publish_timeout; then another one is asked
TRY_AGAIN_AFTER = 0.2  # s
GIVE_UP_AFTER = 60.0  # s from the first try
NO_ANSWER = "no answer in time"


@dataclass(slots=True)
class _Pending:
    change: int
    publication: Publication
    first_handed: float
    voter: int  # its place among the voters
    answer_until: float = 0.0
    try_at: float | None = None  # when it is to be handed over again


class Operator:
    """Times count from the begin of the run."""

    def __init__(
        self,
        topology: Topology,
        timeline: Timeline,
        send: Callable[[Publish], None],
        record: Callable[[Record], None],
        minority_region: str,
    ) -> None:
        self._voters = [place.index for place in topology.voters]
        self._minority = [
            number for number, place in enumerate(topology.voters) if place.region == minority_region
        ]
        self._send = send
        self._record = record
        self._waiting = list(timeline.publications)
        self._pending: dict[int, _Pending] = {}
        self._preferred = 0  # the voter that took the last change
        self._change = 0

    def advance(self, now: float) -> None:
        while self._waiting and self._waiting[0].at <= now:
            self._begin(now, self._waiting.pop(0))
        for pending in list(self._pending.values()):
            if pending.try_at is not None and pending.try_at <= now:
                self._hand(now, pending)
            elif pending.try_at is None and pending.answer_until <= now:
                self._failed(now, pending, NO_ANSWER)

    def answered(self, now: float, result: PublishResult) -> None:
        pending = self._pending.get(result.change)
        if pending is None:
            return  # a voter that was given up, or that confirms it once more
        if not result.reason:
            self._record(Confirmed(now, result.change, result.member, result.epoch, result.version))
            self._preferred = self._voters.index(result.member)
            del self._pending[result.change]
        elif pending.try_at is None and result.member == self._voters[pending.voter]:
            self._failed(now, pending, result.reason)

    def _begin(self, now: float, publication: Publication) -> None:
        voter = self._preferred
        if publication.duty is Duty.CONFLICT:
            if not self._minority:
                return
            voter = self._minority[0]
        pending = _Pending(self._change, publication, now, voter)
        self._pending[self._change] = pending
        self._change += 1
        self._hand(now, pending)

    def _hand(self, now: float, pending: _Pending) -> None:
        pending.try_at = None
        pending.answer_until = now + ANSWER_WITHIN
        voter = self._voters[pending.voter]
        publication = pending.publication
        self._record(Handed(now, pending.change, voter, publication.duty.value))
        if publication.duty is Duty.LOSE_PUBLISHER:
            self._send(Publish(pending.change, voter, publication.kill_after, publication.restart_after))
        else:
            self._send(Publish(pending.change, voter, padding=publication.padding))

    def _failed(self, now: float, pending: _Pending, reason: str) -> None:
        self._record(NotConfirmed(now, pending.change, self._voters[pending.voter], reason))
        if pending.publication.duty is Duty.CONFLICT or now > pending.first_handed + GIVE_UP_AFTER:
            del self._pending[pending.change]
            return
        if pending.publication.duty is Duty.LOSE_PUBLISHER and reason != NOT_PUBLISHER:
            # The publisher is lost by now; the change itself goes on as any other.
            pending.publication = Publication(pending.publication.at, Duty.CHANGE)
        pending.voter = (pending.voter + 1) % len(self._voters)
        pending.try_at = now + TRY_AGAIN_AFTER
