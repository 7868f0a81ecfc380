"""Errors raised by the checkers of simulated members."""

from __future__ import annotations


class InvariantError(AssertionError):
    """An invariant is violated; the message names the invariant, the member and, where known, the time."""


class LivenessError(InvariantError):
    """No progress was made within the time limit; no safety property is violated."""
