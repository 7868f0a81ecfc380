"""What a member must remember across restarts to keep its promises."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Vote:
    """The newest term known, for whom this member voted in it, and to whom its last promise went.

    A promise is given by a vote or by the acknowledgement of a renewal; an empty name means nobody.
    """

    term: int = 0
    voted_for: str = ""
    promised_to: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What a member knows at its start of the time before.

    ``vote`` is what the vote store returned, None where nothing outlives a restart. ``never_promised``: no
    promise of this member can still be good, as at its first start ever. ``lowest_term`` is surely above
    all forgotten terms, for members without a vote store.
    """

    vote: Vote | None = None
    never_promised: bool = False
    lowest_term: int = 0


NOTHING_RECOVERED = RecoveredState()
