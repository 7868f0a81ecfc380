"""Fixtures for the proxy's tests."""

from __future__ import annotations

import pytest

from saltcourse.proxy import draining


@pytest.fixture
def no_front_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """A draining proxy does not wait for the front load balancer to stop sending clients."""
    monkeypatch.setattr(draining, "FRONT_NOTICE_SECONDS", 0.0)
