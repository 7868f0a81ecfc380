"""What a member is in the election, and the candidacy that it has begun."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What a member is in the election; see the table at the head of ``election``."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    HOLDER = "holder"
    STOPPED = "stopped"


CANDIDATE_ROLES = (Role.PRE_CANDIDATE, Role.CANDIDATE)


@dataclass(frozen=True, slots=True)
class Candidacy:
    """A round of vote or pre-vote requests, from its begin until it is given up. Times in seconds."""

    started_at: float
    ends_at: float
