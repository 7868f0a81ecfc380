"""Suspicion timers.

When a process did not run for a while, all its timers have expired at once. It could not receive the
refutations of the suspects meanwhile, so it must not declare any of them dead.
"""

from __future__ import annotations

import math

from saltcourse.gossip.messages import (
    Gossip,
    StatusUpdate,
)
from saltcourse.gossip.suspicion import SuspicionTimers
from tests.gossip.membership_fleet import (
    DEAD,
    SUSPECT,
    TIMING,
    MemberHarness,
    acks_from,
    record_of,
)


def test_late_tick_cancels_probes_and_restarts_suspicions() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    harness = MemberHarness(*others)
    harness.receive(others[1], Gossip((StatusUpdate(others[0].id, 0, SUSPECT),)))
    harness.run(3.0, acks_from(*others[1:]))
    harness.now = 63.0
    for send in harness.membership.tick(harness.now):
        harness.receive(*(acks_from(*others[1:])(send) or (others[1], Gossip())))
    assert harness.metric("stalls") == 1 and harness.metric("deaths") == 0
    timeout = TIMING.suspicion_multiplier * TIMING.probe_interval
    harness.run(63.0 + timeout - 0.1, acks_from(*others[1:]))
    assert harness.status(others[0]) is SUSPECT
    harness.run(63.0 + timeout + 0.6, acks_from(*others[1:]))
    assert harness.status(others[0]) is DEAD
    assert harness.metric("suspicions") == 0 and harness.metric("zones_silent") == 0


def test_stopped_timers_do_not_accumulate() -> None:
    timers = SuspicionTimers()
    for number in range(10_000):
        timers.start(float(number), number % 3, 5.0)
        timers.stop(number % 3)
    assert len(timers._heap) < 200
    assert timers.next_deadline() == math.inf
