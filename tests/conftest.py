"""What every test leaves as it found it."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def signals_as_before() -> Iterator[None]:
    """The program takes its signals for good: it is a process's last work, and here it is not."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
