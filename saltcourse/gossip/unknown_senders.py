"""Rate limits for answers to senders that are not in the member table.

A new member has to be answered so that it can join. Since any process with the fleet's key can send under an
unlimited number of names, all unknown senders together are answered at a constant rate at most.
"""

from __future__ import annotations

from saltcourse.gossip.token_bucket import TokenBucket

ACKS_PER_SECOND = 100.0  # Acks and Nacks sent to all unknown senders together
PAGES_PER_SECOND = 20.0  # pages of the member table sent to or requested from all unknown senders together


class UnknownSenders:
    """Counts datagrams of unknown senders and limits the answers. Each limit allows a burst of one second."""

    def __init__(self) -> None:
        self.count = 0  # datagrams received from unknown senders
        self._acks = TokenBucket(ACKS_PER_SECOND, ACKS_PER_SECOND)
        self._pages = TokenBucket(PAGES_PER_SECOND, PAGES_PER_SECOND)

    def allow_ack(self, now: float) -> bool:
        """Return whether an Ack or Nack may be sent to an unknown sender now, and if so, count it."""
        return self._acks.take(now, 1)

    def allow_page(self, now: float) -> bool:
        """Return whether a page may be sent to or requested from an unknown sender now; if so, count it."""
        return self._pages.take(now, 1)
