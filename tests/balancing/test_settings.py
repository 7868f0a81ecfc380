"""Tests of the valid ranges of settings."""

from __future__ import annotations

import pytest

from saltcourse.balancing.settings import InvalidSettingError, RequestClass
from tests.balancing.balancer_host import settings


@pytest.mark.parametrize(
    ("field", "wire_name", "value"),
    [
        ("classes", "classes", ()),
        ("proxy_count", "balancers", 0),
        ("max_attempts", "max_attempts", 0),
        ("poll_interval", "ask_within", -1.0),
        ("initial_capacity_share", "start_share", 0.0),
        ("time_step", "tick", float("nan")),
        ("max_retry_after", "max_retry_after", -0.1),
        ("warm_up", "warm_up", "long"),
    ],
)
def test_an_invalid_setting_raises_an_error_with_its_name(field: str, wire_name: str, value: object) -> None:
    with pytest.raises(InvalidSettingError, match=wire_name) as raised:
        settings(**{field: value})
    assert raised.value.setting == wire_name


def test_an_invalid_request_class_raises_an_error_with_its_name() -> None:
    with pytest.raises(InvalidSettingError, match="classes.x.deadline"):
        RequestClass("x", latency_objective=1.0, deadline=0.0)
