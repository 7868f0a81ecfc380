"""Numbered messages of records, to all or to one peer, and a history of them for resends."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from saltcourse.shared_state.codec import INCARNATIONS, SEQUENCES, encode, split_to_fit
from saltcourse.shared_state.messages import Connections, EntryRecord, Message, PairHeld, PairReleased, Record
from saltcourse.shared_state.table import key_of

HISTORY_LENGTH = 256  # records sent to all that can be sent again to a peer that missed some


class Outgoing(NamedTuple):
    """A message to one peer, or to all (None)."""

    peer: int | None
    text: str


class Outbox:
    """Numbers and encodes the messages of one process.

    All messages of a broadcast have the digest of the table after the last of them: a replica that lacks
    one of several has another digest, and asks.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation % INCARNATIONS
        self.sequence = 0  # of the next message
        self.replies: dict[int, list[Record]] = {}  # peer -> records that it alone is to get
        self._history: deque[tuple[int, EntryRecord]] = deque(maxlen=HISTORY_LENGTH)  # sequence, sent to all

    def reply(self, peer: int, records: Sequence[Record]) -> None:
        """Send records with the next messages to the peer."""
        if records:
            self.replies.setdefault(peer, []).extend(records)

    def broadcast(self, records: Sequence[Record], digest: int) -> list[Outgoing]:
        """Messages to all; ``digest`` is that of the announced table."""
        messages = []
        for message in self._messages(records, digest):
            messages.append(Outgoing(None, encode(message)))
            self._history.extend(
                [
                    (message.sequence, record)
                    for record in message.records
                    if isinstance(record, PairHeld | PairReleased | Connections)
                ]
            )
        return messages

    def pop_replies(self, digest: int) -> list[Outgoing]:
        """Messages with all replies that are waiting."""
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
        """The newest record of each entry that was sent to all after the message of this wire sequence.

        None where the history does not reach back so far.
        """
        after = self.sequence - (self.sequence - sequence) % SEQUENCES
        if after < 0 or (len(self._history) == HISTORY_LENGTH and self._history[0][0] > after):
            return None
        newest = {key_of(record): record for sent, record in self._history if sent > after}
        return list(newest.values())
