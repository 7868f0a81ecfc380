"""The timers of a worker process."""

from __future__ import annotations

import time
from random import Random

from saltcourse.emulator.scale.timer_queue import LAG_SAMPLES, MAX_TIMERS_AT_ONCE, LagSample, TimerQueue


def test_timers_expire_in_the_order_of_time_and_then_of_calls() -> None:
    timers = TimerQueue(Random(1))
    expired: list[str] = []
    now = time.monotonic()
    timers.call_at(now - 1, lambda: expired.append("second"))
    timers.call_at(now - 1, lambda: expired.append("third"))
    timers.call_at(now - 2, lambda: expired.append("first"))
    timers.call_at(now + 3_600, lambda: expired.append("never"))
    timers.run_expired()
    assert expired == ["first", "second", "third"]
    assert timers.next_expiry(now + 7_200) == now + 3_600
    assert timers.next_expiry(now + 1) == now + 1
    assert 2 <= timers.lag.max < 60 and timers.lag.p99 == timers.lag.max


def test_repeated_timers_keep_to_whole_intervals() -> None:
    """A worker is late by three intervals. The timer catches up, and its next expiry is a whole interval from
    the begin: lag does not add up.
    """
    timers = TimerQueue(Random(1))
    calls: list[float] = []
    begin = time.monotonic() - 350.0
    timers.call_every(begin, 100.0, lambda: calls.append(time.monotonic()))
    timers.run_expired()
    assert len(calls) == 3
    assert timers.next_expiry(begin + 1e6) == begin + 400.0


def test_sockets_are_read_between_many_expired_timers() -> None:
    """A timer sets itself again at once. Without a bound the worker would never read its sockets again."""
    timers = TimerQueue(Random(1))
    count = 0

    def again() -> None:
        nonlocal count
        count += 1
        timers.call_at(0.0, again)

    again()
    timers.run_expired()
    assert count == MAX_TIMERS_AT_ONCE + 1


def test_the_lag_sample_is_bounded_and_covers_the_whole_run() -> None:
    lag = LagSample(Random(1))
    assert (lag.p99, lag.max) == (0.0, 0.0)
    for _ in range(LAG_SAMPLES):
        lag.add(0.0)
    for _ in range(LAG_SAMPLES):
        lag.add(1.0)
    assert lag.p99 == 1.0 and lag.max == 1.0
    assert len(lag._lags) == LAG_SAMPLES
    assert 0.4 < sum(lag._lags) / LAG_SAMPLES < 0.6
