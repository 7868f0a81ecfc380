"""What voters have granted a candidate or holder, and the lease that comes of it (rule 2 of ``election``)."""

from __future__ import annotations


class Grants:
    """For each voter, when the request was sent that it granted last. The member itself always grants.

    ``majority``: how many grants a lease needs, the member's own included. ``holder_lease``: seconds from the
    sending of a request for which its grant may be relied on.
    """

    def __init__(self, majority: int, holder_lease: float) -> None:
        self.majority = majority
        self.holder_lease = holder_lease
        self.request_sent_at: dict[str, float] = {}

    def clear(self) -> None:
        """Begin a new candidacy, which nobody has granted yet."""
        self.request_sent_at = {}

    def record(self, voter: str, request_sent_at: float) -> None:
        """Note a grant; one of an older request changes nothing."""
        before = self.request_sent_at.get(voter, request_sent_at)
        self.request_sent_at[voter] = max(request_sent_at, before)

    def __contains__(self, voter: str) -> bool:
        """Whether the voter has granted anything in this candidacy or lease."""
        return voter in self.request_sent_at

    def is_majority(self) -> bool:
        """Whether enough have granted."""
        return len(self.request_sent_at) + 1 >= self.majority

    def lease_end(self, now: float) -> float:
        """When the promises of a majority may begin to expire; only for a majority."""
        needed = self.majority - 1
        if needed == 0:
            return now + self.holder_lease
        newest_first = sorted(self.request_sent_at.values(), reverse=True)
        return newest_first[needed - 1] + self.holder_lease
