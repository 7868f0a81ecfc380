"""Why a program could not start, or had to stop. Each text is for the operator.

``ConfigError`` (package ``config``) and ``ListenError`` (package ``proxy``) are defined beside these.
"""

from __future__ import annotations


class AppError(Exception):
    """The program can't start or go on."""


class MissingExtraError(AppError):
    """A feature is switched on whose dependencies are not installed."""

    def __init__(self, error: ImportError) -> None:
        super().__init__(f"--operator: {error}: install saltcourse[membership] or saltcourse[gossip]")


class AddressFailoverStartError(AppError):
    """A member of the election can't start: its address or its stored vote can't be used."""


class ControlMemberError(AppError):
    """A control member can't store its state any more."""
