"""A simulated proxy of the full mesh (``saltcourse.shared_state``), the baseline of a scale run.

The mesh carries no configuration. For each change, the publisher announces one more group record instead,
which reaches all proxies as a change would: with the next message, or by a retransmission after a loss.
"""

from __future__ import annotations

from saltcourse.balancing.settings import RequestClass, Settings, SharedStateSettings
from saltcourse.emulator.scale.connections import ConnectionChurn
from saltcourse.emulator.scale.simulated_member import (
    ConfigurationObserved,
    MemberContext,
    MembersView,
    Output,
    PublicationConfirmed,
    SimulatedMember,
    StatusObserved,
    build_view,
)
from saltcourse.gossip.messages import Address, Status, Transmit
from saltcourse.shared_state.outbox import Outgoing
from saltcourse.shared_state.state import SharedState

TICK = 0.05  # seconds between the messages of a proxy
PUBLISHER = 0  # index of the member that publishes changes
CHANGES_BACKEND = "changes"  # backend name of the group records that stand for changes
BACKENDS_PER_GROUP = 2  # backends that serve the connections of one group


class _BackendConnections:
    """The number of established connections of this proxy to one backend."""

    def __init__(self) -> None:
        self.count = 0


class MeshMember(SimulatedMember):
    """One process of a proxy in the full mesh."""

    def __init__(self, context: MemberContext) -> None:
        super().__init__(context)
        arrivals = context.arrivals
        member_count = len(context.topology.members)
        backend_count = max(3, round(arrivals.servers_per_proxy * member_count))
        self._backends = [f"server-{number}" for number in range(backend_count)]
        self._group_count = arrivals.groups_per_server * backend_count
        self._connections_by_backend = {backend: _BackendConnections() for backend in self._backends}
        self._connections_by_pair: dict[tuple[str, str], int] = {}  # (backend, group) -> connections
        self._churn = ConnectionChurn(arrivals, context.random)
        self._pair_by_connection: dict[int, tuple[str, str]] = {}  # connection number -> (backend, group)
        self._changes_seen = 0
        self._lost_peers: set[int] = set()
        self._indexes = {address: index for index, address in enumerate(context.addresses)}
        settings = Settings(
            (RequestClass("live-feed", 0.5, 3.0),),
            proxy_count=member_count,
            proxy_index=context.spec.index,
            peers_allowed=True,
            has_groups=True,
            shared_state=SharedStateSettings(share_connection_counts=True),
        )
        self._shared_state = self._measure_cpu(
            SharedState, settings, context.process_id, self._connections_by_backend
        )

    def start(self, now: float) -> Output:
        """Open the initial connections and send the first messages."""
        for number in self._churn.start(now):
            self._connect(number)
        return self.tick(now)

    def receive(self, now: float, source: Address, datagram: bytes) -> Output:
        """Process one message. Messages from unknown senders are ignored."""
        index = self._indexes.get(source)
        if index is None:
            return Output()
        output = self._build_output(self._measure_cpu(self._receive_message, now, index, datagram))
        if index == PUBLISHER:
            self._observe_changes(output)
        return output

    def _receive_message(self, now: float, sender: int, datagram: bytes) -> list[Outgoing]:
        self._shared_state.receive(now, sender, datagram.decode("ascii"))
        return self._shared_state.outgoing_messages(now)

    def tick(self, now: float) -> Output:
        """Open and close connections, and send the resulting updates."""
        self._update_connections(now)
        self.next_deadline = now + TICK
        return self._build_output(self._measure_cpu(self._shared_state.outgoing_messages, now))

    def publish(self, now: float, change: int, padding: int) -> Output:
        """Announce the group record of the change, which counts as committed at once. Ignores ``padding``."""
        self._measure_cpu(self._shared_state.record_group, CHANGES_BACKEND, str(change), True)
        self._changes_seen = change + 1
        output = self.tick(now)
        output.observations += [
            ConfigurationObserved(0, change + 1, 0, (change,), ()),
            PublicationConfirmed(change, 0, change + 1),
        ]
        return output

    def is_publisher(self) -> bool:
        """Return whether this is the member with index ``PUBLISHER``."""
        return self.context.spec.index == PUBLISHER

    def view(self) -> MembersView:
        """Return the view with this proxy and all peers that are not lost."""
        specs = self.context.topology.members
        return build_view(self.context.spec.id, [specs[index].id for index in self._shared_state.peers])

    # ---- datagrams and observations ----------------------------------------------------------------------

    def _build_output(self, sends: list[Outgoing]) -> Output:
        output = Output()
        for peer, text in sends:
            datagram = text.encode()
            for index in range(len(self.context.addresses)) if peer is None else (peer,):
                if index != self.context.spec.index:
                    output.datagrams.append(Transmit(self.context.addresses[index], datagram))
        lost = self._shared_state.lost.keys()
        if lost != self._lost_peers:
            self._observe_lost(set(lost), output)
        return output

    def _observe_lost(self, lost: set[int], output: Output) -> None:
        specs = self.context.topology.members
        for index in sorted(lost - self._lost_peers):
            output.observations.append(StatusObserved(specs[index].name, Status.DEAD))
        for index in sorted(self._lost_peers - lost):
            output.observations.append(StatusObserved(specs[index].name, Status.ALIVE))
        self._lost_peers = lost

    def _observe_changes(self, output: Output) -> None:
        """Observe the changes that have arrived, in order and without a gap."""
        while self._shared_state.peer_serves_group(CHANGES_BACKEND, str(self._changes_seen)):
            change = self._changes_seen
            self._changes_seen += 1
            output.observations.append(ConfigurationObserved(0, self._changes_seen, 0, (change,), ()))

    # ---- emulated client connections ---------------------------------------------------------------------

    def _update_connections(self, now: float) -> None:
        for number in self._churn.begun(now):
            self._connect(number)
        for number in self._churn.ended(now):
            self._disconnect(number)

    def _connect(self, number: int) -> None:
        """Open a connection of a random group to a random backend of that group."""
        random = self.context.random
        group = random.randrange(self._group_count)
        choice = random.randrange(BACKENDS_PER_GROUP)
        backend = self._backends[(group * BACKENDS_PER_GROUP + choice) % len(self._backends)]
        pair = backend, f"group-{group}"
        self._pair_by_connection[number] = pair
        self._connections_by_backend[backend].count += 1
        self._connections_by_pair[pair] = self._connections_by_pair.get(pair, 0) + 1
        if self._connections_by_pair[pair] == 1:
            self._measure_cpu(self._shared_state.record_group, *pair, True)

    def _disconnect(self, number: int) -> None:
        pair = self._pair_by_connection.pop(number)
        self._connections_by_backend[pair[0]].count -= 1
        self._connections_by_pair[pair] -= 1
        if not self._connections_by_pair[pair]:
            del self._connections_by_pair[pair]
            self._measure_cpu(self._shared_state.record_group, *pair, False)
