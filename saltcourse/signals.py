"""Signals that come before the program can act on them are held for it; without this they would end it.

Imports and the configuration take a while on a small part of a core, and whoever runs the program may tell
it to leave or to read its configuration again as soon as its process is there. Imported first of all, so
it imports nothing itself.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

HELD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending: set[int] = set()


def hold() -> None:
    for number in HELD:
        signal.signal(number, lambda came, _: _pending.add(came))


def handle(number: int, act: Callable[[], object]) -> None:
    """From now on ``act`` is called for each; at once if one has come already. ``act`` has to be safe to call
    between any two instructions."""
    signal.signal(number, lambda *_: act())
    if number in _pending:
        _pending.discard(number)
        act()


def release() -> None:
    """For a command that does not serve: all is as if nothing had been held."""
    for number in HELD:
        signal.signal(number, signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL)
    while _pending:
        signal.raise_signal(_pending.pop())


def ignore() -> None:
    """The program ends by itself in a moment: being told so once more must not look like a crash."""
    for number in HELD:
        signal.signal(number, signal.SIG_IGN)
