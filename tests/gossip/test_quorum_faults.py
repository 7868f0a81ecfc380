"""Random schedules of faults for the voters, also with deliberately broken variants of ``Quorum``.

Voters crash, restart, stall and are cut off, while messages are lost, duplicated and reordered. No version
may ever have two changes, and no change that was reported as published may be lost. Each broken variant
violates one rule of the quorum, and the same schedules must detect it.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from saltcourse.emulator.gossip_quorum.schedule import run_schedule
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
SCHEDULES_TO_FIND = 400  # a broken variant must be detected within this many schedules


class ForgetsPromise(Quorum):
    """Forgets its promise when it restarts."""

    def __init__(
        self,
        own_voter: Voter,
        voters: tuple[Voter, ...],
        timing: Timing,
        rng: random.Random,
        state: ReplicaState,
    ) -> None:
        super().__init__(own_voter, voters, timing, rng, replace(state, promised=0))


class IgnoresAccepted(Quorum):
    """Ignores the accepted changes that promises report, and proposes its own changes instead."""

    def _recover(self, committed: Position) -> list[Change]:
        return []


class MajorityOneShort(Quorum):
    """Counts one voter too few as a majority."""

    @property
    def majority(self) -> int:
        return len(self._voters) // 2


class AcceptsOlderEpoch(Quorum):
    """Accepts proposals of an older epoch after it has promised a newer one."""

    def _on_propose(self, now: float, source: Any, epoch: int, change: Change) -> None:
        promised = self.acceptor.promised
        self.acceptor.promised = min(promised, epoch)
        super()._on_propose(now, source, epoch, change)
        self.acceptor.promised = promised


class PersistsAfterSend(Quorum):
    """Sends its messages before it persists the state that they depend on."""

    def _take_actions(self) -> list[QuorumAction]:
        actions = super()._take_actions()
        sends = [action for action in actions if isinstance(action, Send)]
        return sends + [action for action in actions if not isinstance(action, Send)]


class AcceptsAfterGap(Quorum):
    """Acknowledges a version although versions before it are missing."""

    def __init__(
        self,
        own_voter: Voter,
        voters: tuple[Voter, ...],
        timing: Timing,
        rng: random.Random,
        state: ReplicaState,
    ) -> None:
        super().__init__(own_voter, voters, timing, rng, state)
        self.acceptor = GapAcceptor(state)


class GapAcceptor(Acceptor):
    """Accepts all buffered proposals, whether or not versions before them are missing."""

    def accepted_version(self, epoch: int) -> int:
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


class AcceptsIncompletePromise(Quorum):
    """Does not wait until all accepted changes of a promise have arrived."""

    def _on_promise(self, now: float, sender: int, promise: Promise) -> None:
        super()._on_promise(now, sender, replace(promise, last_accepted=promise.committed.version))


class RecoversOldest(Quorum):
    """Recovers the changes that were accepted under the lowest epoch instead of the highest."""

    def _recover(self, committed: Position) -> list[Change]:
        for voter in self._promises._by_voter.values():
            for version, entry in voter.accepted.items():
                voter.accepted[version] = AcceptedChange(-entry.epoch, entry.change)
        return super()._recover(committed)


class ChangesRecoveredPositions(Quorum):
    """Replaces the epoch in the position of a recovered change with its own epoch."""

    def _recover(self, committed: Position) -> list[Change]:
        changes = super()._recover(committed)
        return [replace(c, position=replace(c.position, epoch=self._epoch)) for c in changes]


class RecoversDecreasingEpochs(Quorum):
    """Recovers changes even after the epoch decreases from one version to the next."""

    def _recover(self, committed: Position) -> list[Change]:
        newest = self._promises._newest_accepted()
        return [newest[version].change for version in sorted(newest) if version > committed.version]


BROKEN_VARIANTS = [
    ForgetsPromise,
    IgnoresAccepted,
    MajorityOneShort,
    AcceptsOlderEpoch,
    PersistsAfterSend,
    AcceptsAfterGap,
    AcceptsIncompletePromise,
    RecoversOldest,
    ChangesRecoveredPositions,
    RecoversDecreasingEpochs,
]


def test_schedules_of_faults_violate_no_invariant() -> None:
    committed = sum(len(run_schedule(seed).checker.changes) for seed in range(SCHEDULES))
    assert committed > 10 * SCHEDULES  # the schedules committed changes


@pytest.mark.parametrize("broken_variant", BROKEN_VARIANTS)
def test_schedules_detect_a_broken_variant(broken_variant: type[Quorum]) -> None:
    """Only a violated safety property counts; a variant that merely makes no progress does not count."""
    with pytest.raises(InvariantError) as error:
        for seed in range(SCHEDULES_TO_FIND):
            try:
                run_schedule(seed, broken_variant)
            except LivenessError:
                continue
    assert error.type is InvariantError
