"""The timers of a worker process."""

from __future__ import annotations

import time
from random import Random

from saltcourse.emulator.scale.timer_queue import LAG_SAMPLES, MAX_TIMERS_AT_ONCE, LagSample, TimerQueue


def test_timers_run_in_order_of_expiry_and_then_of_insertion() -> None:
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


def test_repeated_timers_do_not_drift() -> None:
    """A worker is more than three intervals late. The timer runs three times, and its next expiry is still a
    multiple of the interval after the start: lag does not accumulate.
    """
    timers = TimerQueue(Random(1))
    calls: list[float] = []
    begin = time.monotonic() - 350.0
    timers.call_every(begin, 100.0, lambda: calls.append(time.monotonic()))
    timers.run_expired()
    assert len(calls) == 3
    assert timers.next_expiry(begin + 1e6) == begin + 400.0


def test_the_number_of_timers_run_at_once_is_bounded() -> None:
    """A timer always schedules itself again for a past time. Without the bound, the worker would never return
    to reading its sockets.
    """
    timers = TimerQueue(Random(1))
    count = 0

    def reschedule() -> None:
        nonlocal count
        count += 1
        timers.call_at(0.0, reschedule)

    reschedule()
    timers.run_expired()
    assert count == MAX_TIMERS_AT_ONCE + 1


def test_the_lag_sample_is_bounded_and_uniform_over_the_run() -> None:
    lag = LagSample(Random(1))
    assert (lag.p99, lag.max) == (0.0, 0.0)
    for _ in range(LAG_SAMPLES):
        lag.add(0.0)
    for _ in range(LAG_SAMPLES):
        lag.add(1.0)
    assert lag.p99 == 1.0 and lag.max == 1.0
    assert len(lag._lags) == LAG_SAMPLES
    assert 0.4 < sum(lag._lags) / LAG_SAMPLES < 0.6
