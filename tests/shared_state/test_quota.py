"""Quota leases: the share of a proxy when messages are lost, and the portions that it inherits."""

from __future__ import annotations

import pytest

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.messages import LeaseGrant, LeaseRequest
from saltcourse.shared_state.quota import MAX_OPEN_REQUESTS, QuotaLeases

SETTINGS = SharedStateSettings(lease_term=12.0, clock_drift=0.01)
EQUAL_PART = 1 / 4


def started_leases(index: int) -> QuotaLeases:
    """Return the leases of one of four proxies that has just started, at 0 s."""
    leases = QuotaLeases(index, 4, SETTINGS)
    assert leases.share(0.0) == pytest.approx(EQUAL_PART / 2)
    return leases


def test_a_proxy_without_responses_has_half_its_part_and_inherits_portions_after_a_term() -> None:
    # No leases are granted on its own portions. Its predecessors may use theirs until leases that an earlier
    # process of this proxy granted have expired on the slowest clock.
    leases = started_leases(0)
    longest_grant = SETTINGS.lease_term * (1 + SETTINGS.clock_drift)
    assert leases.share(longest_grant - 0.1) == pytest.approx(EQUAL_PART / 2)
    assert leases.share(longest_grant) == pytest.approx(EQUAL_PART)


def test_a_lease_is_counted_from_its_request() -> None:
    # The grant arrives 5 s after the request, and may have been made at any time in between.
    leases = started_leases(0)
    (request,) = leases.request(0.0)
    for successor in leases.successors:
        leases.receive_grant(5.0, successor, LeaseGrant(request.number))
    shortest_lease = SETTINGS.lease_term * (1 - SETTINGS.clock_drift)
    assert leases.share(shortest_lease - 0.1) == pytest.approx(EQUAL_PART)
    assert sum(until > shortest_lease for until in leases.leased_until.values()) == 0


def test_a_grant_of_an_unknown_request_is_ignored() -> None:
    leases = started_leases(0)
    numbers = [leases.request(3.0 * count)[0].number for count in range(MAX_OPEN_REQUESTS + 1)]
    leases.receive_grant(30.0, 1, LeaseGrant(numbers[0]))
    assert leases.leased_until[1] < 0


def test_leases_are_granted_only_to_predecessors() -> None:
    leases = QuotaLeases(0, 8, SETTINGS)
    assert leases.predecessors == [7, 6, 5]
    assert leases.grant(1.0, 7, LeaseRequest(3)) == [LeaseGrant(3)]
    assert leases.grant(1.0, 1, LeaseRequest(3)) == []


def test_all_shares_add_up_to_the_budget_while_all_leases_are_renewed() -> None:
    fleet = [started_leases(index) for index in range(4)]
    for now in (0.0, 3.0, 6.0, 9.0, 12.0, 15.0):
        for owner, leases in enumerate(fleet):
            for request in leases.request(now):
                for successor in leases.successors:
                    for grant in fleet[successor].grant(now, owner, request):
                        leases.receive_grant(now, successor, grant)
    assert [leases.share(16.0) for leases in fleet] == pytest.approx([EQUAL_PART] * 4)


def test_an_isolated_proxy_has_an_equal_part() -> None:
    assert QuotaLeases(0, 4, SETTINGS, isolated=True).share(0.0) == EQUAL_PART
    assert QuotaLeases(0, 1, SETTINGS).share(0.0) == 1.0
