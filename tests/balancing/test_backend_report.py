"""Tests of the reasons in backend reports."""

from __future__ import annotations

import pytest

from saltcourse.balancing.backend_report import report_backend
from saltcourse.balancing.events import BackendState, Endpoint
from saltcourse.balancing.state import Backend, HealthState

NOW = 100.0


def test_a_backend_without_faults_has_no_reasons() -> None:
    report = report_backend(NOW, Backend(Endpoint("s0")))
    assert report.reasons == () and not report.is_avoided


@pytest.mark.parametrize(
    ("state", "reason"), [(BackendState.DRAINING, "draining"), (BackendState.REMOVED, "removed")]
)
def test_a_state_in_the_endpoint_list_is_a_reason(state: BackendState, reason: str) -> None:
    report = report_backend(NOW, Backend(Endpoint("s0", state)))
    assert report.reasons == (reason,) and report.is_avoided


@pytest.mark.parametrize(
    ("state", "reason", "is_avoided"),
    [
        (HealthState.EJECTED, "ejected", True),
        (HealthState.ELIGIBLE, "eligible", False),
        (HealthState.PROBING, "probing", True),
    ],
)
def test_an_unhealthy_state_is_a_reason(state: HealthState, reason: str, is_avoided: bool) -> None:
    backend = Backend(Endpoint("s0"))
    backend.health.state = state
    report = report_backend(NOW, backend)
    assert report.reasons == (reason,) and report.is_avoided is is_avoided


def test_reasons_from_ceilings_and_slow_start_expire() -> None:
    backend = Backend(Endpoint("s0"))
    backend.ceiling_record.no_overflow_until = backend.ceiling_record.cut_until = backend.next_attempt_at = (
        NOW + 1
    )
    assert report_backend(NOW, backend).reasons == ("recently_rejected", "slow", "warming_up")
    assert report_backend(NOW + 1, backend).reasons == ()
