"""What the election core, its host and its transport tell each other. Times are seconds on the host's
monotonic clock, terms are whole numbers, members go by name."""

from __future__ import annotations

import math
from dataclasses import dataclass

MOST_MEMBERS = 64  # a term says whose it is, by its remainder


def _require(condition: bool, key: str, want: str) -> None:
    if not condition:
        raise ValueError(f"{key}: {want}")


@dataclass(frozen=True, slots=True)
class Timing:
    """The figures of the election, in seconds; ``drift`` is the rate by which two clocks may differ from
    true time, each (0.01 is 1%). All members must have the same."""

    lease: float = 0.6  # a voter's promise lasts so long on its own clock
    renew: float = 0.12  # between a holder's renewals
    drift: float = 0.01
    guard: float = 0.03  # so long before its lease ends a holder withdraws: the withdrawal takes time too
    ask_again: float = 0.06  # between repeats of a question that was not answered
    ask_for: float = 0.25  # after which a round of questions is given up
    spread: float = 0.05  # candidates of one priority start within this time
    step: float = 0.08  # a lower priority starts this much later: more than the spread, so that it yields

    def __post_init__(self) -> None:
        for key in ("lease", "renew", "ask_again", "ask_for", "spread"):
            _require(math.isfinite(getattr(self, key)) and getattr(self, key) > 0, key, "a time above 0")
        for key in ("guard", "step"):
            _require(math.isfinite(getattr(self, key)) and getattr(self, key) >= 0, key, "0 or more")
        _require(0 <= self.drift < 0.1, "drift", "from 0 to under 0.1")
        _require(self.held > 2 * self.renew, "renew", "under half of what a holder's lease lasts")

    @property
    def held(self) -> float:
        """How long a holder may count on a promise from when it asked: the shortest that the voter's clock
        can make of it, on the fastest clock that the holder can have."""
        return self.lease * (1 - self.drift) / (1 + self.drift) - self.guard


@dataclass(frozen=True, slots=True)
class Seat:
    """A configured member. A witness votes and holds nothing; of others the highest ``priority`` leads."""

    name: str
    priority: int = 0
    witness: bool = False


@dataclass(frozen=True, slots=True)
class Vote:
    """What has to outlive a restart: the newest term known, for whom this member voted in it, and to whom
    its last promise went (by a vote or a renewal)."""

    term: int = 0
    voted: str = ""
    promised: str = ""


# ---- messages between members; ``echo`` is the asker's clock, returned as it was ------------------


@dataclass(frozen=True, slots=True)
class Ask:
    """Will you vote for me in this term (``pre``: would you)? ``freed`` is the term that a leaving holder
    has handed over to the asker: a promise made in it binds no more."""

    term: int
    echo: float
    pre: bool = False
    freed: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """``term`` is the question's, ``newest`` the newest that the voter knows."""

    term: int
    echo: float
    pre: bool
    granted: bool
    newest: int


@dataclass(frozen=True, slots=True)
class Renew:
    term: int
    echo: float


@dataclass(frozen=True, slots=True)
class Renewed:
    term: int
    echo: float


@dataclass(frozen=True, slots=True)
class Release:
    """The sender holds or seeks nothing in this term any more: promises made to it in it are void."""

    term: int


@dataclass(frozen=True, slots=True)
class HandOver:
    """The sender has given up ``term`` and wants the receiver to stand at once."""

    term: int


Message = Ask | Answer | Renew | Renewed | Release | HandOver


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that the last ``SetTimer`` named has come; more of them do no harm."""


@dataclass(frozen=True, slots=True)
class Announcer:
    """Whether this member can announce the address (at any route server, by any means)."""

    able: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """A planned end: what is held is handed over, and nothing is sought or granted any more."""


Event = Received | Tick | Announcer | Leave


# ---- actions, to be carried out in their order ----------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tell:
    member: str
    message: Message


@dataclass(frozen=True, slots=True)
class Store:
    """To be kept safely before what follows is carried out."""

    vote: Vote


@dataclass(frozen=True, slots=True)
class Claim:
    """Announce the address, with a rank that grows with the term."""

    term: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The claim is good until this time at most, on the host's clock."""

    until: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    term: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Wake the core at this time; it replaces the timer before it."""

    at: float


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Tell | Store | Claim | Hold | Withdraw | SetTimer | Note
