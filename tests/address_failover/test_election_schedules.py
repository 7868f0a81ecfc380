"""The election under random schedules of faults, and under any order of them that Hypothesis finds.

The checks look from outside (``saltcourse.emulator.election``), and must find each broken election.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase
from hypothesis import settings as effort
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from saltcourse.address_failover.election import Election
from saltcourse.address_failover.events import AnnouncerAvailabilityChanged
from saltcourse.emulator.election import PropertyViolationError, SimulatedElection, run_schedule, voters_of
from saltcourse.emulator.simnet import Link
from tests.address_failover.broken_elections import BROKEN_ELECTIONS

SCHEDULES = 2000
THREE = voters_of(3, 1)


def test_no_schedule_of_faults_breaks_a_property() -> None:
    announcements = sum(len(run_schedule(seed).announcements) for seed in range(SCHEDULES))
    assert announcements > SCHEDULES  # they did something


@pytest.mark.parametrize("core", BROKEN_ELECTIONS)
def test_schedules_find_a_broken_core(core: type[Election]) -> None:
    with pytest.raises(PropertyViolationError):
        for seed in range(SCHEDULES):
            run_schedule(seed, core)


class FaultMachine(RuleBasedStateMachine):
    """Three members, of which one is a witness, and faults that befall them in any order."""

    core: type[Election] = Election
    member = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.world = SimulatedElection(
            3, THREE, Link(delay=(0.0, 0.05), duplication=0.1), drift=0.01, core=self.core
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
        (self.world.net.resume if host.stopped else self.world.net.stop)(host)

    @rule(one=member, other=member, both=st.booleans())
    def cut(self, one: int, other: int, both: bool) -> None:
        self.world.net.cut(f"n{one}", f"n{other}", both)

    @rule(which=member, back=st.booleans())
    def cut_two_after_quiet(self, which: int, back: bool) -> None:
        """All is well, or two are cut off from one another that the third still reaches, for a while."""
        self.world.net.heal()
        for name, host in self.world.net.hosts.items():
            if not host.alive:
                self.world.start(name)
            elif host.stopped:
                self.world.net.resume(host)
        if not back:
            self.world.net.cut(f"n{which}", f"n{(which + 1) % 3}")
        self.wait(2.0)

    @rule()
    def heal(self) -> None:
        self.world.net.heal()

    @rule(which=member, available=st.booleans())
    def change_announcer(self, which: int, available: bool) -> None:
        self.world.notify(f"n{which}", AnnouncerAvailabilityChanged(available))

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
    run_state_machine_as_test(FaultMachine, settings=effort(max_examples=60, **EFFORT))


@pytest.mark.parametrize("core", BROKEN_ELECTIONS)
def test_any_order_of_faults_finds_a_broken_core(core: type[Election]) -> None:
    machine = type("BrokenMachine", (FaultMachine,), {"core": core})
    with pytest.raises(PropertyViolationError):
        run_state_machine_as_test(machine, settings=effort(max_examples=300, **EFFORT))
