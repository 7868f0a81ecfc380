"""Quota leases: the share of a fleet-wide budget that this proxy may spend. All shares add up to 1 at most.

The budget is divided into ``proxy_count`` equal parts, one for each configured proxy. A proxy may always use
half of its part. The other half is divided into portions, one for each of the next proxies by index, up to
``MAX_SUCCESSORS``; that proxy is the portion's *successor*. The owner may use a portion only while it holds a
lease on it, which it requests and the successor grants. A lease lasts ``lease_term``: the owner counts it
from the request, the successor from the grant, each with the clock drift subtracted or added so that the
owner's lease ends first. When a lease expires, the successor may use the portion. So the budget of a dead
proxy is not lost, and a proxy that was cut off, or stopped and resumed, has stopped using its portions by
then. (This is escrow with leases.)

A portion has at most one user at any time, even if messages are lost, late or duplicated and proxies restart:
the grant follows the request, and a successor that has just started uses no portion that may still be leased.
The scheme needs no agreement among proxies, so it works without a majority. Only the owner of a portion
requests its lease.
"""

from __future__ import annotations

import math

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.codec import NUMBER_MODULUS
from saltcourse.shared_state.messages import LeaseGrant, LeaseRequest

HEARTBEATS_PER_TERM = 4  # heartbeats and lease requests per lease term; two in a row may be lost
MAX_SUCCESSORS = 3  # maximum number of portions per proxy
MAX_OPEN_REQUESTS = 8  # requests whose grants are accepted; a grant of an older one has nearly expired


class QuotaLeases:
    """The leases on one proxy's portions, and the leases that it grants. Times are seconds on its clock.

    ``isolated``: this proxy exchanges no messages with the others, so it may only use its equal part.
    """

    def __init__(
        self, index: int, proxy_count: int, settings: SharedStateSettings, isolated: bool = False
    ) -> None:
        self.settings = settings
        self.proxy_count = proxy_count
        self.isolated = isolated or proxy_count < 2
        distances = range(1, min(MAX_SUCCESSORS, proxy_count - 1) + 1)
        self.successors = [(index + distance) % proxy_count for distance in distances]
        # The proxies that have a portion whose successor is this proxy.
        self.predecessors = [(index - distance) % proxy_count for distance in distances]
        self.leased_until = dict.fromkeys(self.successors, -math.inf)  # end of the lease from each successor
        self.granted_until: dict[int, float] = {}  # end of the lease of each predecessor
        self.open_requests: dict[int, float] = {}  # send time of each recent request, by request number
        self.last_request_number = 0
        self.last_request_at = -math.inf

    def _ensure_inheritance_delay(self, now: float) -> None:
        """On the first call, assume that each predecessor was just granted a lease of maximum length.

        An earlier process of this proxy may have granted leases just before it ended. If this process used
        the portions before those leases expire, a portion would have two users.
        """
        if not self.granted_until:
            self.granted_until = dict.fromkeys(self.predecessors, now + self._longest_grant())

    def restart(self, now: float) -> None:
        """Begin without leases; assume that another process of this proxy has just granted all it could."""
        self.leased_until = dict.fromkeys(self.successors, -math.inf)
        self.granted_until = dict.fromkeys(self.predecessors, now + self._longest_grant())
        self.open_requests.clear()

    def _longest_grant(self) -> float:
        return self.settings.lease_term * (1 + self.settings.clock_drift)

    def share(self, now: float) -> float:
        """Return this proxy's share of the budget, from 0.5 to 1.5 times ``1 / proxy_count``."""
        if self.isolated:
            return 1.0 / self.proxy_count
        self._ensure_inheritance_delay(now)
        leased = sum([until > now for until in self.leased_until.values()])
        inherited = sum([until <= now for until in self.granted_until.values()])
        return (1 + (leased + inherited) / len(self.successors)) / 2 / self.proxy_count

    def request(self, now: float) -> list[LeaseRequest]:
        """Return a lease request to broadcast, or an empty list if it is too early for one.

        Only successors answer it.
        """
        self._ensure_inheritance_delay(now)
        if now < self.last_request_at + self.settings.lease_term / HEARTBEATS_PER_TERM:
            return []
        self.last_request_at = now
        self.last_request_number = (self.last_request_number + 1) % NUMBER_MODULUS
        self.open_requests[self.last_request_number] = now
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        return [LeaseRequest(self.last_request_number)]

    def grant(self, now: float, sender: int, request: LeaseRequest) -> list[LeaseGrant]:
        """Renew a predecessor's lease and return the reply; empty if ``sender`` is not a predecessor."""
        self._ensure_inheritance_delay(now)
        if sender not in self.granted_until:
            return []
        self.granted_until[sender] = max(self.granted_until[sender], now + self._longest_grant())
        return [LeaseGrant(request.number)]

    def receive_grant(self, now: float, sender: int, grant: LeaseGrant) -> None:
        """Extend the lease granted by a successor. Its term counts from when the request was sent."""
        self._ensure_inheritance_delay(now)
        requested_at = self.open_requests.get(grant.number)
        if requested_at is not None and sender in self.leased_until:
            end = requested_at + self.settings.lease_term * (1 - self.settings.clock_drift)
            self.leased_until[sender] = max(self.leased_until[sender], end)
