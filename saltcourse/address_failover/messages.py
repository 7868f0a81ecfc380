"""Messages between the members of the election. ``message_codec`` maps them to protobuf.

``sent_at`` is seconds on the sender's clock; the response returns it unchanged as ``request_sent_at``.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote in ``term``; with ``pre_vote``, only asks whether the receiver would grant it.

    ``transferred_term`` is the term of the lease that its holder has transferred to the sender. Promises made
    in that term are void. 0 if there is none.
    """

    term: int
    sent_at: float
    pre_vote: bool = False
    transferred_term: int = 0


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Responds to the VoteRequest of ``term``; ``newest_term`` is the newest term that the voter knows."""

    term: int
    request_sent_at: float
    pre_vote: bool
    granted: bool
    newest_term: int


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Requests another promise for the holder in its term."""

    term: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenewalAck:
    """Confirms that the voter made the requested promise."""

    term: int
    request_sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Gives up the sender's lease or candidacy of this term, and releases the promises made to it."""

    term: int


@dataclass(frozen=True, slots=True)
class LeaseTransfer:
    """Asks the receiver to become a candidate immediately; the sender has given up its lease of ``term``."""

    term: int


@dataclass(frozen=True, slots=True)
class Hello:
    """Tells the receiver the sender's incarnation, as every datagram does. Not passed to the election."""


ElectionMessage = VoteRequest | VoteResponse | LeaseRenewal | LeaseRenewalAck | LeaseRelease | LeaseTransfer
Message = ElectionMessage | Hello
