"""Errors of the balancer: its host sent an event that names something it does not know."""

from __future__ import annotations


class UnknownRequestClassError(KeyError):
    """An event names a request class that is not in the settings."""

    def __init__(self, request_class: str) -> None:
        super().__init__(request_class)
        self.request_class = request_class

    def __str__(self) -> str:
        """Say which class."""
        return f"request class {self.request_class!r} is not in the settings"


class UnknownTimerError(KeyError):
    """A timer fired whose token was never set, or has fired before."""

    def __init__(self, token: int) -> None:
        super().__init__(token)
        self.token = token

    def __str__(self) -> str:
        """Say which token."""
        return f"no timer with token {self.token} is set"
