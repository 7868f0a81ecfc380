"""The pool of known backends, and the candidates among them for new attempts."""

from __future__ import annotations

from saltcourse.balancing.events import BackendState
from saltcourse.balancing.state import Backend


class BackendPool:
    """Holds all backends that the endpoint list has ever contained, and the candidates for new attempts."""

    __slots__ = ("backends", "candidates")

    def __init__(self) -> None:
        self.backends: dict[str, Backend] = {}
        self.candidates: list[Backend] = []

    def listed(self) -> list[Backend]:
        """Return the backends that are ready according to the endpoint list."""
        return [backend for backend in self.backends.values() if backend.state is BackendState.READY]

    def exclude(self, backend: Backend) -> None:
        """Remove a backend from the candidates, unless it is the only one."""
        if backend in self.candidates and len(self.candidates) > 1:
            self.candidates.remove(backend)

    def exclude_zone(self, zone: str) -> None:
        """Remove all backends of a zone from the candidates, unless no candidate would be left."""
        self.candidates = [b for b in self.candidates if b.zone != zone] or self.candidates
