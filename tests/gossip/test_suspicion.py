"""Timers of suspicions.

The story: a process that did not run for a while finds all its timers expired at once. The suspects'
refutations could not be received meanwhile, so none of them may be declared dead for it.
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
    Lone,
    answering,
    record_of,
)


def test_a_late_tick_drops_probes_and_restarts_suspicions() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    lone = Lone(*others)
    lone.receive(others[1], Gossip((StatusUpdate(others[0].id, 0, SUSPECT),)))
    lone.run(3.0, answering(*others[1:]))
    lone.now = 63.0
    for send in lone.membership.tick(lone.now):
        lone.receive(*(answering(*others[1:])(send) or (others[1], Gossip())))
    assert lone.figure("stalls") == 1 and lone.figure("deaths") == 0
    wait = TIMING.suspicion_multiplier * TIMING.probe_interval
    lone.run(63.0 + wait - 0.1, answering(*others[1:]))
    assert lone.status(others[0]) is SUSPECT
    lone.run(63.0 + wait + 0.6, answering(*others[1:]))
    assert lone.status(others[0]) is DEAD
    assert lone.figure("suspicions") == 0 and lone.figure("zones_silent") == 0


def test_stopped_timers_do_not_pile_up() -> None:
    timers = SuspicionTimers()
    for number in range(10_000):
        timers.start(float(number), number % 3, 5.0)
        timers.stop(number % 3)
    assert len(timers._heap) < 200
    assert timers.next_deadline() == math.inf
