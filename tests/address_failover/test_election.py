"""The election, one fault a test, on the simulated network; audited by announcements and withdrawals."""

from __future__ import annotations

import pytest

from saltcourse.address_failover.actions import AnnounceAddress, ExtendLease, SendMessage, WithdrawAddress
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.errors import InvalidVotersError
from saltcourse.address_failover.events import (
    AnnouncerAvailabilityChanged,
    MessageReceived,
    ShutdownRequested,
)
from saltcourse.address_failover.terms import term_round
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.voters import ElectionConfig, Voter
from saltcourse.emulator.election import SimulatedElection, voters_of
from saltcourse.emulator.simnet import Link


def settled_election(count: int = 3, witnesses: int = 1) -> SimulatedElection:
    """Members n0, n1, ... of falling priority, the last ones witnesses, of which n0 holds the lease."""
    election = SimulatedElection(1, voters_of(count, witnesses), Link())
    for voter in election.voters:
        election.start(voter.name, never_promised=True)
    election.net.run(1.0)
    assert election.holder() == "n0"
    return election


def test_all_started_at_once_settle_on_the_highest_priority_in_one_announcement() -> None:
    # Five members start at one instant and all could become candidates. The delay between priorities has to
    # spare them a split vote: the preferred one announces, once.
    assert [change.member for change in settled_election(5, 2).announcements] == ["n0"]


def test_a_planned_leave_transfers_the_lease_within_a_tenth_of_a_second() -> None:
    # The holder is shut down on purpose. It withdraws, releases the voters and names a successor, so that
    # nobody waits for its lease to expire.
    election = settled_election()
    election.notify("n0", ShutdownRequested())
    election.net.run(1.1)
    assert election.holder() == "n1" and election.announcements[-1].time - election.withdrawals[-1].time < 0.1


def test_a_holder_that_cannot_announce_transfers_its_lease_and_holds_again_only_once_it_can() -> None:
    # The holder loses all its route servers while its lease is good. Another member takes over; the first one
    # is needed again when that one crashes, and by then it can announce.
    election = settled_election()
    election.notify("n0", AnnouncerAvailabilityChanged(False))
    election.net.run(3.0)
    assert [change.member for change in election.announcements] == ["n0", "n1"]
    election.notify("n0", AnnouncerAvailabilityChanged(True))
    election.crash("n1", True)
    election.net.run(5.0)
    assert election.holder() == "n0"


@pytest.mark.parametrize("ways", [("n0", "others"), ("others", "n0"), ("both", "both")])
def test_a_holder_that_is_cut_off_withdraws_before_another_announces(ways: tuple[str, str]) -> None:
    # The network loses what the holder sends, what is sent to it, or both. Its lease expires by its own clock
    # before the voters' promises do. When the network is mended the new holder stays.
    election = settled_election()
    for other in ("n1", "n2"):
        election.net.cuts |= {("n0", other)} if ways[0] != "others" else set()
        election.net.cuts |= {(other, "n0")} if ways[0] != "n0" else set()
    election.net.run(3.0)
    assert election.holder() == "n1" and election.withdrawals[0].time < election.announcements[-1].time < 3.0
    election.net.heal()
    election.net.run(6.0)
    assert election.holder() == "n1" and len(election.announcements) == 2  # the healthy holder stays


def test_a_holder_that_was_stopped_withdraws_before_anything_else() -> None:
    # The holder's process is stopped for longer than its lease, as by SIGSTOP, and another member takes
    # over. The first message that it finds in its socket must not be acted upon before it has withdrawn.
    election = settled_election()
    host = election.net.hosts["n0"]
    election.net.stop(host)
    election.net.run(4.0)
    assert election.holder() == "n1"
    waiting = [event for event in host.pending_events if isinstance(event, MessageReceived)]
    actions = election.cores["n0"].handle(host.clock(4.0), waiting[0])
    outward = (AnnounceAddress, ExtendLease, SendMessage, WithdrawAddress)
    first = next(action for action in actions if isinstance(action, outward))
    assert isinstance(first, WithdrawAddress)


def test_a_lost_witness_changes_nothing_and_without_a_majority_nobody_holds() -> None:
    # First the witness crashes, then one more member of three: the last one alone is no majority and must
    # withdraw. With the witness back it holds again.
    election = settled_election()
    election.crash("n2", True)
    election.net.run(5.0)
    assert election.holder() == "n0" and len(election.announcements) == 1
    election.crash("n1", True)
    election.net.run(8.0)
    assert election.holder() is None
    election.start("n2")
    election.net.run(10.0)
    assert election.holder() == "n0"


def test_rounds_grow_with_every_announcement_though_members_remember_nothing() -> None:
    # Each holder in turn crashes and loses its disk. Route servers rank routes by the round, so a member that
    # has forgotten all its terms must not announce in an old one.
    election = settled_election()
    for _ in range(4):
        holder = election.holder()
        assert holder is not None
        election.crash(holder, keeps_disk=False)
        election.net.run(election.net.now + 2.0)
        election.start(holder)
        election.net.run(election.net.now + 2.0)
    rounds = [term_round(change.term) for change in election.announcements]
    assert len(rounds) == 5 and rounds == sorted(set(rounds))  # ranks are made of rounds


@pytest.mark.parametrize(
    "voters, own_name, named",
    [
        ((Voter("a"), Voter("a")), "a", "twice"),
        ((Voter("a"),), "b", "b is not among"),
        ((Voter("a", witness=True),), "a", "witnesses"),
        (tuple(Voter(f"m{i}") for i in range(65)), "m0", "64 at most"),
    ],
)
def test_voters_that_cannot_elect_a_holder_are_rejected(
    voters: tuple[Voter, ...], own_name: str, named: str
) -> None:
    with pytest.raises(InvalidVotersError, match=named):
        Election(ElectionConfig(voters, own_name, ElectionTiming()), 1, 0.0)
