"""What messages take at each provider, measured from the lines that pass: no I/O, no clock.

The module learns of a slow provider by delay notes: one a second for each provider while a message
takes over a third of the shortest aim, on one of its connections, and one more when it is back
under. Real providers send such a note, where they send any, as a ``LOAD X`` line like that of a load, and
only the size of the figure tells which it is. Read as a load it makes a crowded provider look empty.

Besides, the proxy takes the time from a consumer's line to the provider's next line. A line that has not been
answered yet has taken at least its age. A provider whose echo does not queue behind its work shows nothing by
that while it is merely crowded. One that hangs leaves lines unanswered, and their age tells of it.
"""

from __future__ import annotations

from collections import Counter
from statistics import median

NOTE_EVERY = 1.0  # s between the notes on one provider
HUNG_AFTER = 0.7  # s without any line back on several connections; sound providers answer in milliseconds
HUNG_LINES = 2  # connections whose unanswered lines make a provider look hung; fewer if it has fewer
TOLD_MOST = 1000.0  # ms; a lower figure is no load: that is in microseconds of work a second, 1,900 and more
SILENT_AFTER = 4.0  # s without a line back; clients speak every 2 s and 7 s are allowed


class DelayMeter:
    """Round trips of the standing connections, by provider."""

    def __init__(self, slow: float) -> None:
        self.slow = slow  # a third of the shortest aim
        self.provider: dict[str, str] = {}  # connection -> where it stands
        self.asked: dict[str, float] = {}  # connection -> when its oldest unanswered line was sent
        self.trips: dict[str, list[float]] = {}  # provider -> round trips since the last look
        self.told_last: dict[str, tuple[float, float]] = {}  # provider -> when, and the ms
        self.noted: set[str] = set()  # providers whose last note said slow
        self.heard: dict[str, float] = {}  # provider -> when it last answered a line (unasked ones not)

    def stands(self, request: str, provider: str) -> None:
        self.provider[request] = provider

    def ended(self, request: str) -> None:
        self.provider.pop(request, None)
        self.asked.pop(request, None)

    def line_sent(self, request: str, now: float) -> None:
        self.asked.setdefault(request, now)

    def line_back(self, request: str, now: float) -> None:
        asked = self.asked.pop(request, None)
        if asked is not None and request in self.provider:
            self.heard[self.provider[request]] = now
            self.trips.setdefault(self.provider[request], []).append(now - asked)

    def told(self, request: str, figure: float, now: float) -> float | None:
        """The delay in seconds that the figure of a ``LOAD`` line tells; None when it tells a load.

        What is piled up grows by no more than a second of work a second, so that the first note of a spell is
        short; only after such a one may a longer delay be meant by a figure that could be a very small load.
        """
        provider = self.provider.get(request)
        if provider is None or self.slow == float("inf"):
            return None
        at, before = self.told_last.get(provider, (0.0, 0.0))
        longer = min(before, TOLD_MOST) if now - at < 2 * NOTE_EVERY else 0.0
        if figure >= TOLD_MOST + longer:
            return None
        self.told_last[provider] = now, figure
        return figure / 1000

    def silent(self, now: float) -> list[str]:
        """The connections that bring nothing back."""
        return [r for r, asked in self.asked.items() if now - asked >= SILENT_AFTER and r in self.provider]

    def hung(self, now: float) -> list[tuple[str, float]]:
        """A connection and the delay for each provider that has stopped answering all at once.

        None while no provider answers: then it is this program, or its network, that stands still.
        """
        since = now - HUNG_AFTER
        if not any(at > since for at in self.heard.values()):
            return []
        waiting: dict[str, list[tuple[float, str]]] = {}
        for request, asked in self.asked.items():
            provider = self.provider.get(request)
            if provider is not None and self.heard.get(provider, 0.0) < asked <= since:
                waiting.setdefault(provider, []).append((asked, request))
        held = Counter(self.provider.values())
        return [
            (request, now - asked)
            for provider, lines in waiting.items()
            for asked, request in [min(lines)]
            if len(lines) >= min(HUNG_LINES, held[provider])
        ]

    def notes(self, now: float) -> list[tuple[str, float]]:
        """Once a second: a connection and the delay for each provider on which there is something to say."""
        trips, self.trips = self.trips, {}
        one: dict[str, str] = {}
        for request, provider in self.provider.items():
            one[provider] = request
            age = now - self.asked.get(request, now)
            if age > self.slow:
                trips.setdefault(provider, []).append(age)
        found = []
        for provider, request in one.items():
            if provider not in trips:
                continue
            delay = median(trips[provider])
            if delay > self.slow:
                self.noted.add(provider)
            elif provider in self.noted:
                self.noted.discard(provider)
            else:
                continue
            found.append((request, delay))
        self.noted.intersection_update(one)
        self.told_last = {provider: told for provider, told in self.told_last.items() if provider in one}
        self.heard = {provider: at for provider, at in self.heard.items() if provider in one}
        return found
