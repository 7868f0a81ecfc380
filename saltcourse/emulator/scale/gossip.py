"""A simulated gossip member: ``saltcourse.gossip.node.Node`` without its asyncio host.

Each change of the operator writes two keys with the same value, so that a partially applied (torn) change
can be detected.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Mapping

from saltcourse.emulator.scale.connections import ConnectionChurn
from saltcourse.emulator.scale.simulated_member import (
    ConfigurationObserved,
    FreshnessObserved,
    MemberContext,
    MembersView,
    Output,
    PublicationConfirmed,
    PublicationFailed,
    SimulatedMember,
    StatusObserved,
    build_view,
)
from saltcourse.emulator.scale.topology import MemberSpec
from saltcourse.gossip.messages import (
    Action,
    Address,
    Applied,
    ConnectionCount,
    Event,
    Freshness,
    FreshnessChanged,
    MemberChanged,
    MemberRecord,
    Persist,
    Publish,
    Published,
    PublishFailed,
    Received,
    ReplicaState,
    Role,
    Status,
    Tick,
    Transmit,
    Write,
)
from saltcourse.gossip.node import Node
from saltcourse.gossip.quorum import Phase
from saltcourse.gossip.settings import NodeSettings, Voter, default_bytes_per_s

COUNT_INTERVAL = 1.0  # seconds between the connection counts that a proxy publishes, as in the gossip host
LEFT_KEY = "scale/{}/left"
RIGHT_KEY = "scale/{}/right"
PADDING_KEY = "scale/{}/padding"
CHANGE_KEY = re.compile(r"scale/(\d+)/(?:left|right)")
DIGEST_BYTES = 7  # short enough that the digest is an integer in JSON


class GossipMember(SimulatedMember):
    """One process of a member that runs gossip and, on voters, the quorum."""

    def __init__(self, context: MemberContext) -> None:
        super().__init__(context)
        self._churn = ConnectionChurn(context.arrivals, context.random)
        self._next_count_at = 0.0
        stored = context.stored if isinstance(context.stored, ReplicaState) else None
        self._persisted_state = stored
        self._node = self._measure_cpu(Node, node_settings(context), context.random, stored)

    def start(self, now: float) -> Output:
        """Start the node and open the initial connections."""
        self._churn.start(now)
        self._next_count_at = now + COUNT_INTERVAL
        return self._build_output(self._measure_cpu(self._start, now))

    def receive(self, now: float, source: Address, datagram: bytes) -> Output:
        """Process one received datagram."""
        return self._handle(now, Received(source, datagram))

    def tick(self, now: float) -> Output:
        """Publish the proxy's connection count if its interval has passed, else run the node's timers."""
        if self.context.spec.role is Role.PROXY and now >= self._next_count_at:
            self._churn.begun(now)
            self._churn.ended(now)
            self._next_count_at = now + COUNT_INTERVAL
            return self._handle(now, ConnectionCount(len(self._churn)))
        return self._handle(now, Tick())

    def publish(self, now: float, change: int, padding: int) -> Output:
        """Publish the two keys of the change, and a third key for the padding."""
        return self._handle(now, Publish(change, change_writes(change, padding)))

    def is_publisher(self) -> bool:
        """Return whether this member is the quorum's publisher."""
        return self._node.quorum is not None and self._node.quorum.phase is Phase.PUBLISHING

    def view(self) -> MembersView:
        """Return the members whose status is ALIVE at this member."""
        own = self.context.spec.id
        alive = [
            member
            for member, entry in self._node.membership.members.items()
            if entry.status is Status.ALIVE and member != own
        ]
        return build_view(own, alive)

    def stored(self) -> ReplicaState | None:
        """Return the last state that the node persisted."""
        return self._persisted_state

    def _handle(self, now: float, event: Event) -> Output:
        return self._build_output(self._measure_cpu(self._step, now, event))

    def _start(self, now: float) -> list[Action]:
        actions = self._node.start(now)
        self.next_deadline = self._node.next_deadline()
        return actions

    def _step(self, now: float, event: Event) -> list[Action]:
        actions = self._node.handle(now, event)
        self.next_deadline = self._node.next_deadline()
        return actions

    def _build_output(self, actions: Iterable[Action]) -> Output:
        output = Output()
        applied: list[Applied] = []
        for action in actions:
            match action:
                case Transmit():
                    output.datagrams.append(action)
                case Persist(state):
                    self._persisted_state = state
                case Applied():
                    applied.append(action)
                case MemberChanged(name, _, status):
                    output.observations.append(StatusObserved(name, status))
                case FreshnessChanged(freshness):
                    output.observations.append(FreshnessObserved(freshness is Freshness.STALE))
                case Published(token, position):
                    output.observations.append(PublicationConfirmed(token, position.epoch, position.version))
                case PublishFailed(token, error):
                    output.observations.append(PublicationFailed(token, error.name))
        output.observations += observe_applied(applied, self._node.dissemination.configuration)
        if self.context.spec.role is Role.PROXY:
            self.next_deadline = min(self.next_deadline, self._next_count_at)
        return output


