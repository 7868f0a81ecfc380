"""Tests of the emulator's checks with deliberately broken nodes: each check must detect its fault."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    TAKEOVER_LIMIT_SECONDS,
    kill_and_detect,
    missing_heartbeat,
    publish_until_answered,
    publisher_of,
    start_fleet,
    wait_until,
    wait_until_applied,
)
from saltcourse.emulator.gossip.schedule import run_schedule
from saltcourse.emulator.gossip.world import KEY, NodeClass, World
from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.configuration import ApplyOutcome, FleetConfiguration
from saltcourse.gossip.freshness import FreshnessMonitor
from saltcourse.gossip.membership import Membership
from saltcourse.gossip.messages import (
    Change,
    Changes,
    Freshness,
    Header,
    Position,
    Published,
    ReplicaState,
    member_id,
)
from saltcourse.gossip.node import Node
from saltcourse.gossip.settings import NodeSettings
from saltcourse.gossip.zone_silence import ZoneSilence
from tests.gossip.node_fleet import (
    SMALL_SCHEDULE,
    cut_region,
    false_deaths_of_partition,
    has_token,
    publish_after_takeover,
    publisher_in,
)

MAX_SEEDS = 10  # random schedules within which a broken node must be detected


def expect_invariant_error_in_schedules() -> None:
    with pytest.raises(InvariantError):
        for seed in range(MAX_SEEDS):
            run_schedule(seed, **SMALL_SCHEDULE)


def apply_rejected_changes(monkeypatch: pytest.MonkeyPatch, outcome: ApplyOutcome) -> None:
    """Make nodes apply changes that should be rejected with ``outcome``."""
    outcome_of = FleetConfiguration.outcome_of

    def broken(self: FleetConfiguration, change: Change) -> ApplyOutcome:
        correct = outcome_of(self, change)
        older = change.position < self.position
        is_broken = correct is outcome and (older or outcome is not ApplyOutcome.DUPLICATE)
        return ApplyOutcome.APPLIED if is_broken else correct

    monkeypatch.setattr(FleetConfiguration, "outcome_of", broken)


def test_schedules_detect_a_node_that_applies_older_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_rejected_changes(monkeypatch, ApplyOutcome.DUPLICATE)
    expect_invariant_error_in_schedules()


def inject_changes(world: World, host: str, changes: tuple[Change, ...]) -> None:
    """Inject a datagram with ``changes``, as if sent by proxy-1."""
    header = Header(member_id("proxy-1"), 0, 1)
    datagram = Codec(KEY).encode(header, Changes(changes))
    world.network.inject(host, world.members["proxy-1"].address, datagram)


def deliver_change_after_a_gap() -> None:
    """Deliver the newest change to a member that lacks the preceding ones."""
    world = start_fleet(30, 5, Faults(loss=0.0, duplication=0.0))
    world.stop("proxy-0")
    position = world.processes["proxy-0"].position
    for _ in range(3):
        wait_until_applied(world, publish_until_answered(world, publisher_of(world)))
    newest = max(world.checker.versions.values(), key=lambda version: version.position.version).position
    assert newest.version == position.version + 3
    world.network.fleet["proxy-0"].pending_events.clear()
    inject_changes(world, "proxy-0", (Change(newest, (("a", b"b"),)),))
    world.resume("proxy-0")
    world.run(5.0)
    assert not world.disagreement()


def test_change_after_a_gap_is_not_applied_and_missing_changes_are_fetched() -> None:
    deliver_change_after_a_gap()


def test_node_that_applies_a_change_after_a_gap_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_rejected_changes(monkeypatch, ApplyOutcome.GAP)
    with pytest.raises(InvariantError, match="another configuration"):
        deliver_change_after_a_gap()


def deliver_change_of_an_older_epoch() -> None:
    """Deliver a change of the first publisher's epoch that follows a change of the second publisher."""
    world = start_fleet(31, 5)
    first_epoch = world.processes["proxy-0"].node.dissemination.heartbeat.epoch
    publisher_in(world, "south")
    position = world.processes["proxy-0"].position
    assert position.epoch > first_epoch
    inject_changes(world, "proxy-0", (Change(Position(first_epoch, position.version + 1), (("a", b"b"),)),))
    world.run(2.0)
    assert not world.disagreement()


def test_change_of_an_older_epoch_is_rejected_after_a_newer_one() -> None:
    deliver_change_of_an_older_epoch()


def test_node_that_applies_a_change_of_an_older_epoch_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_rejected_changes(monkeypatch, ApplyOutcome.STALE_EPOCH)
    with pytest.raises(InvariantError, match="goes from"):
        deliver_change_of_an_older_epoch()


def crash_publisher_and_restart_other_voters(node_class: NodeClass) -> None:
    """Crash the publisher right after it reports a change as published, and restart the other voters.

    The commit is not known to any other member yet.
    """
    world = start_fleet(32, 5, Faults(loss=0.0, duplication=0.0), node_class)
    publisher = publisher_of(world)
    token = world.publish(publisher)
    world.crash_at(publisher, lambda action: isinstance(action, Published), after=True)
    world.run(1.0)
    assert token in world.checker.published
    for voter in world.voters:
        if voter.name != publisher:
            world.restart(voter.name)
    publish_after_takeover(world, publisher)
    world.start(publisher)
    wait_until(
        world, TAKEOVER_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    assert has_token(world, token)


def without_stored_promises(settings: NodeSettings, rng: random.Random, state: ReplicaState | None) -> Node:
    """Create a voter that loses its promises and accepted changes at a restart."""
    restored = None if state is None else replace(state, promised=state.committed.epoch, accepted=())
    return Node(settings, rng, restored)


def test_published_change_survives_the_restart_of_all_voters() -> None:
    crash_publisher_and_restart_other_voters(Node)


def test_voter_that_loses_its_promises_at_a_restart_is_detected() -> None:
    with pytest.raises(InvariantError):
        crash_publisher_and_restart_other_voters(without_stored_promises)


def test_node_that_never_reports_stale_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    correct_freshness = FreshnessMonitor.freshness

    def never_stale(self: FreshnessMonitor, now: float, behind: bool) -> Freshness:
        correct = correct_freshness(self, now, behind)
        return Freshness.CURRENT if correct is Freshness.STALE else correct

    monkeypatch.setattr(FreshnessMonitor, "freshness", never_stale)
    with pytest.raises(InvariantError, match="without a majority"):
        cut_region(start_fleet(33, 5), 30.0)


def test_failure_detector_that_never_suspects_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_end_probes", lambda self, now: self._detector.take_failed(now))
    with pytest.raises(InvariantError, match="believed dead"):
        kill_and_detect(start_fleet(0, 5), "proxy-4")


def test_partition_causes_false_deaths_without_zone_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ZoneSilence, "evaluate", lambda self, now: ([], []))
    monkeypatch.setattr(ZoneSilence, "next_deadline", lambda self: float("inf"))
    assert false_deaths_of_partition(1) > 100  # of 192 pairs of members that the partition separates
