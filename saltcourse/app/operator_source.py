"""The operator's file, which a running program may read again."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from saltcourse.app.errors import MissingExtraError

if TYPE_CHECKING:  # nothing of it is imported without an operator's file
    from saltcourse.config.operator import OperatorSettings
    from saltcourse.config.operator_address_failover import AddressFailoverSettings
    from saltcourse.config.operator_gossip import GossipSettings

OPERATOR_FILE_VARIABLE = "SALTCOURSE_OPERATOR"


class OperatorSource:
    """Reads the file at ``path``, or else the one that $SALTCOURSE_OPERATOR names; there may be none.

    ``own_name`` is the name of this instance where the file does not give it. Each method raises
    ``ConfigError`` when the file can't be used, and ``MissingExtraError`` when protobuf is not installed.
    """

    def __init__(self, path: str | None, environment: Mapping[str, str], own_name: str) -> None:
        self._path = path or environment.get(OPERATOR_FILE_VARIABLE)
        self._own_name = own_name

    def read(self) -> OperatorSettings | None:
        """Read all sections; None where there is no file."""
        if not self._path:
            return None
        from pathlib import Path

        try:
            from saltcourse.config.operator import read_operator
        except ImportError as error:
            raise MissingExtraError(error) from None
        return read_operator(Path(self._path), self._own_name)

    def read_address_failover(self) -> AddressFailoverSettings | None:
        """Read the section ``membership``; None where it is left out."""
        settings = self.read()
        return settings.address_failover if settings is not None else None

    def read_gossip(self) -> GossipSettings | None:
        """Read the section ``gossip``; None where it is left out."""
        settings = self.read()
        return settings.gossip if settings is not None else None
