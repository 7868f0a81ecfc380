"""Exponential backoff: a delay that doubles, up to a maximum."""

from __future__ import annotations

MAX_DOUBLINGS = 60  # more make no difference to any maximum in use, and would outgrow a float after hours


def exponential_backoff(initial: float, doublings: int, maximum: float) -> float:
    """The delay after so many doublings of ``initial``, at most ``maximum``; both in seconds."""
    return min(maximum, initial * 2.0 ** min(doublings, MAX_DOUBLINGS))
