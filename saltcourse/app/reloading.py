"""Reloads a section of the operator's file, and logs changes that only a restart applies."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import fields
from typing import TYPE_CHECKING, TypeVar

import structlog

from saltcourse.config import ConfigError

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

Section = TypeVar("Section", bound="DataclassInstance")
Reread = Callable[[], Section | None]  # reads a section again; None if it is absent

log = structlog.get_logger("saltcourse")


def reread_section(section: str, reread: Reread[Section]) -> Section | None:
    """Read a section again; if it is invalid or absent, log this and return None."""
    try:
        settings = reread()
    except ConfigError as error:
        log.error("operator file rejected, keeping previous settings", reason=str(error))
        return None
    if settings is None:
        log.warning("section removed from operator file, restart required", section=section)
    return settings


def warn_of_changes(
    section: str,
    old: Section,
    new: Section,
    applied: Collection[str] = (),
    file_keys: Mapping[str, str] | None = None,
) -> None:
    """Log the keys whose changes require a restart.

    ``applied`` lists the fields that a reload has applied; ``file_keys`` maps a field to its key in the file
    if they differ.
    """
    names = [
        field.name
        for field in fields(new)
        if field.name not in applied and getattr(new, field.name) != getattr(old, field.name)
    ]
    keys = dict.fromkeys(f"{section}.{(file_keys or {}).get(name, name)}" for name in names)
    if keys:
        log.warning("configuration changes require a restart", keys=",".join(keys))
