"""Messages between the members of the election. ``message_codec`` maps them to their protobuf names.

``sent_at`` is the sender's own clock in seconds; the answer returns it unchanged in ``request_sent_at``.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in ``term``, or with ``pre_vote`` whether the receiver would give it.

    ``transferred_term`` is the term that a leaving holder has transferred to the sender: promises made in
    it do not bind any more.
    """

    term: int
    sent_at: float
    pre_vote: bool = False
    transferred_term: int = 0


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Answers a VoteRequest of ``term``; ``newest_term`` is the newest that the voter knows."""

    term: int
    request_sent_at: float
    pre_vote: bool
    granted: bool
    newest_term: int


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """The holder asks for another promise in its term."""

    term: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenewalAck:
    """The voter has given that promise."""

    term: int
    request_sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """The sender gives up its lease or candidacy of this term.

    Promises to it in this term are no longer valid.
    """

    term: int


@dataclass(frozen=True, slots=True)
class LeaseTransfer:
    """The sender has given up its lease of ``term`` and asks the receiver to become a candidate at once."""

    term: int


@dataclass(frozen=True, slots=True)
class Hello:
    """Carries only the sender's incarnation, as each datagram does. The election never sees it."""


ElectionMessage = VoteRequest | VoteResponse | LeaseRenewal | LeaseRenewalAck | LeaseRelease | LeaseTransfer
Message = ElectionMessage | Hello
