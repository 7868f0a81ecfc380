"""Roles of a member in the election, and the timing of a candidacy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """Role of a member. The docstring of ``election`` has the table of transitions."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    HOLDER = "holder"
    STOPPED = "stopped"


CANDIDATE_ROLES = (Role.PRE_CANDIDATE, Role.CANDIDATE)


@dataclass(frozen=True, slots=True)
class Candidacy:
    """A round of vote or pre-vote requests. It is abandoned at ``ends_at``. Times are seconds."""

    started_at: float
    ends_at: float
