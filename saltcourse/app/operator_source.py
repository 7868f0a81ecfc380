"""Locates and reads the operator's file, at the start and on each reload."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from saltcourse.app.errors import MissingExtraError

if TYPE_CHECKING:  # imported at run time only if there is an operator's file
    from saltcourse.config.operator import OperatorSettings
    from saltcourse.config.operator_address_failover import AddressFailoverSettings
    from saltcourse.config.operator_gossip import GossipSettings

OPERATOR_FILE_VARIABLE = "SALTCOURSE_OPERATOR"


class OperatorSource:
    """Reads the file at ``path``, or the file that $SALTCOURSE_OPERATOR names; both may be unset.

    ``own_name`` is the name of this instance if a section does not set ``me``. Each method raises
    ``ConfigError`` if the file is unreadable or invalid, and ``MissingExtraError`` if protobuf is missing.
    """

    def __init__(self, path: str | None, environment: Mapping[str, str], own_name: str) -> None:
        self._path = path or environment.get(OPERATOR_FILE_VARIABLE)
        self._own_name = own_name

    def read(self) -> OperatorSettings | None:
        """Read all sections; return None if there is no file."""
        if not self._path:
            return None
        from pathlib import Path

        try:
            from saltcourse.config.operator import read_operator
        except ImportError as error:
            raise MissingExtraError(error) from None
        return read_operator(Path(self._path), self._own_name)

    def read_address_failover(self) -> AddressFailoverSettings | None:
        """Read the section ``membership``; return None if it is absent."""
        settings = self.read()
        return settings.address_failover if settings is not None else None

    def read_gossip(self) -> GossipSettings | None:
        """Read the section ``gossip``; return None if it is absent."""
        settings = self.read()
        return settings.gossip if settings is not None else None
