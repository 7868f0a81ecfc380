"""Errors of the configuration. Each text is for the operator and names the file or the key at fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # pathlib takes about 0.2 MB, and without an operator's file nothing needs it
    from pathlib import Path


class ConfigError(Exception):
    """The configuration cannot be used."""


class InvalidValueError(ConfigError):
    """A key of the proxy's own file, or its variable in the environment, is missing or has a wrong value."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"'{key}': {reason}")
        self.key = key


class OperatorFileError(ConfigError):
    """A key of the operator's file is missing or has a wrong value; ``line`` counts from 1."""

    def __init__(self, path: Path, line: int, key: str, reason: str) -> None:
        super().__init__(f"{path}:{line}: {key}: {reason}")
        self.path = path
        self.line = line
        self.key = key
