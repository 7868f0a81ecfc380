"""Nodes that are broken on purpose: each check of the model must find what it is there for."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    TAKEOVER_WITHIN,
    change_in_force,
    formed,
    kill_and_detect,
    publish_until_answered,
    publisher_of,
    publishes,
    within,
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
    SMALL,
    cut_region,
    deaths_of_a_cut,
    has_token,
    publisher_in,
    taken_over,
)

MOST_SEEDS = 10  # of random schedules in which a broken node has to be found


def caught_by_schedules() -> None:
    with pytest.raises(InvariantError):
        for seed in range(MOST_SEEDS):
            run_schedule(seed, **SMALL)


def patched_outcomes(monkeypatch: pytest.MonkeyPatch, outcome: ApplyOutcome) -> None:
    """Changes that are to be rejected for this reason are applied."""
    outcome_of = FleetConfiguration.outcome_of

    def broken(self: FleetConfiguration, change: Change) -> ApplyOutcome:
        found = outcome_of(self, change)
        older = change.position < self.position
        applies = found is outcome and (older or outcome is not ApplyOutcome.DUPLICATE)
        return ApplyOutcome.APPLIED if applies else found

    monkeypatch.setattr(FleetConfiguration, "outcome_of", broken)


def test_schedules_find_a_node_that_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    patched_outcomes(monkeypatch, ApplyOutcome.DUPLICATE)
    caught_by_schedules()


def offer(world: World, host: str, changes: tuple[Change, ...]) -> None:
    """As a datagram of a member would that knows no better."""
    header = Header(member_id("proxy-1"), 0, 1)
    datagram = Codec(KEY).encode(header, Changes(changes))
    world.network.inject(host, world.members["proxy-1"].address, datagram)


def offer_a_change_over_a_gap() -> None:
    """The newest change comes to a member that lacks the one before."""
    world = formed(30, 5, Faults(loss=0.0, duplication=0.0))
    world.stop("proxy-0")
    position = world.processes["proxy-0"].position
    for _ in range(3):
        change_in_force(world, publish_until_answered(world, publisher_of(world)))
    newest = max(world.checker.versions.values(), key=lambda version: version.position.version).position
    assert newest.version == position.version + 3
    world.network.fleet["proxy-0"].pending_events.clear()
    offer(world, "proxy-0", (Change(newest, (("a", b"b"),)),))
    world.resume("proxy-0")
    world.run(5.0)
    assert not world.disagreement()


def test_a_change_over_a_gap_is_not_applied_and_what_lacks_is_fetched() -> None:
    offer_a_change_over_a_gap()


def test_a_node_that_applies_a_change_over_a_gap_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    patched_outcomes(monkeypatch, ApplyOutcome.GAP)
    with pytest.raises(InvariantError, match="another configuration"):
        offer_a_change_over_a_gap()


def offer_change_of_an_older_epoch() -> None:
    """Behind a change of the second publisher, one that the first one might have made."""
    world = formed(31, 5)
    first = world.processes["proxy-0"].node.dissemination.heartbeat.epoch
    publisher_in(world, "south")
    position = world.processes["proxy-0"].position
    assert position.epoch > first
    offer(world, "proxy-0", (Change(Position(first, position.version + 1), (("a", b"b"),)),))
    world.run(2.0)
    assert not world.disagreement()


def test_a_change_of_an_older_epoch_is_rejected_behind_a_newer_one() -> None:
    offer_change_of_an_older_epoch()


def test_a_node_that_takes_a_change_of_an_older_epoch_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    patched_outcomes(monkeypatch, ApplyOutcome.STALE_EPOCH)
    with pytest.raises(InvariantError, match="goes from"):
        offer_change_of_an_older_epoch()


def publisher_dies_and_the_others_restart(node_class: NodeClass) -> None:
    """A change is published, no other member has received that; those who accepted it restart."""
    world = formed(32, 5, Faults(loss=0.0, duplication=0.0), node_class)
    publisher = publisher_of(world)
    token = world.publish(publisher)
    world.crash_at(publisher, lambda action: isinstance(action, Published), after=True)
    world.run(1.0)
    assert token in world.checker.published
    for voter in world.voters:
        if voter.name != publisher:
            world.restart(voter.name)
    taken_over(world, publisher)
    world.start(publisher)
    within(world, TAKEOVER_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    assert has_token(world, token)


def forgetful(settings: NodeSettings, source: random.Random, state: ReplicaState | None) -> Node:
    """A voter that does not keep what it has promised and accepted."""
    kept = None if state is None else replace(state, promised=state.committed.epoch, accepted=())
    return Node(settings, source, kept)


def test_a_published_change_outlives_the_restart_of_all_voters() -> None:
    publisher_dies_and_the_others_restart(Node)


def test_a_voter_that_forgets_its_promises_over_a_restart_is_found() -> None:
    with pytest.raises(InvariantError):
        publisher_dies_and_the_others_restart(forgetful)


def test_a_node_that_never_reports_stale_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = FreshnessMonitor.freshness

    def never_stale(self: FreshnessMonitor, now: float, behind: bool) -> Freshness:
        found = reported(self, now, behind)
        return Freshness.CURRENT if found is Freshness.STALE else found

    monkeypatch.setattr(FreshnessMonitor, "freshness", never_stale)
    with pytest.raises(InvariantError, match="without a majority"):
        cut_region(formed(33, 5), 30.0)


def test_a_failure_detector_that_never_suspects_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_end_probes", lambda self, now: self._detector.take_failed(now))
    with pytest.raises(InvariantError, match="believed dead"):
        kill_and_detect(formed(0, 5), "proxy-4")


def test_without_the_rule_of_silent_zones_a_cut_is_a_heap_of_dead_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ZoneSilence, "evaluate", lambda self, now: ([], []))
    monkeypatch.setattr(ZoneSilence, "next_deadline", lambda self: float("inf"))
    assert deaths_of_a_cut(1) > 100  # of 192 pairs of members that the cut parts
