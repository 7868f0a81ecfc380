"""Reads a section of the operator's file again in a running program, and logs what only a restart changes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import fields
from typing import TYPE_CHECKING, TypeVar

import structlog

from saltcourse.config import ConfigError

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

Section = TypeVar("Section", bound="DataclassInstance")
Reread = Callable[[], Section | None]  # reads a section again; None where it is left out now

log = structlog.get_logger("saltcourse")


def reread_section(section: str, reread: Reread[Section]) -> Section | None:
    """Read a section again; None, and a log line, where it can't be used or is left out now."""
    try:
        settings = reread()
    except ConfigError as error:
        log.error("the old operator's file is kept", reason=str(error))
        return None
    if settings is None:
        log.warning(f"{section} is switched off at the next restart")
    return settings


def warn_of_changes(
    section: str,
    old: Section,
    new: Section,
    applied: Collection[str] = (),
    file_keys: Mapping[str, str] | None = None,
) -> None:
    """Log which keys differ and are read at the start only.

    ``applied`` are fields that are in force already; ``file_keys`` maps a field to its key where they differ.
    """
    names = [
        field.name
        for field in fields(new)
        if field.name not in applied and getattr(new, field.name) != getattr(old, field.name)
    ]
    keys = dict.fromkeys(f"{section}.{(file_keys or {}).get(name, name)}" for name in names)
    if keys:
        log.warning("changed keys that a restart will read", keys=",".join(keys))
