"""Quota leases: what share of a fleet-wide budget this proxy may spend; all shares never exceed the whole.

The whole is divided into ``proxy_count`` equal parts, one for each proxy of the settings. Half of a part is
its proxy's for good. The other half is divided into portions, one for each of the next proxies in the order
of their numbers: the portion's *successor*. A proxy may use a portion only while it holds its lease: it
requests it, and the successor grants it, for ``lease_term`` counted from the request by the proxy's own
clock and from the grant by the successor's, each on its safe side of the clocks' drift. When a lease has
expired unrenewed the successor has the portion: so what a dead proxy could spend is not lost, and one that
is cut off, or stopped and resumed, has ceased to count on it. (Escrow with leases.)

At every moment a portion has one user at most, whatever is lost, late or duplicated and whoever restarts: the
grant is after the request, and a successor that has just started uses no portion that might still be leased.
Nothing has to be agreed on, so nothing waits for a majority. Only the owner ever requests a lease.
"""

from __future__ import annotations

import math

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.codec import NUMBERS
from saltcourse.shared_state.messages import LeaseGrant, LeaseRequest

HEARTBEATS_PER_TERM = 4  # heartbeats and lease requests in a lease term: two in a row may be lost
MAX_SUCCESSORS = 3  # and so the most portions of a proxy
MAX_OPEN_REQUESTS = 8  # the newest; a grant of an older one is worth little


class QuotaLeases:
    """The leases of one proxy's portions, and those that it grants. Times are seconds.

    ``alone``: no message reaches another proxy, and the equal part is all that is safe.
    """

    def __init__(
        self, index: int, proxy_count: int, settings: SharedStateSettings, alone: bool = False
    ) -> None:
        self.settings = settings
        self.proxy_count = proxy_count
        self.alone = alone or proxy_count < 2
        distances = range(1, min(MAX_SUCCESSORS, proxy_count - 1) + 1)
        self.successors = [(index + distance) % proxy_count for distance in distances]
        self.predecessors = [(index - distance) % proxy_count for distance in distances]  # portions come here
        self.leased_until = dict.fromkeys(self.successors, -math.inf)
        self.granted_until: dict[int, float] = {}  # predecessor -> until when it may use its portion
        self.open_requests: dict[int, float] = {}  # number -> when the request was sent
        self.number = 0  # of the newest request
        self.requested_at = -math.inf

    def _ensure_inheritance_delay(self, now: float) -> None:
        """At the first call, note until when a predecessor may use its portion.

        An earlier incarnation of this proxy may have granted leases just before it ended. Nothing is
        inherited before those have expired, or a portion would have two users.
        """
        if not self.granted_until:
            self.granted_until = dict.fromkeys(self.predecessors, now + self._longest_grant())

    def _longest_grant(self) -> float:
        return self.settings.lease_term * (1 + self.settings.clock_drift)

    def share(self, now: float) -> float:
        """This proxy's share of the whole: from ``1 / 2`` to ``3 / 2`` of an equal part."""
        if self.alone:
            return 1.0 / self.proxy_count
        self._ensure_inheritance_delay(now)
        leased = sum([until > now for until in self.leased_until.values()])
        inherited = sum([until <= now for until in self.granted_until.values()])
        return (1 + (leased + inherited) / len(self.successors)) / 2 / self.proxy_count

    def request(self, now: float) -> list[LeaseRequest]:
        """A record to all when the next request is due; those that are no successors ignore it."""
        self._ensure_inheritance_delay(now)
        if now < self.requested_at + self.settings.lease_term / HEARTBEATS_PER_TERM:
            return []
        self.requested_at = now
        self.number = (self.number + 1) % NUMBERS
        self.open_requests[self.number] = now
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        return [LeaseRequest(self.number)]

    def grant(self, now: float, sender: int, request: LeaseRequest) -> list[LeaseGrant]:
        """Renew a predecessor's lease: the reply to it."""
        self._ensure_inheritance_delay(now)
        if sender not in self.granted_until:
            return []
        self.granted_until[sender] = max(self.granted_until[sender], now + self._longest_grant())
        return [LeaseGrant(request.number)]

    def receive_grant(self, now: float, sender: int, grant: LeaseGrant) -> None:
        """A successor has granted a request of this proxy: its lease counts from that request."""
        self._ensure_inheritance_delay(now)
        requested_at = self.open_requests.get(grant.number)
        if requested_at is not None and sender in self.leased_until:
            end = requested_at + self.settings.lease_term * (1 - self.settings.clock_drift)
            self.leased_until[sender] = max(self.leased_until[sender], end)
