"""Recorded elections: the same seeds give the same actions of every member at the same times.

The digests were taken from commit bafdb7c. They cover values and member names, and the types of actions and
messages by index, so identifiers in the code can be renamed.
"""

from __future__ import annotations

import hashlib
from dataclasses import astuple
from typing import Any, get_args

import pytest

from saltcourse.address_failover.actions import Action, LogEvent, SendMessage
from saltcourse.address_failover.messages import ElectionMessage
from saltcourse.emulator import election as emulator
from saltcourse.emulator.simnet import Host

ACTIONS, MESSAGES = get_args(Action), get_args(ElectionMessage)


class RecordedElection(emulator.SimulatedElection):
    """An election that computes a digest of all actions of its members."""

    def __init__(self, *args: Any, **options: Any) -> None:
        self.digest = hashlib.blake2b(digest_size=16)
        self.actions = 0
        super().__init__(*args, **options)

    def _execute(self, host: Host, actions: list[Action]) -> None:
        for action in actions:
            kind = ACTIONS.index(type(action))
            values = () if isinstance(action, LogEvent) else astuple(action)
            message = MESSAGES.index(type(action.message)) if isinstance(action, SendMessage) else None
            self.actions += 1
            line = f"{self.net.now:.9f} {host.name} {kind} {message} {values!r}\n"
            self.digest.update(line.encode())
        super()._execute(host, actions)


@pytest.fixture(autouse=True)
def _recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(emulator, "SimulatedElection", RecordedElection)


def recorded(seed: int) -> RecordedElection:
    world = emulator.run_schedule(seed)
    assert isinstance(world, RecordedElection)
    return world


@pytest.mark.parametrize(
    ("seed", "actions", "events", "sent", "announcements", "digest"),
    [
        (1078, 644, 264, 325, 4, "089479db7909a5de87db238e5e34033a"),
        (30112, 823, 366, 426, 2, "7da5f1bdde138395f48bd45f937326c1"),
    ],
)
def test_regression_seeds_give_the_recorded_elections(
    seed: int, actions: int, events: int, sent: int, announcements: int, digest: str
) -> None:
    world = recorded(seed)
    assert (world.actions, world.event_count, world.net.sent, len(world.announcements)) == (
        actions,
        events,
        sent,
        announcements,
    )
    assert world.digest.hexdigest() == digest


def test_a_hundred_seeds_give_the_recorded_elections() -> None:
    total = hashlib.blake2b(digest_size=16)
    for seed in range(100):
        total.update(recorded(seed).digest.digest())
    assert total.hexdigest() == "240ed62d717de6e5649fa589cef057df"
