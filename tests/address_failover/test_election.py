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

from saltcourse.address_failover import election
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.messages import (
    MOST_MEMBERS,
    Announcer,
    Claim,
    Hold,
    Leave,
    Received,
    Seat,
    Store,
    Tell,
    Tick,
    Timing,
    Vote,
    Withdraw,
)
from saltcourse.emulator.election import Broken, World, play, seats_of
from saltcourse.emulator.simnet import Link

SCHEDULES = 2000
THREE = seats_of(3, 1)


class NoLeaseWait(Election):
    """Votes for whoever asks, whatever it promised."""

    def _may_promise(self, member: str, freed: int = 0) -> bool:
        return True


class NoPreVote(Election):
    def _seek(self) -> None:
        self._begin(election.Phase.STANDING) if self._may_promise(self.me) else self._wait()


class VoteForgotten(Election):
    """A restart knows nothing and waits for nothing."""

    def __init__(self, seats: Any, me: str, timing: Timing, seed: int, now: float, *_: Any) -> None:
        super().__init__(seats, me, timing, seed, now, None, True)


BROKEN = [NoLeaseWait, NoPreVote, VoteForgotten]


def test_no_schedule_of_faults_breaks_a_property() -> None:
    claims = sum(len(play(seed).claims) for seed in range(SCHEDULES))
    assert claims > SCHEDULES  # they did something


@pytest.mark.parametrize("core", BROKEN)
def test_schedules_find_a_broken_core(core: type[Election]) -> None:
    with pytest.raises(Broken):
        for seed in range(SCHEDULES):
            play(seed, core)


# ---- one trouble a test -------------------------------------------------------------------------


def world(count: int = 3, witnesses: int = 1, **changes: Any) -> World:
    """Members that have settled on n0."""
    found = World(1, seats_of(count, witnesses), Link(), **changes)
    for seat in found.seats:
        found.start(seat.name, fresh=True)
    found.net.run(1.0)
    assert found.holder() == "n0"
    return found


def test_all_started_at_once_settle_on_the_highest_priority_in_one_claim() -> None:
    assert [name for _, name, _ in world(5, 2).claims] == ["n0"]


def test_a_planned_leave_hands_over_within_a_tenth_of_a_second() -> None:
    w = world()
    w.tell("n0", Leave())
    w.net.run(1.1)
    assert w.holder() == "n1" and w.claims[-1][0] - w.withdrawn[-1][0] < 0.1


def test_a_holder_that_can_not_announce_gives_way_and_does_not_come_back_before_it_can() -> None:
    w = world()
    w.tell("n0", Announcer(False))
    w.net.run(3.0)
    assert [name for _, name, _ in w.claims] == ["n0", "n1"]
    w.tell("n0", Announcer(True))
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
    assert w.holder() == "n1" and w.withdrawn[0][0] < w.claims[-1][0] < 3.0
    w.net.heal()
    w.net.run(6.0)
    assert w.holder() == "n1" and len(w.claims) == 2  # the healthy holder stays


def test_a_stopped_holder_withdraws_on_waking_before_anything_else() -> None:
    w = world()
    host = w.net.hosts["n0"]
    w.net.stop(host)
    w.net.run(4.0)
    assert w.holder() == "n1"
    words = [e for e in host.waiting if isinstance(e, Received)]
    actions = w.cores["n0"].handle(host.clock(4.0), words[0])
    assert isinstance([a for a in actions if isinstance(a, Claim | Hold | Tell | Withdraw)][0], Withdraw)


def test_a_lost_witness_changes_nothing_and_without_a_majority_nobody_holds() -> None:
    w = world()
    w.crash("n2", True)
    w.net.run(5.0)
    assert w.holder() == "n0" and len(w.claims) == 1
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
    rounds = [term // MOST_MEMBERS for _, _, term in w.claims]
    assert len(rounds) == 5 and rounds == sorted(set(rounds))  # ranks are made of rounds


@pytest.mark.parametrize(
    "seats, me, named",
    [
        ((Seat("a"), Seat("a")), "a", "twice"),
        ((Seat("a"),), "b", "b is not among"),
        ((Seat("a", witness=True),), "a", "witnesses"),
        (tuple(Seat(f"m{i}") for i in range(65)), "m0", "64 at most"),
    ],
)
def test_members_that_can_not_be_are_refused(seats: tuple[Seat, ...], me: str, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        Election(seats, me, Timing(), 1, 0.0)


# ---- any order of faults --------------------------------------------------------------------------


class Machine(RuleBasedStateMachine):
    core: type[Election] = Election
    member = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.world = World(3, THREE, Link(delay=(0.0, 0.05), double=0.1), drift=0.01, core=self.core)
        for seat in THREE:
            self.world.start(seat.name)

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
        self.world.tell(f"n{which}", Announcer(able))

    @invariant()
    def at_most_one(self) -> None:
        assert sum(ends > self.world.net.now for ends in self.world.ends.values()) <= 1


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
    with pytest.raises(Broken):
        run_state_machine_as_test(machine, settings=effort(max_examples=300, **EFFORT))


# ---- every order of a small model -----------------------------------------------------------------


class Even:
    """Draws that are always in the middle, so that states are equal that look equal."""

    def random(self) -> float:
        return 0.5


class Small:
    """Three members, messages that wait to be delivered in any order or never, one restart."""

    def __init__(self, core: type[Election]) -> None:
        self.now, self.restarts = 0.0, 1
        self.core = core
        self.members = {s.name: core(THREE, s.name, Timing(), 0, 0.0, None, True) for s in THREE}
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
            twin.grants, twin.heard = dict(member.grants), dict(member.heard)
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
                    m.phase,
                    m.vote,
                    m.promised,
                    m.promise_ends,
                    m.term,
                    m.lease_ends,
                    m.next_try,
                    m.next_ask,
                    m.gives_up,
                    tuple(sorted(m.grants.items())),
                    m.abstains_until,
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
            self.carry_out(what, self.members[what].handle(self.now, Tick()))
        elif kind == "deliver":
            self.flight -= {what}
            sender, receiver, message = what
            self.told[receiver] = self.told.get(receiver, frozenset()) | {sender}
            self.carry_out(receiver, self.members[receiver].handle(self.now, Received(sender, message)))
        else:
            self.restarts -= 1
            member = self.members[what] = self.core(THREE, what, Timing(), 0, self.now, None, False, 0)
            member.random = Even()  # type: ignore[assignment]
            self.carry_out(what, member.start(self.now))

    def carry_out(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case Tell(member, message):
                    self.flight |= {(name, member, message)}
                case Store(Vote(_, voted, _)) if voted == name and not self.told.get(name):
                    raise Broken(f"{name} stands though nobody could have told it that it may")
                case Claim(term):
                    if self.terms.setdefault(term, name) != name or term in list(self.terms)[:-1]:
                        raise Broken(f"a second claim of term {term}")
                case Hold(until):
                    if any(ends > self.now for other, ends in self.ends.items() if other != name):
                        raise Broken(f"{name} holds beside another")
                    self.ends[name] = until
                case Withdraw():
                    self.ends.pop(name, None)
        for action in actions:
            if type(action).__name__ == "SetTimer":
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
    with pytest.raises(Broken):
        explore(Small(core), 5)
        explore(holding(core), 7)
