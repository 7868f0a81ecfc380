"""Migration: closes established connections gracefully, so that their clients reconnect with new requests."""

from __future__ import annotations

import random
from collections.abc import Iterable

from saltcourse.balancing.actions import Action, MigrateConnection
from saltcourse.balancing.state import Backend, Request


class Migration:
    """Emits the migration of connections, and removes each from its backend so that it migrates only once."""

    __slots__ = ("_actions", "_random")

    def __init__(self, actions: list[Action], random_source: random.Random) -> None:
        self._actions = actions
        self._random = random_source

    def migrate(self, connections: Iterable[Request]) -> None:
        """Migrate the given connections."""
        for connection in connections:
            if connection.backend is not None:
                connection.backend.connections.pop(connection.id, None)
            self._actions.append(MigrateConnection(connection.id))

    def migrate_all(self, backend: Backend) -> None:
        """Migrate all connections of a backend."""
        self.migrate(list(backend.connections.values()))

    def migrate_share(self, connections: list[Request], share: float) -> None:
        """Migrate a random ``share`` (0 to 1) of the given connections."""
        count = self.sample_size(len(connections), share)
        self.migrate(self._random.sample(connections, min(count, len(connections))))

    def sample_size(self, total: int, share: float) -> int:
        """Return ``share`` times ``total``, rounded up or down at random so that the mean is exact."""
        return int(share * total + self._random.random())
