"""Protocol engine of one member: combines membership, aggregation, dissemination and, at a voter, the quorum.

The node has no I/O and no clock. ``handle(now, event)`` returns the actions to execute, in order;
``next_deadline()`` returns the time of the next ``Tick`` event. The protocols know neither each other nor the
wire format: the node decodes datagrams, passes the header to the protocols that use it and the message to the
one that handles it, and sends the resulting messages within the byte budget.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from saltcourse.gossip.aggregation import Aggregation
from saltcourse.gossip.codec import Codec, CodecError
from saltcourse.gossip.dissemination import Dissemination
from saltcourse.gossip.membership import Membership
from saltcourse.gossip.messages import (
    PACKET_OVERHEAD_BYTES,
    Action,
    Address,
    Applied,
    ConfigurationMessage,
    ConnectionCount,
    Event,
    Header,
    Leave,
    Message,
    Priority,
    Publish,
    PublishError,
    PublishFailed,
    QuorumMessage,
    Received,
    ReplicaState,
    Role,
    Send,
    Status,
    Tally,
    Transmit,
)
from saltcourse.gossip.quorum import Quorum
from saltcourse.gossip.quorum_actions import AdvanceHeartbeat, Commit, QuorumAction
from saltcourse.gossip.send_queue import SendQueue
from saltcourse.gossip.settings import NodeSettings
from saltcourse.gossip.token_bucket import TokenBucket

BURST_SECONDS = 2.0  # size of the byte budget's burst, as seconds of its rate
NO_DEADLINE = float("inf")


class Node:
    """Protocol engine of the member described by ``settings``.

    ``state`` is the state that a voter stored in an earlier process. It is None at a voter's first start and
    for all other members.
    """

    def __init__(self, settings: NodeSettings, rng: random.Random, state: ReplicaState | None = None) -> None:
        timing = settings.timing
        self.settings = settings
        self.membership = Membership(settings.own_record, settings.seeds, timing, rng)
        self.aggregation = Aggregation(timing, rng)
        self.dissemination = Dissemination(timing, rng, self.membership.sample)
        self.quorum: Quorum | None = None
        voter = next((v for v in settings.voters if v.name == settings.own_record.name), None)
        if voter is not None:
            self.quorum = Quorum(voter, settings.voters, timing, rng, state or ReplicaState())
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped: Counter[str] = Counter()
        self._state = state
        self._voter_ids = frozenset(v.id for v in settings.voters)
        self._codec = Codec(settings.key)
        self._byte_budget = TokenBucket(settings.bytes_per_s, BURST_SECONDS * settings.bytes_per_s)
        self._send_queue = SendQueue(timing.fetch_timeout)
        self._actions: list[Action] = []

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Restore a voter's state, join the fleet and return the first actions."""
        if self._state is not None:
            self.dissemination.restore(now, self._state)
        self._send(now, self.membership.start(now))
        if self.quorum is not None:
            self._execute(now, self.quorum.start(now))
        return self._finish(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event and all expired deadlines; return the resulting actions."""
        match event:
            case Received(source, datagram):
                self._receive(now, source, datagram)
            case ConnectionCount(connections):
                self.aggregation.set_count(connections)
            case Publish():
                self._publish(now, event)
            case Leave():
                self._send(now, self.membership.leave(now))
        self._tick(now)
        return self._finish(now)

    def next_deadline(self) -> float:
        """Return when to call ``handle`` with a ``Tick``, in seconds on the clock of ``now``."""
        deadlines = [self.membership.next_deadline(), self.dissemination.next_deadline()]
        if self._is_proxy():
            deadlines.append(self.aggregation.next_deadline())
        if self.quorum is not None:
            deadlines.append(self.quorum.next_deadline())
        deadlines.append(self._send_deadline())
        return min(deadlines)

    # ---- receiving --------------------------------------------------------------------------------

    def _receive(self, now: float, source: Address, datagram: bytes) -> None:
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.received_bytes += size
        self._byte_budget.force(now, size)
        try:
            header, message = self._codec.decode(datagram)
        except CodecError as error:
            self.dropped[error.reason.name.lower()] += 1
            return
        if self._is_own(header):
            self.dropped["own"] += 1
            return
        self._send(now, self.membership.observe(now, header))
        self._send(now, self.dissemination.observe(now, source, header))
        self._dispatch(now, source, header, message)
        self._forward_zone_sums(now)

    def _is_own(self, header: Header) -> bool:
        own_record = self.membership.own_record
        return header.sender == own_record.id and header.process_id == own_record.process_id

    def _dispatch(self, now: float, source: Address, header: Header, message: Message) -> None:
        if isinstance(message, Tally):
            self.aggregation.handle(now, header, message)
        elif isinstance(message, ConfigurationMessage):
            self._send(now, self.dissemination.handle(now, source, header, message))
        elif isinstance(message, QuorumMessage):
            self._dispatch_quorum(now, source, header, message)
        else:
            self._send(now, self.membership.handle(now, source, header, message))

    def _dispatch_quorum(self, now: float, source: Address, header: Header, message: QuorumMessage) -> None:
        if self.quorum is None or header.sender not in self._voter_ids:
            self.dropped["not_voter"] += 1
            return
        self._execute(now, self.quorum.handle(now, source, header, message))

    def _forward_zone_sums(self, now: float) -> None:
        for update in self.membership.take_zone_sums():
            if self.aggregation.receive(now, update):
                self.membership.broadcast(update)

    def _publish(self, now: float, event: Publish) -> None:
        if self.quorum is None:
            self._actions.append(PublishFailed(event.token, PublishError.NOT_CONTROL))
        else:
            self._execute(now, self.quorum.publish(now, event))

    # ---- timers -----------------------------------------------------------------------------------

    def _tick(self, now: float) -> None:
        if now >= self.membership.next_deadline():
            self._send(now, self.membership.tick(now))
        if now >= self.dissemination.next_deadline():
            self._send(now, self.dissemination.tick(now))
        if self._is_proxy() and now >= self.aggregation.next_deadline():
            self._tick_aggregation(now)
        if self.quorum is not None and now >= self.quorum.next_deadline():
            self._execute(now, self.quorum.tick(now))

    def _tick_aggregation(self, now: float) -> None:
        own_record = self.membership.own_record
        sends, zone_sum = self.aggregation.tick(now, own_record, self.membership.live(own_record.zone))
        self._send(now, sends)
        if zone_sum is not None:
            self.membership.broadcast(zone_sum)

    def _is_proxy(self) -> bool:
        return self.settings.own_record.role is Role.PROXY

    # ---- the quorum's actions ---------------------------------------------------------------------

    def _execute(self, now: float, actions: Iterable[QuorumAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(now, [action])
                case Commit(change):
                    self._send(now, self.dissemination.commit(now, change))
                    self._collect_dissemination_actions(now)
                case AdvanceHeartbeat(heartbeat):
                    self.dissemination.advance_heartbeat(now, heartbeat)
                case _:
                    self._actions.append(action)

    def _collect_dissemination_actions(self, now: float) -> None:
        """Collect the actions of the dissemination; tell the quorum about a newly applied configuration."""
        actions = self.dissemination.take_actions()
        self._actions.extend(actions)
        if self.quorum is not None and any(isinstance(action, Applied) for action in actions):
            dissemination = self.dissemination
            self._execute(
                now, self.quorum.on_applied(now, dissemination.position, dissemination.configuration)
            )

    # ---- sending ----------------------------------------------------------------------------------

    def _finish(self, now: float) -> list[Action]:
        self._collect_dissemination_actions(now)
        if self.quorum is not None:
            newest_known = self.dissemination.position, self.dissemination.heartbeat
            self._execute(now, self.quorum.observe(now, *newest_known))
        self._send_queued(now)
        self._actions.extend(self.membership.take_changes())
        actions, self._actions = self._actions, []
        return actions

    def _send(self, now: float, sends: Iterable[Send]) -> None:
        for send in sends:
            if send.priority is Priority.PROBE:
                self._byte_budget.force(now, self._transmit(send))
            else:
                self._send_queue.push(now, send)

    def _send_queued(self, now: float) -> None:
        while self._send_queue and self._byte_budget.available(now) > 0:
            send = self._send_queue.pop(now)
            if send is not None:
                self._byte_budget.force(now, self._transmit(send))

    def _transmit(self, send: Send) -> int:
        """Encode a message; return its bytes, including IP and UDP headers, for the budget.

        The datagram's header is built here, so that it has the state at sending and not at queueing.
        """
        datagram = self._codec.encode(self._header(), send.message)
        self._actions.append(Transmit(send.destination, datagram))
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.sent_bytes += size
        return size

    def _header(self) -> Header:
        own_record = self.membership.own_record
        dissemination = self.dissemination
        return Header(
            own_record.id,
            own_record.incarnation,
            own_record.process_id,
            dissemination.position,
            dissemination.heartbeat,
        )

    def _send_deadline(self) -> float:
        return self._byte_budget.available_at() if self._send_queue else NO_DEADLINE

    # ---- metrics ----------------------------------------------------------------------------------

    def metrics(self, now: float) -> dict[str, int]:
        """Return the node's metrics by name."""
        by_status = Counter(member.status for member in self.membership.members.values())
        metrics = {f"members.{status.name.lower()}": by_status[status] for status in Status}
        sums = self.aggregation.sums(now)
        metrics |= {f"zone.{zone}.connections": update.connections for zone, update in sums.items()}
        metrics |= {
            "position.epoch": self.dissemination.position.epoch,
            "position.version": self.dissemination.position.version,
            "freshness": int(self.dissemination.freshness),
            "bytes.sent": self.sent_bytes,
            "bytes.received": self.received_bytes,
            "sends.dropped": self._send_queue.dropped,
        }
        metrics |= {f"dropped.{reason}": count for reason, count in sorted(self.dropped.items())}
        # Some of these metrics repeat values from above under another name; operators use both names.
        metrics |= self.membership.metrics()
        metrics |= self.dissemination.metrics()
        if self.quorum is not None:
            metrics |= self.quorum.metrics()
        return metrics
