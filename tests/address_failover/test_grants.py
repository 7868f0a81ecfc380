"""The grants of a candidate or holder: the majority, and the end of the resulting lease."""

from __future__ import annotations

import pytest

from saltcourse.address_failover.grants import Grants

HOLDER_LEASE = 0.5  # seconds


def test_the_lease_is_counted_from_the_oldest_request_that_the_majority_needs() -> None:
    grants = Grants(majority=3, holder_lease=HOLDER_LEASE)
    grants.record("a", 1.0)
    assert not grants.has_majority() and "a" in grants and "b" not in grants
    grants.record("b", 1.2)
    assert grants.has_majority() and grants.lease_end(9.0) == pytest.approx(1.5)
    grants.record("c", 1.3)
    assert grants.lease_end(9.0) == pytest.approx(1.7)


def test_a_late_grant_of_an_older_request_is_ignored() -> None:
    grants = Grants(majority=2, holder_lease=HOLDER_LEASE)
    grants.record("a", 2.0)
    grants.record("a", 1.0)
    assert grants.lease_end(9.0) == pytest.approx(2.5)


def test_a_single_voter_is_its_own_majority() -> None:
    grants = Grants(majority=1, holder_lease=HOLDER_LEASE)
    assert grants.has_majority() and grants.lease_end(9.0) == pytest.approx(9.5)


def test_clear_discards_the_grants() -> None:
    grants = Grants(majority=2, holder_lease=HOLDER_LEASE)
    grants.record("a", 2.0)
    grants.clear()
    assert not grants.has_majority() and "a" not in grants
