"""Random schedules of faults for the voters, and cores that are broken on purpose.

The story: voters crash, restart, stand still and are cut off, amid messages that are lost, doubled and
reordered. No version may ever have two changes, and no change that was reported as published may be lost.
Each rule of the quorum is taken out once, and the same schedules must find that.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from saltcourse.emulator.gossip_quorum.schedule import play
from saltcourse.emulator.invariants import InvariantError, LivenessError
from saltcourse.gossip.acceptor import Acceptor
from saltcourse.gossip.messages import (
    AcceptedChange,
    Change,
    Position,
    Promise,
    ReplicaState,
    Send,
)
from saltcourse.gossip.quorum import Quorum
from saltcourse.gossip.quorum_actions import QuorumAction
from saltcourse.gossip.settings import Timing, Voter

SCHEDULES = 200
SCHEDULES_TO_FIND = 400  # in which each broken core must be found


class ForgetsPromise(Quorum):
    """Over a restart."""

    def __init__(
        self, me: Voter, voters: tuple[Voter, ...], timing: Timing, source: random.Random, state: ReplicaState
    ) -> None:
        super().__init__(me, voters, timing, source, replace(state, promised=0))


class IgnoresAccepted(Quorum):
    """Proposes afresh where a promise reports an accepted change."""

    def _recover(self, committed: Position) -> list[Change]:
        return []


class MajorityOneShort(Quorum):
    @property
    def majority(self) -> int:
        return len(self._voters) // 2


class AcceptsOlderEpoch(Quorum):
    """After promising a newer one."""

    def _on_propose(self, now: float, source: Any, epoch: int, change: Change) -> None:
        promised = self.acceptor.promised
        self.acceptor.promised = min(promised, epoch)
        super()._on_propose(now, source, epoch, change)
        self.acceptor.promised = promised


class PersistsAfterSend(Quorum):
    def _take_actions(self) -> list[QuorumAction]:
        actions = super()._take_actions()
        sends = [action for action in actions if isinstance(action, Send)]
        return sends + [action for action in actions if not isinstance(action, Send)]


class AcceptsBehindGap(Quorum):
    """Acknowledges a version without those before it."""

    def __init__(
        self, me: Voter, voters: tuple[Voter, ...], timing: Timing, source: random.Random, state: ReplicaState
    ) -> None:
        super().__init__(me, voters, timing, source, state)
        self.acceptor = GapAcceptor(state)


class GapAcceptor(Acceptor):
    def acknowledged(self, epoch: int) -> int:
        versions = [version for version, entry in self._accepted.items() if entry.epoch == epoch]
        return max(versions, default=self.committed.version)

    def accept_buffered(self) -> bool:
        accepted = {v: AcceptedChange(self._buffered_epoch, change) for v, change in self._buffered.items()}
        self._buffered.clear()
        if not accepted or not self.allows(self._buffered_epoch):
            return False
        self.promised = self._buffered_epoch
        self._accepted |= accepted
        return True


class TakesPartOfPromise(Quorum):
    """Does not wait until all accepted changes of a promise have come."""

    def _on_promise(self, now: float, sender: int, promise: Promise) -> None:
        super()._on_promise(now, sender, replace(promise, last_accepted=promise.committed.version))


class RecoversOldest(Quorum):
    """Proposes again what was accepted under the lowest epoch."""

    def _recover(self, committed: Position) -> list[Change]:
        for voter in self._promises._voters.values():
            for version, entry in voter.accepted.items():
                voter.accepted[version] = AcceptedChange(-entry.epoch, entry.change)
        return super()._recover(committed)


class MovesRecovered(Quorum):
    """Gives a change that it proposes again a position of its own epoch."""

    def _recover(self, committed: Position) -> list[Change]:
        changes = super()._recover(committed)
        return [replace(c, position=replace(c.position, epoch=self._epoch)) for c in changes]


class KeepsFallingEpochs(Quorum):
    """Proposes accepted changes again although the one before them has a newer epoch."""

    def _recover(self, committed: Position) -> list[Change]:
        newest = self._promises._newest_accepted()
        return [newest[version].change for version in sorted(newest) if version > committed.version]


BROKEN = [
    ForgetsPromise,
    IgnoresAccepted,
    MajorityOneShort,
    AcceptsOlderEpoch,
    PersistsAfterSend,
    AcceptsBehindGap,
    TakesPartOfPromise,
    RecoversOldest,
    MovesRecovered,
    KeepsFallingEpochs,
]


def test_no_schedule_of_faults_breaks_a_property() -> None:
    committed = sum(len(play(seed).checker.changes) for seed in range(SCHEDULES))
    assert committed > 10 * SCHEDULES  # they did something


@pytest.mark.parametrize("core", BROKEN)
def test_schedules_find_a_broken_core(core: type[Quorum]) -> None:
    """By a property of safety: that it may also get stuck does not count."""
    with pytest.raises(InvariantError) as found:
        for seed in range(SCHEDULES_TO_FIND):
            try:
                play(seed, core)
            except LivenessError:
                continue
    assert found.type is InvariantError
