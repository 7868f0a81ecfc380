"""Errors that prevent a program from starting or continuing. Each text is shown to the operator.

``ConfigError`` (package ``config``) and ``ListenError`` (package ``proxy``) are two further such errors.
"""

from __future__ import annotations


class AppError(Exception):
    """The program can't start or continue."""


class MissingExtraError(AppError):
    """The dependencies of an enabled feature are not installed."""

    def __init__(self, error: ImportError) -> None:
        super().__init__(f"--operator: {error}: install saltcourse[membership] or saltcourse[gossip]")


class AddressFailoverStartError(AppError):
    """A member of the election can't start, because its address or its stored vote is unusable."""


class ControlMemberError(AppError):
    """A control member can't store its state."""
