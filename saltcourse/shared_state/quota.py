"""What share of a fleet-wide budget this proxy may spend now: all shares together never pass the whole.

The whole is cut into ``count`` equal parts, one for each proxy of the settings. Half of a part is its proxy's
for good. The other half is cut into portions, one for each of the next proxies in the order of their numbers,
the portion's *successor*. A proxy may use a portion only while it holds its lease: it requests it, and the
successor grants it, for ``term`` counted from the request by the proxy's own clock, and from the grant by the
successor's, each on its safe side of the clocks' drift. When a lease has run out unrenewed the successor
has the portion: so what a dead proxy could spend is not lost, and one that is cut off, or stopped and
resumed, has ceased to count on it. (Escrow with leases.)

At every moment a portion has one user at most, whatever is lost, late or doubled and whoever restarts: the
grant is after the request, and a successor that starts anew has no portion that might still be leased.
Nothing has to be agreed on, so nothing waits for a majority. Only the owner ever requests a lease.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.codec import NUMBERS
from saltcourse.shared_state.messages import LeaseGrant, LeaseRequest

HEARTBEATS_PER_TERM = 4  # lease requests and heartbeats in a term: two in a row may be lost
MAX_SUCCESSORS = 3  # leased portions of a proxy, at most
MAX_OPEN_REQUESTS = 8  # of the latest; a grant of an older one is worth little


class QuotaLeases:
    """``alone``: no message reaches another proxy, and the equal part is all that is safe."""

    def __init__(self, index: int, count: int, terms: SharedStateSettings, alone: bool = False) -> None:
        self.terms, self.count, self.alone = terms, count, alone or count < 2
        distances = range(1, min(MAX_SUCCESSORS, count - 1) + 1)
        self.successors = [(index + step) % count for step in distances]
        self.predecessors = [(index - step) % count for step in distances]  # whose portions come here
        self.leased_until = dict.fromkeys(self.successors, -math.inf)
        self.granted_until: dict[int, float] = {}  # owner -> until when it may use its portion
        self.open_requests: dict[int, float] = {}  # number -> when it was sent
        self.number = 0
        self.requested_at = -math.inf

    def _start(self, now: float) -> None:
        """An earlier life may have granted leases: nothing is inherited before those have run out."""
        if not self.granted_until:
            self.granted_until = dict.fromkeys(self.predecessors, now + self._longest_grant())

    def _longest_grant(self) -> float:
        return self.terms.lease_term * (1 + self.terms.clock_drift)

    def share(self, now: float) -> float:
        """Of the whole, from ``1 / 2 count`` to ``3 / 2 count``."""
        if self.alone:
            return 1.0 / self.count
        self._start(now)
        leased = sum([until > now for until in self.leased_until.values()])
        inherited = sum([until <= now for until in self.granted_until.values()])
        return (1 + (leased + inherited) / len(self.successors)) / 2 / self.count

    def request(self, now: float) -> list[LeaseRequest]:
        """A record for all, when it is time for another; those that are no successors pass it over."""
        self._start(now)
        if now < self.requested_at + self.terms.lease_term / HEARTBEATS_PER_TERM:
            return []
        self.requested_at = now
        self.number = (self.number + 1) % NUMBERS
        self.open_requests[self.number] = now
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        return [LeaseRequest(self.number)]

    def grant(self, now: float, sender: int, request: LeaseRequest) -> list[LeaseGrant]:
        """What is to be answered to the sender."""
        self._start(now)
        if sender not in self.granted_until:
            return []
        self.granted_until[sender] = max(self.granted_until[sender], now + self._longest_grant())
        return [LeaseGrant(request.number)]

    def renew(self, now: float, sender: int, grant: LeaseGrant) -> None:
        """A successor has granted a request of this proxy."""
        self._start(now)
        requested_at = self.open_requests.get(grant.number)
        if requested_at is not None and sender in self.leased_until:
            end = requested_at + self.terms.lease_term * (1 - self.terms.clock_drift)
            self.leased_until[sender] = max(self.leased_until[sender], end)


@dataclass(slots=True)
class TokenBucket:
    """A bucket that this proxy's share fills. All proxies' spendings over any span of time stay under
    ``rate`` times the span plus ``burst``, for a share that grows brings no tokens with it."""

    rate: float  # of the whole fleet, a second
    burst: float
    tokens: float = 0.0
    refilled_at: float = 0.0

    def spend(self, now: float, share: float, amount: float = 1.0) -> bool:
        gained = share * self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(share * self.burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True
