r"""Signals that arrive before the program can act on them are held until it can.

The failure that this guards against: imports and the configuration take a while on a small part of a core,
and whoever runs the program may tell it to stop or to reload as soon as its process is there. Python's
defaults would end it then, by SIGHUP or with a traceback, and a supervisor sees a program that crashed at its
start. So ``hold`` is called before anything else, and this module imports the standard library only.

A process goes through these states::

    default --hold--> held --handle, for each signal--> handled --ignore--> ignored
                        \--release (all but serve and control)--> default
"""

from __future__ import annotations

import signal
from collections.abc import Callable

HELD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending: set[int] = set()


def hold() -> None:
    """Remember the signals that arrive from now on, and do nothing else about them."""
    for number in HELD_SIGNALS:
        signal.signal(number, lambda received, _: _pending.add(received))


def handle(number: int, act: Callable[[], object]) -> None:
    """Call ``act`` for each signal ``number`` from now on, and at once if one is held.

    ``act`` has to be safe to call between any two instructions.
    """
    signal.signal(number, lambda *_: act())
    if number in _pending:
        _pending.discard(number)
        act()


def release() -> None:
    """Restore Python's defaults, and raise again what is held: for the commands that do not hold signals."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL)
    while _pending:
        signal.raise_signal(_pending.pop())


def ignore() -> None:
    """Ignore the signals: the program ends by itself in a moment, and one more must not look like a crash."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
