"""Errors of the configuration. Each text is shown to the operator and names the invalid file or key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # importing pathlib costs about 0.2 MB, and only the operator's file needs it
    from pathlib import Path


class ConfigError(Exception):
    """The configuration is missing, unreadable or invalid."""


class InvalidValueError(ConfigError):
    """A key of the proxy's own file, or the environment variable that overrides it, is missing or invalid."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"'{key}': {reason}")
        self.key = key


class OperatorFileError(ConfigError):
    """A key of the operator's file is missing or invalid; ``line`` counts from 1."""

    def __init__(self, path: Path, line: int, key: str, reason: str) -> None:
        super().__init__(f"{path}:{line}: {key}: {reason}")
        self.path = path
        self.line = line
        self.key = key
