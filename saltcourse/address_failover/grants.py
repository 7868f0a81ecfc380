"""Grants that a candidate or holder has received, and the lease they add up to (rule 2 of ``election``)."""

from __future__ import annotations


class Grants:
    """Tracks when the latest request granted by each other voter was sent. The member itself always grants.

    ``majority``: number of grants that a lease needs, including the member's own. ``holder_lease``: seconds
    for which a grant is valid, counted from when its request was sent.
    """

    def __init__(self, majority: int, holder_lease: float) -> None:
        self.majority = majority
        self.holder_lease = holder_lease
        self.request_sent_at: dict[str, float] = {}

    def clear(self) -> None:
        """Discard all grants at the start of a candidacy."""
        self.request_sent_at = {}

    def record(self, voter: str, request_sent_at: float) -> None:
        """Record a grant. A grant of an older request than the recorded one is ignored."""
        before = self.request_sent_at.get(voter, request_sent_at)
        self.request_sent_at[voter] = max(request_sent_at, before)

    def __contains__(self, voter: str) -> bool:
        """Return whether the voter has granted a request in this candidacy or lease."""
        return voter in self.request_sent_at

    def has_majority(self) -> bool:
        """Return whether a majority of the voters has granted a request."""
        return len(self.request_sent_at) + 1 >= self.majority

    def lease_end(self, now: float) -> float:
        """Return the time until which the promises of a majority are valid. Requires ``has_majority``."""
        needed = self.majority - 1
        if needed == 0:
            return now + self.holder_lease
        newest_first = sorted(self.request_sent_at.values(), reverse=True)
        return newest_first[needed - 1] + self.holder_lease
