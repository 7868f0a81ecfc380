"""The vote that a member stores to keep its promises across restarts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Vote:
    """The newest term known, the candidate voted for in it, and the receiver of the last promise.

    Votes and acknowledged renewals are promises. An empty name means nobody.
    """

    term: int = 0
    voted_for: str = ""
    promised_to: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """State that a member recovers when it starts.

    ``vote``: the stored vote, or None without a vote store. ``never_promised``: no earlier promise of this
    member can still be active, as on its first start. ``lowest_term``: for members without a vote store, a
    term that is higher than all terms they may have forgotten.
    """

    vote: Vote | None = None
    never_promised: bool = False
    lowest_term: int = 0


NOTHING_RECOVERED = RecoveredState()
