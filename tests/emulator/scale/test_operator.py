"""The operator: submission of changes to the voters, retries and time-outs."""

from __future__ import annotations

from saltcourse.emulator.scale.operator import RESULT_TIMEOUT, Operator
from saltcourse.emulator.scale.records import Confirmed, Record
from saltcourse.emulator.scale.timeline import (
    PhaseSpan,
    Publication,
    PublicationKind,
    Timeline,
)
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import NOT_PUBLISHER, Publish, PublishResult


class OperatorHarness:
    """An operator with the requests that it sends and the records that it writes."""

    def __init__(self, topology: Topology, publications: tuple[Publication, ...]) -> None:
        self.requests: list[Publish] = []
        self.records: list[Record] = []
        timeline = Timeline((PhaseSpan("p", 0, 100, True),), (), publications)
        self.operator = Operator(topology, timeline, self.requests.append, self.records.append, "east")


def test_the_operator_retries_at_another_voter_and_prefers_the_one_that_confirmed(topology: Topology) -> None:
    """The first voter has no majority. The operator retries at the next voter, which commits the change, and
    submits its next change to that voter first.
    """
    harness = OperatorHarness(
        topology, (Publication(1.0, PublicationKind.CHANGE), Publication(9.0, PublicationKind.CHANGE))
    )
    harness.operator.advance(0.5)
    assert not harness.requests
    harness.operator.advance(1.0)
    harness.operator.result_received(1.1, PublishResult(0, 0, "NO_MAJORITY"))
    harness.operator.advance(1.5)
    harness.operator.result_received(1.6, PublishResult(0, 1, "", 4, 1))
    harness.operator.advance(9.0)
    assert [(request.change, request.member) for request in harness.requests] == [(0, 0), (0, 1), (1, 1)]
    assert Confirmed(1.6, 0, 1, 4, 1) in harness.records


def test_the_operator_gives_up_a_change_that_no_voter_answers(topology: Topology) -> None:
    """No voter answers. The operator retries after each time-out and gives up after the retry deadline, so
    that attempts do not accumulate in a long run.
    """
    harness = OperatorHarness(topology, (Publication(1.0, PublicationKind.CHANGE),))
    now = 1.0
    while now < 100:
        harness.operator.advance(now)
        now += 0.1
    assert 8 <= len(harness.requests) <= 13  # one per RESULT_TIMEOUT until RETRY_DEADLINE
    assert RESULT_TIMEOUT == 5.0


def test_a_publisher_is_killed_once_and_its_change_is_retried(topology: Topology) -> None:
    """A change is to kill the publisher. The first voter is not the publisher; the second one is, and is
    killed. The third attempt must not kill again, because the fault is the loss of one publisher.
    """
    harness = OperatorHarness(topology, (Publication(1.0, PublicationKind.LOSE_PUBLISHER, 0.01, 2.0),))
    harness.operator.advance(1.0)
    harness.operator.result_received(1.0, PublishResult(0, 0, NOT_PUBLISHER))
    harness.operator.advance(1.5)
    harness.operator.result_received(1.6, PublishResult(0, 1, "the member is down"))
    harness.operator.advance(2.0)
    assert [(request.member, request.kill_after) for request in harness.requests] == [
        (0, 0.01),
        (1, 0.01),
        (2, None),
    ]


def test_a_conflicting_change_goes_to_the_minority_and_is_not_retried(topology: Topology) -> None:
    """During a partition, a change submitted on the minority side must fail. A retry after the partition
    would succeed and hide that the minority wrongly accepted the change.
    """
    harness = OperatorHarness(topology, (Publication(1.0, PublicationKind.CONFLICT),))
    harness.operator.advance(1.0)
    harness.operator.result_received(1.6, PublishResult(0, harness.requests[0].member, "NO_MAJORITY"))
    harness.operator.advance(5.0)
    assert [topology.members[request.member].region for request in harness.requests] == ["east"]
