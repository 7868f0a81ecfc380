"""Tests of complete nodes in the emulator: random fault schedules, detection times and traffic.

Any faults may coincide. All members must agree within a stated time after the last fault, and none may ever
violate an invariant of ``saltcourse.emulator.gossip.checker``.
"""

from __future__ import annotations

import random

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    AGREEMENT_LIMIT_SECONDS,
    false_alarms,
    kill_and_detect,
    missing_heartbeat,
    publish_until_answered,
    publisher_of,
    start_fleet,
    traffic_per_s,
    wait_until,
    wait_until_applied,
)
from saltcourse.emulator.gossip.schedule import CHANGE_LIMIT_SECONDS, run_schedule
from saltcourse.gossip.messages import (
    ConnectionCount,
    Freshness,
)
from tests.gossip.node_fleet import (
    BYTES_PER_S,
    SMALL_SCHEDULE,
    cut_region,
    false_deaths_of_partition,
)

SCHEDULES = 30  # small schedules; the emulator's command plays larger and longer ones
MAX_GROWTH = 1.5  # ratio of the bytes per member in fleets of 60 and 20 members
MAX_FALSE_SUSPICIONS = 1  # within 45 s, with 0.5% loss and one process stopped for 5 s
MAX_EVENTS_PER_S = 50  # at a member that receives nothing
PARTITION_SECONDS = 120.0


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_random_fault_schedule_violates_no_invariant(seed: int) -> None:
    run_schedule(seed, **SMALL_SCHEDULE)


def test_schedules_are_deterministic() -> None:
    assert run_schedule(3, **SMALL_SCHEDULE) == run_schedule(3, **SMALL_SCHEDULE)


@pytest.mark.parametrize("seed", range(3))
def test_change_reaches_all_members_in_5_s_with_loss_and_two_failures(seed: int) -> None:
    world = start_fleet(seed, 15)
    publisher = publisher_of(world)
    control = next(v.name for v in world.voters if v.name != publisher)
    world.crash(control)
    world.crash("proxy-3")
    world.run(0.5)
    token = world.publish(publisher)
    wait_until_applied(world, token, CHANGE_LIMIT_SECONDS)


@pytest.mark.parametrize("seed", range(3))
def test_killed_member_is_detected_by_all_within_the_stated_time(seed: int) -> None:
    kill_and_detect(start_fleet(seed, 15), "proxy-4")


def test_all_members_agree_10_s_after_a_partition_of_120_s() -> None:
    world = start_fleet(1, 3)
    cut_region(world, PARTITION_SECONDS)
    token = publish_until_answered(world, publisher_of(world))
    world.heal()
    healed_at = world.network.now
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    wait_until_applied(world, token, 0.0)
    world.run(AGREEMENT_LIMIT_SECONDS)
    alarms = false_alarms(world, healed_at, "")
    assert alarms.deaths == 0 and alarms.suspicions <= MAX_FALSE_SUSPICIONS


@pytest.mark.parametrize("seed", range(1, 4))
def test_partition_of_regions_causes_no_false_deaths(seed: int) -> None:
    assert false_deaths_of_partition(seed) == 0


def test_loss_and_a_stopped_process_cause_no_false_deaths_and_few_suspicions() -> None:
    world = start_fleet(2, 15, Faults(loss=0.005, duplication=0.0))
    started_at = world.network.now
    world.run(10.0)
    world.stop("proxy-7")
    world.run(5.0)
    world.resume("proxy-7")
    world.run(30.0)
    alarms = false_alarms(world, started_at, except_for="proxy-7")
    assert alarms.deaths == 0
    assert alarms.suspicions <= MAX_FALSE_SUSPICIONS


def max_traffic_per_s(proxies: int, seconds: float = 8.0) -> float:
    """Return the highest traffic of a member, in bytes sent and received per second.

    One change is published, and the proxies' connection counts change every second.
    """
    world = start_fleet(5, proxies)
    rng = random.Random(5)

    def report_connections() -> None:
        for host in world.hosts_in():
            if host.startswith("proxy"):
                world.send_event(host, ConnectionCount(rng.randrange(100_000)))
        world.network.call_at(world.network.now + 1.0, report_connections)

    report_connections()
    world.run(3.0)
    world.publish(publisher_of(world), (("limits/proxy", b"x" * 300),))
    return max(traffic_per_s(world, seconds).values())


def test_traffic_stays_within_the_budget_and_grows_little_with_the_fleet() -> None:
    small, large = max_traffic_per_s(15), max_traffic_per_s(55)
    assert small < BYTES_PER_S and large < BYTES_PER_S
    assert large / small < MAX_GROWTH


def test_stale_member_has_no_busy_loop() -> None:
    world = start_fleet(6, 0, Faults(loss=0.0, duplication=0.0))
    world.partition(["control-4"])
    world.run(world.timing.stale_after + 2.0)
    process = world.processes["control-4"]
    assert process.freshness is Freshness.STALE
    events_before = process.events.total()
    world.run(10.0)
    assert process.events.total() - events_before < 10 * MAX_EVENTS_PER_S
