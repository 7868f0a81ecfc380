"""Fixtures of the proxy's tests."""

from __future__ import annotations

import pytest

from saltcourse.proxy import draining


@pytest.fixture
def no_front_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proxy that leaves does not wait for the front to stop sending clients."""
    monkeypatch.setattr(draining, "FRONT_NOTICE_SECONDS", 0.0)
