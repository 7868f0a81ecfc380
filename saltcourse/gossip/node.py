"""One member of the fleet: joins membership, aggregation, dissemination and, at a voter, the quorum.

No I/O and no clock: ``handle(now, event)`` takes what has happened and gives what is to be done, in order;
``next_deadline()`` is when it wants to be called again although nothing happens. The parts neither know each
other nor the bytes on the wire: the node decodes, shows each header to the parts that learn from it, passes
the message to the part it is for, and sends what the parts want sent as far as the byte budget reaches.
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

BURST_SECONDS = 2.0  # of the byte budget that may be spent at once
NEVER = float("inf")


class Node:
    """``state`` is what a voter kept from an earlier process; None at its first start and for others."""

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
        self._budget = TokenBucket(settings.bytes_per_s, BURST_SECONDS * settings.bytes_per_s)
        self._waiting = SendQueue(timing.fetch_timeout)
        self._actions: list[Action] = []

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """At the start of the process: restore a voter's state, and join the fleet."""
        if self._state is not None:
            self.dissemination.restore(now, self._state)
        self._send(now, self.membership.start(now))
        if self.quorum is not None:
            self._carry_out(now, self.quorum.start(now))
        return self._finish(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take the event and do whatever else has become ready."""
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
        """When ``handle`` is to be called with a ``Tick``, in seconds on the clock of ``now``."""
        deadlines = [self.membership.next_deadline(), self.dissemination.next_deadline()]
        if self._is_proxy():
            deadlines.append(self.aggregation.next_deadline())
        if self.quorum is not None:
            deadlines.append(self.quorum.next_deadline())
        deadlines.append(self._budget_deadline())
        return min(deadlines)

    # ---- what comes in ----------------------------------------------------------------------------

    def _receive(self, now: float, source: Address, datagram: bytes) -> None:
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.received_bytes += size
        self._budget.force(now, size)
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
        self._pass_on_sums(now)

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
        self._carry_out(now, self.quorum.handle(now, source, header, message))

    def _pass_on_sums(self, now: float) -> None:
        for update in self.membership.take_zone_sums():
            if self.aggregation.receive(now, update):
                self.membership.broadcast(update)

    def _publish(self, now: float, event: Publish) -> None:
        if self.quorum is None:
            self._actions.append(PublishFailed(event.token, PublishError.NOT_CONTROL))
        else:
            self._carry_out(now, self.quorum.publish(now, event))

    # ---- time -------------------------------------------------------------------------------------

    def _tick(self, now: float) -> None:
        if now >= self.membership.next_deadline():
            self._send(now, self.membership.tick(now))
        if now >= self.dissemination.next_deadline():
            self._send(now, self.dissemination.tick(now))
        if self._is_proxy() and now >= self.aggregation.next_deadline():
            self._tick_aggregation(now)
        if self.quorum is not None and now >= self.quorum.next_deadline():
            self._carry_out(now, self.quorum.tick(now))

    def _tick_aggregation(self, now: float) -> None:
        own_record = self.membership.own_record
        sends, zone_sum = self.aggregation.tick(now, own_record, self.membership.live(own_record.zone))
        self._send(now, sends)
        if zone_sum is not None:
            self.membership.broadcast(zone_sum)

    def _is_proxy(self) -> bool:
        return self.settings.own_record.role is Role.PROXY

    # ---- the quorum's actions ---------------------------------------------------------------------

    def _carry_out(self, now: float, actions: Iterable[QuorumAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(now, [action])
                case Commit(change):
                    self._send(now, self.dissemination.commit(now, change))
                    self._collect(now)
                case AdvanceHeartbeat(heartbeat):
                    self.dissemination.advance_heartbeat(now, heartbeat)
                case _:
                    self._actions.append(action)

    def _collect(self, now: float) -> None:
        """Take the dissemination's actions, and show the quorum the newest configuration in force."""
        actions = self.dissemination.take_actions()
        self._actions.extend(actions)
        if self.quorum is not None and any(isinstance(action, Applied) for action in actions):
            part = self.dissemination
            self._carry_out(now, self.quorum.on_applied(now, part.position, part.configuration))

    # ---- what goes out ----------------------------------------------------------------------------

    def _finish(self, now: float) -> list[Action]:
        self._collect(now)
        if self.quorum is not None:
            newest = self.dissemination.position, self.dissemination.heartbeat
            self._carry_out(now, self.quorum.observe(now, *newest))
        self._send_waiting(now)
        self._actions.extend(self.membership.take_changes())
        actions, self._actions = self._actions, []
        return actions

    def _send(self, now: float, sends: Iterable[Send]) -> None:
        for send in sends:
            if send.priority is Priority.PROBE:
                self._budget.force(now, self._transmit(send))
            else:
                self._waiting.push(now, send)

    def _send_waiting(self, now: float) -> None:
        while self._waiting and self._budget.available(now) > 0:
            send = self._waiting.pop(now)
            if send is not None:
                self._budget.force(now, self._transmit(send))

    def _transmit(self, send: Send) -> int:
        """Encode a message; return the bytes that it takes from the budget.

        The header has what holds now, not what held when the message was queued.
        """
        datagram = self._codec.encode(self._header(), send.message)
        self._actions.append(Transmit(send.destination, datagram))
        size = len(datagram) + PACKET_OVERHEAD_BYTES
        self.sent_bytes += size
        return size

    def _header(self) -> Header:
        own_record = self.membership.own_record
        part = self.dissemination
        return Header(
            own_record.id, own_record.incarnation, own_record.process_id, part.position, part.heartbeat
        )

    def _budget_deadline(self) -> float:
        return self._budget.available_at() if self._waiting else NEVER

    # ---- metrics ----------------------------------------------------------------------------------

    def metrics(self, now: float) -> dict[str, int]:
        """Whole numbers for the operators, by name."""
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
            "sends.dropped": self._waiting.dropped,
        }
        metrics |= {f"dropped.{reason}": count for reason, count in sorted(self.dropped.items())}
        # Short names, some of which repeat values from above under another name: operators know both.
        metrics |= self.membership.metrics()
        metrics |= self.dissemination.metrics()
        if self.quorum is not None:
            metrics |= self.quorum.metrics()
        return metrics
