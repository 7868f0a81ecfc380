"""The replay window: each sequence number is accepted at most once, and none older than the window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saltcourse.address_failover.replay_window import WINDOW_SIZE, ReplayWindow


def test_numbers_within_the_window_are_accepted_once_in_any_order() -> None:
    window = ReplayWindow()
    assert window.accept(WINDOW_SIZE)
    assert all(window.accept(number) for number in range(1, WINDOW_SIZE))
    assert not any(window.accept(number) for number in range(1, WINDOW_SIZE + 1))


def test_a_number_older_than_the_window_is_not_accepted() -> None:
    window = ReplayWindow()
    assert window.accept(WINDOW_SIZE + 1)
    assert not window.accept(1) and window.accept(2)


@given(st.lists(st.integers(1, 300), max_size=100))
def test_no_number_is_accepted_twice(numbers: list[int]) -> None:
    window = ReplayWindow()
    accepted = [number for number in numbers if window.accept(number)]
    assert len(accepted) == len(set(accepted))
    assert not numbers or max(numbers) in accepted
