"""Numbers and encodes outgoing messages, and keeps a history of broadcast records for resends."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from saltcourse.shared_state.codec import INCARNATION_MODULUS, SEQUENCE_MODULUS, encode, split_to_fit
from saltcourse.shared_state.messages import Connections, EntryRecord, Message, PairAdded, PairRemoved, Record
from saltcourse.shared_state.table import key_of

HISTORY_LENGTH = 256  # broadcast records kept for resending to peers that missed them


class Outgoing(NamedTuple):
    """An encoded message to one peer, or to all peers if ``peer`` is None."""

    peer: int | None
    text: str


class Outbox:
    """Numbers and encodes the messages of one process.

    All messages of a broadcast carry the table's digest after the last of them. So a replica that misses any
    of them has a different digest, and its proxy requests a repair.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation % INCARNATION_MODULUS
        self.sequence = 0  # sequence number of the next message
        self.replies: dict[int, list[Record]] = {}  # records queued for a single peer, by peer
        # Sequence number and record of the latest broadcasts.
        self._history: deque[tuple[int, EntryRecord]] = deque(maxlen=HISTORY_LENGTH)

    def restart(self) -> None:
        """Begin again with the first message; no peer has received one from this process."""
        self.sequence = 0
        self.replies.clear()
        self._history.clear()

    def queue_reply(self, peer: int, records: Sequence[Record]) -> None:
        """Queue records to be sent to one peer with the next messages."""
        if records:
            self.replies.setdefault(peer, []).extend(records)

    def broadcast(self, records: Sequence[Record], digest: int) -> list[Outgoing]:
        """Return messages to all peers; ``digest`` is the digest of the announced table."""
        messages = []
        for message in self._messages(records, digest):
            messages.append(Outgoing(None, encode(message)))
            self._history.extend(
                [
                    (message.sequence, record)
                    for record in message.records
                    if isinstance(record, PairAdded | PairRemoved | Connections)
                ]
            )
        return messages

    def pop_replies(self, digest: int) -> list[Outgoing]:
        """Return messages with all queued replies, and clear the queue."""
        replies, self.replies = self.replies, {}
        return [
            Outgoing(peer, encode(message))
            for peer, records in sorted(replies.items())
            for message in self._messages(records, digest)
        ]

    def _messages(self, records: Sequence[Record], digest: int) -> Iterator[Message]:
        for part in split_to_fit(records):
            yield Message(self.incarnation, self.sequence, digest, part)
            self.sequence += 1

    def records_after(self, sequence: int) -> list[EntryRecord] | None:
        """Return the newest broadcast record of each entry that changed after message number ``sequence``.

        ``sequence`` is as on the wire, wrapped. Returns None if the history does not reach back that far.
        """
        after = self.sequence - (self.sequence - sequence) % SEQUENCE_MODULUS
        if after < 0 or (len(self._history) == HISTORY_LENGTH and self._history[0][0] > after):
            return None
        newest = {key_of(record): record for sent, record in self._history if sent > after}
        return list(newest.values())
