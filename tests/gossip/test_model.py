"""The whole node in virtual time: random schedules of faults, and how fast and cheap it is.

The story: any fault may meet any other one. After the last fault all members must agree within a stated time,
and until then none may break an invariant of ``saltcourse.emulator.gossip.checker``.
"""

from __future__ import annotations

import random

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    AGREED_WITHIN,
    change_in_force,
    false_alarms,
    formed,
    kill_and_detect,
    publish_until_answered,
    publisher_of,
    publishes,
    traffic_per_s,
    within,
)
from saltcourse.emulator.gossip.schedule import CHANGE_WITHIN, run_schedule
from saltcourse.gossip.messages import (
    ConnectionCount,
    Freshness,
)
from tests.gossip.node_fleet import (
    BYTES_PER_S,
    SMALL,
    cut_region,
    deaths_of_a_cut,
)

SCHEDULES = 30  # small ones; the emulator's entry plays larger and longer ones
MOST_GROWTH = 1.5  # of bytes per member from 20 to 60 members
MOST_FALSE_SUSPICIONS = 1  # in 45 s with 1 in 200 datagrams lost and one process starved for 5 s
MOST_WAKES_PER_S = 50  # of a member that hears nothing
CUT_SECONDS = 120.0


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_a_random_schedule_of_faults_breaks_no_property(seed: int) -> None:
    run_schedule(seed, **SMALL)


def test_a_schedule_gives_the_same_result_every_time() -> None:
    assert run_schedule(3, **SMALL) == run_schedule(3, **SMALL)


@pytest.mark.parametrize("seed", range(3))
def test_a_change_is_everywhere_in_5_s_with_loss_and_two_failures(seed: int) -> None:
    world = formed(seed, 15)
    publisher = publisher_of(world)
    control = next(v.name for v in world.voters if v.name != publisher)
    world.crash(control)
    world.crash("proxy-3")
    world.run(0.5)
    token = world.publish(publisher)
    change_in_force(world, token, CHANGE_WITHIN)


@pytest.mark.parametrize("seed", range(3))
def test_a_killed_member_is_known_everywhere_within_the_stated_time(seed: int) -> None:
    kill_and_detect(formed(seed, 15), "proxy-4")


def test_after_a_region_cut_of_120_s_all_agree_within_10_s() -> None:
    world = formed(1, 3)
    cut_region(world, CUT_SECONDS)
    token = publish_until_answered(world, publisher_of(world))
    world.heal()
    healed = world.network.now
    within(world, AGREED_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    change_in_force(world, token, 0.0)
    world.run(AGREED_WITHIN)
    alarms = false_alarms(world, healed, "")
    assert alarms.deaths == 0 and alarms.suspicions <= MOST_FALSE_SUSPICIONS


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_region_cut_off_is_no_heap_of_dead_members(seed: int) -> None:
    assert deaths_of_a_cut(seed) == 0


def test_loss_and_a_starved_process_cause_no_false_deaths_and_few_suspicions() -> None:
    world = formed(2, 15, Faults(loss=0.005, duplication=0.0))
    begun = world.network.now
    world.run(10.0)
    world.stop("proxy-7")
    world.run(5.0)
    world.resume("proxy-7")
    world.run(30.0)
    alarms = false_alarms(world, begun, except_for="proxy-7")
    assert alarms.deaths == 0
    assert alarms.suspicions <= MOST_FALSE_SUSPICIONS


def ordinary_bytes(proxies: int, seconds: float = 8.0) -> float:
    """The most that one member sent and received a second, with one change and counts that move."""
    world = formed(5, proxies)
    counts = random.Random(5)

    def count() -> None:
        for host in world.hosts_in():
            if host.startswith("proxy"):
                world.send_event(host, ConnectionCount(counts.randrange(100_000)))
        world.network.call_at(world.network.now + 1.0, count)

    count()
    world.run(3.0)
    world.publish(publisher_of(world), (("limits/proxy", b"x" * 300),))
    return max(traffic_per_s(world, seconds).values())


def test_bytes_of_a_member_are_within_the_budget_and_hardly_grow_with_the_fleet() -> None:
    small, large = ordinary_bytes(15), ordinary_bytes(55)
    assert small < BYTES_PER_S and large < BYTES_PER_S
    assert large / small < MOST_GROWTH


def test_a_stale_member_does_not_wake_without_end() -> None:
    world = formed(6, 0, Faults(loss=0.0, duplication=0.0))
    world.partition(["control-4"])
    world.run(world.timing.stale_after + 2.0)
    process = world.processes["control-4"]
    assert process.freshness is Freshness.STALE
    before = process.events.total()
    world.run(10.0)
    assert process.events.total() - before < 10 * MOST_WAKES_PER_S
