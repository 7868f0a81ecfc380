"""Exhaustive exploration of event orders in a small model of the election: three members and one restart.

Messages may be delivered in any order, at any time, or never. The checks must detect each broken election.
"""

from __future__ import annotations

import copy
from typing import Any

import pytest

from saltcourse.address_failover.actions import (
    AnnounceAddress,
    ExtendLease,
    SendMessage,
    SetTimer,
    StoreVote,
    WithdrawAddress,
)
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.events import MessageReceived, TimerExpired
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.vote import RecoveredState, Vote
from saltcourse.address_failover.voters import ElectionConfig
from saltcourse.emulator.election import PropertyViolationError, voters_of
from tests.address_failover.broken_elections import BROKEN_ELECTIONS

THREE = voters_of(3, 1)


def _config(name: str) -> ElectionConfig:
    return ElectionConfig(THREE, name, ElectionTiming())


class FixedRandom:
    """A random source that always returns 0.5, so that equivalent states compare equal."""

    def random(self) -> float:
        return 0.5


class Model:
    """State of the model: three members, the messages in flight, and the remaining restarts."""

    def __init__(self, core: type[Election]) -> None:
        self.now, self.restarts = 0.0, 1
        self.core = core
        self.members = {
            s.name: core(_config(s.name), 0, 0.0, RecoveredState(never_promised=True)) for s in THREE
        }
        self.timers: dict[str, float] = {}
        self.in_flight: frozenset[tuple[str, str, Any]] = frozenset()
        self.lease_ends: dict[str, float] = {}
        self.announced_by: dict[int, str] = {}
        self.received_from: dict[str, frozenset[str]] = {}  # members from which each member got a message
        for name, member in self.members.items():
            member.random = FixedRandom()  # type: ignore[assignment]
            self.execute(name, member.start(0.0))

    def copy(self) -> Model:
        new = copy.copy(self)
        new.members = {}
        for name, member in self.members.items():
            new.members[name] = new_member = copy.copy(member)
            new_member.grants = copy.deepcopy(member.grants)
            new_member.last_received_at = dict(member.last_received_at)
            new_member.promises = copy.copy(member.promises)
        new.timers, new.lease_ends, new.announced_by = (
            dict(self.timers),
            dict(self.lease_ends),
            dict(self.announced_by),
        )
        new.received_from = dict(self.received_from)
        return new

    def key(self) -> tuple[Any, ...]:
        return (
            self.now,
            self.in_flight,
            self.restarts,
            *(
                (
                    m.role,
                    m.promises.vote,
                    m.promises.promise.receiver,
                    m.promises.promise.ends_at,
                    m.term,
                    m.lease_ends_at,
                    m.next_candidacy_at,
                    m.next_send_at,
                    m.candidacy.ends_at,
                    tuple(sorted(m.grants.request_sent_at.items())),
                    m.promises.abstains_until,
                )
                for m in self.members.values()
            ),
        )

    def steps(self) -> list[tuple[str, Any]]:
        timers: list[tuple[str, Any]] = [("expire", name) for name in self.timers]
        return timers + [("deliver", f) for f in self.in_flight] + [("restart", "n2")] * self.restarts

    def apply(self, kind: str, target: Any) -> None:
        """Apply a step. ``target`` is the message to deliver, or the member that the step concerns."""
        if kind == "expire":
            self.now = max(self.now, self.timers.pop(target))
            self.execute(target, self.members[target].handle(self.now, TimerExpired()))
        elif kind == "deliver":
            self.in_flight -= {target}
            sender, receiver, message = target
            self.received_from[receiver] = self.received_from.get(receiver, frozenset()) | {sender}
            self.execute(receiver, self.members[receiver].handle(self.now, MessageReceived(sender, message)))
        else:
            self.restarts -= 1
            member = self.members[target] = self.core(_config(target), 0, self.now, RecoveredState())
            member.random = FixedRandom()  # type: ignore[assignment]
            self.execute(target, member.start(self.now))

    def execute(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, message):
                    self.in_flight |= {(name, member, message)}
                case StoreVote(Vote(_, voted, _)) if voted == name and not self.received_from.get(name):
                    raise PropertyViolationError(
                        f"{name} is a candidate without a pre-vote: it has received no messages"
                    )
                case AnnounceAddress(term):
                    if (
                        self.announced_by.setdefault(term, name) != name
                        or term in list(self.announced_by)[:-1]
                    ):
                        raise PropertyViolationError(f"{name} announces in term {term}, which is not new")
                case ExtendLease(until):
                    if any(ends > self.now for other, ends in self.lease_ends.items() if other != name):
                        raise PropertyViolationError(f"{name} extends its lease while another lease is valid")
                    self.lease_ends[name] = until
                case WithdrawAddress():
                    self.lease_ends.pop(name, None)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers[name] = action.at


def explore(start: Model, depth: int) -> int:
    """Explore all orders of ``depth`` steps; return the number of distinct states."""
    seen, frontier = {start.key()}, [start]
    for _ in range(depth):
        next_frontier = []
        for state in frontier:
            for step in state.steps():
                new = state.copy()
                new.apply(*step)
                if (key := new.key()) not in seen:
                    seen.add(key)
                    next_frontier.append(new)
        frontier = next_frontier
    return len(seen)


def with_holder(core: type[Election]) -> Model:
    """Return a model in which n0 is the holder by the witness's promise, and n1 has received no messages."""
    model = Model(core)
    model.apply("expire", "n0")
    while not model.lease_ends:
        messages = [f for f in model.in_flight if set(f[:2]) == {"n0", "n2"}]
        model.apply("deliver", max(messages, key=lambda f: (f[2].term, f[1])))
    model.in_flight = frozenset()
    return model


def test_no_event_order_violates_a_property() -> None:
    assert explore(Model(Election), 5) > 1000
    assert explore(with_holder(Election), 6) > 1000


@pytest.mark.parametrize("core", BROKEN_ELECTIONS)
def test_some_event_order_of_a_broken_election_violates_a_property(core: type[Election]) -> None:
    with pytest.raises(PropertyViolationError):
        explore(Model(core), 5)
        explore(with_holder(core), 7)
