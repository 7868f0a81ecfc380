"""Errors of the checkers that hold simulated members to their invariants."""

from __future__ import annotations


class InvariantError(AssertionError):
    """An invariant does not hold; the text says which, where and when."""


class LivenessError(InvariantError):
    """Nothing happens where something should; no safety property is broken."""
