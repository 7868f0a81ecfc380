"""Exponential backoff: a delay that doubles, up to a maximum."""

from __future__ import annotations

MAX_DOUBLINGS = 60  # Far above every maximum in use; without it the power overflows a float after hours.


def exponential_backoff(initial: float, doublings: int, maximum: float) -> float:
    """Return ``initial`` (s) doubled ``doublings`` times, but at most ``maximum`` (s)."""
    return min(maximum, initial * 2.0 ** min(doublings, MAX_DOUBLINGS))
