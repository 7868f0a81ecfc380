"""The election: schedules of faults on the simulated network, every order of a small model, and each check
against cores that are broken on purpose."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as effort
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from saltcourse.address_failover.actions import (
    AnnounceAddress,
    ExtendLease,
    SendMessage,
    SetTimer,
    StoreVote,
    WithdrawAddress,
)
from saltcourse.address_failover.election import Election, Role
from saltcourse.address_failover.errors import InvalidVotersError
from saltcourse.address_failover.events import (
    AnnouncerAvailabilityChanged,
    MessageReceived,
    ShutdownRequested,
    TimerExpired,
)
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.terms import term_round
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.vote import RecoveredState, Vote
from saltcourse.address_failover.voters import ElectionConfig, Voter
from saltcourse.emulator.election import PropertyViolationError, SimulatedElection, run_schedule, voters_of
from saltcourse.emulator.simnet import Link

SCHEDULES = 2000
THREE = voters_of(3, 1)


class BrokenPromises(VoterPromises):
    """Promises to whoever asks, whatever was promised before."""

    def allows(self, now: float, member: str, transferred_term: int = 0) -> bool:
        return True


class NoLeaseWait(Election):
    """Votes for whoever asks, whatever it promised."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, recovered)
        self.promises = BrokenPromises(config.own_name, config.timing.lease_duration, now, recovered)


class NoPreVote(Election):
    """Becomes a candidate without asking first."""

    def _become_pre_candidate(self) -> None:
        if self.promises.allows(self.now, self.own_name):
            self._start_candidacy(Role.CANDIDATE)
        else:
            self._follow()


