"""Fixtures for all tests."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def restore_signal_handlers() -> Iterator[None]:
    """Restore the signal handlers after each test, because the proxy never removes those that it installs."""
    original = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    yield
    for number, handler in original.items():
        signal.signal(number, handler)
