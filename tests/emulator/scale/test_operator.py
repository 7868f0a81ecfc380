"""The operator, who submits changes to the voters."""

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


class Voters:
    """What the operator sends and records."""

    def __init__(self, topology: Topology, publications: tuple[Publication, ...]) -> None:
        self.requests: list[Publish] = []
        self.records: list[Record] = []
        timeline = Timeline((PhaseSpan("p", 0, 100, True),), (), publications)
        self.operator = Operator(topology, timeline, self.requests.append, self.records.append, "east")


def test_the_operator_tries_another_voter_after_a_failure_and_keeps_to_it(topology: Topology) -> None:
    """The first voter has no majority. The operator retries at the next one, which commits the change, and
    submits its next change there at once.
    """
    voters = Voters(
        topology, (Publication(1.0, PublicationKind.CHANGE), Publication(9.0, PublicationKind.CHANGE))
    )
    voters.operator.advance(0.5)
    assert not voters.requests
    voters.operator.advance(1.0)
    voters.operator.result_received(1.1, PublishResult(0, 0, "NO_MAJORITY"))
    voters.operator.advance(1.5)
    voters.operator.result_received(1.6, PublishResult(0, 1, "", 4, 1))
    voters.operator.advance(9.0)
    assert [(request.change, request.member) for request in voters.requests] == [(0, 0), (0, 1), (1, 1)]
    assert Confirmed(1.6, 0, 1, 4, 1) in voters.records


def test_the_operator_gives_up_a_change_that_no_voter_answers(topology: Topology) -> None:
    """All voters are silent. The operator retries after each time-out and gives up in the end, so that
    attempts do not pile up over a long run.
    """
    voters = Voters(topology, (Publication(1.0, PublicationKind.CHANGE),))
    now = 1.0
    while now < 100:
        voters.operator.advance(now)
        now += 0.1
    assert 8 <= len(voters.requests) <= 13  # each RESULT_TIMEOUT, until it gives up
    assert RESULT_TIMEOUT == 5.0


def test_a_publisher_is_killed_once_and_its_change_is_retried(topology: Topology) -> None:
    """The publisher is to be killed just after it got a change. The first voter is not the publisher, the
    second one is, and is killed. The third attempt must be an ordinary one: a second kill would test
    another fault.
    """
    voters = Voters(topology, (Publication(1.0, PublicationKind.LOSE_PUBLISHER, 0.01, 2.0),))
    voters.operator.advance(1.0)
    voters.operator.result_received(1.0, PublishResult(0, 0, NOT_PUBLISHER))
    voters.operator.advance(1.5)
    voters.operator.result_received(1.6, PublishResult(0, 1, "the member is down"))
    voters.operator.advance(2.0)
    assert [(request.member, request.kill_after) for request in voters.requests] == [
        (0, 0.01),
        (1, 0.01),
        (2, None),
    ]


def test_a_conflicting_change_goes_to_the_minority_and_is_not_retried(topology: Topology) -> None:
    """During a partition an operator on the minority side submits a change, which must fail. A retry after
    the partition would succeed and hide a change that was wrongly accepted.
    """
    voters = Voters(topology, (Publication(1.0, PublicationKind.CONFLICT),))
    voters.operator.advance(1.0)
    voters.operator.result_received(1.6, PublishResult(0, voters.requests[0].member, "NO_MAJORITY"))
    voters.operator.advance(5.0)
    assert [topology.members[request.member].region for request in voters.requests] == ["east"]