def node_settings(context: MemberContext) -> NodeSettings:
    """Return the gossip settings of a member, with all control members as its seeds."""
    control = [spec for spec in context.topology.members if spec.role is Role.CONTROL]
    return NodeSettings(
        own_record=member_record(context.spec, context.address, context.process_id),
        seeds=tuple(context.addresses[spec.index] for spec in control if spec != context.spec),
        voters=tuple(Voter(spec.name, context.addresses[spec.index]) for spec in context.topology.voters),
        key=context.key,
        bytes_per_s=default_bytes_per_s(context.spec.role),
    )


def member_record(spec: MemberSpec, address: Address, process_id: int) -> MemberRecord:
    """Return the membership record that a member joins with."""
    return MemberRecord(spec.name, address, spec.region, spec.zone, spec.role, 0, process_id)


def change_writes(change: int, padding: int = 0) -> tuple[Write, ...]:
    """Return the writes of the operator's change; with ``padding``, a third key has that many bytes."""
    value = str(change).encode()
    writes: tuple[Write, ...] = (LEFT_KEY.format(change), value), (RIGHT_KEY.format(change), value)
    if padding:
        writes += ((PADDING_KEY.format(change), bytes(padding)),)
    return writes


def observe_applied(
    applied: list[Applied], configuration: Mapping[str, bytes]
) -> list[ConfigurationObserved]:
    """Return one observation for each applied version.

    Only the last one has a digest, because the node exposes only its newest configuration.
    """
    observations = []
    for number, action in enumerate(applied):
        changes = changes_of(action.changed)
        last = number == len(applied) - 1
        observations.append(
            ConfigurationObserved(
                epoch=action.position.epoch,
                version=action.position.version,
                digest=configuration_digest(configuration) if last else 0,
                changes=changes,
                torn=tuple(change for change in changes if is_torn(change, configuration)),
            )
        )
    return observations


def changes_of(keys: Iterable[str]) -> tuple[int, ...]:
    """Return the numbers of the operator's changes that wrote any of these keys."""
    matches = [CHANGE_KEY.fullmatch(key) for key in keys]
    return tuple(sorted({int(match[1]) for match in matches if match is not None}))


def is_torn(change: int, configuration: Mapping[str, bytes]) -> bool:
    """Return whether the two keys of the change differ or the first one is missing."""
    left = configuration.get(LEFT_KEY.format(change))
    return left is None or left != configuration.get(RIGHT_KEY.format(change))


def configuration_digest(configuration: Mapping[str, bytes]) -> int:
    """Return a digest of the configuration that does not depend on the order of its keys."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for key in sorted(configuration):
        digest.update(f"{len(key)} {key} {len(configuration[key])} ".encode())
        digest.update(configuration[key])
    return int.from_bytes(digest.digest(), "big")
