"""The election on the simulated network, one fault per test; checks announcements and withdrawals."""

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
    """Return an election of n0, n1, ... by decreasing priority, the last ones witnesses, that n0 has won."""
    election = SimulatedElection(1, voters_of(count, witnesses), Link())
    for voter in election.voters:
        election.start(voter.name, never_promised=True)
    election.net.run(1.0)
    assert election.holder() == "n0"
    return election


def test_members_started_simultaneously_elect_the_highest_priority_in_one_announcement() -> None:
    # Five members start at the same time. Without the delay between priorities they would all become
    # candidates and split the vote.
    assert [change.member for change in settled_election(5, 2).announcements] == ["n0"]


def test_a_planned_leave_transfers_the_lease_within_a_tenth_of_a_second() -> None:
    # The holder is shut down as planned. It withdraws, releases the promises and transfers the lease, so the
    # successor need not wait for the lease to expire.
    election = settled_election()
    election.notify("n0", ShutdownRequested())
    election.net.run(1.1)
    assert election.holder() == "n1" and election.announcements[-1].time - election.withdrawals[-1].time < 0.1


def test_a_holder_that_cannot_announce_transfers_its_lease_until_it_can_announce_again() -> None:
    # The holder loses all its route servers while its lease is valid, and another member takes over. When
    # that one crashes, the first member, which can announce again by then, becomes the holder.
    election = settled_election()
    election.notify("n0", AnnouncerAvailabilityChanged(False))
    election.net.run(3.0)
    assert [change.member for change in election.announcements] == ["n0", "n1"]
    election.notify("n0", AnnouncerAvailabilityChanged(True))
    election.crash("n1", True)
    election.net.run(5.0)
    assert election.holder() == "n0"


@pytest.mark.parametrize("cut", ["outgoing", "incoming", "both"])
def test_a_holder_that_is_cut_off_withdraws_before_another_announces(cut: str) -> None:
    # The network drops the holder's outgoing messages, its incoming ones, or both. Its lease expires on its
    # own clock before the voters' promises do. After the network recovers, the new holder keeps the lease.
    election = settled_election()
    for other in ("n1", "n2"):
        election.net.cuts |= {("n0", other)} if cut != "incoming" else set()
        election.net.cuts |= {(other, "n0")} if cut != "outgoing" else set()
    election.net.run(3.0)
    assert election.holder() == "n1" and election.withdrawals[0].time < election.announcements[-1].time < 3.0
    election.net.heal()
    election.net.run(6.0)
    assert election.holder() == "n1" and len(election.announcements) == 2


def test_a_holder_resumed_after_its_lease_expired_withdraws_before_it_does_anything_else() -> None:
    # The holder's process is stopped, as by SIGSTOP, for longer than its lease, and another member takes
    # over. After the process resumes, it must withdraw before it acts on messages that are queued in its
    # socket.
    election = settled_election()
    host = election.net.hosts["n0"]
    election.net.stop(host)
    election.net.run(4.0)
    assert election.holder() == "n1"
    queued = [event for event in host.pending_events if isinstance(event, MessageReceived)]
    actions = election.cores["n0"].handle(host.clock(4.0), queued[0])
    external_actions = (AnnounceAddress, ExtendLease, SendMessage, WithdrawAddress)
    first = next(action for action in actions if isinstance(action, external_actions))
    assert isinstance(first, WithdrawAddress)


def test_the_lease_survives_a_crash_of_the_witness_but_not_the_loss_of_the_majority() -> None:
    # The witness of three members crashes, then another member: the remaining one has no majority and must
    # withdraw. After the witness returns, the remaining member holds the lease again.
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


def test_rounds_increase_with_every_announcement_even_if_members_lose_their_disks() -> None:
    # Each holder in turn crashes and loses its disk. Route servers prefer routes by the round, so a member
    # that has lost all its terms must not announce in an old one.
    election = settled_election()
    for _ in range(4):
        holder = election.holder()
        assert holder is not None
        election.crash(holder, keeps_disk=False)
        election.net.run(election.net.now + 2.0)
        election.start(holder)
        election.net.run(election.net.now + 2.0)
    rounds = [term_round(change.term) for change in election.announcements]
    assert len(rounds) == 5 and rounds == sorted(set(rounds))


@pytest.mark.parametrize(
    "voters, own_name, error",
    [
        ((Voter("a"), Voter("a")), "a", "duplicate name in a, a"),
        ((Voter("a"),), "b", "this member, b, is not one of a"),
        ((Voter("a", witness=True),), "a", "all are witnesses"),
        (tuple(Voter(f"m{i}") for i in range(65)), "m0", "65 configured, at most 64"),
    ],
)
def test_voters_that_cannot_elect_a_holder_are_rejected(
    voters: tuple[Voter, ...], own_name: str, error: str
) -> None:
    with pytest.raises(InvalidVotersError, match=error):
        Election(ElectionConfig(voters, own_name, ElectionTiming()), 1, 0.0)
