"""What is to be sent: numbered messages of records for all or for one peer, and a history for resends."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from saltcourse.shared_state.codec import INCARNATIONS, SEQUENCES, encode, split_to_fit
from saltcourse.shared_state.messages import Connections, EntryRecord, Message, PairHeld, PairReleased, Record
from saltcourse.shared_state.table import key_of

HISTORY_LENGTH = 256  # records sent to all that can be sent again to one that missed some


class Outgoing(NamedTuple):
    """A message to one peer, or to all (None)."""

    peer: int | None
    text: str


class Outbox:
    """All messages have the digest of what has been announced after the last of them: a replica that lacks
    one of several has another digest, and asks."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.sequence = incarnation % INCARNATIONS, 0
        self.replies: dict[int, list[Record]] = {}  # peer -> records that it alone is to get
        self._history: deque[tuple[int, EntryRecord]] = deque(maxlen=HISTORY_LENGTH)  # sequence, sent to all

    def reply(self, peer: int, records: Sequence[Record]) -> None:
        """They go with the next messages to the peer."""
        if records:
            self.replies.setdefault(peer, []).extend(records)

    def broadcast(self, records: Sequence[Record], digest: int) -> list[Outgoing]:
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

    def broadcast_after(self, sequence: int) -> list[EntryRecord] | None:
        """The newest record of each entry that was sent to all behind the message of this sequence (as on the
        wire). None where the history does not reach back so far."""
        after = self.sequence - (self.sequence - sequence) % SEQUENCES
        if after < 0 or (len(self._history) == HISTORY_LENGTH and self._history[0][0] > after):
            return None
        newest = {key_of(record): record for sent, record in self._history if sent > after}
        return list(newest.values())