class VoteForgotten(Election):
    """A restart knows nothing and waits for nothing."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, RecoveredState(never_promised=True))


BROKEN = [NoLeaseWait, NoPreVote, VoteForgotten]


def test_no_schedule_of_faults_breaks_a_property() -> None:
    announcements = sum(len(run_schedule(seed).announcements) for seed in range(SCHEDULES))
    assert announcements > SCHEDULES  # they did something


@pytest.mark.parametrize("core", BROKEN)
def test_schedules_find_a_broken_core(core: type[Election]) -> None:
    with pytest.raises(PropertyViolationError):
        for seed in range(SCHEDULES):
            run_schedule(seed, core)


# ---- one trouble a test -------------------------------------------------------------------------


def world(count: int = 3, witnesses: int = 1, **changes: Any) -> SimulatedElection:
    """Members that have settled on n0."""
    found = SimulatedElection(1, voters_of(count, witnesses), Link(), **changes)
    for voter in found.voters:
        found.start(voter.name, never_promised=True)
    found.net.run(1.0)
    assert found.holder() == "n0"
    return found


def test_all_started_at_once_settle_on_the_highest_priority_in_one_claim() -> None:
    assert [change.member for change in world(5, 2).announcements] == ["n0"]


def test_a_planned_leave_hands_over_within_a_tenth_of_a_second() -> None:
    w = world()
    w.notify("n0", ShutdownRequested())
    w.net.run(1.1)
    assert w.holder() == "n1" and w.announcements[-1].time - w.withdrawals[-1].time < 0.1


def test_a_holder_that_can_not_announce_gives_way_and_does_not_come_back_before_it_can() -> None:
    w = world()
    w.notify("n0", AnnouncerAvailabilityChanged(False))
    w.net.run(3.0)
    assert [change.member for change in w.announcements] == ["n0", "n1"]
    w.notify("n0", AnnouncerAvailabilityChanged(True))
    w.crash("n1", True)
    w.net.run(5.0)
    assert w.holder() == "n0"


@pytest.mark.parametrize("ways", [("n0", "others"), ("others", "n0"), ("both", "both")])
def test_a_holder_that_is_cut_off_withdraws_before_another_claims(ways: tuple[str, str]) -> None:
    w = world()
    for other in ("n1", "n2"):
        w.net.cuts |= {("n0", other)} if ways[0] != "others" else set()
        w.net.cuts |= {(other, "n0")} if ways[0] != "n0" else set()
    w.net.run(3.0)
    assert w.holder() == "n1" and w.withdrawals[0].time < w.announcements[-1].time < 3.0
    w.net.heal()
    w.net.run(6.0)
    assert w.holder() == "n1" and len(w.announcements) == 2  # the healthy holder stays


def test_a_stopped_holder_withdraws_on_waking_before_anything_else() -> None:
    w = world()
    host = w.net.hosts["n0"]
    w.net.stop(host)
    w.net.run(4.0)
    assert w.holder() == "n1"
    words = [e for e in host.waiting if isinstance(e, MessageReceived)]
    actions = w.cores["n0"].handle(host.clock(4.0), words[0])
    assert isinstance(
        [a for a in actions if isinstance(a, AnnounceAddress | ExtendLease | SendMessage | WithdrawAddress)][
            0
        ],
        WithdrawAddress,
    )


def test_a_lost_witness_changes_nothing_and_without_a_majority_nobody_holds() -> None:
    w = world()
    w.crash("n2", True)
    w.net.run(5.0)
    assert w.holder() == "n0" and len(w.announcements) == 1
    w.crash("n1", True)
    w.net.run(8.0)
    assert w.holder() is None
    w.start("n2")
    w.net.run(10.0)
    assert w.holder() == "n0"


def test_terms_grow_with_every_claim_also_of_members_that_remember_nothing() -> None:
    w = world()
    for _ in range(4):
        held = w.holder()
        assert held is not None
        w.crash(held, keeps_disk=False)
        w.net.run(w.net.now + 2.0)
        w.start(held)
        w.net.run(w.net.now + 2.0)
    rounds = [term_round(change.term) for change in w.announcements]
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
def test_members_that_can_not_be_are_refused(voters: tuple[Voter, ...], own_name: str, named: str) -> None:
    with pytest.raises(InvalidVotersError, match=named):
        Election(ElectionConfig(voters, own_name, ElectionTiming()), 1, 0.0)


# ---- any order of faults --------------------------------------------------------------------------


class Machine(RuleBasedStateMachine):
    core: type[Election] = Election
    member = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.world = SimulatedElection(
            3, THREE, Link(delay=(0.0, 0.05), double=0.1), drift=0.01, core=self.core
        )
        for voter in THREE:
            self.world.start(voter.name)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 0.7, 2.0]))
    def wait(self, seconds: float) -> None:
        self.world.net.run(self.world.net.now + seconds)

    @rule(which=member, keeps=st.booleans())
    def crash(self, which: int, keeps: bool) -> None:
        self.world.crash(f"n{which}", keeps)

    @rule(which=member)
    def start(self, which: int) -> None:
        if not self.world.net.hosts[f"n{which}"].alive:
            self.world.start(f"n{which}")

    @rule(which=member)
    def stop_or_go_on(self, which: int) -> None:
        host = self.world.net.hosts[f"n{which}"]
        (self.world.net.go_on if host.stopped else self.world.net.stop)(host)

    @rule(one=member, other=member, both=st.booleans())
    def cut(self, one: int, other: int, both: bool) -> None:
        self.world.net.cut(f"n{one}", f"n{other}", both)

    @rule(which=member, back=st.booleans())
    def lose_sight(self, which: int, back: bool) -> None:
        """Two that the third one still sees; or all go well for a while."""
        self.world.net.heal()
        for name, host in self.world.net.hosts.items():
            if not host.alive:
                self.world.start(name)
            elif host.stopped:
                self.world.net.go_on(host)
        if not back:
            self.world.net.cut(f"n{which}", f"n{(which + 1) % 3}")
        self.wait(2.0)

    @rule()
    def heal(self) -> None:
        self.world.net.heal()

    @rule(which=member, able=st.booleans())
    def announcer(self, which: int, able: bool) -> None:
        self.world.notify(f"n{which}", AnnouncerAvailabilityChanged(able))

    @invariant()
    def at_most_one(self) -> None:
        assert sum(ends > self.world.net.now for ends in self.world.lease_ends.values()) <= 1


EFFORT: dict[str, Any] = {
    "derandomize": True,
    "database": None,
    "deadline": None,
    "print_blob": False,
    "report_multiple_bugs": False,
    "phases": [Phase.generate],
    "suppress_health_check": list(HealthCheck),
    "stateful_step_count": 40,
}


def test_any_order_of_faults_keeps_the_properties() -> None:
    run_state_machine_as_test(Machine, settings=effort(max_examples=60, **EFFORT))


@pytest.mark.parametrize("core", BROKEN)
def test_any_order_of_faults_finds_a_broken_core(core: type[Election]) -> None:
    machine = type("BrokenMachine", (Machine,), {"core": core})
    with pytest.raises(PropertyViolationError):
        run_state_machine_as_test(machine, settings=effort(max_examples=300, **EFFORT))


# ---- every order of a small model -----------------------------------------------------------------


def _config(name: str) -> ElectionConfig:
    return ElectionConfig(THREE, name, ElectionTiming())


class Even:
    """Draws that are always in the middle, so that states are equal that look equal."""

    def random(self) -> float:
        return 0.5


class Small:
    """Three members, messages that wait to be delivered in any order or never, one restart."""

    def __init__(self, core: type[Election]) -> None:
        self.now, self.restarts = 0.0, 1
        self.core = core
        self.members = {
            s.name: core(_config(s.name), 0, 0.0, RecoveredState(never_promised=True)) for s in THREE
        }
        self.wakes: dict[str, float] = {}
        self.flight: frozenset[tuple[str, str, Any]] = frozenset()
        self.ends: dict[str, float] = {}
        self.terms: dict[int, str] = {}
        self.told: dict[str, frozenset[str]] = {}  # who was heard since this member last rang
        for name, member in self.members.items():
            member.random = Even()  # type: ignore[assignment]
            self.carry_out(name, member.start(0.0))

    def copy(self) -> Small:
        new = copy.copy(self)
        new.members = {}
        for name, member in self.members.items():
            new.members[name] = twin = copy.copy(member)
            twin.grants, twin.last_received = copy.deepcopy(member.grants), dict(member.last_received)
            twin.promises = copy.copy(member.promises)
        new.wakes, new.ends, new.terms = dict(self.wakes), dict(self.ends), dict(self.terms)
        new.told = dict(self.told)
        return new

    def key(self) -> tuple[Any, ...]:
        return (
            self.now,
            self.flight,
            self.restarts,
            *(
                (
                    m.role,
                    m.promises.vote,
                    m.promises.promise.receiver,
                    m.promises.promise.ends_at,
                    m.term,
                    m.lease_ends_at,
                    m.next_candidacy_at,
                    m.next_send_at,
                    m.candidacy_ends_at,
                    tuple(sorted(m.grants.request_sent_at.items())),
                    m.promises.abstains_until,
                )
                for m in self.members.values()
            ),
        )

    def steps(self) -> list[tuple[str, Any]]:
        found: list[tuple[str, Any]] = [("ring", n) for n in self.wakes]
        return found + [("deliver", f) for f in self.flight] + [("restart", "n2")] * self.restarts

    def take(self, kind: str, what: Any) -> None:
        if kind == "ring":
            self.now = max(self.now, self.wakes.pop(what))
            self.carry_out(what, self.members[what].handle(self.now, TimerExpired()))
        elif kind == "deliver":
            self.flight -= {what}
            sender, receiver, message = what
            self.told[receiver] = self.told.get(receiver, frozenset()) | {sender}
            self.carry_out(
                receiver, self.members[receiver].handle(self.now, MessageReceived(sender, message))
            )
        else:
            self.restarts -= 1
            member = self.members[what] = self.core(_config(what), 0, self.now, RecoveredState())
            member.random = Even()  # type: ignore[assignment]
            self.carry_out(what, member.start(self.now))

    def carry_out(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, message):
                    self.flight |= {(name, member, message)}
                case StoreVote(Vote(_, voted, _)) if voted == name and not self.told.get(name):
                    raise PropertyViolationError(
                        f"{name} stands though nobody could have told it that it may"
                    )
                case AnnounceAddress(term):
                    if self.terms.setdefault(term, name) != name or term in list(self.terms)[:-1]:
                        raise PropertyViolationError(f"a second claim of term {term}")
                case ExtendLease(until):
                    if any(ends > self.now for other, ends in self.ends.items() if other != name):
                        raise PropertyViolationError(f"{name} holds beside another")
                    self.ends[name] = until
                case WithdrawAddress():
                    self.ends.pop(name, None)
        for action in actions:
            if isinstance(action, SetTimer):
                self.wakes[name] = action.at


def explore(start: Small, depth: int) -> int:
    """Every order of so many steps; the number of states met."""
    seen, edge = {start.key()}, [start]
    for _ in range(depth):
        beyond = []
        for state in edge:
            for step in state.steps():
                new = state.copy()
                new.take(*step)
                if (key := new.key()) not in seen:
                    seen.add(key)
                    beyond.append(new)
        edge = beyond
    return len(seen)


def holding(core: type[Election]) -> Small:
    """n0 holds by the witness's promise; n1 has heard nothing of it."""
    small = Small(core)
    small.take("ring", "n0")
    while not small.ends:
        found = [f for f in small.flight if set(f[:2]) == {"n0", "n2"}]
        small.take("deliver", max(found, key=lambda f: (f[2].term, f[1])))
    small.flight = frozenset()
    return small


def test_every_order_of_a_small_model_keeps_the_properties() -> None:
    assert explore(Small(Election), 5) > 1000
    assert explore(holding(Election), 6) > 1000


@pytest.mark.parametrize("core", BROKEN)
def test_every_order_of_a_small_model_finds_a_broken_core(core: type[Election]) -> None:
    with pytest.raises(PropertyViolationError):
        explore(Small(core), 5)
        explore(holding(core), 7)
