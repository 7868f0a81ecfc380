"""All backends that a list has named, and which of them are candidates for new attempts."""

from __future__ import annotations

from saltcourse.balancing.events import BackendState
from saltcourse.balancing.state import Backend


class BackendPool:
    """All backends that a list has named, and the candidates that a new attempt may go to."""

    __slots__ = ("backends", "candidates")

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.candidates: list[Backend] = []

    def listed(self) -> list[Backend]:
        """The backends that the endpoint list calls ready."""
        return [backend for backend in self.backends.values() if backend.state is BackendState.READY]

    def exclude(self, backend: Backend) -> None:
        """Take a backend out of the candidates, unless it is the only one."""
        if backend in self.candidates and len(self.candidates) > 1:
            self.candidates.remove(backend)

    def exclude_zone(self, zone: str) -> None:
        """Take a zone out of the candidates, unless none would be left."""
        self.candidates = [b for b in self.candidates if b.zone != zone] or self.candidates
