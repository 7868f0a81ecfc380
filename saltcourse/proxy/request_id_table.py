"""A table of request ids with expiry times, in a buffer of fixed size that processes can share.

An id is represented by a digest of 64 bits. A digest belongs to one bucket of ``BUCKET_ENTRIES`` entries; in
a full bucket, the entry that expires first is replaced. So ids under a flood of others are forgotten early,
and the memory never grows. An entry is two words: the digest, and the time (ms) at which it expires. Times
are on the system's monotonic clock, which all processes share.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b

BUCKETS = 2048
BUCKET_ENTRIES = 4
WORD_BYTES = 8
WORDS_PER_ENTRY = 2
TABLE_BYTES = BUCKETS * BUCKET_ENTRIES * WORDS_PER_ENTRY * WORD_BYTES


def digest_of(request: str) -> int:
    """Return the digest of a request id."""
    return int.from_bytes(blake2b(request.encode(), digest_size=WORD_BYTES).digest(), "little")


class RequestIdTable:
    """Entries in a writable ``buffer`` of ``TABLE_BYTES``; a buffer of zeros is an empty table."""

    def __init__(self, buffer: memoryview) -> None:
        self._words = buffer.cast("Q")

    def contains(self, digest: int, now: int) -> bool:
        """Return whether the digest is in the table and has not expired at ``now`` (ms)."""
        words = self._words
        return any(words[index] == digest and words[index + 1] > now for index in self._entries(digest))

    def put(self, digest: int, expires: int) -> None:
        """Add the digest, or change the time (ms) at which it expires."""
        words, chosen = self._words, -1
        for index in self._entries(digest):
            if words[index] == digest:
                chosen = index
                break
            if chosen < 0 or words[index + 1] < words[chosen + 1]:
                chosen = index
        words[chosen], words[chosen + 1] = digest, expires

    def remove(self, digest: int) -> None:
        """Remove the digest, if it is in the table."""
        for index in self._entries(digest):
            if self._words[index] == digest:
                self._words[index + 1] = 0

    @staticmethod
    def _entries(digest: int) -> Iterator[int]:
        """Return the indexes of the entries that may hold the digest."""
        begin = digest % BUCKETS * BUCKET_ENTRIES * WORDS_PER_ENTRY
        return iter(range(begin, begin + BUCKET_ENTRIES * WORDS_PER_ENTRY, WORDS_PER_ENTRY))
