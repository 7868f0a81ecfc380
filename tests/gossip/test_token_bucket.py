"""The token bucket that bounds what a member sends and answers."""

import pytest

from saltcourse.gossip.token_bucket import TokenBucket


def test_bucket_spends_available_tokens_and_fills_at_its_rate():
    bucket = TokenBucket(rate=100, burst=50)
    assert bucket.available(10.0) == 50
    assert bucket.take(10.0, 50) and not bucket.take(10.0, 1)
    assert not bucket.take(10.125, 13) and bucket.take(10.125, 12.5)
    assert bucket.available(99.0) == 50


def test_debt_is_bounded_and_paid_back():
    bucket = TokenBucket(rate=100, burst=50)
    bucket.force(0.0, 1_000)
    assert bucket.available(0.0) == -50
    assert not bucket.take(0.5, 1)
    assert bucket.take(1.0, 50)


def test_available_at_is_the_time_of_the_next_token():
    bucket = TokenBucket(rate=100, burst=50)
    assert bucket.available_at() < 0
    bucket.force(10.0, 80)
    assert bucket.available_at() == pytest.approx(10.31)
    assert bucket.available(bucket.available_at()) == pytest.approx(1)
    assert bucket.available_at() == pytest.approx(10.31)


def test_clock_that_goes_back_adds_no_tokens():
    bucket = TokenBucket(rate=100, burst=50)
    assert bucket.take(10.0, 50)
    assert bucket.available(5.0) == 0
    assert bucket.available(10.0) == 0
    assert bucket.available(10.2) == pytest.approx(20)
