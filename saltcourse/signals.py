r"""Holds signals that arrive during startup until the process can handle them.

Imports and reading the configuration take a while on a small fraction of a core, and a supervisor may send
SIGTERM or SIGHUP as soon as the process exists. With Python's defaults it would then be killed or exit with a
traceback, which looks like a crash at startup. Therefore ``hold`` is called before anything else, and this
module imports only the standard library.

The signal handlers of a process go through these states::

    default --hold--> held --handle, for each signal--> handled --ignore--> ignored
                        \--release (all but serve and control)--> default
"""

from __future__ import annotations

import signal
from collections.abc import Callable

HELD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_pending: set[int] = set()


def hold() -> None:
    """Record the signals that arrive, without acting on them."""
    for number in HELD_SIGNALS:
        signal.signal(number, lambda received, _: _pending.add(received))


def handle(number: int, callback: Callable[[], object]) -> None:
    """Call ``callback`` for each signal ``number``, and immediately if one is held.

    ``callback`` runs in a signal handler, so it must be safe to call between any two bytecode instructions.
    """
    signal.signal(number, lambda *_: callback())
    if number in _pending:
        _pending.discard(number)
        callback()


def release() -> None:
    """Restore Python's default handlers and raise the held signals, for commands that handle none."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL)
    while _pending:
        signal.raise_signal(_pending.pop())


def ignore() -> None:
    """Ignore signals while the process exits, because a late signal would make the exit look like a crash."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
