"""What a sender that is not in the member table may cost this member.

A new member has to be answered so that it can join. Anybody with the fleet's key may send under names without
number, so all unknown senders together get no more than a constant rate of answers.
"""

from __future__ import annotations

from saltcourse.gossip.token_bucket import TokenBucket

ACKS_PER_SECOND = 100.0  # to all unknown senders together
PAGES_PER_SECOND = 20.0  # of the member table, sent to them and requested from them


class UnknownSenders:
    """Counts them and limits the answers to them. Each limit allows a burst of one second's worth."""

    def __init__(self) -> None:
        self.count = 0  # datagrams of unknown senders
        self._acks = TokenBucket(ACKS_PER_SECOND, ACKS_PER_SECOND)
        self._pages = TokenBucket(PAGES_PER_SECOND, PAGES_PER_SECOND)

    def allow_ack(self, now: float) -> bool:
        """Whether one more Ack or Nack may be sent to an unknown sender."""
        return self._acks.take(now, 1)

    def allow_page(self, now: float) -> bool:
        """Whether one more page may be sent to an unknown sender, or requested from it."""
        return self._pages.take(now, 1)
